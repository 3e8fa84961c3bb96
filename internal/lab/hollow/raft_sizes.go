package hollow

import (
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// raftSizes are bytes that hashicorp/raft's own transport writes.
type raftSizes struct {
	request  int // of a request without entries: a heartbeat
	entry    int // that an entry adds beside its data
	response int
}

// pipes is a stream layer without sockets: what is dialled comes out of Accept.
type pipeLayer struct {
	conns         chan net.Conn
	requestBytes  *atomic.Int64 // by who dials
	responseBytes *atomic.Int64 // by who accepts
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Dial implements raft.StreamLayer.
func (p pipeLayer) Dial(raft.ServerAddress, time.Duration) (net.Conn, error) {
	a, b := net.Pipe()
	p.conns <- countingConn{b, p.responseBytes}
	return countingConn{a, p.requestBytes}, nil
}

// Accept implements net.Listener.
func (p pipeLayer) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (p pipeLayer) Close() error { close(p.conns); return nil }

// Addr implements net.Listener.
func (p pipeLayer) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 11, 12, 13), Port: 7100} }

// measureRaft has the real transport send requests through a pipe.
func measureRaftSizes() raftSizes {
	layer := pipeLayer{make(chan net.Conn, 4), &atomic.Int64{}, &atomic.Int64{}}
	t := raft.NewNetworkTransport(layer, 1, time.Minute, io.Discard)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case r := <-t.Consumer():
				r.Respond(&raft.AppendEntriesResponse{Term: 7, LastLog: 1 << 30, Success: true}, nil)
			case <-stop:
				return
			}
		}
	}()
	header := raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("store-1"), Addr: []byte("10.11.12.13:7100")}
	size := func(entries int) (int, int) {
		wrote, answered := layer.requestBytes.Load(), layer.responseBytes.Load()
		r := raft.AppendEntriesRequest{RPCHeader: header, Term: 7, PrevLogEntry: 1 << 30, PrevLogTerm: 7, LeaderCommitIndex: 1 << 30}
		for range entries {
			at := time.Unix(1_800_000_000, 123_456_789).UTC()
			r.Entries = append(r.Entries, &raft.Log{Index: 1 << 30, Term: 7, Type: raft.LogCommand, Data: make([]byte, 40), AppendedAt: at})
		}
		var answer raft.AppendEntriesResponse
		if err := t.AppendEntries("store-2", "10.11.12.14:7100", &r, &answer); err != nil {
			panic(err) // through memory alone
		}
		return int(layer.requestBytes.Load() - wrote), int(layer.responseBytes.Load() - answered)
	}
	var s raftSizes
	s.request, s.response = size(0)
	one, _ := size(1)
	s.entry = one - s.request - 40
	close(stop)
	<-done
	_ = t.Close()
	return s
}
