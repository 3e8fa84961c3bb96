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
	request int // of a request without entries: a heartbeat
	entry   int // that an entry adds beside its data
	answer  int
}

// pipes is a stream layer without sockets: what is dialled comes out of Accept.
type pipes struct {
	conns   chan net.Conn
	written *atomic.Int64 // by who dials
	answers *atomic.Int64 // by who accepts
}

type counted struct {
	net.Conn
	n *atomic.Int64
}

// Write implements net.Conn.
func (c counted) Write(b []byte) (int, error) {
	c.n.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Dial implements raft.StreamLayer.
func (p pipes) Dial(raft.ServerAddress, time.Duration) (net.Conn, error) {
	a, b := net.Pipe()
	p.conns <- counted{b, p.answers}
	return counted{a, p.written}, nil
}

// Accept implements net.Listener.
func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (p pipes) Close() error { close(p.conns); return nil }

// Addr implements net.Listener.
func (p pipes) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 11, 12, 13), Port: 7100} }

// measureRaft has the real transport send requests through a pipe.
func measureRaft() raftSizes {
	layer := pipes{make(chan net.Conn, 4), &atomic.Int64{}, &atomic.Int64{}}
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
		wrote, answered := layer.written.Load(), layer.answers.Load()
		r := raft.AppendEntriesRequest{RPCHeader: header, Term: 7, PrevLogEntry: 1 << 30, PrevLogTerm: 7, LeaderCommitIndex: 1 << 30}
		for range entries {
			at := time.Unix(1_800_000_000, 123_456_789).UTC()
			r.Entries = append(r.Entries, &raft.Log{Index: 1 << 30, Term: 7, Type: raft.LogCommand, Data: make([]byte, 40), AppendedAt: at})
		}
		var answer raft.AppendEntriesResponse
		if err := t.AppendEntries("store-2", "10.11.12.14:7100", &r, &answer); err != nil {
			panic(err) // through memory alone
		}
		return int(layer.written.Load() - wrote), int(layer.answers.Load() - answered)
	}
	var s raftSizes
	s.request, s.answer = size(0)
	one, _ := size(1)
	s.entry = one - s.request - 40
	close(stop)
	<-done
	_ = t.Close()
	return s
}
