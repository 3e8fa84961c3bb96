package core_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
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
		ID: words[0], Class: a.core.ClassOf(words[1]), Object: "7f3a9c21e0b4d655", Deadline: a.clock.Now() + 900,
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
	small.Members(membership.Publish{Version: 1, Whole: true, Members: []core.Member{m}})
	c := &asks{core: small, clock: p.Clock, ctx: context.Background(), out: make(chan []string, 10)}
	scenario.Run(t, p.Clock, map[string]scenario.Actor{"c": c, "s": p.Cache}, `
		c send r1 asset
		s expect fetch r1 * -`)
	a := small.Do(c.ctx, core.Request{ID: "r2", Class: 1, Object: "o", Deadline: p.Clock.Now() + 900})
	require.Equal(t, core.Answer{Verdict: core.Refused, Backoff: clock.Ms(scenario.Settings().MaxRetryAfter)}, a)
	require.EqualValues(t, 1, small.Counters.Open.Load())
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
	p.Core.Members(membership.Publish{Version: 2, Members: []core.Member{m}})
	for i := range 300 {
		q := core.Request{ID: fmt.Sprint(i), Class: 1, Object: "o", Deadline: p.Clock.Now() + 900}
		require.Equal(t, core.Served, p.Core.Do(context.Background(), q).Verdict, i)
	}
	require.Zero(t, invariant.Broken())
}
