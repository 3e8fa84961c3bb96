package resp_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ravenwheel/internal/core"
	"ravenwheel/internal/front/resp"
	frames "ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
)

// answersAtOnce is a core that answers each request with the largest object, and counts them.
type answersAtOnce struct {
	resp.RequestHandler
	answered atomic.Int64
}

func (a *answersAtOnce) Do(context.Context, core.Request) core.Answer {
	a.answered.Add(1)
	return core.Answer{Verdict: core.Served, Body: []byte(strings.Repeat("x", 240_000))}
}

// small accepts connections, the first of which has a socket that holds little, and counts the writes on that one that have
// begun and not ended.
type small struct {
	*net.TCPListener
	accepted bool
	writing  atomic.Int64
}

type smallConn struct {
	*net.TCPConn
	writing *atomic.Int64
}

func (s *small) Accept() (net.Conn, error) {
	nc, err := s.AcceptTCP()
	if err != nil || s.accepted {
		return nc, err
	}
	s.accepted = true
	return smallConn{nc, &s.writing}, nc.SetWriteBuffer(1 << 14)
}

func (c smallConn) Write(b []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	return c.TCPConn.Write(b)
}

// narrowReads lets a socket hold little of what its owner has not read; it has to be set before it is connected.
func narrowReads(_, _ string, raw syscall.RawConn) (err error) {
	failed := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1<<14) })
	return errors.Join(err, failed)
}

// takesNothing is a front with two clients: one that reads nothing, whose first answer is blocked, more than the sockets
// between hold; and another.
type takesNothing struct {
	t       *testing.T
	proxy   *scenario.Proxy
	front   *resp.Front
	core    *answersAtOnce
	blocked net.Conn
	other   *scenario.Client
	asked   int
}

func newTakesNothing(t *testing.T) *takesNothing {
	p := scenario.NewProxy(t)
	ln, err := net.Listen("tcp", scenario.Loopback())
	require.NoError(t, err)
	x := &takesNothing{t: t, proxy: p, core: &answersAtOnce{RequestHandler: p.Core}}
	narrow := &small{TCPListener: ln.(*net.TCPListener)}
	x.front = resp.New(narrow, 20, p.Clock, x.core)
	go func() { _ = x.front.Serve() }()
	t.Cleanup(func() { _ = x.front.Close() })
	dial := net.Dialer{Control: narrowReads}
	x.blocked, err = dial.Dial("tcp", x.front.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { x.blocked.Close() })
	x.askBlocked()
	require.Eventually(t, func() bool { return narrow.writing.Load() == 1 }, time.Minute, time.Millisecond)
	x.other = scenario.Dial(t, x.front.Addr())
	require.Eventually(t, func() bool { return x.front.OpenConns() == 2 }, time.Minute, time.Millisecond)
	return x
}

// askBlocked sends a request of the client that reads nothing, and waits until it is answered.
func (x *takesNothing) askBlocked() {
	x.asked++
	was := x.core.answered.Load()
	_, err := x.blocked.Write(frames.AppendFrame(nil, call(x.asked)...))
	require.NoError(x.t, err)
	require.Eventually(x.t, func() bool { return x.core.answered.Load() > was }, time.Minute, 100*time.Microsecond)
}

// askOther asks for the other client, which is answered while the first one blocks.
func (x *takesNothing) askOther() {
	x.asked++
	require.NoError(x.t, x.other.Send(call(x.asked)))
	words, err := x.other.Receive()
	require.NoError(x.t, err)
	require.Equal(x.t, []string{fmt.Sprint(x.asked), "ok"}, words[:2])
	require.Len(x.t, words[3], 240_000)
}

func call(n int) []string {
	return []string{"RPC.CALL", fmt.Sprint(n), "asset", fmt.Sprintf("rid=%016x,budget=2500,obj=%016x,nth=0,batch=17", n, n)}
}

// A client takes nothing of its answer for 10 s: it is cut off then and not before, and can tell that its answer is not
// whole. Others are answered all the time.
func TestClientTakesNothing(t *testing.T) {
	x := newTakesNothing(t)
	for range 39 {
		x.proxy.Clock.Advance(250)
		x.askOther()
		require.Equal(t, 2, x.front.OpenConns(), "it has its 10 s")
	}
	x.proxy.Clock.Advance(500)
	require.Eventually(t, func() bool { return x.front.OpenConns() == 1 && x.front.Idle() }, time.Minute, time.Millisecond)
	x.askOther()
	_, _, err := (&frames.Buffer{MaxFrameSize: frames.MaxResponseSize}).Next(x.blocked)
	require.Error(t, err)
}

// A client takes nothing and asks on: once it is owed more than a full connection may be, it is cut off while the clock
// stands, and others are answered all the time.
func TestClientIsOwedTooMuch(t *testing.T) {
	const room = 33 // answers that may wait: the last of them goes over what a full connection may be owed
	x := newTakesNothing(t)
	for range room - 1 {
		x.askBlocked()
		x.askOther()
		require.Equal(t, 2, x.front.OpenConns(), "it may be owed so much")
	}
	x.askBlocked()
	require.Eventually(t, func() bool { return x.front.OpenConns() == 1 && x.front.Idle() }, time.Minute, time.Millisecond)
	x.askOther()
}
