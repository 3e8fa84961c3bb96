package scenario

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Server is a stand-in for a cache server, a parent or the origin.
type Server struct {
	listener net.Listener
	inbox    inbox

	mu    sync.Mutex
	conns []net.Conn

	// Of the test's goroutine alone.
	lastConn      net.Conn            // of the last message
	lastConnByID  map[string]net.Conn // of the last message with each id
	firstConnByID map[string]net.Conn // of the first message with each id
}

// Loopback is an address to listen on: of this process's own, so that no other run of these tests takes a port between its close and its
// next use, with a port from the kernel.
func Loopback() string { return fmt.Sprintf("127.73.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255) }

// Listen starts a stand-in, until the test ends.
func Listen(t *testing.T) *Server {
	listener, err := net.Listen("tcp", Loopback())
	require.NoError(t, err)
	s := &Server{listener: listener, inbox: newInbox(), lastConnByID: map[string]net.Conn{}, firstConnByID: map[string]net.Conn{}}
	t.Cleanup(func() { _ = s.Close() })
	go s.accept()
	return s
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		go s.inbox.readFrames(conn)
	}
}

// ServeConnsInTurn serves one connection after the other, each until serve returns, until the test ends. It returns its address.
func ServeConnsInTurn(t *testing.T, serve func(net.Conn)) string {
	listener, err := net.Listen("tcp", Loopback())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn)
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// Addr is the stand-in's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Send writes the words as encode has them. The first word is the id of a message, and the words are written to the connection that this
// message arrived on last; if there was none, to the connection of the last message. With "on-conn-of ID" before the words, they are written
// to the connection that a message with this id arrived on first.
func (s *Server) Send(words []string) error {
	if words[0] == "on-conn-of" {
		_, err := s.firstConnByID[words[1]].Write(encode(words[2:]))
		return err
	}
	conn := s.lastConn
	if known := s.lastConnByID[words[0]]; known != nil {
		conn = known
	}
	_, err := conn.Write(encode(words))
	return err
}

// Receive implements Actor.
func (s *Server) Receive() ([]string, error) {
	m, err := s.inbox.next()
	s.lastConn = m.from
	if len(m.words) > 1 {
		id := m.words[1]
		s.lastConnByID[id] = m.from
		if s.firstConnByID[id] == nil {
			s.firstConnByID[id] = m.from
		}
	}
	return m.words, err
}

// Close ends the stand-in as a process that is killed: its connections are reset.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	_ = s.listener.Close()
	return nil
}
