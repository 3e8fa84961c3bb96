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

// A successor continues with the learned state of its predecessor: a cache that did not answer gets only probes.
func TestRestoreLearnedState(t *testing.T) {
	p := scenario.NewProxy(t)
	request := func(p *scenario.Proxy, id string) {
		go p.Core.Do(t.Context(), core.Request{ID: id, Class: 1, Object: id, Group: -1, Deadline: p.Clock.Now() + 2500})
	}
	for n := range 5 { // three attempts without any answer mark the cache down
		request(p, string(rune('a'+n)))
	}
	require.Eventually(t, func() bool { return p.Core.Counters.Attempts.Load() == 5 }, time.Minute, time.Millisecond)
	p.Clock.Advance(500)
	encoded, err := p.Core.LearnedState()
	require.NoError(t, err)
	decode := func(encoded []byte) (state struct{ Learned policy.LearnedState }) {
		require.NoError(t, cbor.Unmarshal(encoded, &state))
		return state
	}
	learned := decode(encoded)
	require.True(t, learned.Learned.Servers[scenario.CacheID].Down)

	successor := scenario.NewProxy(t)
	successor.Clock.Advance(p.Clock.Now() - successor.Clock.Now())
	require.NoError(t, successor.Core.RestoreLearnedState(encoded))
	again, err := successor.Core.LearnedState()
	require.NoError(t, err)
	require.Equal(t, learned, decode(again), "the complete state is restored")
	answer := successor.Core.Do(t.Context(), core.Request{ID: "x", Class: 1, Object: "x", Group: -1, Deadline: successor.Clock.Now() + 2500})
	require.Equal(t, core.Rejected, answer.Verdict, "not sent to a cache that is down")
	require.EqualValues(t, 5, successor.Core.Counters.Attempts.Load(), "the predecessor's attempts and none of the successor's")
	require.EqualValues(t, 6, successor.Core.Counters.Requests.Load())

	// The learned state of a server that has been restarted since is not restored.
	restarted := scenario.NewProxy(t)
	m := core.Member{Addr: "127.0.0.1:1"}
	m.ID, m.Weight, m.Started = scenario.CacheID, 10, policy.Time(restarted.Clock.Now()*1e6)
	restarted.Core.UpdateMembers(membership.Publish{Version: 2, Members: []core.Member{m}})
	restarted.Clock.Advance(p.Clock.Now() - restarted.Clock.Now())
	require.NoError(t, restarted.Core.RestoreLearnedState(encoded))
	again, err = restarted.Core.LearnedState()
	require.NoError(t, err)
	require.False(t, decode(again).Learned.Servers[scenario.CacheID].Down)
}

// Learned state that is truncated, of another revision or implausible is rejected as a whole.
func TestRestoreRejectsInvalidState(t *testing.T) {
	p := scenario.NewProxy(t)
	valid, err := p.Core.LearnedState()
	require.NoError(t, err)
	require.Error(t, p.Core.RestoreLearnedState(nil))
	require.Error(t, p.Core.RestoreLearnedState(valid[:len(valid)/2]))
	require.Error(t, p.Core.RestoreLearnedState([]byte("\xff\x00rubbish")))
	type message struct {
		Revision int
		Classes  []string
		Settings []byte
		Learned  policy.LearnedState
		Counted  []int64
	}
	corruptions := map[string]func(m *message){
		"counters":        func(m *message) { m.Counted[0] = -1 },
		"missing counter": func(m *message) { m.Counted = m.Counted[1:] },
		"revision":        func(m *message) { m.Revision = 9 },
		"classes":         func(m *message) { m.Classes[0] = "other" },
		"settings":        func(m *message) { m.Settings[0]++ },
		"missing class":   func(m *message) { m.Learned.TransferTime = m.Learned.TransferTime[:1] },
		"not a number":    func(m *message) { m.Learned.Link.Limit = math.NaN() },
		"transfer time 0": func(m *message) { m.Learned.RecentTransferTime[0] = 0 },
		"too large":       func(m *message) { m.Learned.PeakLoad[0] = 1e300 },
		"rate above 1":    func(m *message) { m.Learned.Link.FailureRate = 2 },
		"future time": func(m *message) {
			stats := m.Learned.Servers[scenario.CacheID]
			stats.LastAnswer = policy.Time((p.Clock.Now() + clock.Ms(time.Hour)) * 1e6)
			m.Learned.Servers[scenario.CacheID] = stats
		},
		"negative": func(m *message) {
			stats := m.Learned.Servers[scenario.CacheID]
			stats.ConsecutiveUnanswered = -5
			m.Learned.Servers[scenario.CacheID] = stats
		},
	}
	for name, corrupt := range corruptions {
		var corrupted message
		require.NoError(t, cbor.Unmarshal(valid, &corrupted))
		corrupt(&corrupted)
		encoded, err := cbor.Marshal(corrupted)
		require.NoError(t, err)
		require.Error(t, p.Core.RestoreLearnedState(encoded), name)
	}
	encodedAfter, err := p.Core.LearnedState()
	require.NoError(t, err)
	var before, after message
	require.NoError(t, cbor.Unmarshal(valid, &before))
	require.NoError(t, cbor.Unmarshal(encodedAfter, &after))
	require.Equal(t, before, after)
	require.NoError(t, p.Core.RestoreLearnedState(valid))
}

// Learned times are shifted by the same amount when the wall clock is stepped by an hour between the starts of two processes.
func TestRestoreAcrossClockStep(t *testing.T) {
	for _, step := range []float64{3_600_000, -3_600_000} {
		clockBefore, clockAfter := clock.System(), clock.SystemAhead(step)
		first := newCore(t, clockBefore, &immediateUpstream{})
		require.Equal(t, core.Served, first.Do(context.Background(), core.Request{ID: "a", Class: 1, Object: "o", Deadline: clockBefore.Now() + 900}).Verdict)
		encoded, err := first.LearnedState()
		require.NoError(t, err)
		second := newCore(t, clockAfter, &immediateUpstream{})
		require.NoError(t, second.RestoreLearnedState(encoded))
		again, err := second.LearnedState()
		require.NoError(t, err)
		var before, after struct{ Learned policy.LearnedState }
		require.NoError(t, cbor.Unmarshal(encoded, &before))
		require.NoError(t, cbor.Unmarshal(again, &after))
		answered := before.Learned.Servers[scenario.CacheID].LastAnswer
		require.NotZero(t, answered)
		require.InDelta(t, step, clock.Ms(after.Learned.Servers[scenario.CacheID].LastAnswer-answered), 500)
	}
}
