package multiprocess_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/multiprocess"
	"ravenwheel/policy"
)

// All caches of a zone are lost at once, half of all copies are purged, one of the zone's processes is restarted meanwhile, and
// the caches return without copies. No rule is broken, not by the restarted process either; in the end every cache gets traffic
// and every process serves.
func TestZoneReturnsWithoutCopiesDuringPurge(t *testing.T) {
	t.Parallel()
	cluster := start(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 6, CachesPerZone: 4, Parents: 2, TransferTime: 3, FillTime: 15})
	stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 20 })
	time.Sleep(2 * time.Second)
	restarted, zone := cluster.Processes[0], cluster.ReadyCaches(0)
	lost := cluster.ReadyCaches(0)
	cluster.KillCaches(lost...)
	for group := range fleet.GroupCount / 2 {
		cluster.Purge("", group)
	}
	time.Sleep(time.Second)
	cluster.Kill(restarted)
	time.Sleep(time.Second)
	require.NoError(t, cluster.RestartCaches(lost...))
	require.NoError(t, cluster.Start(restarted))
	n := len(cluster.Fleet.Observations())
	served := map[*multiprocess.Process]int{}
	for _, p := range cluster.Processes {
		served[p] = cluster.Served(p)
	}
	// Outliers are probed every 5 s, and a purge counts as received after 7 s.
	time.Sleep(9 * time.Second)
	stop()
	require.Empty(t, cluster.Violations())
	used := map[policy.ServerID]int{}
	for _, s := range cluster.Fleet.ObservationsAfter(n) {
		used[s.Server]++
	}
	for _, id := range zone {
		require.Positive(t, used[id], "cache %d gets traffic again", id)
	}
	for _, p := range cluster.Processes {
		require.Greater(t, cluster.Served(p), served[p], p.Name)
		for _, w := range cluster.Client(p).Violations() {
			require.Same(t, restarted, p, "%s: %s", p.Name, w)
		}
	}
}
