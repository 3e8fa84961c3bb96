package handover

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/policy"
)

// The wall clock is stepped by an hour between the starts of two processes. The time since a server was restored is the same
// at the second process, whether it reads the record or receives it.
func TestRestoredServersSurviveClockStep(t *testing.T) {
	const hour = 3_600_000
	for _, step := range []float64{0, hour, -hour} {
		path, id := filepath.Join(t.TempDir(), "record.json"), policy.ServerID(7)
		before, after := clock.System(), clock.SystemAhead(step)
		first := record{path: path, clock: before}
		require.NoError(t, first.setDrained(id, true, before.Now()))
		restored := time.Now()
		require.NoError(t, first.setDrained(id, false, before.Now()))
		second := record{path: path, clock: after}
		require.NoError(t, second.load())
		epoch, ok := before.Epoch()
		require.True(t, ok)
		third := record{path: filepath.Join(t.TempDir(), "none"), clock: after}
		third.replaceInMemory(ownerRecord{Restored: first.restoredNames(), Epoch: epoch})
		for _, r := range []*record{&second, &third} {
			at, known := r.restoredServers()[id]
			require.True(t, known)
			ago := after.Now() - at
			require.GreaterOrEqual(t, ago, -clockTolerance, "step %v", step)
			require.LessOrEqual(t, ago, clock.Ms(time.Since(restored))+clockTolerance, "step %v", step)
		}
	}
}

// clockTolerance is how many ms two readings of one machine's clocks may differ by.
const clockTolerance = 500.0
