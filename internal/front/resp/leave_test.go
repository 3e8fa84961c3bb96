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

// late is a connection on which a frame comes between the decision to close it and the close.
type late struct {
	net.Conn
	frame *strings.Reader
}

func (l late) Read(p []byte) (int, error) { return l.frame.Read(p) }
func (late) Close() error                 { return nil }

// counts is a core that is told of connections alone.
type counts struct {
	RequestHandler
	unanswered int
}

func (c *counts) CountUnansweredConn() { c.unanswered++ }

// A request that crosses the close of its connection is not lived: its answer would be lost.
func TestLeave(t *testing.T) {
	clk := clock.Manual(0)
	n := &counts{}
	f := &Front{clock: clk, core: n, conns: map[*guard]struct{}{}}
	f.most.Store(1)
	g, ok := f.admit(late{frame: strings.NewReader("*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n")})
	require.True(t, ok)
	_, ok = f.admit(late{})
	require.True(t, ok, "the first makes room")
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

// As the listener closes, redcon closes all connections that it holds. One whose first frame has just come, and whose request
// may be out by then, goes on; one that has not asked ends in order, and what it asks then is not lived.
func TestListenerClosesOverTheFirstFrame(t *testing.T) {
	const frame = "*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n"
	for _, asked := range []bool{true, false} {
		clk := clock.Manual(0)
		f := &Front{clock: clk, core: &counts{}, conns: map[*guard]struct{}{}}
		f.most.Store(10)
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
			require.Equal(t, 1, f.OpenConns(), "it was accepted a moment ago")
			clk.Advance(newFor)
		}
		require.NoError(t, g.Close())
		if asked {
			for range 20 {
				time.Sleep(time.Millisecond) // a close would be under way
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

// stays is a client that never ends its connection, of those that a front holds.
type stays struct {
	net.Conn
	held *atomic.Int64
	gone sync.Once
}

func (*stays) CloseWrite() error { return nil }

func (s *stays) Close() error {
	s.gone.Do(func() { s.held.Add(-1) })
	return nil
}

// A crowd comes faster than anything else in the process runs, and none of it ends by itself: each connection is accepted
// only once the socket of the one that made room for it is closed. Once the same one was cut off for many, and 1,000 that
// came at once were held, of 16 and 3.
func TestCrowdComesAtOnce(t *testing.T) {
	const most = 16
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	f := &Front{clock: clock.Manual(0), core: &counts{}, conns: map[*guard]struct{}{}}
	f.most.Store(most)
	var held atomic.Int64
	worst := int64(0)
	for range 1000 {
		held.Add(1)
		_, ok := f.admit(&stays{held: &held})
		require.True(t, ok)
		worst = max(worst, held.Load())
	}
	require.LessOrEqual(t, worst, int64(most+1+most/leavingShare))
	require.EqualValues(t, worst, f.OpenConns())
}

// A connection that is cut off has left the books, and the goroutine that is to close its socket is held back. Nothing is
// accepted until the socket is closed: a busy machine once held 503 descriptors, where 383 were computed.
func TestAcceptWaitsForCloses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	f := New(ln, 1, clock.Manual(0), &counts{})
	g := &guard{Conn: late{}, front: f}
	f.mu.Lock()
	f.conns[g] = struct{}{}
	require.True(t, g.forget())
	f.cut = append(f.cut, g)
	f.mu.Unlock()
	accepts := make(chan struct{})
	go func() { f.awaitCloses(); close(accepts) }()
	for range 100 {
		runtime.Gosched()
	}
	select {
	case <-accepts:
		require.Fail(t, "a descriptor more was taken while one is held beyond the books")
	default:
	}
	f.closeCut()
	<-accepts
}

// All connections leave at once, as the proxy is emptied, and nobody wants their places: none is cut off, or a request that
// crosses the end of its connection would be turned back unheard.
func TestManyLeaveAtOnce(t *testing.T) {
	const most = 16
	f := &Front{clock: clock.Manual(0), core: &counts{}, conns: map[*guard]struct{}{}}
	f.most.Store(most)
	var held atomic.Int64
	for range most {
		held.Add(1)
		_, ok := f.admit(&stays{held: &held})
		require.True(t, ok)
	}
	f.mu.Lock()
	for g := range f.conns {
		require.True(t, g.leave())
		f.end(g)
	}
	f.mu.Unlock()
	f.closeCut()
	require.EqualValues(t, most, held.Load())
	require.Len(t, f.leaving, most)
}
