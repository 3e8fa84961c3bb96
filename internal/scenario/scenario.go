// Package scenario is the small language that the tests are written in. A line names an actor and what it
// does; words may hold *, which matches anything, and $id, the id in what the actor expected last.
//
//	c send RPC.CALL 1 asset rid=...,budget=900,...
//	s1 expect fetch * lane=asset,*
//	s1 send $id served why=local,version=v1 BYTES
//	c expect 1 ok * BYTES
//	wait 250        moves the clock
//	c await closed  expects it while the clock moves on
//	c close
package scenario

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/resp"
)

// patience bounds how long an expectation is waited for; it is no measure of speed.
const patience = 10 * time.Second

// Actor is one who takes part.
type Actor interface {
	Send(words []string) error
	// Receive returns the next message as words, or "closed" once no more can come.
	Receive() ([]string, error)
	Close() error
}

// Run plays a script.
func Run(t *testing.T, clk *clock.Clock, actors map[string]Actor, script string) {
	t.Helper()
	ids := map[string]string{}
	for n, line := range strings.Split(script, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		at := fmt.Sprintf("line %d: %s", n+1, strings.TrimSpace(line))
		if words[0] == "wait" {
			var ms float64
			_, err := fmt.Sscan(words[1], &ms)
			require.NoError(t, err, at)
			clk.Advance(ms)
			continue
		}
		a := actors[words[0]]
		require.NotNil(t, a, at)
		args := words[2:]
		for i := range args {
			args[i] = strings.ReplaceAll(args[i], "$id", ids[words[0]])
		}
		switch words[1] {
		case "send":
			require.NoError(t, a.Send(args), at)
		case "close":
			require.NoError(t, a.Close(), at)
		case "expect", "await":
			rest := func() {}
			if words[1] == "await" {
				rest = moveOn(clk)
			}
			got, err := a.Receive()
			rest()
			require.NoError(t, err, at)
			require.True(t, match(args, got), "%s: got %q", at, got)
			if len(got) > 1 {
				ids[words[0]] = got[1]
			}
		default:
			require.Fail(t, "unknown verb", at)
		}
	}
}

// moveOn moves the clock on until rest is called. Guards against a test that moves it once, in the moment between an
// answer's last byte and the books of who sent it.
func moveOn(clk *clock.Clock) (rest func()) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				clk.Advance(50)
			}
		}
	}()
	return func() { close(stop); <-done }
}

func match(want, got []string) bool {
	if len(want) != len(got) {
		return false
	}
	for i := range want {
		// A slash is nothing special in a message.
		ok, err := path.Match(strings.ReplaceAll(want[i], "/", "|"), strings.ReplaceAll(got[i], "/", "|"))
		if err != nil || !ok {
			return false
		}
	}
	return true
}

type message struct {
	words []string
	from  net.Conn
}

// inbox collects messages in order.
type inbox chan message

func (in inbox) take() (message, error) {
	select {
	case m := <-in:
		return m, nil
	case <-time.After(patience):
		return message{}, fmt.Errorf("nothing came")
	}
}

// read puts a connection's frames into the inbox; empty parts show as "-".
func (in inbox) read(nc net.Conn) {
	buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buf.Next(nc)
		if err != nil {
			in <- message{words: []string{"closed"}, from: nc}
			return
		}
		m := message{from: nc}
		for _, p := range parts {
			if len(p) == 0 {
				p = []byte("-")
			}
			m.words = append(m.words, string(p))
		}
		in <- m
	}
}

// Client speaks RESP with a front.
type Client struct {
	nc net.Conn
	in inbox
}

// Dial connects a client.
func Dial(t *testing.T, addr string) *Client {
	nc, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	c := &Client{nc, make(inbox, 100)}
	go c.in.read(nc)
	return c
}

// Send writes one frame, or what encode makes of the words.
func (c *Client) Send(words []string) error {
	_, err := c.nc.Write(encode(words))
	return err
}

// encode makes one frame of the words; with the first word "raw" the bytes of the second, \r\n behind them;
// with "half" nothing is behind them.
func encode(words []string) []byte {
	if words[0] != "raw" && words[0] != "half" {
		return resp.AppendFrame(nil, words...)
	}
	b := []byte(strings.ReplaceAll(words[1], `\r\n`, "\r\n"))
	if words[0] == "raw" {
		b = append(b, "\r\n"...)
	}
	return b
}

