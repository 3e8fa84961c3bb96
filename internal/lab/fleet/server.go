package fleet

import (
	"net"
	"sync"

	"ravenwheel/policy"
)

// Server is a stand-in for a cache server, a parent or the origin.
type Server struct {
	ID    policy.ServerID
	Role  Role
	fleet *Fleet
	ln    net.Listener

	mu       sync.Mutex
	conns    map[*conn]struct{}
	copies   map[partKey]*cachedCopy
	useCount int64
	fault    Fault
	inFlight int
	killed   bool
}

// Fault is an injected fault of a server. The zero value is a healthy server.
type Fault struct {
	Unresponsive bool    // the server receives requests and answers none
	Overloaded   bool    // the server rejects all requests as overloaded
	Failing      bool    // the server answers all requests with a failure
	ExtraLatency float64 // added to the delay of each answer, in ms
}

// Addr returns the address at which the server listens.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// SetFault injects a fault, or removes it with the zero value.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Kill ends the server as the kill of a process does: it closes the listener and resets the connections.
func (s *Server) Kill() {
	_ = s.ln.Close()
	s.mu.Lock()
	s.killed = true
	conns := s.conns
	s.conns = map[*conn]struct{}{}
	s.mu.Unlock()
	for c := range conns {
		_ = c.nc.(*net.TCPConn).SetLinger(0)
		_ = c.nc.Close()
	}
}

// Vanish ends the server as the loss of its machine does: nothing listens at its address, and its connections stay open and silent.
func (s *Server) Vanish() {
	s.SetFault(Fault{Unresponsive: true})
	_ = s.ln.Close()
}

// unreachable reports whether fills from this server fail because it was killed or is unresponsive.
func (s *Server) unreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed || s.fault.Unresponsive
}

// accept accepts connections until the listener closes.
func (s *Server) accept() {
	for {
		nc, err := s.ln.Accept()
		if err != nil {
			return
		}
		if c := s.addConn(nc); c != nil {
			go c.read()
			continue
		}
		nc.Close()
		return
	}
}

// addConn registers an accepted connection. It returns nil if the server was killed meanwhile.
func (s *Server) addConn(nc net.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return nil
	}
	c := &conn{server: s, nc: nc, cancels: map[string]func(){}}
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// beginRequest counts a request as in flight and returns the fault that applies to it.
func (s *Server) beginRequest() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	return s.fault
}

// endRequest counts a request as no longer in flight.
func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}
