package hollow

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// raftSizes are the numbers of bytes that hashicorp/raft's transport writes for a message.
type raftSizes struct {
	request  int // for a request without entries, as a heartbeat is
	entry    int // for an entry in a request, beside its data
	response int
}

// Values in the measured messages. The length of their encoding depends on the size of the numbers, which are as large as in a
// store that has run for a long time.
const (
	sampleIndex = 1 << 30
	sampleTerm  = 7
	sampleData  = 40 // bytes of an entry
)

// pipeLayer is a raft.StreamLayer in memory: Accept returns the other end of each dialled connection. It counts the bytes written.
type pipeLayer struct {
	conns         chan net.Conn
	requestBytes  *atomic.Int64 // by the side that dials
	responseBytes *atomic.Int64 // by the side that accepts
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
	dialled, accepted := net.Pipe()
	p.conns <- countingConn{accepted, p.responseBytes}
	return countingConn{dialled, p.requestBytes}, nil
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

// measureRaftSizes measures the sizes of messages that raft's transport sends over a connection in memory.
func measureRaftSizes() raftSizes {
	layer := pipeLayer{make(chan net.Conn, 4), &atomic.Int64{}, &atomic.Int64{}}
	transport := raft.NewNetworkTransport(layer, 1, time.Minute, io.Discard)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		respond(transport, stop)
	}()
	var sizes raftSizes
	sizes.request, sizes.response = layer.measure(transport, 0)
	withEntry, _ := layer.measure(transport, 1)
	sizes.entry = withEntry - sizes.request - sampleData
	close(stop)
	<-done
	_ = transport.Close() // an error does not matter, as nothing is left to send
	return sizes
}

// respond answers every request, until stop is closed.
func respond(transport *raft.NetworkTransport, stop <-chan struct{}) {
	for {
		select {
		case request := <-transport.Consumer():
			request.Respond(&raft.AppendEntriesResponse{Term: sampleTerm, LastLog: sampleIndex, Success: true}, nil)
		case <-stop:
			return
		}
	}
}

// measure sends one request with the given number of entries, and returns the sizes in bytes of the request and of its response.
func (p pipeLayer) measure(transport *raft.NetworkTransport, entries int) (request, response int) {
	requestBefore, responseBefore := p.requestBytes.Load(), p.responseBytes.Load()
	message := raft.AppendEntriesRequest{
		RPCHeader:         raft.RPCHeader{ProtocolVersion: raft.ProtocolVersionMax, ID: []byte("store-1"), Addr: []byte("10.11.12.13:7100")},
		Term:              sampleTerm,
		PrevLogEntry:      sampleIndex,
		PrevLogTerm:       sampleTerm,
		LeaderCommitIndex: sampleIndex,
	}
	for range entries {
		message.Entries = append(message.Entries, &raft.Log{
			Index: sampleIndex, Term: sampleTerm, Type: raft.LogCommand, Data: make([]byte, sampleData),
			AppendedAt: time.Unix(1_800_000_000, 123_456_789).UTC(),
		})
	}
	var appendResponse raft.AppendEntriesResponse
	if err := transport.AppendEntries("store-2", "10.11.12.14:7100", &message, &appendResponse); err != nil {
		panic(fmt.Sprintf("hollow: measuring the size of Raft messages: %v", err))
	}
	return int(p.requestBytes.Load() - requestBefore), int(p.responseBytes.Load() - responseBefore)
}
