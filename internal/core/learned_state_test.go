package core_test

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// A successor continues with what the process before has learned: a cache that was silent gets only probes.
func TestRestoreLearnedState(t *testing.T) {
	p := scenario.NewProxy(t)
	request := func(p *scenario.Proxy, id string) {
		go p.Core.Do(t.Context(), core.Request{ID: id, Class: 1, Object: id, Group: -1, Deadline: p.Clock.Now() + 2500})
	}
	for n := range 5 { // with no answer so far, three mark it down
		request(p, string(rune('a'+n)))
	}
	require.Eventually(t, func() bool { return p.Core.Counters.Attempts.Load() == 5 }, time.Minute, time.Millisecond)
	p.Clock.Advance(500)
	text, err := p.Core.LearnedState()
	require.NoError(t, err)
	decode := func(text []byte) (l struct{ Learned policy.LearnedState }) {
		require.NoError(t, cbor.Unmarshal(text, &l))
		return l
	}
	l := decode(text)
	require.True(t, l.Learned.Servers[scenario.CacheID].Down)

	next := scenario.NewProxy(t)
	next.Clock.Advance(p.Clock.Now() - next.Clock.Now())
	require.NoError(t, next.Core.RestoreLearnedState(text))
	again, err := next.Core.LearnedState()
	require.NoError(t, err)
	require.Equal(t, l, decode(again), "the complete state")
	answer := next.Core.Do(t.Context(), core.Request{ID: "x", Class: 1, Object: "x", Group: -1, Deadline: next.Clock.Now() + 2500})
	require.Equal(t, core.Rejected, answer.Verdict, "not sent to a cache that is down")
	require.EqualValues(t, 5, next.Core.Counters.Attempts.Load(), "the predecessor's, and none of its own")
	require.EqualValues(t, 6, next.Core.Counters.Requests.Load())

	// A server that has started since is not restored.
	later := scenario.NewProxy(t)
	m := core.Member{Addr: "127.0.0.1:1"}
	m.ID, m.Weight, m.Started = scenario.CacheID, 10, policy.Time(later.Clock.Now()*1e6)
	later.Core.UpdateMembers(membership.Publish{Version: 2, Members: []core.Member{m}})
	later.Clock.Advance(p.Clock.Now() - later.Clock.Now())
	require.NoError(t, later.Core.RestoreLearnedState(text))
	again, err = later.Core.LearnedState()
	require.NoError(t, err)
	require.False(t, decode(again).Learned.Servers[scenario.CacheID].Down)
}

// Learned state that is damaged, of another form or implausible is rejected completely.
func TestRestoreRejectsInvalidState(t *testing.T) {
	p := scenario.NewProxy(t)
	good, err := p.Core.LearnedState()
	require.NoError(t, err)
	require.Error(t, p.Core.RestoreLearnedState(nil))
	require.Error(t, p.Core.RestoreLearnedState(good[:len(good)/2]))
	require.Error(t, p.Core.RestoreLearnedState([]byte("\xff\x00rubbish")))
	type form struct {
		Revision int
		Classes  []string
		Settings []byte
		Learned  policy.LearnedState
		Counted  []int64
	}
	spoil := map[string]func(f *form){
		"counters":        func(f *form) { f.Counted[0] = -1 },
		"missing counter": func(f *form) { f.Counted = f.Counted[1:] },
		"revision":        func(f *form) { f.Revision = 9 },
		"classes":         func(f *form) { f.Classes[0] = "other" },
		"settings":        func(f *form) { f.Settings[0]++ },
		"missing class":   func(f *form) { f.Learned.TransferTime = f.Learned.TransferTime[:1] },
		"not a number":    func(f *form) { f.Learned.Link.Limit = math.NaN() },
		"transfer time 0": func(f *form) { f.Learned.RecentTransferTime[0] = 0 },
		"too large":       func(f *form) { f.Learned.PeakLoad[0] = 1e300 },
		"rate above 1":    func(f *form) { f.Learned.Link.FailureRate = 2 },
		"future time": func(f *form) {
			j := f.Learned.Servers[scenario.CacheID]
			j.LastAnswer = policy.Time((p.Clock.Now() + clock.Ms(time.Hour)) * 1e6)
			f.Learned.Servers[scenario.CacheID] = j
		},
		"negative": func(f *form) {
			j := f.Learned.Servers[scenario.CacheID]
			j.ConsecutiveUnanswered = -5
			f.Learned.Servers[scenario.CacheID] = j
		},
	}
	for name, f := range spoil {
		var x form
		require.NoError(t, cbor.Unmarshal(good, &x))
		f(&x)
		text, err := cbor.Marshal(x)
		require.NoError(t, err)
		require.Error(t, p.Core.RestoreLearnedState(text), name)
	}
	after, err := p.Core.LearnedState()
	require.NoError(t, err)
	var was, is form
	require.NoError(t, cbor.Unmarshal(good, &was))
	require.NoError(t, cbor.Unmarshal(after, &is))
	require.Equal(t, was, is)
	require.NoError(t, p.Core.RestoreLearnedState(good))
}

// Learned times stay in place when the wall clock is stepped by an hour between the starts of two processes.
func TestRestoreAcrossClockStep(t *testing.T) {
	for _, step := range []float64{3_600_000, -3_600_000} {
		before, after := clock.System(), clock.SystemAhead(step)
		first := newCore(t, before, &cacheUpstream{})
		require.Equal(t, core.Served, first.Do(context.Background(), core.Request{ID: "a", Class: 1, Object: "o", Deadline: before.Now() + 900}).Verdict)
		text, err := first.LearnedState()
		require.NoError(t, err)
		second := newCore(t, after, &cacheUpstream{})
		require.NoError(t, second.RestoreLearnedState(text))
		again, err := second.LearnedState()
		require.NoError(t, err)
		var was, is struct{ Learned policy.LearnedState }
		require.NoError(t, cbor.Unmarshal(text, &was))
		require.NoError(t, cbor.Unmarshal(again, &is))
		answered := was.Learned.Servers[scenario.CacheID].LastAnswer
		require.NotZero(t, answered)
		require.InDelta(t, step, clock.Ms(is.Learned.Servers[scenario.CacheID].LastAnswer-answered), 500)
	}
}
