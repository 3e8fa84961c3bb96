package loadmetrics

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/policy"
)

// steady is so many attempts a second at a cache, evenly spaced.
func steady(id policy.CacheID, from, to, perS float64) (out []Attempt) {
	for i := range int((to - from) * perS) {
		out = append(out, Attempt{from + (float64(i)+0.5)/perS, id})
	}
	return out
}

func TestSpreadByWeight(t *testing.T) {
	caches := map[policy.CacheID]Cache{1: {0, 1}, 2: {0, 3}, 3: {1, 1}, 4: {1, 1}, 5: {2, 1}}
	var as []Attempt
	as = append(append(as, steady(1, 0, 10, 10)...), steady(2, 0, 10, 30)...)
	r := NewRecord(append(as, steady(5, 0, 10, 10)...), caches)
	require.Equal(t, Spread{1, 1, 1}, r.Over(0, 10, 1), "even by weight; idle zones and single caches say nothing")
	as = append(append(as, steady(3, 0, 10, 30)...), steady(4, 0, 10, 10)...)
	r = NewRecord(append(as, Attempt{1, 99}), caches)
	s := r.Over(0, 10, 5)
	require.InDelta(t, 1.5, s.P95, 1e-9)
	require.InDelta(t, 0.5, min(s.Least, 0.5), 1e-9)
	require.Zero(t, r.Over(20, 30, 1))
}

// A cache turns bad at 10, is left at 12, is well again at 20 and has its part back at 23; its neighbour bears it.
func TestReaction(t *testing.T) {
	caches := map[policy.CacheID]Cache{1: {0, 1}, 2: {0, 1}}
	var as []Attempt
	as = append(append(as, steady(1, 0, 12, 20)...), steady(1, 23, 30, 20)...)
	as = append(append(append(as, steady(2, 0, 12, 20)...), steady(2, 12, 23, 40)...), steady(2, 23, 30, 20)...)
	r := NewRecord(as, caches)
	require.InDelta(t, 1.5, r.Left(1, 10, 20), 0.2)
	require.InDelta(t, 2.8, r.Back(1, 10, 20, 30), 0.3)
	require.InDelta(t, 2, r.Surge(10), 0.05)
	require.InDelta(t, 1, r.Surge(5), 0.05)
	require.True(t, math.IsNaN(r.Left(2, 10, 20)))
	require.True(t, math.IsNaN(r.Back(1, 10, 20, 22)))
	require.True(t, math.IsNaN(r.Left(1, 40, 50)), "it had nothing before")
}
