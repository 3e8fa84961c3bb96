package debounce_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/debounce"
	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

var settings = debounce.Settings{QuietPeriod: 50, MaxDelay: 500, PollInterval: 2000}

// simulate runs a debouncer until a time, in ms, on a file whose fingerprint changes at the given times (0: it can't be read),
// with or without notifications. It returns the accepted fingerprints by their time, and the number of reads.
func simulate(until float64, notify bool, changes map[float64]uint64) (accepted map[float64]uint64, reads int) {
	accepted = map[float64]uint64{}
	d := debounce.New(settings, 0)
	wakeAt, fingerprint := d.Tick(0).WakeAt, uint64(0)
	read := func(now float64) {
		reads++
		a := d.ReadDone(now, now, fingerprint, fingerprint != 0)
		if a.Accept {
			accepted[now] = fingerprint
		}
		wakeAt = a.WakeAt
	}
	read(0)
	for now := 0.0; now <= until; now++ {
		if changed, ok := changes[now]; ok {
			if fingerprint = changed; notify {
				wakeAt = d.Changed(now).WakeAt
			}
		}
		if now >= wakeAt {
			if a := d.Tick(now); a.Read {
				read(now)
			} else {
				wakeAt = a.WakeAt
			}
		}
	}
	return accepted, reads
}

func TestAcceptsStableTextOnce(t *testing.T) {
	accepted, reads := simulate(10_000, true, map[float64]uint64{100: 1})
	require.Equal(t, map[float64]uint64{200: 1}, accepted, "two reads, QuietPeriod apart")
	require.LessOrEqual(t, reads, 9)
	accepted, _ = simulate(10_000, false, map[float64]uint64{100: 1})
	require.Equal(t, map[float64]uint64{2050: 1}, accepted, "a change without a notification is found by the next poll")
	accepted, _ = simulate(10_000, true, map[float64]uint64{100: 1, 3000: 2, 3020: 1})
	require.Equal(t, map[float64]uint64{200: 1}, accepted, "changed and changed back: not accepted again")
	accepted, _ = simulate(10_000, true, map[float64]uint64{100: 1, 3000: 0, 4000: 1, 6000: 2})
	require.Equal(t, map[float64]uint64{200: 1, 6100: 2}, accepted, "removed and restored unchanged: not accepted again")
	rapidChanges := map[float64]uint64{}
	for i := range 5000 {
		rapidChanges[float64(i)] = uint64(i + 1)
	}
	accepted, reads = simulate(10_000, true, rapidChanges)
	require.Equal(t, map[float64]uint64{5059: 5000}, accepted, "nothing is accepted while the file keeps changing")
	require.LessOrEqual(t, reads, 30, "the number of reads is bounded")
}

// However a file changes, content is accepted only if the file had it QuietPeriod before, and the last content is accepted in the
// end.
func TestAcceptsOnlyStableTextOfAnyWriter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		notify := rapid.Bool().Draw(t, "notify")
		changes, now, last := map[float64]uint64{}, 0.0, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "n") {
			now += float64(rapid.IntRange(1, 200).Draw(t, "after"))
			last = uint64(rapid.IntRange(1, 5).Draw(t, "fingerprint"))
			changes[now] = last
		}
		accepted, _ := simulate(now+5000, notify, changes)
		var end uint64
		for at := 0.0; at <= now+5000; at++ {
			acceptedNow, ok := accepted[at]
			if !ok {
				continue
			}
			end = acceptedNow
			// The file had the same content QuietPeriod ago.
			was := uint64(0)
			for x := 0.0; x <= at-settings.QuietPeriod; x++ {
				if v, ok := changes[x]; ok {
					was = v
				}
			}
			require.Equal(t, was, acceptedNow)
		}
		require.Equal(t, last, end)
	})
}
