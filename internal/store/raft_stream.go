package store

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ravenwheel/internal/memory"
)

const (
	// raftStreamBytes is what raft needs in bytes for a stream that it has accepted: its read buffer.
	raftStreamBytes = 256 << 10
	// raftStreamIdle is how long nothing must have been read from a stream that makes room for another one. A leader sends heartbeats
	// far more often; the streams of an earlier leader stay silent.
	raftStreamIdle = 3 * time.Second
)

// raftStreams are the streams that raft has accepted, and their memory.
type raftStreams struct {
	memory *memory.Account // nil: not limited
	idle   time.Duration   // see raftStreamIdle

	mu      sync.Mutex
	streams map[*raftStream]struct{}
}

// raftStream is an accepted stream of raft.
type raftStream struct {
	net.Conn
	lastRead  atomic.Int64 // Unix ns
	closeOnce func()       // closes the connection, and ends the reservation of its memory
}

func newRaftStreams(account *memory.Account, idle time.Duration) *raftStreams {
	return &raftStreams{memory: account, idle: idle, streams: map[*raftStream]struct{}{}}
}

// admit returns the stream of an accepted connection, which closeConn closes. If there is no memory for it, the streams that are idle
// make room, the one that was read longest ago first. ok is false if none is left.
func (s *raftStreams) admit(conn net.Conn, closeConn func()) (stream *raftStream, ok bool) {
	for !s.memory.TryReserve(memory.Services, raftStreamBytes) {
		if !s.closeIdle() {
			return nil, false
		}
	}
	stream = &raftStream{Conn: conn}
	stream.lastRead.Store(time.Now().UnixNano())
	stream.closeOnce = sync.OnceFunc(func() {
		closeConn()
		s.mu.Lock()
		delete(s.streams, stream)
		s.mu.Unlock()
		s.memory.Release(memory.Services, raftStreamBytes)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = struct{}{}
	return stream, true
}

// closeIdle closes the idle stream that was read longest ago, and reports whether there was one.
func (s *raftStreams) closeIdle() (closed bool) {
	var oldest *raftStream
	s.mu.Lock()
	for stream := range s.streams {
		if oldest == nil || stream.lastRead.Load() < oldest.lastRead.Load() {
			oldest = stream
		}
	}
	s.mu.Unlock()
	if oldest == nil || time.Since(time.Unix(0, oldest.lastRead.Load())) < s.idle {
		return false
	}
	oldest.closeOnce()
	return true
}

// Read implements net.Conn.
func (s *raftStream) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	s.lastRead.Store(time.Now().UnixNano())
	return n, err
}

// Close implements net.Conn.
func (s *raftStream) Close() error {
	s.closeOnce()
	return nil
}
