package scenario

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Server is a fake cache server, parent or origin.
type Server struct {
	listener net.Listener
	inbox    inbox

	mu    sync.Mutex
	conns []net.Conn

	// Used by the test's goroutine only.
	lastConn      net.Conn            // of the last message received
	lastConnByID  map[string]net.Conn // by id: of the last message with that id
	firstConnByID map[string]net.Conn // by id: of the first message with that id
}

// Loopback returns an address to listen on: a loopback IP of this process's own and a port that the kernel chooses. Another run of
// these tests has another IP, so it cannot take a port between its close and its next use.
func Loopback() string { return fmt.Sprintf("127.73.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255) }

// Listen starts a fake server that runs until the test ends.
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

// ServeConnsInTurn listens until the test ends and serves one connection after another, each until serve returns. It returns the
// address.
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

// Addr returns the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Send writes words, encoded by encode. The first word is the id of a message, and the words are written to the connection on which
// a message with this id arrived last, or, if there was none, on which the last message arrived. With "on-conn-of ID" before the
// words, they are written to the connection on which a message with that ID arrived first.
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
	s.lastConn = m.conn
	if len(m.words) > 1 {
		id := m.words[1]
		s.lastConnByID[id] = m.conn
		if s.firstConnByID[id] == nil {
			s.firstConnByID[id] = m.conn
		}
	}
	return m.words, err
}

// Close ends the server like a process that is killed: its connections are reset.
func (s *Server) Close() error {
	s.ResetConns()
	_ = s.listener.Close()
	return nil
}

// ResetConns resets the server's connections. It goes on accepting new ones.
func (s *Server) ResetConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	s.conns = nil
}
