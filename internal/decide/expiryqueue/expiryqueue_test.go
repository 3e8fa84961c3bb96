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

// Whatever is held, moved and let go of, and however the clock jumps, the queue has those expire that a walk through all
// of them would, and holds no more than its bound.
func TestWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		walked, held := map[int]float64{}, map[int]float64{}
		var q Queue[int]
		end := rapid.OneOf(rapid.Float64Range(0, 100), rapid.Just(math.NaN()), rapid.Just(50.0))
		for range rapid.IntRange(0, 300).Draw(t, "n") {
			key := rapid.IntRange(0, 12).Draw(t, "key")
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				delete(walked, key)
				delete(held, key)
			case 1:
				q = Queue[int]{}
				q.Rebuild(maps.All(held))
			case 2, 3:
				now := rapid.Float64Range(-10, 110).Draw(t, "now")
				due := func(at float64) bool { return at < now }
				for k, at := range walked {
					if due(at) {
						delete(walked, k)
					}
				}
				q.Expire(due, func(k int) (float64, bool) { at, ok := held[k]; return at, ok }, func(k int) { delete(held, k) })
			default:
				at := end.Draw(t, "end")
				old, known := held[key]
				walked[key], held[key] = at, at
				q.Set(key, at, old, known)
				if q.NeedsRebuild(len(held)) {
					q.Rebuild(maps.All(held))
				}
			}
			require.Len(t, held, len(walked))
			for k, at := range walked {
				require.Contains(t, held, k)
				require.True(t, at == held[k] || math.IsNaN(at) && math.IsNaN(held[k]), "key %d", k)
			}
			require.LessOrEqual(t, len(q.heap), spareTimes*len(held)+spareTimes*13+spareEntries)
		}
	})
}

// An end that goes forth and back a million times leaves no entry for each.
func TestForthAndBack(t *testing.T) {
	var q Queue[string]
	ends := map[string]float64{}
	for i := range 1_000_000 {
		at := float64(1000 - i%2)
		old, held := ends["a"]
		ends["a"] = at
		if q.Set("a", at, old, held); q.NeedsRebuild(len(ends)) {
			q.Rebuild(maps.All(ends))
		}
	}
	require.LessOrEqual(t, cap(q.heap), 4*(spareTimes+spareEntries))
}
