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

// immediate is a core that answers each request at once with the largest object, and counts them.
type immediate struct {
	resp.RequestHandler
	answered atomic.Int64
}

func (a *immediate) Do(context.Context, core.Request) core.Answer {
	a.answered.Add(1)
	return core.Answer{Verdict: core.Served, Body: []byte(strings.Repeat("x", 240_000))}
}

// smallBuffer accepts connections, the first of which has a small send buffer, and counts the writes on that one that are in
// progress.
type smallBuffer struct {
	*net.TCPListener
	accepted bool
	writing  atomic.Int64
}

type smallBufferConn struct {
	*net.TCPConn
	writing *atomic.Int64
}

func (s *smallBuffer) Accept() (net.Conn, error) {
	nc, err := s.AcceptTCP()
	if err != nil || s.accepted {
		return nc, err
	}
	s.accepted = true
	return smallBufferConn{nc, &s.writing}, nc.SetWriteBuffer(1 << 14)
}

func (c smallBufferConn) Write(b []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	return c.TCPConn.Write(b)
}

// smallReceiveBuffer gives a socket a small receive buffer; it has to be set before it is connected.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) (err error) {
	failed := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1<<14) })
	return errors.Join(err, failed)
}

// blockedClient is a front with two clients: one that reads nothing, whose first answer blocks as it is larger than the buffers of the
// sockets; and another.
type blockedClient struct {
	t       *testing.T
	proxy   *scenario.Proxy
	front   *resp.Front
	core    *immediate
	blocked net.Conn
	other   *scenario.Client
	asked   int
}

func newBlockedClient(t *testing.T) *blockedClient {
	p := scenario.NewProxy(t)
	ln, err := net.Listen("tcp", scenario.Loopback())
	require.NoError(t, err)
	x := &blockedClient{t: t, proxy: p, core: &immediate{RequestHandler: p.Core}}
	narrow := &smallBuffer{TCPListener: ln.(*net.TCPListener)}
	x.front = resp.New(narrow, 20, p.Clock, x.core)
	go func() { _ = x.front.Serve() }()
	t.Cleanup(func() { _ = x.front.Close() })
	dial := net.Dialer{Control: smallReceiveBuffer}
	x.blocked, err = dial.Dial("tcp", x.front.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { x.blocked.Close() })
	x.callBlocked()
	require.Eventually(t, func() bool { return narrow.writing.Load() == 1 }, time.Minute, time.Millisecond)
	x.other = scenario.Dial(t, x.front.Addr())
	require.Eventually(t, func() bool { return x.front.OpenConns() == 2 }, time.Minute, time.Millisecond)
	return x
}

// callBlocked sends a request of the client that reads nothing, and waits until it is answered.
func (x *blockedClient) callBlocked() {
	x.asked++
	was := x.core.answered.Load()
	_, err := x.blocked.Write(frames.AppendFrame(nil, call(x.asked)...))
	require.NoError(x.t, err)
	require.Eventually(x.t, func() bool { return x.core.answered.Load() > was }, time.Minute, 100*time.Microsecond)
}

// callOther sends a request of the other client, which is answered while the first one blocks.
func (x *blockedClient) callOther() {
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

// A client reads nothing of its answer for 10 s: it is disconnected then and not before, and can tell that its answer is
// incomplete. Others are answered all the time.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	x := newBlockedClient(t)
	for range 39 {
		x.proxy.Clock.Advance(250)
		x.callOther()
		require.Equal(t, 2, x.front.OpenConns(), "it has its 10 s")
	}
	x.proxy.Clock.Advance(500)
	require.Eventually(t, func() bool { return x.front.OpenConns() == 1 && x.front.Idle() }, time.Minute, time.Millisecond)
	x.callOther()
	_, _, err := (&frames.Buffer{MaxFrameSize: frames.MaxResponseSize}).Next(x.blocked)
	require.Error(t, err)
}

// A client reads nothing and sends more requests: once more answers wait than a connection may have, it is disconnected while the
// clock stands. Others are answered all the time.
func TestClientWithTooManyUnreadAnswersIsDisconnected(t *testing.T) {
	const room = 33 // answers that may wait: the last one exceeds the bound of a connection
	x := newBlockedClient(t)
	for range room - 1 {
		x.callBlocked()
		x.callOther()
		require.Equal(t, 2, x.front.OpenConns(), "so many may wait")
	}
	x.callBlocked()
	require.Eventually(t, func() bool { return x.front.OpenConns() == 1 && x.front.Idle() }, time.Minute, time.Millisecond)
	x.callOther()
}
