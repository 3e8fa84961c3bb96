package core_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// immediateUpstream ends the first attempts with the listed outcomes at once. It answers the others at once, or never while silent
// is set.
type immediateUpstream struct {
	outcomes     []core.Outcome
	unresponsive atomic.Bool
	sent         atomic.Int64
	aborts       atomic.Int64
}

func (u *immediateUpstream) Send(_ core.Attempt, end func(core.Outcome)) func() bool {
	switch n := int(u.sent.Add(1)); {
	case n <= len(u.outcomes):
		go end(u.outcomes[n-1])
	case !u.unresponsive.Load():
		go end(core.Outcome{Result: policy.OK, Note: policy.NoteHit, Written: true})
	}
	return func() bool { u.aborts.Add(1); return true }
}

func (u *immediateUpstream) UpdateMembers([]core.Member, bool) {}

// testMembers returns a list of servers with a cache, its parent and the origin.
func testMembers() membership.Publish {
	list := make([]core.Member, 3)
	for i, id := range []policy.ServerID{scenario.CacheID, scenario.ParentID, scenario.OriginID} {
		list[i].ID, list[i].Kind, list[i].Weight = id, i, 10
	}
	return membership.Publish{Version: 1, Complete: true, Members: list}
}

func newCore(t *testing.T, clk *clock.Clock, up core.Upstream) *core.Core {
	c, err := core.New(scenario.Settings(), []string{"replay", "asset", "seat-claim"}, 0, 7, clk, up)
	require.NoError(t, err)
	c.UpdateMembers(testMembers())
	return c
}

// The client has left when the router decides on the first attempt. The attempt is not sent, and it does not stay counted as in
// flight, which would occupy slots of the server.
func TestClientLeftBeforeFirstAttempt(t *testing.T) {
	clk, up := clock.Manual(1e12), &immediateUpstream{}
	c := newCore(t, clk, up)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for i := range 300 {
		request := core.Request{ID: fmt.Sprint("left", i), Class: i % 3, Object: fmt.Sprint(i), Deadline: clk.Now() + 900}
		require.Equal(t, core.Abandoned, c.Do(cancelled, request).Verdict)
	}
	require.Zero(t, up.sent.Load())
	for i := range 8 {
		request := core.Request{ID: fmt.Sprint("stays", i), Class: 1, Object: fmt.Sprint(i), Deadline: clk.Now() + 900}
		require.Equal(t, core.Served, c.Do(context.Background(), request).Verdict, "no slot is occupied")
	}
	require.Zero(t, invariant.Violations())
}

// A client leaves while its request waits for an answer, for the pause before a retry to end, or for the answer to the retry.
// Nothing more is sent, and each open attempt is aborted once.
func TestClientLeftWhileWaiting(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes     []core.Outcome // of the first attempts; the next attempt never ends
		pause        float64        // ms until the client leaves
		sent, aborts int64
	}{
		"for the first answer":                 {sent: 1, aborts: 1},
		"in the pause before a retry":          {outcomes: []core.Outcome{{Result: policy.Overloaded, Note: policy.NoteNoFillSlot, Written: true}}, sent: 1},
		"for the answer to a retry":            {outcomes: []core.Outcome{{Result: policy.Overloaded, Note: policy.NoteNoFillSlot, Written: true}}, pause: 200, sent: 2, aborts: 1},
		"for the answer to an immediate retry": {outcomes: []core.Outcome{{Result: policy.Failed, Written: true}}, sent: 2, aborts: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clk, up := clock.Manual(1e12), &immediateUpstream{outcomes: test.outcomes}
				up.unresponsive.Store(true)
				c := newCore(t, clk, up)
				ctx, cancel := context.WithCancel(context.Background())
				answer := make(chan core.Answer, 1)
				go func() {
					answer <- c.Do(ctx, core.Request{ID: "q", Class: 1, Object: "o", Deadline: clk.Now() + 2000})
				}()
				synctest.Wait()
				clk.Advance(test.pause)
				synctest.Wait()
				require.Equal(t, test.sent, up.sent.Load())
				cancel()
				synctest.Wait()
				require.Equal(t, core.Abandoned, (<-answer).Verdict)
				for range 400 {
					clk.Advance(10)
					synctest.Wait()
				}
				require.Equal(t, test.sent, up.sent.Load(), "nothing is sent after the client has left")
				require.Equal(t, test.aborts, up.aborts.Load())
				require.Zero(t, c.Counters.InFlight.Load())
				require.Zero(t, invariant.Violations())
			})
		})
	}
}
