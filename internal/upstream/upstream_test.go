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
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/scenario"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// four reads on one connection, a fifth on another.
const five = `
	up send r1
	s expect fetch r1 * -
	up send r2
	s expect fetch r2 * -
	up send r3
	s expect fetch r3 * -
	up send r4
	s expect fetch r4 * -
	up send r5
	s expect fetch r5 * -`

// each script is played against a stand-in of one cache server.
var scenarios = map[string]string{
	// Once all attempts to a cache shared a connection, and one bad answer ended up to fifteen.
	"an answer that can't be read ends what shares its connection, never a write": `
		up send w1 once
		s expect fetch w1 * -` + five + `
		s send r4 served notafield
		up expect r? reset
		up expect r? reset
		up expect r? reset
		up expect r? reset
		s expect closed
		s send r5 served -
		up expect r5 ok
		s send w1 served -
		up expect w1 ok`,
	"a claim of 3 GB fails at its header": `
		up send r1
		s expect fetch r1 * -
		s send raw *4\r\n$2\r\nr1\r\n$6\r\nserved\r\n$1\r\n-\r\n$3000000000
		up expect r1 reset`,
	// Once those behind it waited until their clients gave up.
	"an answer that stops short ends its connection's calls soon": `
		up send r1
		s expect fetch r1 * -
		up send r2
		s expect fetch r2 * -
		s send half *2\r\n$2\r\nr1\r\n$6\r\nserved\r\n*2\r\n$2\r\nr2\r\n$6\r\nser
		up expect r1 ok
		s await closed
		up expect r2 reset`,
	"a connection that has gone quiet gets no more calls": `
		up send r1
		s expect fetch r1 * -
		wait 500
		up send r2
		s expect fetch r2 * -
		s send r2 served notafield
		up expect r2 reset
		s expect closed
		s send r1 served -
		up expect r1 ok`,
	"a second copy and an unknown id do no harm": `
		up send r1
		s expect fetch r1 * -
		up send r2
		s expect fetch r2 * -
		s send r9 served -
		s send r1 served -
		s send r1 served -
		s send r2 served -
		up expect r1 ok
		up expect r2 ok`,
	// Once a call could still be put on it between its close and the books of who closed it.
	"an idle connection that breaks off blames nobody": `
		up send r1
		s expect fetch r1 * -
		s send r1 served -
		up expect r1 ok
		s send raw noise
		s expect closed
		up send r2
		s expect fetch r2 * -
		s send r2 served -
		up expect r2 ok`,
	// Once the retry went out on the same connection, and a second "overload" some milliseconds late was taken for its answer:
	// a write that was running by then was sent elsewhere.
	"a second answer that is late is not taken for the answer to the retry": `
		up send w1 once
		s expect fetch w1 * -
		s send w1 overload
		up expect w1 full
		up send w1 once
		s expect fetch w1 * -
		s send at w1 w1 overload
		up send r1
		s expect fetch r1 * -
		s send r1 served -
		up expect r1 ok
		s send w1 served -
		up expect w1 ok`,
	"silence: the attempt times out, and the next goes over a new connection": `
		up send r1
		s expect fetch r1 * -
		wait 1000
		up expect r1 timeout
		s expect abort r1
		s expect closed
		up send r2
		s expect fetch r2 * -
		s send r2 served -
		up expect r2 ok`,
}

func TestUpstream(t *testing.T) {
	for name, script := range scenarios {
		t.Run(name, func(t *testing.T) {
			p := scenario.NewProxy(t)
			scenario.Run(t, p.Clock, map[string]scenario.Actor{"up": scenario.Attempt(p.Pools), "s": p.Cache}, script)
			require.Zero(t, invariant.Violations())
		})
	}
}

// An id that has moved, or that came back at another address, gets new connections there.
func TestMove(t *testing.T) {
	p, next := scenario.NewProxy(t), scenario.Listen(t)
	up := scenario.Attempt(p.Pools)
	actors := map[string]scenario.Actor{"up": up, "s": p.Cache, "next": next}
	scenario.Run(t, p.Clock, actors, strings.ReplaceAll(five, "\n\t", "\n"))
	m := core.Member{Addr: next.Addr()}
	m.ID = scenario.CacheID
	p.Core.UpdateMembers(membership.Publish{Version: 2, Members: []core.Member{m}})
	scenario.Run(t, p.Clock, actors, `
		up send r6
		next expect fetch r6 * -
		s send r1 served -
		up expect r1 ok`)
}

// newPools has one cache server, and one connection for reads.
func newPools(clk *clock.Clock, cache *scenario.Server, l upstream.Limits) *upstream.Pools {
	l.RequestsPerConn, l.ConnsPerServer, l.ConnectTimeout = 10, 3, 5000
	pools := upstream.New(clk, l)
	m := core.Member{Addr: cache.Addr()}
	m.ID = scenario.CacheID
	pools.UpdateMembers([]core.Member{m}, true)
	return pools
}