// Receive implements Actor.
func (c *Client) Receive() ([]string, error) { m, err := c.in.take(); return m.words, err }

// TryReceive is Receive, but for a client that does not wait: without a message there are no words.
func (c *Client) TryReceive() ([]string, error) {
	select {
	case m := <-c.in:
		return m.words, nil
	default:
		return nil, nil
	}
}

// Close implements Actor.
func (c *Client) Close() error { return c.nc.Close() }

// Server stands in for a cache server, a parent or the origin.
type Server struct {
	ln    net.Listener
	in    inbox
	mu    sync.Mutex
	conns []net.Conn
	last  net.Conn
	by    map[string]net.Conn // where each id came
	first map[string]net.Conn // and where it came first
}

// Loopback is an address of this process's own, with a port from the kernel. Guards against another run of these tests that
// takes a port between its close and the next use: a connection that should be refused reached a stranger's stand-in.
func Loopback() string { return fmt.Sprintf("127.73.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255) }

// Listen starts a stand-in on a port from the kernel.
func Listen(t *testing.T) *Server {
	ln, err := net.Listen("tcp", Loopback())
	require.NoError(t, err)
	s := &Server{ln: ln, in: make(inbox, 100), by: map[string]net.Conn{}, first: map[string]net.Conn{}}
	t.Cleanup(func() { _ = s.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, nc)
			s.mu.Unlock()
			go s.in.read(nc)
		}
	}()
	return s
}

// ServeConnsInTurn serves each connection once, closes it, and returns where it listens.
func ServeConnsInTurn(t *testing.T, serve func(net.Conn)) string {
	ln, err := net.Listen("tcp", Loopback())
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			serve(nc)
			_ = nc.Close()
		}
	}()
	return ln.Addr().String()
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// Send writes to where the id came that it begins with, else to where the last message came from; with "at ID" before it, to
// where that id came first.
func (s *Server) Send(words []string) error {
	if words[0] == "at" {
		_, err := s.first[words[1]].Write(encode(words[2:]))
		return err
	}
	to := s.last
	if nc := s.by[words[0]]; nc != nil {
		to = nc
	}
	_, err := to.Write(encode(words))
	return err
}

// Receive implements Actor.
func (s *Server) Receive() ([]string, error) {
	m, err := s.in.take()
	s.last = m.from
	if len(m.words) > 1 {
		s.by[m.words[1]] = m.from
		if s.first[m.words[1]] == nil {
			s.first[m.words[1]] = m.from
		}
	}
	return m.words, err
}

// Close ends it as a process dies: its connections are reset.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, nc := range s.conns {
		_ = nc.(*net.TCPConn).SetLinger(0)
		_ = nc.Close()
	}
	_ = s.ln.Close()
	return nil
}

// Browser sends HTTP requests: "send METHOD PATH [NAME:VALUE...] [BODY]"; it expects "STATUS HEADERS BODY",
// with the headers as NAME:VALUE,... where they matter.
type Browser struct {
	base string
	in   inbox
	stop chan struct{}
}

// NewBrowser returns an HTTP client of base.
func NewBrowser(base string) *Browser { return &Browser{base, make(inbox, 100), make(chan struct{})} }

// Send implements Actor; the answer comes with Receive.
func (b *Browser) Send(words []string) error {
	var body string
	header := http.Header{}
	for _, w := range words[2:] {
		if name, value, ok := strings.Cut(w, ":"); ok {
			header.Set(name, strings.ReplaceAll(value, "+", " "))
		} else {
			body = w
		}
	}
	r, err := http.NewRequest(words[0], b.base+words[1], bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	r.Header = header
	ctx, cancel := context.WithCancel(r.Context())
	r = r.WithContext(ctx)
	go func() { <-b.stop; cancel() }()
	go func() {
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			b.in <- message{words: []string{"closed"}}
			return
		}
		defer a.Body.Close()
		text, _ := io.ReadAll(a.Body)
		after := "-"
		if s := a.Header.Get("Retry-After"); s != "" {
			after = "Retry-After:" + s
		}
		b.in <- message{words: append([]string{fmt.Sprint(a.StatusCode), after}, strings.Fields(string(text))...)}
	}()
	return nil
}

// Receive implements Actor.
func (b *Browser) Receive() ([]string, error) { m, err := b.in.take(); return m.words, err }

// Close breaks off what is open.
func (b *Browser) Close() error { close(b.stop); return nil }
