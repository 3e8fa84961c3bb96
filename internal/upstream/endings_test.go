package upstream_test

import (
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// narrow dials a connection with a small write buffer.
func narrow(network, addr string, wait time.Duration) (net.Conn, error) {
	nc, err := net.DialTimeout(network, addr, wait)
	if err == nil {
		err = nc.(*net.TCPConn).SetWriteBuffer(1 << 17)
	}
	return nc, err
}

// listen accepts one connection with a small read buffer and reads nothing from it.
func listen(t *testing.T) (addr string, accepted chan *net.TCPConn) {
	ln, err := net.Listen("tcp", scenario.Loopback())
	require.NoError(t, err)
	accepted = make(chan *net.TCPConn, 1)
	t.Cleanup(func() { ln.Close() })
	go func() {
		nc, err := ln.Accept()
		if err == nil {
			_ = nc.(*net.TCPConn).SetReadBuffer(1 << 17)
			accepted <- nc.(*net.TCPConn)
		}
	}()
	return ln.Addr().String(), accepted
}

func poolsAt(clk *clock.Clock, addr string, l upstream.Limits) *upstream.Pools {
	l.AttemptsPerConn, l.ConnsPerServer, l.ConnectTimeout = 50, 3, 5000
	pools := upstream.New(clk, l)
	m := core.Member{Addr: addr}
	m.ID = scenario.CacheID
	pools.UpdateMembers([]core.Member{m}, true)
	return pools
}

// blocked is a connection to a server that reads nothing, with both buffers full.
type blocked struct {
	clk      *clock.Clock
	pools    *upstream.Pools
	accepted chan *net.TCPConn // the server's side
	ends     chan string       // id, whether it was skipped, whether it was written completely
	aborts   map[string]func() bool
}

// newBlocked fills a connection until it accepts no more.
func newBlocked(t *testing.T, clk *clock.Clock) *blocked {
	addr, accepted := listen(t)
	b := &blocked{clk: clk, accepted: accepted, ends: make(chan string, 100), aborts: map[string]func() bool{}}
	var full atomic.Bool
	var taken atomic.Int64
	size := 2_000_000
	frameComplete := func() bool { return taken.Load() > 0 && taken.Load()%int64(size) < 1000 }
	b.pools = poolsAt(clk, addr, upstream.Limits{Dial: narrow, Write: func(fd int, frames []byte) (int, error) {
		n, err := syscall.Write(fd, frames)
		if n < len(frames) {
			full.Store(true)
		}
		taken.Add(int64(max(0, n)))
		return n, err
	}})
	for i := 0; !full.Load(); i++ { // a fifth attempt would open a second connection
		require.Less(t, i, 4)
		b.send(fmt.Sprint("fills", i), 60_000, 0, size)
		for !full.Load() && !frameComplete() {
			time.Sleep(time.Millisecond)
		}
	}
	for still, last := 0, int64(0); still < 150; still++ { // until both buffers are full
		time.Sleep(time.Millisecond)
		if now := taken.Load(); now != last {
			still, last = 0, now
		}
	}
	return b
}

// send starts an attempt with the given time and body size, to be written within sendBy ms (0: at any time).
func (b *blocked) send(id string, ttl, sendBy float64, size int) {
	a := core.Attempt{ID: id, Server: scenario.CacheID, Deadline: b.clk.Now() + ttl, Body: []byte(strings.Repeat("x", size))}
	if sendBy > 0 {
		a.SendBy = b.clk.Now() + sendBy
	}
	b.aborts[id] = b.pools.Send(a, func(e core.Outcome) { b.ends <- fmt.Sprint(id, " ", e.Result == policy.Skipped, " ", e.Written) })
}

// A server reads nothing for a while. Attempts whose client has left, or whose decision has become too old,
// before their first byte was written are not written once the server reads again, nor are their aborts.
// Attempts that are still wanted arrive completely.
func TestBlockedConnectionSkipsOutdatedAttempts(t *testing.T) {
	clk := clock.Manual(0)
	b := newBlocked(t, clk)
	b.send("left", 60_000, 0, 10)
	b.send("old", 60_000, 500, 10)
	require.False(t, b.aborts["left"](), "aborted before its first byte")
	clk.Advance(499)
	require.Empty(t, b.ends)
	clk.Advance(2)
	require.Equal(t, "old true false", <-b.ends, "skipped at once, though the connection is still blocked")
	b.send("wanted", 60_000, 0, 10)
	nc := <-b.accepted
	buf := resp.Buffer{MaxFrameSize: 4 << 20}
	for {
		parts, _, err := buf.Next(nc)
		require.NoError(t, err)
		require.Equal(t, "fetch", string(parts[0]))
		if id := string(parts[1]); id == "wanted" {
			break
		} else if !strings.HasPrefix(id, "fills") {
			t.Fatal(id, "was written")
		}
	}
	require.Empty(t, b.ends)
}

// A connection is established after all that waited for it is over: it carries none of the old attempts,
// carries the next one, and is closed when its server is no longer listed.
func TestLateConnectionCarriesNoOldAttempts(t *testing.T) {
	clk, cache := clock.Manual(0), scenario.Listen(t)
	up := make(chan struct{})
	pools := newPools(clk, cache, upstream.Limits{Dial: func(network, addr string, wait time.Duration) (net.Conn, error) {
		<-up
		return net.DialTimeout(network, addr, wait)
	}})
	ends := make(chan policy.Result, 3)
	end := func(e core.Outcome) { ends <- e.Result }
	left := pools.Send(core.Attempt{ID: "left", Server: scenario.CacheID, Deadline: 5000}, end)
	pools.Send(core.Attempt{ID: "old", Server: scenario.CacheID, Deadline: 5000, SendBy: 500}, end)
	pools.Send(core.Attempt{ID: "over", Server: scenario.CacheID, Deadline: 800}, end)
	require.False(t, left())
	clk.Advance(1000)
	require.Equal(t, policy.Skipped, <-ends, "over: past its deadline and not written")
	close(up)
	require.Equal(t, policy.Skipped, <-ends, "old: dropped when the connection is established")
	actors := map[string]scenario.Actor{"up": scenario.NewAttemptSender(pools), "s": cache}
	scenario.Run(t, clk, actors, `
		up send next
		s expect fetch next * -
		s send next served -
		up expect next ok`)
	require.Equal(t, 1, pools.Conns())
	pools.UpdateMembers(nil, true)
	scenario.Run(t, clk, actors, `
		s expect closed`)
	require.Empty(t, ends)
}

// If a new connection times out while the server answers over another one, the attempt is skipped. If the
// server does not answer or refuses the connection, it is unreachable.
func TestFailedConnectionBesideAnsweringOne(t *testing.T) {
	timeout := &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
	refused := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	for _, c := range []struct {
		err     error
		answers bool
		want    string
	}{{timeout, true, "skipped"}, {timeout, false, "connect-failed"}, {refused, true, "connect-failed"}} {
		clk, cache := clock.Manual(0), scenario.Listen(t)
		var dials atomic.Int32
		gate := make(chan struct{})
		pools := newPools(clk, cache, upstream.Limits{Dial: func(network, addr string, wait time.Duration) (net.Conn, error) {
			if dials.Add(1) > 1 {
				<-gate
				return nil, c.err
			}
			return net.DialTimeout(network, addr, wait)
		}})
		actors := map[string]scenario.Actor{"up": scenario.NewAttemptSender(pools), "s": cache}
		scenario.Run(t, clk, actors, `
			up send r1
			s expect fetch r1 * -
			wait 1
			up send w1 non-idempotent`)
		require.Eventually(t, func() bool { return dials.Load() == 2 }, time.Minute, time.Millisecond)
		if c.answers {
			scenario.Run(t, clk, actors, `
				wait 1
				s send r1 served -
				up expect r1 ok`)
		}
		close(gate)
		scenario.Run(t, clk, actors, `
			up expect w1 `+c.want)
	}
}

// counted counts the bytes that are read from a connection.
type counted struct {
	*net.TCPConn
	n *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// An answer of which single bytes keep arriving is broken off after answerTimeout, with what waits behind it.
func TestTrickledAnswerIsBrokenOff(t *testing.T) {
	clk, cache := clock.Manual(0), scenario.Listen(t)
	var taken atomic.Int64
	pools := newPools(clk, cache, upstream.Limits{Dial: func(network, addr string, wait time.Duration) (net.Conn, error) {
		nc, err := net.DialTimeout(network, addr, wait)
		if err != nil {
			return nil, err
		}
		return counted{nc.(*net.TCPConn), &taken}, nil
	}})
	ends := make(chan core.Outcome, 2)
	for _, id := range []string{"r1", "r2"} {
		pools.Send(core.Attempt{ID: id, Server: scenario.CacheID, Deadline: 60_000}, func(e core.Outcome) { ends <- e })
		scenario.Run(t, clk, map[string]scenario.Actor{"s": cache}, "s expect fetch * * -")
	}
	sent := int64(0)
	trickle := func(text string) error {
		err := cache.Send([]string{"on-conn-of", "r1", "bytes", text})
		sent += int64(len(strings.ReplaceAll(text, `\r\n`, "\r\n")))
		return err
	}
	require.NoError(t, trickle(`*4\r\n$2\r\nr1\r\n$6\r\nserved\r\n$1\r\n-\r\n$100000\r\n`))
	for at := 0; at < 2900; at += 100 {
		require.Eventually(t, func() bool { return taken.Load() == sent }, time.Minute, time.Millisecond)
		require.Empty(t, ends)
		clk.Advance(100)
		require.NoError(t, trickle("x"))
	}
	require.Eventually(t, func() bool { _ = trickle("x"); clk.Advance(100); return len(ends) == 2 }, time.Minute, time.Millisecond)
	require.Less(t, clk.Now(), 3600.0)
	for range 2 {
		require.Equal(t, policy.Reset, (<-ends).Result)
	}
}
