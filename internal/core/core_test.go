package core_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// asks lives requests without a front: "send ID CLASS"; it expects "ID VERDICT BODY". Its close is that the
// clients leave.
type asks struct {
	core  *core.Core
	clock *clock.Clock
	ctx   context.Context
	leave context.CancelFunc
	out   chan []string
}

var verdicts = []string{"served", "refused", "failed", "gone"}

func (a *asks) Send(words []string) error {
	q := core.Request{
		ID: words[0], Class: a.core.ClassIndex(words[1]), Object: "7f3a9c21e0b4d655", Deadline: a.clock.Now() + 900,
	}
	go func() {
		x := a.core.Do(a.ctx, q)
		a.out <- []string{q.ID, verdicts[x.Verdict], "-" + string(x.Body)}
	}()
	return nil
}

func (a *asks) Receive() ([]string, error) { return <-a.out, nil }
func (a *asks) Close() error               { a.leave(); return nil }

var scenarios = map[string]string{
	"a write under a connection that breaks off has failed and is not sent again": `
		c send w1 seat-claim
		s expect fetch w1 * -
		s send raw noise
		c expect w1 failed -
		s expect closed
		c send r1 asset
		s expect fetch r1 * -
		s send r1 served -
		c expect r1 served -`,
	"a write whose answer never comes has failed at its deadline": `
		c send w1 seat-claim
		s expect fetch w1 * -
		wait 900
		c expect w1 failed -`,
	"an id that is open is not opened again, whatever it asks for": `
		c send r1 asset
		s expect fetch r1 * -
		c send r1 replay
		c expect r1 failed -
		s send r1 served - BYTES
		c expect r1 served -BYTES`,
	// Eight tries with such a request once took the cache out for all.
	"a request that crashes twice is given up, and the next goes to the same cache": `
		c send r1 asset
		s expect fetch r1 * -
		s send r1 crashed
		s expect fetch r1 * -
		s send r1 crashed
		c expect r1 refused -
		c send r2 asset
		s expect fetch r2 * -
		s send r2 served -
		c expect r2 served -`,
	"clients that leave are owed nothing, and their attempts are given up": `
		c send r1 asset
		s expect fetch r1 * -
		c close
		c expect r1 gone -
		s expect abort r1`,
}

func TestCore(t *testing.T) {
	for name, script := range scenarios {
		t.Run(name, func(t *testing.T) {
			p := scenario.NewProxy(t)
			c := &asks{core: p.Core, clock: p.Clock, out: make(chan []string, 10)}
			c.ctx, c.leave = context.WithCancel(context.Background())
			scenario.Run(t, p.Clock, map[string]scenario.Actor{"c": c, "s": p.Cache}, script)
			require.Zero(t, invariant.Broken())
		})
	}
}

// With as many requests open as may be held, the next is turned away unseen by the module, with advice.
func TestMostHeld(t *testing.T) {
	p := scenario.NewProxy(t)
	small, err := core.New(scenario.Settings(), []string{"replay", "asset", "seat-claim"}, 1, 7, p.Clock, p.Pools)
	require.NoError(t, err)
	m := core.Member{Addr: p.Cache.Addr()}
	m.ID = scenario.CacheID
	small.UpdateMembers(membership.Publish{Version: 1, Complete: true, Members: []core.Member{m}})
	c := &asks{core: small, clock: p.Clock, ctx: context.Background(), out: make(chan []string, 10)}
	scenario.Run(t, p.Clock, map[string]scenario.Actor{"c": c, "s": p.Cache}, `
		c send r1 asset
		s expect fetch r1 * -`)
	a := small.Do(c.ctx, core.Request{ID: "r2", Class: 1, Object: "o", Deadline: p.Clock.Now() + 900})
	require.Equal(t, core.Answer{Verdict: core.Rejected, RetryAfter: clock.Ms(scenario.Settings().MaxRetryAfter)}, a)
	require.EqualValues(t, 1, small.Counters.InFlight.Load())
}

// What was refused or failed without an attempt that a cache server could have read is told apart from the rest.
func TestUnsent(t *testing.T) {
	p := scenario.NewProxy(t)
	c := &asks{core: p.Core, clock: p.Clock, ctx: context.Background(), out: make(chan []string, 10)}
	actors := map[string]scenario.Actor{"c": c, "s": p.Cache}
	n := &p.Core.Counters
	scenario.Run(t, p.Clock, actors, `
		c send r1 asset
		s expect fetch r1 * -
		wait 900
		c expect r1 refused -
		s expect abort r1`)
	require.Zero(t, n.NeverSent.Load(), "it was sent, and nobody answered")
	scenario.Run(t, p.Clock, actors, `
		s close
		c send r2 asset
		c expect r2 refused -
		c send w1 seat-claim
		c expect w1 refused -`)
	require.Eventually(t, func() bool { return n.InFlight.Load() == 0 }, time.Minute, time.Millisecond)
	require.EqualValues(t, 2, n.NeverSent.Load())
	require.EqualValues(t, 3, n.Rejected.Load())
}