// Clients that leave by the hundred: a connection that has been told of too many gives way to another. Once it
// kept its place, and attempts found no room.
func TestManyAborts(t *testing.T) {
	clk, cache := clock.Manual(0), scenario.Listen(t)
	pools := newPools(clk, cache, upstream.Limits{})
	actors := map[string]scenario.Actor{"up": scenario.Attempt(pools), "s": cache}
	for i := range 300 {
		id := fmt.Sprint("r", i)
		abort := pools.Send(core.Attempt{ID: id, Server: scenario.CacheID, Deadline: pools.Clock().Now() + 1000}, func(e core.Outcome) {
			t.Errorf("%s ended: %+v", id, e)
		})
		scenario.Run(t, clk, actors, "s expect fetch * * -")
		abort()
		scenario.Run(t, clk, actors, "s expect abort *")
		if i == 255 {
			scenario.Run(t, clk, actors, "s expect closed")
		}
	}
}

// What a broken connection took no whole frame of never came to anybody: a write that may not be repeated is not given up
// for it. What it took whole may have run.
func TestNotWritten(t *testing.T) {
	for takes, want := range map[int]string{0: "moot", 5: "moot", 1 << 10: "reset"} {
		clk, cache := clock.Manual(0), scenario.Listen(t)
		broken := false
		pools := newPools(clk, cache, upstream.Limits{Write: func(fd int, b []byte) (int, error) {
			if broken {
				return -1, syscall.EPIPE
			}
			broken = true
			if takes == 0 {
				return -1, syscall.EPIPE
			}
			return syscall.Write(fd, b[:min(takes, len(b))])
		}})
		up := scenario.Attempt(pools)
		actors := map[string]scenario.Actor{"up": up, "s": cache}
		scenario.Run(t, clk, actors, `
			up send r1`)
		if want == "reset" { // the next write fails
			scenario.Run(t, clk, actors, `
				s expect fetch r1 * -
				up send r2`)
			got := map[string]string{}
			for range 2 {
				words, err := up.Receive()
				require.NoError(t, err)
				got[words[0]] = words[1]
			}
			require.Equal(t, map[string]string{"r1": "reset", "r2": "moot"}, got)
			continue
		}
		scenario.Run(t, clk, actors, `
			up expect r1 `+want)
		require.False(t, up.Sent())
	}
}

// A peer that resets a new connection is there: the attempt goes over the next. One that refuses is not.
func TestResetWhenNew(t *testing.T) {
	errs := []error{syscall.ECONNRESET, nil, syscall.ECONNREFUSED}
	dial := func(network, addr string, wait time.Duration) (net.Conn, error) {
		err := errs[0]
		errs = errs[1:]
		if err != nil {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", err)}
		}
		return net.DialTimeout(network, addr, wait)
	}
	clk, cache := clock.Manual(0), scenario.Listen(t)
	pools := newPools(clk, cache, upstream.Limits{Dial: dial})
	scenario.Run(t, clk, map[string]scenario.Actor{"up": scenario.Attempt(pools), "s": cache}, `
		up send r1
		s expect fetch r1 * -
		up send w1 once
		up expect w1 unconnected
		s send r1 served -
		up expect r1 ok`)
}

// Out of descriptors, ports or memory no connection can be made. What waited for it never ran, and the cache is not blamed.
func TestOutOfDescriptors(t *testing.T) {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
		var short atomic.Bool
		dial := func(network, addr string, wait time.Duration) (net.Conn, error) {
			if short.Load() {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", want)}
			}
			return net.DialTimeout(network, addr, wait)
		}
		clk, cache := clock.Manual(0), scenario.Listen(t)
		actors := map[string]scenario.Actor{"up": scenario.Attempt(newPools(clk, cache, upstream.Limits{Dial: dial})), "s": cache}
		short.Store(true)
		scenario.Run(t, clk, actors, `
			up send r1
			up await r1 moot
			up send w1 once
			up await w1 moot`)
		short.Store(false)
		scenario.Run(t, clk, actors, `
			up send r2
			s expect fetch r2 * -
			s send r2 served -
			up expect r2 ok`)
	}
}

// Calls fail for a moment, in the ways that the system documents: for want of something of this machine's own, or of a way there.
// The connection comes up all the same, its attempt is served, and nobody is blamed.
func TestDialFailsForAMoment(t *testing.T) {
	for _, why := range []error{
		syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ECONNABORTED, syscall.EINTR,
	} {
		var dials atomic.Int32
		dial := func(network, addr string, wait time.Duration) (net.Conn, error) {
			if dials.Add(1) <= 3 {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", why)}
			}
			return net.DialTimeout(network, addr, wait)
		}
		clk, cache := clock.Manual(0), scenario.Listen(t)
		actors := map[string]scenario.Actor{"up": scenario.Attempt(newPools(clk, cache, upstream.Limits{Dial: dial})), "s": cache}
		scenario.Run(t, clk, actors, `
			up send r1 once
			s await fetch r1 * -
			s send r1 served -
			up expect r1 ok`)
		require.EqualValues(t, 4, dials.Load(), why)
		require.LessOrEqual(t, clk.Now(), 900.0, "its time is not up")
	}
}

