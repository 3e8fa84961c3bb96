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

// directClients is an actor that runs requests without a front: it sends "ID CLASS" and receives "ID VERDICT BODY". When it is
// closed, the clients of all its requests leave.
type directClients struct {
	core    *core.Core
	clock   *clock.Clock
	ctx     context.Context
	cancel  context.CancelFunc
	answers chan []string
}

// verdicts are the words for core.Verdict in scripts.
var verdicts = []string{"served", "rejected", "failed", "abandoned"}

func (c *directClients) Send(words []string) error {
	request := core.Request{
		ID: words[0], Class: c.core.ClassIndex(words[1]), Object: "7f3a9c21e0b4d655", Deadline: c.clock.Now() + 900,
	}
	go func() {
		answer := c.core.Do(c.ctx, request)
		c.answers <- []string{request.ID, verdicts[answer.Verdict], "-" + string(answer.Body)}
	}()
	return nil
}

func (c *directClients) Receive() ([]string, error) { return <-c.answers, nil }
func (c *directClients) Close() error               { c.cancel(); return nil }

// scenarios are scripts that run with directClients as c and a scripted cache server as s.
var scenarios = map[string]string{
	"a write fails if its connection breaks, and is not retried": `
		c send w1 seat-claim
		s expect fetch w1 * -
		s send line noise
		c expect w1 failed -
		s expect closed
		c send r1 asset
		s expect fetch r1 * -
		s send r1 served -
		c expect r1 served -`,
	"a write fails at its deadline without an answer": `
		c send w1 seat-claim
		s expect fetch w1 * -
		wait 900
		c expect w1 failed -`,
	"a request with an id that is in use fails": `
		c send r1 asset
		s expect fetch r1 * -
		c send r1 replay
		c expect r1 failed -
		s send r1 served - BYTES
		c expect r1 served -BYTES`,
	"a request is rejected after two errors, and the next one goes to the same cache": `
		c send r1 asset
		s expect fetch r1 * -
		s send r1 crashed
		s expect fetch r1 * -
		s send r1 crashed
		c expect r1 rejected -
		c send r2 asset
		s expect fetch r2 * -
		s send r2 served -
		c expect r2 served -`,
	"attempts of clients that leave are aborted": `
		c send r1 asset
		s expect fetch r1 * -
		c close
		c expect r1 abandoned -
		s expect abort r1`,
}

// Requests over a scripted cache server get the expected answers.
func TestRequestScenarios(t *testing.T) {
	for name, script := range scenarios {
		t.Run(name, func(t *testing.T) {
			p := scenario.NewProxy(t)
			c := &directClients{core: p.Core, clock: p.Clock, answers: make(chan []string, 10)}
			c.ctx, c.cancel = context.WithCancel(context.Background())
			scenario.Run(t, p.Clock, map[string]scenario.Actor{"c": c, "s": p.Cache}, script)
			require.Zero(t, invariant.Violations())
		})
	}
}

// While the maximum number of requests is open, a further one is rejected with a Retry-After and does not reach the router.
func TestRequestsBeyondMaxAreRejected(t *testing.T) {
	p := scenario.NewProxy(t)
	limited, err := core.New(scenario.Settings(), []string{"replay", "asset", "seat-claim"}, 1, 7, p.Clock, p.Pools)
	require.NoError(t, err)
	m := core.Member{Addr: p.Cache.Addr()}
	m.ID = scenario.CacheID
	limited.UpdateMembers(membership.Publish{Version: 1, Complete: true, Members: []core.Member{m}})
	c := &directClients{core: limited, clock: p.Clock, ctx: context.Background(), answers: make(chan []string, 10)}
	scenario.Run(t, p.Clock, map[string]scenario.Actor{"c": c, "s": p.Cache}, `
		c send r1 asset
		s expect fetch r1 * -`)
	answer := limited.Do(c.ctx, core.Request{ID: "r2", Class: 1, Object: "o", Deadline: p.Clock.Now() + 900})
	require.Equal(t, core.Answer{Verdict: core.Rejected, RetryAfter: clock.Ms(scenario.Settings().MaxRetryAfter)}, answer)
	require.EqualValues(t, 1, limited.Counters.InFlight.Load())
}

// Requests that were rejected or failed before any of their attempts was written to a server are counted as never sent.
func TestNeverSentCountsRequestsWithoutWrittenAttempt(t *testing.T) {
	p := scenario.NewProxy(t)
	c := &directClients{core: p.Core, clock: p.Clock, ctx: context.Background(), answers: make(chan []string, 10)}
	actors := map[string]scenario.Actor{"c": c, "s": p.Cache}
	counters := &p.Core.Counters
	scenario.Run(t, p.Clock, actors, `
		c send r1 asset
		s expect fetch r1 * -
		wait 900
		c expect r1 rejected -
		s expect abort r1`)
	require.Zero(t, counters.NeverSent.Load(), "the attempt was written, though not answered")
	scenario.Run(t, p.Clock, actors, `
		s close
		c send r2 asset
		c expect r2 rejected -
		c send w1 seat-claim
		c expect w1 rejected -`)
	require.Eventually(t, func() bool { return counters.InFlight.Load() == 0 }, time.Minute, time.Millisecond)
	require.EqualValues(t, 2, counters.NeverSent.Load())
	require.EqualValues(t, 3, counters.Rejected.Load())
}

