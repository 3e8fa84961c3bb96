package loadmetrics

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/policy"
)

// evenAttempts returns evenly spaced attempts at a server.
func evenAttempts(id policy.ServerID, from, to, perSecond float64) (attempts []Attempt) {
	for i := range int((to - from) * perSecond) {
		attempts = append(attempts, Attempt{from + (float64(i)+0.5)/perSecond, id})
	}
	return attempts
}

// The spread is that of load per weight, and leaves out zones without load or with a single server, and servers that are not
// listed.
func TestSpreadIsMeasuredByWeight(t *testing.T) {
	caches := map[policy.ServerID]Cache{1: {0, 1}, 2: {0, 3}, 3: {1, 1}, 4: {1, 1}, 5: {2, 1}}
	var attempts []Attempt
	attempts = append(append(attempts, evenAttempts(1, 0, 10, 10)...), evenAttempts(2, 0, 10, 30)...)
	trace := NewTrace(append(attempts, evenAttempts(5, 0, 10, 10)...), caches)
	require.Equal(t, Spread{1, 1, 1}, trace.Spread(0, 10, 1), "even by weight; zones without load or with a single server are left out")
	attempts = append(append(attempts, evenAttempts(3, 0, 10, 30)...), evenAttempts(4, 0, 10, 10)...)
	trace = NewTrace(append(attempts, Attempt{1, 99}), caches)
	spread := trace.Spread(0, 10, 5)
	require.InDelta(t, 1.5, spread.P95, 1e-9)
	require.InDelta(t, 0.5, min(spread.Least, 0.5), 1e-9)
	require.Zero(t, trace.Spread(20, 30, 1))
}

// Server 1 fails at 10 s, receives no load from 12 s on, recovers at 20 s and has its load again from 23 s on. Server 2 takes over
// its load from 12 to 23 s.
func TestReactionTimesAndSurge(t *testing.T) {
	caches := map[policy.ServerID]Cache{1: {0, 1}, 2: {0, 1}}
	var attempts []Attempt
	attempts = append(append(attempts, evenAttempts(1, 0, 12, 20)...), evenAttempts(1, 23, 30, 20)...)
	attempts = append(append(append(attempts, evenAttempts(2, 0, 12, 20)...), evenAttempts(2, 12, 23, 40)...), evenAttempts(2, 23, 30, 20)...)
	trace := NewTrace(attempts, caches)
	require.InDelta(t, 1.5, trace.TimeToAbandon(1, 10, 20), 0.2)
	require.InDelta(t, 2.8, trace.TimeToRestore(1, 10, 20, 30), 0.3)
	require.InDelta(t, 2, trace.Surge(10), 0.05)
	require.InDelta(t, 1, trace.Surge(5), 0.05)
	require.True(t, math.IsNaN(trace.TimeToAbandon(2, 10, 20)))
	require.True(t, math.IsNaN(trace.TimeToRestore(1, 10, 20, 22)))
	require.True(t, math.IsNaN(trace.TimeToAbandon(1, 40, 50)), "the server had no load before the change")
}
