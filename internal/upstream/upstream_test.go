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

// fiveReads starts four reads on one connection and a fifth on another.
const fiveReads = `
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

// scenarios are scripts in which up sends attempts to the scripted cache server s.
var scenarios = map[string]string{
	"an unreadable answer ends the reads on its connection but no write": `
		up send w1 non-idempotent
		s expect fetch w1 * -` + fiveReads + `
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
	"an answer that announces 3 GB fails at its header": `
		up send r1
		s expect fetch r1 * -
		s send line *4\r\n$2\r\nr1\r\n$6\r\nserved\r\n$1\r\n-\r\n$3000000000
		up expect r1 reset`,
	"a stalled answer ends the calls on its connection": `
		up send r1
		s expect fetch r1 * -
		up send r2
		s expect fetch r2 * -
		s send bytes *2\r\n$2\r\nr1\r\n$6\r\nserved\r\n*2\r\n$2\r\nr2\r\n$6\r\nser
		up expect r1 ok
		s await closed
		up expect r2 reset`,
	"a connection without answers gets no more calls": `
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
	"a duplicate answer and an unknown id are ignored": `
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
	"an idle connection that breaks does not count as a failure of the server": `
		up send r1
		s expect fetch r1 * -
		s send r1 served -
		up expect r1 ok
		s send line noise
		s expect closed
		up send r2
		s expect fetch r2 * -
		s send r2 served -
		up expect r2 ok`,
	"a late duplicate answer is not taken for the answer to a retry": `
		up send w1 non-idempotent
		s expect fetch w1 * -
		s send w1 overload
		up expect w1 overloaded
		up send w1 non-idempotent
		s expect fetch w1 * -
		s send on-conn-of w1 w1 overload
		up send r1
		s expect fetch r1 * -
		s send r1 served -
		up expect r1 ok
		s send w1 served -
		up expect w1 ok`,
	"after a timeout without answers the next attempt uses a new connection": `
		up send r1
		s expect fetch r1 * -
		wait 1000
		up expect r1 timed-out
		s expect abort r1
		s expect closed
		up send r2
		s expect fetch r2 * -
		s send r2 served -
		up expect r2 ok`,
}

// Attempts at a scripted cache server end as expected.
func TestUpstreamScenarios(t *testing.T) {
	for name, script := range scenarios {
		t.Run(name, func(t *testing.T) {
			p := scenario.NewProxy(t)
			scenario.Run(t, p.Clock, map[string]scenario.Actor{"up": scenario.NewAttemptSender(p.Pools), "s": p.Cache}, script)
			require.Zero(t, invariant.Violations())
		})
	}
}

// New connections to a server whose address has changed go to the new address.
func TestMovedServerGetsNewConnections(t *testing.T) {
	p, next := scenario.NewProxy(t), scenario.Listen(t)
	up := scenario.NewAttemptSender(p.Pools)
	actors := map[string]scenario.Actor{"up": up, "s": p.Cache, "next": next}
	scenario.Run(t, p.Clock, actors, strings.ReplaceAll(fiveReads, "\n\t", "\n"))
	m := core.Member{Addr: next.Addr()}
	m.ID = scenario.CacheID
	p.Core.UpdateMembers(membership.Publish{Version: 2, Members: []core.Member{m}})
	scenario.Run(t, p.Clock, actors, `
		up send r6
		next expect fetch r6 * -
		s send r1 served -
		up expect r1 ok`)
}

// newPools returns pools with one cache server and one connection for idempotent attempts.
func newPools(clk *clock.Clock, cache *scenario.Server, l upstream.Limits) *upstream.Pools {
	l.AttemptsPerConn, l.ConnsPerServer, l.ConnectTimeout = 10, 3, 5000
	pools := upstream.New(clk, l)
	m := core.Member{Addr: cache.Addr()}
	m.ID = scenario.CacheID
	pools.UpdateMembers([]core.Member{m}, true)
	return pools
}