// randomUpstream ends each attempt with a random outcome at a random time, or never.
type randomUpstream struct {
	clock *clock.Clock
	mu    sync.Mutex
	rng   *rand.Rand
}

func (u *randomUpstream) Send(a core.Attempt, end func(core.Outcome)) func() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	outcomes := []core.Outcome{
		{Result: policy.OK, Written: true}, {Result: policy.OK, NotModified: true, Tag: "v1", Written: true}, {Result: policy.OK, NotModified: true, Tag: "v2", Written: true},
		{Result: policy.Overloaded, Written: true}, {Result: policy.Overloaded, Note: policy.NoteNoFillSlot, Written: true}, {Result: policy.Failed, Written: true},
		{Result: policy.Miss, Note: policy.NoteSourceLost, Written: true}, {Result: policy.ConnectFailed}, {Result: policy.Reset, Written: true}, {Result: policy.Skipped},
	}
	outcome, delay := outcomes[u.rng.IntN(len(outcomes))], u.rng.Float64()*1.2*(a.Deadline-u.clock.Now())
	switch u.rng.IntN(4) {
	case 0: // never
		return func() bool { return true }
	case 1:
		go end(outcome)
		return func() bool { return outcome.Written }
	}
	stop := u.clock.After(delay, func() { end(outcome) })
	return func() bool { stop(); return outcome.Written }
}

func (u *randomUpstream) UpdateMembers([]core.Member, bool) {}

// Whatever the upstream does, each request gets exactly one final answer by its deadline, and a "not modified" answer only for the
// version that the client has.
func TestEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	synctest.Test(t, testEveryRequestIsAnsweredByItsDeadline)
}

func testEveryRequestIsAnsweredByItsDeadline(t *testing.T) {
	const slack = 500 // ms after the deadline until which a final answer is accepted
	clk, rng := clock.Manual(1e12), rand.New(rand.NewPCG(7, 1))
	c, err := core.New(scenario.Settings(), []string{"replay", "asset", "seat-claim"}, 0, 7, clk, &randomUpstream{clock: clk, rng: rand.New(rand.NewPCG(7, 2))})
	require.NoError(t, err)
	var list []core.Member
	for i := range 6 {
		m := core.Member{Addr: "a"}
		m.ID, m.Kind, m.Weight = policy.ServerID(i+1), max(0, i-3), 10
		list = append(list, m)
	}
	c.UpdateMembers(membership.Publish{Version: 1, Complete: true, Members: list})
	type pendingRequest struct {
		id       string
		deadline float64
		done     atomic.Int32
	}
	var open []*pendingRequest
	for step := range 3000 {
		if step < 2000 {
			request := core.Request{ID: fmt.Sprint(step), Class: rng.IntN(3), Object: fmt.Sprint(rng.IntN(50)), CachedTag: []string{"", "v1"}[rng.IntN(2)]}
			request.Deadline = clk.Now() + 20 + rng.Float64()*2000
			pending := &pendingRequest{id: request.ID, deadline: request.Deadline}
			open = append(open, pending)
			go func() {
				answer := c.Do(context.Background(), request)
				if answer.NotModified && (request.CachedTag == "" || answer.Tag != request.CachedTag) {
					t.Errorf("%s: not modified for version %q, the client has %q", request.ID, answer.Tag, request.CachedTag)
				}
				pending.done.Add(1)
			}()
		}
		synctest.Wait() // otherwise a goroutine could set a timer that is already due
		clk.Advance(10)
		synctest.Wait()
		open = slices.DeleteFunc(open, func(pending *pendingRequest) bool {
			if pending.deadline+slack > clk.Now() {
				return false
			}
			require.EqualValues(t, 1, pending.done.Load(), "%s has no answer half a second after its deadline", pending.id)
			return true
		})
	}
	require.Empty(t, open)
	counters := &c.Counters
	require.Equal(t, counters.Requests.Load(), counters.Served.Load()+counters.Rejected.Load()+counters.Failed.Load())
	require.Positive(t, counters.WrongTags.Load())
	require.Zero(t, counters.InFlight.Load())
	require.Zero(t, invariant.Violations())
}

// A server closes each connection right after its answer, while the next request is being written there. Reads are nevertheless
// served, over another connection.
func TestServerClosingAfterEachAnswer(t *testing.T) {
	p := scenario.NewProxy(t)
	m := core.Member{Addr: scenario.ServeConnsInTurn(t, func(nc net.Conn) {
		buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
		if parts, _, err := buf.Next(nc); err == nil {
			_, _ = nc.Write(resp.AppendFrame(nil, string(parts[1]), "served", "", "BYTES"))
		}
	})}
	m.ID, m.Weight = scenario.CacheID, 10
	p.Core.UpdateMembers(membership.Publish{Version: 2, Members: []core.Member{m}})
	for i := range 300 {
		request := core.Request{ID: fmt.Sprint(i), Class: 1, Object: "o", Deadline: p.Clock.Now() + 900}
		require.Equal(t, core.Served, p.Core.Do(context.Background(), request).Verdict, i)
	}
	require.Zero(t, invariant.Violations())
}