// A cache that holds one connection of ours and resets the rest: what finds no place is told so and blames nobody, the
// one connection serves on, and each attempt costs three dials at most.
func TestFewConnections(t *testing.T) {
	var dials atomic.Int32
	dial := func(network, addr string, wait time.Duration) (net.Conn, error) {
		if dials.Add(1) > 1 {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
		}
		return net.DialTimeout(network, addr, wait)
	}
	clk, cache := clock.Manual(0), scenario.Listen(t)
	actors := map[string]scenario.Actor{"up": scenario.Attempt(newPools(clk, cache, upstream.Limits{Dial: dial})), "s": cache}
	scenario.Run(t, clk, actors, `
		up send r1
		s expect fetch r1 * -`)
	for range 20 {
		scenario.Run(t, clk, actors, `
			up send w1 once
			up expect w1 moot`)
	}
	scenario.Run(t, clk, actors, `
		s send r1 served -
		up expect r1 ok`)
	require.LessOrEqual(t, dials.Load(), int32(1+20*3))
}

// What a proxy holds at a cache goes by what is out there: hundreds that ask seldom have one connection each, and none
// once they are silent; one that asks for hundreds at once keeps to its bound.
func TestConnectionsGoByLoad(t *testing.T) {
	var dials atomic.Int32
	dial := func(network, addr string, wait time.Duration) (net.Conn, error) {
		dials.Add(1)
		return net.DialTimeout(network, addr, wait)
	}
	clk, cache := clock.Manual(0), scenario.Listen(t)
	pools := upstream.New(clk, upstream.Limits{RequestsPerConn: 10, ConnsPerServer: 8, ConnectTimeout: 5000, IdleTimeout: 4000, Dial: dial})
	m := core.Member{Addr: cache.Addr()}
	m.ID = scenario.CacheID
	pools.UpdateMembers([]core.Member{m}, true)
	actors := map[string]scenario.Actor{"up": scenario.Attempt(pools), "s": cache}
	for i := range 50 {
		scenario.Run(t, clk, actors, strings.ReplaceAll(`
			up send ID
			s expect fetch ID * -
			s send ID served -
			up expect ID ok
			wait 1000`, "ID", fmt.Sprint("a", i)))
	}
	require.EqualValues(t, 1, dials.Load())
	scenario.Run(t, clk, actors, "s await closed")
	require.Eventually(t, func() bool { return pools.Conns() == 0 }, time.Minute, time.Millisecond)
	dials.Store(0)
	for i := range 200 {
		pools.Send(core.Attempt{ID: fmt.Sprint("r", i), Server: scenario.CacheID, Deadline: pools.Clock().Now() + 1000}, func(core.Outcome) {})
	}
	require.LessOrEqual(t, pools.Conns(), 6, "two more are for what may not be repeated")
}

// Many servers, each with connections of its own: all together they stay within a bound. Those at rest for longest make room for
// the next server; while none is at rest, an attempt that finds no room is told so, and blames nobody.
func TestConnectionsOfAllServers(t *testing.T) {
	const servers, most = 30, 8
	clk := clock.Manual(0)
	pools := upstream.New(clk, upstream.Limits{RequestsPerConn: 100, ConnsPerServer: 4, ConnectTimeout: 5000, MaxConns: most})
	list := make([]core.Member, servers)
	var silent atomic.Bool
	asked := make(chan string, 2*servers)
	for i := range servers {
		server := scenario.Listen(t)
		list[i].Addr, list[i].ID = server.Addr(), policy.CacheID(i+1)
		go func() { // whatever else comes, from a test before this one at whose port it listens, is answered too
			for t.Context().Err() == nil {
				words, err := server.Receive()
				if err != nil || words[0] != "fetch" {
					continue
				}
				asked <- words[1]
				if !silent.Load() {
					_ = server.Send([]string{words[1], "served", "-"})
				}
			}
		}()
	}
	pools.UpdateMembers(list, true)
	ends := make(chan core.Outcome, servers)
	send := func(id string, i int) {
		pools.Send(core.Attempt{ID: id, Server: policy.CacheID(i + 1), Deadline: clk.Now() + 60_000}, func(e core.Outcome) { ends <- e })
	}
	for i := range servers {
		send(fmt.Sprint("answered", i), i)
		require.Equal(t, policy.OK, (<-ends).Result, i)
		clk.Advance(1)
		require.Eventually(t, func() bool { return pools.Conns() <= most }, time.Minute, time.Millisecond)
	}
	silent.Store(true)
	for i := range servers {
		send(fmt.Sprint("waits", i), i)
	}
	for range servers - most {
		require.Equal(t, policy.Skipped, (<-ends).Result)
	}
	require.Eventually(t, func() bool { return pools.Conns() == most }, time.Minute, time.Millisecond)
	for waits := 0; waits < most; { // none is still to be dialled as this test ends
		if strings.HasPrefix(<-asked, "waits") {
			waits++
		}
	}
}
