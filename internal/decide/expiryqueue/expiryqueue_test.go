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

// However entries are added, moved and removed, and however the clock is stepped, the queue expires the same keys as a scan of all
// of them, and stays within its size bound.
func TestExpireMatchesFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want, got := map[int]float64{}, map[int]float64{}
		var q Queue[int]
		expiry := rapid.OneOf(rapid.Float64Range(0, 100), rapid.Just(math.NaN()), rapid.Just(50.0))
		for range rapid.IntRange(0, 300).Draw(t, "n") {
			key := rapid.IntRange(0, 12).Draw(t, "key")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				delete(want, key)
				delete(got, key)
			case 1:
				q = Queue[int]{}
				q.Rebuild(maps.All(got))
			case 2, 3:
				now := rapid.Float64Range(-10, 110).Draw(t, "now")
				expired := func(expiresAt float64) bool { return expiresAt < now }
				for k, expiresAt := range want {
					if expired(expiresAt) {
						delete(want, k)
					}
				}
				q.Expire(expired, func(k int) (float64, bool) { expiresAt, ok := got[k]; return expiresAt, ok }, func(k int) { delete(got, k) })
			default:
				expiresAt := expiry.Draw(t, "expiry")
				old, known := got[key]
				want[key], got[key] = expiresAt, expiresAt
				q.Set(key, expiresAt, old, known)
				if q.NeedsRebuild(len(got)) {
					q.Rebuild(maps.All(got))
				}
			}
			require.Len(t, got, len(want))
			for k, expiresAt := range want {
				require.Contains(t, got, k)
				require.True(t, expiresAt == got[k] || math.IsNaN(expiresAt) && math.IsNaN(got[k]), "key %d", k)
			}
			require.LessOrEqual(t, len(q.heap), maxEntriesPerKey*len(got)+maxEntriesPerKey*13+minEntriesToRebuild)
		}
	})
}

// An expiry that is moved back and forth a million times does not leave an entry each time.
func TestMovedExpiryLeavesFewEntries(t *testing.T) {
	var q Queue[string]
	expiries := map[string]float64{}
	for i := range 1_000_000 {
		expiresAt := float64(1000 - i%2)
		old, known := expiries["a"]
		expiries["a"] = expiresAt
		if q.Set("a", expiresAt, old, known); q.NeedsRebuild(len(expiries)) {
			q.Rebuild(maps.All(expiries))
		}
	}
	require.LessOrEqual(t, cap(q.heap), 4*(maxEntriesPerKey+minEntriesToRebuild))
}
