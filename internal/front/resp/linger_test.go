package resp

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
)

// late is a connection on which a frame arrives between the decision to close it and the close.
type late struct {
	net.Conn
	frame *strings.Reader
}

func (l late) Read(p []byte) (int, error) { return l.frame.Read(p) }
func (late) Close() error                 { return nil }

// counter is a core that counts unanswered connections.
type counter struct {
	RequestHandler
	unanswered int
}

func (c *counter) CountUnansweredConn() { c.unanswered++ }

// A request that crosses the close of its connection is dropped: its answer would be lost.
func TestRequestBehindLingerIsDropped(t *testing.T) {
	clk := clock.Manual(0)
	n := &counter{}
	f := &Front{clock: clk, handler: n, conns: map[*conn]struct{}{}}
	f.maxConns.Store(1)
	g, ok := f.admit(late{frame: strings.NewReader("*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n")})
	require.True(t, ok)
	_, ok = f.admit(late{})
	require.True(t, ok, "the first one is closed for it")
	_, err := g.Read(make([]byte, 99))
	require.ErrorIs(t, err, net.ErrClosed)
	require.Equal(t, 1, n.unanswered)
}

// tcpPair is both ends of a connection.
func tcpPair(t *testing.T) (ours, theirs *net.TCPConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	got, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { nc.Close(); got.Close() })
	return got.(*net.TCPConn), nc.(*net.TCPConn)
}

// As the listener closes, redcon closes all connections that it holds. One whose first frame has just arrived stays open; one without
// any frame ends in order, and a request that arrives then is dropped.
func TestListenerCloseKeepsFirstFrame(t *testing.T) {
	const frame = "*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n"
	for _, asked := range []bool{true, false} {
		clk := clock.Manual(0)
		f := &Front{clock: clk, handler: &counter{}, conns: map[*conn]struct{}{}}
		f.maxConns.Store(10)
		ours, theirs := tcpPair(t)
		g, ok := f.admit(ours)
		require.True(t, ok)
		if asked {
			_, err := theirs.Write([]byte(frame))
			require.NoError(t, err)
			_, err = g.Read(make([]byte, 99))
			require.NoError(t, err)
		}
		if !asked {
			require.NoError(t, g.Close())
			require.Equal(t, 1, f.OpenConns(), "it was accepted just now")
			clk.Advance(newConnGrace)
		}
		require.NoError(t, g.Close())
		if asked {
			for range 20 {
				time.Sleep(time.Millisecond) // a close would be in progress
				require.Equal(t, 1, f.OpenConns())
			}
			_, err := g.Write([]byte("x"))
			require.NoError(t, err, "its answer can be written")
			n, err := theirs.Read(make([]byte, 9))
			require.NoError(t, err)
			require.Equal(t, 1, n)
			continue
		}
		_, err := theirs.Read(make([]byte, 9))
		require.ErrorIs(t, err, io.EOF)
		_, err = theirs.Write([]byte(frame))
		require.NoError(t, err)
		require.NoError(t, theirs.CloseWrite())
		_, err = g.Read(make([]byte, 99))
		require.ErrorIs(t, err, net.ErrClosed)
		require.NoError(t, g.Close())
		require.Eventually(t, func() bool { return f.OpenConns() == 0 }, time.Minute, time.Millisecond)
	}
}

// stubborn is a connection whose client never closes it. held counts open ones.
type stubborn struct {
	net.Conn
	held *atomic.Int64
	gone sync.Once
}

func (*stubborn) CloseWrite() error { return nil }

func (s *stubborn) Close() error {
	s.gone.Do(func() { s.held.Add(-1) })
	return nil
}

// Connections arrive faster than any other goroutine runs, and no client closes its own: each one is admitted only once the socket of
// the evicted one is closed.
func TestCrowdStaysWithinSlots(t *testing.T) {
	const most = 16
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	f := &Front{clock: clock.Manual(0), handler: &counter{}, conns: map[*conn]struct{}{}}
	f.maxConns.Store(most)
	var held atomic.Int64
	worst := int64(0)
	for range 1000 {
		held.Add(1)
		_, ok := f.admit(&stubborn{held: &held})
		require.True(t, ok)
		worst = max(worst, held.Load())
	}
	require.LessOrEqual(t, worst, int64(most+1+most/lingeringDivisor))
	require.EqualValues(t, worst, f.OpenConns())
}

// Nothing is accepted while the socket of an evicted connection is open, however late the goroutine runs that closes it.
func TestAcceptWaitsForEvictedSockets(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	f := New(ln, 1, clock.Manual(0), &counter{})
	g := &conn{Conn: late{}, front: f}
	f.mu.Lock()
	f.conns[g] = struct{}{}
	require.True(t, g.release())
	f.evicted = append(f.evicted, g)
	f.mu.Unlock()
	accepts := make(chan struct{})
	go func() { f.awaitEvictedClosed(); close(accepts) }()
	for range 100 {
		runtime.Gosched()
	}
	select {
	case <-accepts:
		require.Fail(t, "accepted while an evicted connection has a descriptor")
	default:
	}
	f.closeEvicted()
	<-accepts
}

// All connections linger at once, as the proxy drains, and nobody needs their slots: none is evicted.
func TestDrainEvictsNoLingeringConnection(t *testing.T) {
	const most = 16
	f := &Front{clock: clock.Manual(0), handler: &counter{}, conns: map[*conn]struct{}{}}
	f.maxConns.Store(most)
	var held atomic.Int64
	for range most {
		held.Add(1)
		_, ok := f.admit(&stubborn{held: &held})
		require.True(t, ok)
	}
	f.mu.Lock()
	for g := range f.conns {
		require.True(t, g.beginLinger())
		f.linger(g)
	}
	f.mu.Unlock()
	f.closeEvicted()
	require.EqualValues(t, most, held.Load())
	require.Len(t, f.lingering, most)
}