// whims is an upstream that ends attempts in any way, at any time or never.
type whims struct {
	clock *clock.Clock
	mu    sync.Mutex
	rng   *rand.Rand
}

func (w *whims) Send(a core.Attempt, end func(core.Outcome)) func() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ends := []core.Outcome{
		{Result: policy.OK, Written: true}, {Result: policy.OK, NotModified: true, Tag: "v1", Written: true}, {Result: policy.OK, NotModified: true, Tag: "v2", Written: true},
		{Result: policy.Overloaded, Written: true}, {Result: policy.Overloaded, Note: policy.NoteNoFillSlot, Written: true}, {Result: policy.Failed, Written: true},
		{Result: policy.Miss, Note: policy.NoteSourceLost, Written: true}, {Result: policy.ConnectFailed}, {Result: policy.Reset, Written: true}, {Result: policy.Skipped},
	}
	e, wait := ends[w.rng.IntN(len(ends))], w.rng.Float64()*1.2*(a.Deadline-w.clock.Now())
	switch w.rng.IntN(4) {
	case 0: // never
		return func() bool { return true }
	case 1:
		go end(e)
		return func() bool { return e.Written }
	}
	stop := w.clock.After(wait, func() { end(e) })
	return func() bool { stop(); return e.Written }
}

func (w *whims) UpdateMembers([]core.Member, bool) {}

// Whatever those who carry attempts do, each request has its one final answer by its deadline, and a copy is called current
// only where it is the client's.
func TestAlwaysAnswered(t *testing.T) { synctest.Test(t, alwaysAnswered) }

func alwaysAnswered(t *testing.T) {
	const slack = 500 // ms in which a late final answer earns nothing, and after which the request is lost
	clk, rng := clock.Manual(1e12), rand.New(rand.NewPCG(7, 1))
	c, err := core.New(scenario.Settings(), []string{"replay", "asset", "seat-claim"}, 0, 7, clk, &whims{clock: clk, rng: rand.New(rand.NewPCG(7, 2))})
	require.NoError(t, err)
	var list []core.Member
	for i := range 6 {
		m := core.Member{Addr: "a"}
		m.ID, m.Kind, m.Weight = policy.CacheID(i+1), max(0, i-3), 10
		list = append(list, m)
	}
	c.UpdateMembers(membership.Publish{Version: 1, Complete: true, Members: list})
	type asked struct {
		id   string
		due  float64
		done atomic.Int32
	}
	var open []*asked
	for step := range 3000 {
		if step < 2000 {
			q := core.Request{ID: fmt.Sprint(step), Class: rng.IntN(3), Object: fmt.Sprint(rng.IntN(50)), CachedTag: []string{"", "v1"}[rng.IntN(2)]}
			q.Deadline = clk.Now() + 20 + rng.Float64()*2000
			a := &asked{id: q.ID, due: q.Deadline}
			open = append(open, a)
			go func() {
				x := c.Do(context.Background(), q)
				if x.NotModified && (q.CachedTag == "" || x.Tag != q.CachedTag) {
					t.Errorf("%s: %q called current, the client holds %q", q.ID, x.Tag, q.CachedTag)
				}
				a.done.Add(1)
			}()
		}
		synctest.Wait() // a clock that moved on under one who has read it would set a timer too late
		clk.Advance(10)
		synctest.Wait()
		open = slices.DeleteFunc(open, func(a *asked) bool {
			if a.due+slack > clk.Now() {
				return false
			}
			require.EqualValues(t, 1, a.done.Load(), "%s is open after its time and half a second", a.id)
			return true
		})
	}
	require.Empty(t, open)
	n := &c.Counters
	require.Equal(t, n.Requests.Load(), n.Served.Load()+n.Rejected.Load()+n.Failed.Load())
	require.Positive(t, n.WrongTags.Load())
	require.Zero(t, n.InFlight.Load())
	require.Zero(t, invariant.Broken())
}

// A cache that closes each connection right behind its answer, so that the next request goes out on one that is just
// ending: reads are served all the same, over the next connection.
func TestPeerClosesAsRequestsGoOut(t *testing.T) {
	p := scenario.NewProxy(t)
	m := core.Member{Addr: scenario.ListenOnce(t, func(nc net.Conn) {
		buf := resp.Buffer{Most: resp.MostAnswered}
		if parts, _, err := buf.Next(nc); err == nil {
			_, _ = nc.Write(resp.Append(nil, string(parts[1]), "served", "", "BYTES"))
		}
	})}
	m.ID, m.Weight = scenario.CacheID, 10
	p.Core.UpdateMembers(membership.Publish{Version: 2, Members: []core.Member{m}})
	for i := range 300 {
		q := core.Request{ID: fmt.Sprint(i), Class: 1, Object: "o", Deadline: p.Clock.Now() + 900}
		require.Equal(t, core.Served, p.Core.Do(context.Background(), q).Verdict, i)
	}
	require.Zero(t, invariant.Broken())
}