// A connection with hundreds of aborted attempts is replaced by another one.
func TestConnectionWithManyAbortsIsReplaced(t *testing.T) {
	clk, cache := clock.Manual(0), scenario.Listen(t)
	pools := newPools(clk, cache, upstream.Limits{})
	actors := map[string]scenario.Actor{"up": scenario.NewAttemptSender(pools), "s": cache}
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

// A connection breaks. An attempt that was written only in part was not executed and is skipped, even if it is not idempotent. An
// attempt that was written completely may have been executed.
func TestPartlyWrittenAttemptIsNotExecuted(t *testing.T) {
	for limit, want := range map[int]string{0: "skipped", 5: "skipped", 1 << 10: "reset"} {
		clk, cache := clock.Manual(0), scenario.Listen(t)
		broken := false
		pools := newPools(clk, cache, upstream.Limits{Write: func(fd int, b []byte) (int, error) {
			if broken {
				return -1, syscall.EPIPE
			}
			broken = true
			if limit == 0 {
				return -1, syscall.EPIPE
			}
			return syscall.Write(fd, b[:min(limit, len(b))])
		}})
		up := scenario.NewAttemptSender(pools)
		actors := map[string]scenario.Actor{"up": up, "s": cache}
		scenario.Run(t, clk, actors, `
			up send r1`)
		if want == "reset" { // the first write is complete, the next one fails
			scenario.Run(t, clk, actors, `
				s expect fetch r1 * -
				up send r2`)
			got := map[string]string{}
			for range 2 {
				parts, err := up.Receive()
				require.NoError(t, err)
				got[parts[0]] = parts[1]
			}
			require.Equal(t, map[string]string{"r1": "reset", "r2": "skipped"}, got)
			continue
		}
		scenario.Run(t, clk, actors, `
			up expect r1 `+want)
		require.False(t, up.WrittenCompletely())
	}
}

// If a connection is reset while it is being established, the server is reachable and is dialled again. If the server refuses the
// connection, it is not dialled again.
func TestConnectionResetDuringDialIsRedialled(t *testing.T) {
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
	scenario.Run(t, clk, map[string]scenario.Actor{"up": scenario.NewAttemptSender(pools), "s": cache}, `
		up send r1
		s expect fetch r1 * -
		up send w1 non-idempotent
		up expect w1 connect-failed
		s send r1 served -
		up expect r1 ok`)
}

// For lack of local descriptors, ports or memory no connection can be established. The attempts are skipped, and this does not
// count as a failure of the server.
func TestLocalDialFailureSkipsAttempts(t *testing.T) {
	for _, errno := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL} {
		var outOfResources atomic.Bool
		dial := func(network, addr string, wait time.Duration) (net.Conn, error) {
			if outOfResources.Load() {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", errno)}
			}
			return net.DialTimeout(network, addr, wait)
		}
		clk, cache := clock.Manual(0), scenario.Listen(t)
		actors := map[string]scenario.Actor{"up": scenario.NewAttemptSender(newPools(clk, cache, upstream.Limits{Dial: dial})), "s": cache}
		outOfResources.Store(true)
		scenario.Run(t, clk, actors, `
			up send r1
			up await r1 skipped
			up send w1 non-idempotent
			up await w1 skipped`)
		outOfResources.Store(false)
		scenario.Run(t, clk, actors, `
			up send r2
			s expect fetch r2 * -
			s send r2 served -
			up expect r2 ok`)
	}
}

// A dial that fails for a transient local reason is retried, and the attempt is answered. The clock advances only to the end of
// each pause between two dials: if it advanced while a real connection is being established on a busy machine, it would pass the
// deadline.
func TestTransientDialFailureIsRetried(t *testing.T) {
	const pause = 10.0 // ms at most between two dials
	for _, errno := range []error{
		syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.ECONNABORTED, syscall.EINTR,
	} {
		var dials atomic.Int32
		dial := func(network, addr string, wait time.Duration) (net.Conn, error) {
			if dials.Add(1) <= 3 {
				return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
			}
			return net.DialTimeout(network, addr, wait)
		}
		clk, cache := clock.Manual(0), scenario.Listen(t)
		actors := map[string]scenario.Actor{"up": scenario.NewAttemptSender(newPools(clk, cache, upstream.Limits{Dial: dial})), "s": cache}
		scenario.Run(t, clk, actors, `
			up send r1 non-idempotent`)
		require.Eventually(t, func() bool {
			if due, ok := clk.NextTimer(); ok && due <= clk.Now()+pause {
				clk.Advance(due - clk.Now())
			}
			return dials.Load() == 4
		}, time.Minute, time.Millisecond, errno)
		scenario.Run(t, clk, actors, `
			s expect fetch r1 * -
			s send r1 served -
			up expect r1 ok`)
		require.EqualValues(t, 4, dials.Load(), errno)
		require.LessOrEqual(t, clk.Now(), 900.0, "the attempt is answered before its deadline")
	}
}

