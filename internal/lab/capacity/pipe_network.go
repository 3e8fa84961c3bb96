package capacity

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// errPipeClosed means that the other end is closed, or accepted no connection within the timeout.
var errPipeClosed = errors.New("capacity: pipe end is closed or accepted no connection in time")

// pipeNetwork connects raft members in memory. It holds each member's end by address.
type pipeNetwork map[raft.ServerAddress]*pipeEnd

// pipeEnd is the raft.StreamLayer of one member.
type pipeEnd struct {
	network  pipeNetwork
	addr     raft.ServerAddress
	incoming chan net.Conn
	closed   chan struct{}
	written  *atomic.Int64 // bytes on the connections that this end dialled
	read     *atomic.Int64 // bytes on the connections that this end dialled
}

func (p pipeNetwork) add(addr raft.ServerAddress) *pipeEnd {
	end := &pipeEnd{
		network: p, addr: addr, incoming: make(chan net.Conn), closed: make(chan struct{}),
		written: &atomic.Int64{}, read: &atomic.Int64{},
	}
	p[addr] = end
	return end
}

// Dial implements raft.StreamLayer.
func (e *pipeEnd) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	local, remote := net.Pipe()
	select {
	case e.network[addr].incoming <- remote:
		return countingConn{Conn: local, read: e.read, written: e.written}, nil
	case <-e.network[addr].closed:
		return nil, errPipeClosed
	case <-time.After(timeout):
		return nil, errPipeClosed
	}
}

// Accept implements net.Listener.
func (e *pipeEnd) Accept() (net.Conn, error) {
	select {
	case c := <-e.incoming:
		return c, nil
	case <-e.closed:
		return nil, errPipeClosed
	}
}

// Close implements net.Listener.
func (e *pipeEnd) Close() error {
	close(e.closed)
	return nil
}

// Addr implements net.Listener.
func (e *pipeEnd) Addr() net.Addr { return pipeAddr(e.addr) }

type pipeAddr string

// Network implements net.Addr.
func (pipeAddr) Network() string { return "pipe" }

// String implements net.Addr.
func (a pipeAddr) String() string { return string(a) }
