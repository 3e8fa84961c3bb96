// Package console is the operators' interface of the platform: a TCP address where a connection brings one line and gets
// one back, which begins with SUCCESS or FAILURE. (The operators' own interface, JSON over HTTP, is package admin.) The
// package turns a line into a call of a Controller and decides nothing. It runs on goroutines of its own, and no client's
// request ever waits for it. The protocol, slow callers and floods of callers are tested here.
package console

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/transient"
	"ravenwheel/policy"
)

// Controller carries out what operators ask of a proxy. The text of an error is the reason that they are shown.
type Controller interface {
	Status() (text string, ready bool)
	// SetServerDrained starts or ends a drain of one cache server.
	SetServerDrained(id policy.ServerID, on bool) error
	// SetDraining starts or ends a drain of the whole proxy.
	SetDraining(on bool) error
}

const (
	// maxLine bounds a line, in bytes.
	maxLine = 128
	// maxUnfinished bounds the connections whose line is not complete. One more closes the oldest.
	maxUnfinished = 16
	// maxTrailing bounds what is read behind a line, in bytes. It is read until lineTimeout at most.
	maxTrailing = 1 << 20
	// lineTimeout bounds all reading and writing of a connection, from when it is accepted. Callers wait a second for the answer.
	lineTimeout = 2 * time.Second
)

// The commands of the protocol.
const (
	commandStatus  = "STATUS"  // is the proxy ready?
	commandPause   = "PAUSE"   // drain the proxy
	commandResume  = "RESUME"  // end that
	commandSuspend = "SUSPEND" // drain a cache server, named by its id
	commandRestore = "RESTORE" // end that
)

// The answers of the protocol. A text may follow.
const (
	answerSuccess = "SUCCESS"
	answerFailure = "FAILURE"
)

// Errors of lines that are no valid call.
var (
	errUnknownCall   = errors.New("unknown call")
	errUnknownServer = errors.New("no such cache server")
)

// Console serves operators on a listener. See Listen and Serve.
type Console struct {
	ln         net.Listener
	controller Controller
	log        *logs.Log

	mu         sync.Mutex
	unfinished []net.Conn // connections whose line is not complete, the oldest first
}

// Listen opens a TCP address, host:port.
func Listen(addr string, c Controller, log *logs.Log) (*Console, error) {
	ln, err := transient.ListenWithRetry(func() (net.Listener, error) { return net.Listen("tcp", addr) })
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Console{ln: transient.KeepAccepting(ln), controller: c, log: log}, nil
}

// Addr returns the address of the listener.
func (c *Console) Addr() string { return c.ln.Addr().String() }

// Close ends Serve. Calls in flight are answered.
func (c *Console) Close() { _ = c.ln.Close() }

// Serve answers calls until Close.
func (c *Console) Serve() {
	for {
		conn, err := c.ln.Accept()
		if err != nil {
			return // closed
		}
		c.admit(conn)
		go c.serveConn(conn)
	}
}

// admit notes a new connection. If there are too many, it closes the one that has taken the longest to send its line.
func (c *Console) admit(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unfinished) >= maxUnfinished {
		c.unfinished[0].Close()
		c.unfinished = c.unfinished[1:]
	}
	c.unfinished = append(c.unfinished, conn)
}

// removeUnfinished notes that the line of a connection is complete, or that its caller has left or took too long.
func (c *Console) removeUnfinished(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.unfinished, conn); i >= 0 {
		c.unfinished = slices.Delete(c.unfinished, i, i+1)
	}
}

// serveConn reads one line and answers it.
func (c *Console) serveConn(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(lineTimeout))
	line, ok := readLine(conn)
	c.removeUnfinished(conn)
	if !ok {
		return
	}
	_, _ = conn.Write([]byte(c.Answer(line) + "\n"))
	// A close with unread data would reset the connection, and the answer could be lost.
	if tcp, ok := conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxTrailing))
	}
}

// readLine returns a line without its end, which a caller may also send by closing its side. ok is false if the caller
// left or took too long. A line that is too long is cut, and is no valid call.
func readLine(conn net.Conn) (line string, ok bool) {
	buf, n := make([]byte, maxLine+1), 0
	for {
		read, err := conn.Read(buf[n:])
		n += read
		if end := bytes.IndexByte(buf[:n], '\n'); end >= 0 {
			return string(bytes.TrimSuffix(buf[:end], []byte("\r"))), true
		}
		if n > maxLine {
			return string(buf[:n]), true
		}
		if err != nil {
			return string(buf[:n]), n > 0 && err == io.EOF
		}
	}
}

// Answer carries out the call of a line, and returns the line to answer, without its end.
func (c *Console) Answer(line string) string {
	command, argument, hasArgument := strings.Cut(line, " ")
	if command == commandStatus && !hasArgument {
		text, ready := c.controller.Status()
		if !ready {
			return answerFailure + " " + text
		}
		return answerSuccess + " " + text
	}
	if err := c.execute(command, argument, hasArgument); err != nil {
		return answerFailure + " " + err.Error()
	}
	c.log.Info("console").Str("call", line).Msg("call carried out")
	return answerSuccess
}

func (c *Console) execute(command, argument string, hasArgument bool) error {
	switch {
	case command == commandPause && !hasArgument, command == commandResume && !hasArgument:
		return c.controller.SetDraining(command == commandPause)
	case command == commandSuspend, command == commandRestore:
		id, ok := serverlist.ParseID(argument)
		if !ok {
			return errUnknownServer
		}
		return c.controller.SetServerDrained(id, command == commandSuspend)
	}
	return errUnknownCall
}
