package handover

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/policy"
)

// The wall clock is stepped by an hour between the starts of two processes. What the first one kept of a server that it was
// given back counts from the same moment at the second, also where it is told over and not read: a server that was given back
// a moment ago is cold.
func TestBackOverAStep(t *testing.T) {
	const hour = 3_600_000
	for _, step := range []float64{0, hour, -hour} {
		path, id := filepath.Join(t.TempDir(), "record.json"), policy.CacheID(7)
		before, after := clock.System(), clock.Shifted(step)
		first := record{path: path, clock: before}
		require.NoError(t, first.put(id, true, before.Now()))
		given := time.Now()
		require.NoError(t, first.put(id, false, before.Now()))
		second := record{path: path, clock: after}
		require.NoError(t, second.load())
		epoch, ok := before.Epoch()
		require.True(t, ok)
		third := record{path: filepath.Join(t.TempDir(), "none"), clock: after}
		third.replace(kept{Back: first.backNames(), Epoch: epoch})
		for _, r := range []*record{&second, &third} {
			at, known := r.back()[id]
			require.True(t, known)
			ago := after.Now() - at
			require.GreaterOrEqual(t, ago, -sameMoment, "step %v", step)
			require.LessOrEqual(t, ago, clock.Ms(time.Since(given))+sameMoment, "step %v", step)
		}
	}
}

// sameMoment: two readings of one machine's clocks may be so many ms apart.
const sameMoment = 500.0
