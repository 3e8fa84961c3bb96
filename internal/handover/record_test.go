package handover

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/policy"
)

// The wall clock is stepped by an hour between the starts of two processes. In the second process, the time since a server was
// restored is still right, whether the process reads the record from its file or receives it from the owner.
func TestRestoredServersSurviveClockStep(t *testing.T) {
	const hour = 3_600_000
	for _, step := range []float64{0, hour, -hour} {
		path, id := filepath.Join(t.TempDir(), "record.json"), policy.ServerID(7)
		before, after := clock.System(), clock.SystemAhead(step)
		original := record{path: path, clock: before}
		require.NoError(t, original.setDrained(id, true, before.Now()))
		restoredAt := time.Now()
		require.NoError(t, original.setDrained(id, false, before.Now()))
		loaded := record{path: path, clock: after}
		require.NoError(t, loaded.load())
		epoch, ok := before.Epoch()
		require.True(t, ok)
		received := record{path: filepath.Join(t.TempDir(), "none"), clock: after}
		received.replaceInMemory(ownerRecord{Restored: original.restoredNames(), Epoch: epoch})
		for _, r := range []*record{&loaded, &received} {
			at, known := r.restoredServers()[id]
			require.True(t, known)
			elapsed := after.Now() - at
			require.GreaterOrEqual(t, elapsed, -clockTolerance, "step %v", step)
			require.LessOrEqual(t, elapsed, clock.Ms(time.Since(restoredAt))+clockTolerance, "step %v", step)
		}
	}
}

// clockTolerance is by how many ms the readings of two clocks of one machine may differ in the tests.
const clockTolerance = 500.0
