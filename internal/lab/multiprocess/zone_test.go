package multiprocess_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/multiprocess"
	"ravenwheel/policy"
)

// A zone's caches are lost at one instant, half of all copies go void, one of the zone's processes is killed and starts
// again in the midst, and the caches come back cold: no rule is broken, by the survivors or by the one that knows nothing,
// the other zone does not notice, and in the end every cache is used again and every process serves.
func TestZoneBackColdWhileCopiesAreVoid(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 2, Processes: 6, Caches: 4, Parents: 2, Serve: 3, Fill: 15})
	stop := f.Traffic(func(*multiprocess.Process) float64 { return 20 })
	time.Sleep(2 * time.Second)
	struck, zone := f.Processes[0], f.Caches(0)
	lost := f.Caches(0)
	f.Lose(lost...)
	for group := range fleet.Groups / 2 {
		f.Purge("", group)
	}
	time.Sleep(time.Second)
	f.Kill(struck)
	time.Sleep(time.Second)
	require.NoError(t, f.Return(lost...))
	require.NoError(t, f.Start(struck))
	n := len(f.Fleet.Observations())
	served := map[*multiprocess.Process]int{}
	for _, p := range f.Processes {
		served[p] = f.Served(p)
	}
	// A trial is due every 5 s, and what was void is told for good after 7.
	time.Sleep(9 * time.Second)
	stop()
	require.Empty(t, f.Broken())
	used := map[policy.CacheID]int{}
	for _, s := range f.Fleet.ObservationsAfter(n) {
		used[s.Server]++
	}
	for _, id := range zone {
		require.Positive(t, used[id], "cache %d is back and used", id)
	}
	for _, p := range f.Processes {
		require.Greater(t, f.Served(p), served[p], p.Name)
		for _, w := range f.Client(p).Violations() {
			require.Same(t, struck, p, "%s: %s", p.Name, w)
		}
	}
}
