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

// immediateHandler answers each request at once with an object of the largest size, and counts the requests.
type immediateHandler struct {
	resp.RequestHandler
	answered atomic.Int64
}

func (h *immediateHandler) Do(context.Context, core.Request) core.Answer {
	h.answered.Add(1)
	return core.Answer{Verdict: core.Served, Body: []byte(strings.Repeat("x", 240_000))}
}

// smallBufferListener gives the first connection that it accepts a small send buffer, and counts the writes in progress on that
// connection.
type smallBufferListener struct {
	*net.TCPListener
	accepted bool
	writing  atomic.Int64
}

type smallBufferConn struct {
	*net.TCPConn
	writing *atomic.Int64
}

func (s *smallBufferListener) Accept() (net.Conn, error) {
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

// smallReceiveBuffer gives a socket a small receive buffer, which has to be set before the socket is connected.
func smallReceiveBuffer(_, _ string, raw syscall.RawConn) (err error) {
	failed := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 1<<14) })
	return errors.Join(err, failed)
}

// blockedClientHarness is a front with two clients. The first one reads nothing, and its first answer blocks because it is larger
// than the buffers of the sockets.
type blockedClientHarness struct {
	t       *testing.T
	proxy   *scenario.Proxy
	front   *resp.Front
	handler *immediateHandler
	blocked net.Conn
	other   *scenario.Client
	lastTag int
}

func newBlockedClientHarness(t *testing.T) *blockedClientHarness {
	p := scenario.NewProxy(t)
	ln, err := net.Listen("tcp", scenario.Loopback())
	require.NoError(t, err)
	h := &blockedClientHarness{t: t, proxy: p, handler: &immediateHandler{RequestHandler: p.Core}}
	listener := &smallBufferListener{TCPListener: ln.(*net.TCPListener)}
	h.front = resp.New(listener, 20, p.Clock, h.handler)
	go func() { _ = h.front.Serve() }()
	t.Cleanup(func() { _ = h.front.Close() })
	dial := net.Dialer{Control: smallReceiveBuffer}
	h.blocked, err = dial.Dial("tcp", h.front.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { h.blocked.Close() })
	h.callBlocked()
	require.Eventually(t, func() bool { return listener.writing.Load() == 1 }, time.Minute, time.Millisecond)
	h.other = scenario.Dial(t, h.front.Addr())
	require.Eventually(t, func() bool { return h.front.OpenConns() == 2 }, time.Minute, time.Millisecond)
	return h
}

// callBlocked sends a request of the client that reads nothing, and waits until the handler has answered it.
func (h *blockedClientHarness) callBlocked() {
	h.lastTag++
	before := h.handler.answered.Load()
	_, err := h.blocked.Write(frames.AppendFrame(nil, callWords(h.lastTag)...))
	require.NoError(h.t, err)
	require.Eventually(h.t, func() bool { return h.handler.answered.Load() > before }, time.Minute, 100*time.Microsecond)
}

// callOther sends a request of the other client, which must be answered while the first client's answers are blocked.
func (h *blockedClientHarness) callOther() {
	h.lastTag++
	require.NoError(h.t, h.other.Send(callWords(h.lastTag)))
	words, err := h.other.Receive()
	require.NoError(h.t, err)
	require.Equal(h.t, []string{fmt.Sprint(h.lastTag), "ok"}, words[:2])
	require.Len(h.t, words[3], 240_000)
}

func callWords(n int) []string {
	return []string{"RPC.CALL", fmt.Sprint(n), "asset", fmt.Sprintf("rid=%016x,budget=2500,obj=%016x,nth=0,batch=17", n, n)}
}

// A client that reads nothing of its answer for 10 s is disconnected then and not before, and can tell that its answer is
// incomplete. The other client is answered all the time.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	h := newBlockedClientHarness(t)
	for range 39 {
		h.proxy.Clock.Advance(250)
		h.callOther()
		require.Equal(t, 2, h.front.OpenConns(), "disconnected before 10 s have passed")
	}
	h.proxy.Clock.Advance(500)
	require.Eventually(t, func() bool { return h.front.OpenConns() == 1 && h.front.Idle() }, time.Minute, time.Millisecond)
	h.callOther()
	_, _, err := (&frames.Buffer{MaxFrameSize: frames.MaxResponseSize}).Next(h.blocked)
	require.Error(t, err)
}

// A client that reads nothing and sends more requests is disconnected, although the clock does not advance, once more answers wait
// than a connection may have. The other client is answered all the time.
func TestClientWithTooManyUnreadAnswersIsDisconnected(t *testing.T) {
	const maxUnread = 33 // answers that may wait: the last of them exceeds maxOutBytes
	h := newBlockedClientHarness(t)
	for range maxUnread - 1 {
		h.callBlocked()
		h.callOther()
		require.Equal(t, 2, h.front.OpenConns(), "disconnected although the limit of unread answers is not reached")
	}
	h.callBlocked()
	require.Eventually(t, func() bool { return h.front.OpenConns() == 1 && h.front.Idle() }, time.Minute, time.Millisecond)
	h.callOther()
}
