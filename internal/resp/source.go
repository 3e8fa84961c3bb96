package resp

import (
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Chunks are buffers of one size that connections share. A connection has one only while it has bytes to read.
type Chunks struct {
	size int
	pool sync.Pool
}

// NewChunks returns buffers of a size in bytes. The size is how much of a connection is read and handled at a time.
func NewChunks(size int) *Chunks { return &Chunks{size: size} }

func (c *Chunks) get() *[]byte {
	if chunk, ok := c.pool.Get().(*[]byte); ok {
		return chunk
	}
	chunk := make([]byte, c.size)
	return &chunk
}

// Source reads a connection. While it waits for bytes it holds no buffer.
type Source struct {
	conn    net.Conn
	chunks  *Chunks
	use     func(chunk []byte) error
	raw     syscall.RawConn // nil: the connection has no socket
	isReady func(fd uintptr) bool
	polled  [1]unix.PollFd
	behind  bool
}

// NewSource returns a source that passes the bytes of a connection to use, a chunk at a time. The bytes are valid until use returns.
func NewSource(conn net.Conn, chunks *Chunks, use func(chunk []byte) error) *Source {
	s := &Source{conn: conn, chunks: chunks, use: use}
	if socket, ok := conn.(syscall.Conn); ok {
		s.raw, _ = socket.SyscallConn()
	}
	s.isReady = s.poll
	return s
}

// Read waits until the connection has bytes, and passes them on. The error is that of the connection or of use.
func (s *Source) Read() error {
	s.Await()
	return s.readChunk(s.use)
}

// ReadChunk is Read without the wait, for a caller that has called Await.
func (s *Source) ReadChunk() error { return s.readChunk(s.use) }

// Discard waits until the connection has bytes, and drops them.
func (s *Source) Discard() error {
	s.Await()
	return s.readChunk(func([]byte) error { return nil })
}

// IsBehind reports whether the last read has filled a chunk, so that more bytes are probably waiting.
func (s *Source) IsBehind() bool { return s.behind }

func (s *Source) readChunk(use func(chunk []byte) error) error {
	chunk := s.chunks.get()
	defer s.chunks.pool.Put(chunk)
	n, err := s.conn.Read(*chunk)
	s.behind = n == len(*chunk)
	if n > 0 {
		if useErr := use((*chunk)[:n]); useErr != nil {
			return useErr
		}
	}
	return err
}

// Await returns when the connection has bytes, has ended, or its read deadline has passed. An error shows again when the
// connection is read. ready is whether a read will return at once.
func (s *Source) Await() (ready bool) { return s.raw != nil && s.raw.Read(s.isReady) == nil }

// poll reports whether a read of the socket would not block. If it can't tell, the read itself waits.
func (s *Source) poll(fd uintptr) (ready bool) {
	s.polled[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
	n, err := unix.Poll(s.polled[:], 0)
	return n > 0 || err != nil
}
