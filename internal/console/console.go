// Package console is the operators' address of the platform: a connection brings one line and gets one, which begins with
// SUCCESS or FAILURE. It turns a line into a call and decides nothing. It has goroutines of its own, and nothing that it
// waits for waits for a request. Off where none is named.
package console

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/transient"
	"ravenwheel/policy"
)

// Controller carries out what operators ask of a proxy. A call that is turned down returns why.
type Controller interface {
	Status() (text string, ready bool)
	SetServerDrained(id policy.CacheID, out bool) error
	SetDraining(on bool) error
}

const (
	// mostLine bounds a call, in bytes.
	mostLine = 128
	// mostHeld callers are connected at once. Some finish no call: the one that has waited longest makes room.
	mostHeld = 16
	// mostDropped bytes behind a line are read before the close, within lineWait.
	mostDropped = 1 << 20
	// lineWait: a caller that has not finished its line by then gets no answer; callers wait for a second.
	lineWait = 2 * time.Second
)

// Console serves operators on a listener.
type Console struct {
	ln   net.Listener
	desk Controller
	log  *logs.Log

	mu   sync.Mutex
	held []net.Conn // of those whose line is not whole, the oldest first
}

// Listen opens the address.
func Listen(addr string, d Controller, log *logs.Log) (*Console, error) {
	ln, err := transient.ListenWithRetry(func() (net.Listener, error) { return net.Listen("tcp", addr) })
	if err != nil {
		return nil, fmt.Errorf("console: %w", err)
	}
	return &Console{ln: transient.KeepAccepting(ln), desk: d, log: log}, nil
}

// Addr is where it listens.
func (c *Console) Addr() string { return c.ln.Addr().String() }

// Close ends it; calls that are under way are answered.
func (c *Console) Close() { _ = c.ln.Close() }

// Serve answers until Close.
func (c *Console) Serve() {
	for {
		nc, err := c.ln.Accept()
		if err != nil {
			return // closed
		}
		c.mu.Lock()
		if len(c.held) >= mostHeld {
			c.held[0].Close()
			c.held = c.held[1:]
		}
		c.held = append(c.held, nc)
		c.mu.Unlock()
		go c.call(nc)
	}
}

// call reads one line and answers it.
func (c *Console) call(nc net.Conn) {
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(lineWait))
	line, ok := read(nc)
	c.mu.Lock()
	for i, h := range c.held {
		if h == nc {
			c.held = append(c.held[:i], c.held[i+1:]...)
			break
		}
	}
	c.mu.Unlock()
	if ok {
		_, _ = nc.Write([]byte(c.Answer(line) + "\n"))
		// Guards against a close over what the caller sent behind its line: it resets the connection, and the answer with it.
		if half, is := nc.(*net.TCPConn); is && half.CloseWrite() == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(nc, mostDropped))
		}
	}
}

// read returns a line, without its end; a caller that closes its side has ended it too.
func read(nc net.Conn) (line string, ok bool) {
	b, n := make([]byte, mostLine+1), 0
	for {
		got, err := nc.Read(b[n:])
		n += got
		if end := bytes.IndexByte(b[:n], '\n'); end >= 0 {
			return string(bytes.TrimSuffix(b[:end], []byte("\r"))), true
		}
		if n > mostLine {
			return string(b[:n]), true // too long to be any call
		}
		if err != nil {
			return string(b[:n]), n > 0 && err == io.EOF
		}
	}
}

// Answer is the answer to a line.
func (c *Console) Answer(line string) string {
	word, rest, named := strings.Cut(line, " ")
	err := fmt.Errorf("unknown call")
	text := ""
	switch {
	case word == "STATUS" && !named:
		var ready bool
		if text, ready = c.desk.Status(); !ready {
			return "FAILURE " + text
		}
		return "SUCCESS " + text
	case word == "PAUSE" && !named, word == "RESUME" && !named:
		err = c.desk.SetDraining(word == "PAUSE")
	case word == "SUSPEND", word == "RESTORE":
		id, ok := serverlist.ParseID(rest)
		if err = fmt.Errorf("no such cache server"); ok {
			err = c.desk.SetServerDrained(id, word == "SUSPEND")
		}
	}
	if err != nil {
		return "FAILURE " + err.Error()
	}
	c.log.Info("console").Str("call", line).Msg("carried out for an operator")
	return "SUCCESS"
}
