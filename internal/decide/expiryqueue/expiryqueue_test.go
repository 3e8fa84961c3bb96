package expiryqueue

import (
	"maps"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// However entries are added, moved and removed, and however the clock jumps, the queue expires the same
// entries as a walk over all of them, and stays within its size bound.
func TestExpireEqualsWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want, got := map[int]float64{}, map[int]float64{}
		var q Queue[int]
		end := rapid.OneOf(rapid.Float64Range(0, 100), rapid.Just(math.NaN()), rapid.Just(50.0))
		for range rapid.IntRange(0, 300).Draw(t, "n") {
			key := rapid.IntRange(0, 12).Draw(t, "key")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				delete(want, key)
				delete(got, key)
			case 1:
				q = Queue[int]{}
				q.Rebuild(maps.All(got))
			case 2, 3:
				now := rapid.Float64Range(-10, 110).Draw(t, "now")
				due := func(at float64) bool { return at < now }
				for k, at := range want {
					if due(at) {
						delete(want, k)
					}
				}
				q.Expire(due, func(k int) (float64, bool) { at, ok := got[k]; return at, ok }, func(k int) { delete(got, k) })
			default:
				at := end.Draw(t, "end")
				old, known := got[key]
				want[key], got[key] = at, at
				q.Set(key, at, old, known)
				if q.NeedsRebuild(len(got)) {
					q.Rebuild(maps.All(got))
				}
			}
			require.Len(t, got, len(want))
			for k, at := range want {
				require.Contains(t, got, k)
				require.True(t, at == got[k] || math.IsNaN(at) && math.IsNaN(got[k]), "key %d", k)
			}
			require.LessOrEqual(t, len(q.heap), maxEntriesPerKey*len(got)+maxEntriesPerKey*13+minEntriesToRebuild)
		}
	})
}

// An expiry that is moved back and forth a million times does not leave an entry each time.
func TestMovedExpiryLeavesFewEntries(t *testing.T) {
	var q Queue[string]
	ends := map[string]float64{}
	for i := range 1_000_000 {
		at := float64(1000 - i%2)
		old, got := ends["a"]
		ends["a"] = at
		if q.Set("a", at, old, got); q.NeedsRebuild(len(ends)) {
			q.Rebuild(maps.All(ends))
		}
	}
	require.LessOrEqual(t, cap(q.heap), 4*(maxEntriesPerKey+minEntriesToRebuild))
}