// A server accepts one connection and resets all others. Attempts that get no connection are skipped, the attempt on the one
// connection is answered, and each attempt causes at most three dials.
func TestServerAcceptsOnlyOneConnection(t *testing.T) {
	var dials atomic.Int32
	dial := func(network, addr string, wait time.Duration) (net.Conn, error) {
		if dials.Add(1) > 1 {
			return nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
		}
		return net.DialTimeout(network, addr, wait)
	}
	clk, cache := clock.Manual(0), scenario.Listen(t)
	actors := map[string]scenario.Actor{"up": scenario.NewAttemptSender(newPools(clk, cache, upstream.Limits{Dial: dial})), "s": cache}
	scenario.Run(t, clk, actors, `
		up send r1
		s expect fetch r1 * -`)
	for range 20 {
		scenario.Run(t, clk, actors, `
			up send w1 non-idempotent
			up expect w1 skipped`)
	}
	scenario.Run(t, clk, actors, `
		s send r1 served -
		up expect r1 ok`)
	require.LessOrEqual(t, dials.Load(), int32(1+20*3))
}

// The number of connections follows the load: one for requests that do not overlap, none after the idle timeout, and at most the
// limit for hundreds of simultaneous requests.
func TestConnectionsFollowLoad(t *testing.T) {
	var dials atomic.Int32
	dial := func(network, addr string, wait time.Duration) (net.Conn, error) {
		dials.Add(1)
		return net.DialTimeout(network, addr, wait)
	}
	clk, cache := clock.Manual(0), scenario.Listen(t)
	pools := upstream.New(clk, upstream.Limits{AttemptsPerConn: 10, ConnsPerServer: 8, ConnectTimeout: 5000, IdleTimeout: 4000, Dial: dial})
	m := core.Member{Addr: cache.Addr()}
	m.ID = scenario.CacheID
	pools.UpdateMembers([]core.Member{m}, true)
	actors := map[string]scenario.Actor{"up": scenario.NewAttemptSender(pools), "s": cache}
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
	require.LessOrEqual(t, pools.Conns(), 6, "the other two of the eight are for non-idempotent attempts")
}

// The connections to all servers stay within MaxConns: the connections that have been idle for the longest time are closed to make
// room for others. If none is idle, an attempt is skipped.
func TestMaxConnsOverAllServers(t *testing.T) {
	const servers, maxConns = 30, 8
	clk := clock.Manual(0)
	pools := upstream.New(clk, upstream.Limits{AttemptsPerConn: 100, ConnsPerServer: 4, ConnectTimeout: 5000, MaxConns: maxConns})
	list := make([]core.Member, servers)
	var unresponsive atomic.Bool
	fetched := make(chan string, 2*servers)
	for i := range servers {
		server := scenario.Listen(t)
		list[i].Addr, list[i].ID = server.Addr(), policy.ServerID(i+1)
		go func() { // answers every attempt, also those of an earlier test at the same port
			for t.Context().Err() == nil {
				parts, err := server.Receive()
				if err != nil || parts[0] != "fetch" {
					continue
				}
				fetched <- parts[1]
				if !unresponsive.Load() {
					_ = server.Send([]string{parts[1], "served", "-"})
				}
			}
		}()
	}
	pools.UpdateMembers(list, true)
	ends := make(chan core.Outcome, servers)
	send := func(id string, i int) {
		pools.Send(core.Attempt{ID: id, Server: policy.ServerID(i + 1), Deadline: clk.Now() + 60_000}, func(e core.Outcome) { ends <- e })
	}
	for i := range servers {
		send(fmt.Sprint("answered", i), i)
		require.Equal(t, policy.OK, (<-ends).Result, i)
		clk.Advance(1)
		require.Eventually(t, func() bool { return pools.Conns() <= maxConns }, time.Minute, time.Millisecond)
	}
	unresponsive.Store(true)
	for i := range servers {
		send(fmt.Sprint("waits", i), i)
	}
	for range servers - maxConns {
		require.Equal(t, policy.Skipped, (<-ends).Result)
	}
	require.Eventually(t, func() bool { return pools.Conns() == maxConns }, time.Minute, time.Millisecond)
	for waiting := 0; waiting < maxConns; { // until no connection is being dialled
		if strings.HasPrefix(<-fetched, "waits") {
			waiting++
		}
	}
}
