// Package console is the operators' interface of the platform: on a TCP address, a caller opens a connection, sends one line and
// gets one line back, which begins with SUCCESS or FAILURE. (The operators' own interface, JSON over HTTP, is package admin.) The
// package turns a line into a call of a Controller and never decides anything itself. It runs in goroutines of its own, and no
// client's request ever waits for it. The protocol, slow callers and many callers at once are tested here.
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
	"ravenwheel/internal/memory"
	"ravenwheel/internal/transient"
	"ravenwheel/policy"
)

// Controller carries out what operators ask of a proxy. The texts of its errors are sent to the operators as reasons.
type Controller interface {
	Status() (text string, ready bool)
	// SetServerDrained starts or ends a drain of one cache server.
	SetServerDrained(id policy.ServerID, on bool) error
	// SetDraining starts or ends a drain of the whole proxy.
	SetDraining(on bool) error
}

const (
	// maxLine is the largest length of a line, in bytes.
	maxLine = 128
	// maxUnfinished is how many connections may have sent no complete line yet. One more closes the oldest of them.
	maxUnfinished = 16
	// maxTrailing is how many bytes after a line are read and dropped, until lineTimeout at the latest.
	maxTrailing = 1 << 20
	// connBytes is the cost of a connection in bytes.
	connBytes = 8 << 10
	// lineTimeout is how long reading and writing a connection may take in all, from when it is accepted. Callers wait 1 s for the
	// answer.
	lineTimeout = 2 * time.Second
)

// The commands of the protocol.
const (
	commandStatus  = "STATUS"  // report whether the proxy is ready
	commandPause   = "PAUSE"   // drain the proxy
	commandResume  = "RESUME"  // end the drain of the proxy
	commandSuspend = "SUSPEND" // drain a cache server, named by its id
	commandRestore = "RESTORE" // end the drain of a cache server
)

// The first words of answers. A text may follow.
const (
	answerSuccess = "SUCCESS"
	answerFailure = "FAILURE"
)

// The errors of lines that are not valid calls.
var (
	errUnknownCall   = errors.New("unknown call")
	errUnknownServer = errors.New("no such cache server")
)

// Console serves operators on a listener.
type Console struct {
	ln         net.Listener
	controller Controller
	log        *logs.Log

	mu         sync.Mutex
	unfinished []net.Conn // connections whose line is not complete, the oldest first
}

// Listen starts to listen on a TCP address, host:port. The console serves calls once Serve is called. Its connections draw on the
// account, which may be nil.
func Listen(addr string, c Controller, log *logs.Log, account *memory.Account) (*Console, error) {
	ln, err := transient.ListenWithRetry(func() (net.Listener, error) { return net.Listen("tcp", addr) })
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	ln = memory.Listener(transient.KeepAccepting(ln), account, connBytes)
	return &Console{ln: ln, controller: c, log: log}, nil
}

// Addr returns the address of the listener.
func (c *Console) Addr() string { return c.ln.Addr().String() }

// Close stops Serve. Calls in progress are still answered.
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

// admit records a new connection whose line is not complete. If there are too many such connections, it closes the oldest.
func (c *Console) admit(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unfinished) >= maxUnfinished {
		c.unfinished[0].Close()
		c.unfinished = c.unfinished[1:]
	}
	c.unfinished = append(c.unfinished, conn)
}

// removeUnfinished is called when the line of a connection is complete, or its caller has left or taken too long.
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
	// Closing a socket with unread data resets the connection, and the answer could be lost.
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(conn, maxTrailing))
	}
}

// readLine returns a line without its end. A caller may also end the line by closing its side. ok is false if the caller left or
// took too long. A line that is too long is cut, and is then not a valid call.
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

// Answer carries out the call in a line and returns the answer, without a line end.
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
