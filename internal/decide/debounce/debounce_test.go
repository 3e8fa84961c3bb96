package debounce_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/debounce"
	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var set = debounce.Settings{Quiet: 50, MaxDelay: 500, PollInterval: 2000}

// play lets a watch run to a time over a file whose print changes at the given times. It returns when which print
// was taken, and how many looks it took.
func play(until float64, touches bool, changes map[float64]uint64) (taken map[float64]uint64, looks int) {
	taken = map[float64]uint64{}
	w := debounce.New(set, 0)
	at, print := w.Tick(0).WakeAt, uint64(0)
	look := func(now float64) {
		looks++
		a := w.ReadDone(now, now, print, print != 0)
		if a.Accept {
			taken[now] = print
		}
		at = a.WakeAt
	}
	look(0)
	for now := 0.0; now <= until; now++ {
		if p, ok := changes[now]; ok {
			if print = p; touches {
				at = w.Changed(now).WakeAt
			}
		}
		if now >= at {
			if a := w.Tick(now); a.Read {
				look(now)
			} else {
				at = a.WakeAt
			}
		}
	}
	return taken, looks
}

func TestSettle(t *testing.T) {
	taken, looks := play(10_000, true, map[float64]uint64{100: 1})
	require.Equal(t, map[float64]uint64{200: 1}, taken, "two looks, Quiet apart")
	require.LessOrEqual(t, looks, 9)
	taken, _ = play(10_000, false, map[float64]uint64{100: 1})
	require.Equal(t, map[float64]uint64{2050: 1}, taken, "a touch that was missed is found by the next poll")
	taken, _ = play(10_000, true, map[float64]uint64{100: 1, 3000: 2, 3020: 1})
	require.Equal(t, map[float64]uint64{200: 1}, taken, "there and back: nothing new")
	taken, _ = play(10_000, true, map[float64]uint64{100: 1, 3000: 0, 4000: 1, 6000: 2})
	require.Equal(t, map[float64]uint64{200: 1, 6100: 2}, taken, "away and back as it was: nothing new")
	storm := map[float64]uint64{}
	for i := range 5000 {
		storm[float64(i)] = uint64(i + 1)
	}
	taken, looks = play(10_000, true, storm)
	require.Equal(t, map[float64]uint64{5059: 5000}, taken, "a writer that never stops gets nothing taken before it has")
	require.LessOrEqual(t, looks, 30, "looks in a storm are bounded")
}

// However a file changes, what is taken has stood for Quiet, and what stands at the end is taken in the end.
func TestAnyWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		touches := rapid.Bool().Draw(t, "touches")
		changes, now, last := map[float64]uint64{}, 0.0, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			now += float64(rapid.IntRange(1, 200).Draw(t, "after"))
			last = uint64(rapid.IntRange(1, 5).Draw(t, "print"))
			changes[now] = last
		}
		taken, _ := play(now+5000, touches, changes)
		var end uint64
		for at := 0.0; at <= now+5000; at++ {
			p, ok := taken[at]
			if !ok {
				continue
			}
			end = p
			// The file read as it does now, Quiet ago.
			was := uint64(0)
			for x := 0.0; x <= at-set.Quiet; x++ {
				if v, ok := changes[x]; ok {
					was = v
				}
			}
			require.Equal(t, was, p)
		}
		require.Equal(t, last, end)
	})
}
