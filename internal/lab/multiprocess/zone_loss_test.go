package multiprocess_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/multiprocess"
	"ravenwheel/policy"
)

// All caches of a zone are killed at once, half of all copies are purged, one of the zone's processes is restarted meanwhile, and
// the caches restart without copies. No rule is broken, not even by the restarted process; in the end every cache of the zone
// receives attempts and every process serves requests.
func TestZoneReturnsWithoutCopiesDuringPurge(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 6, CachesPerZone: 4, Parents: 2, TransferTime: 3, FillTime: 15})
	stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 20 })
	time.Sleep(2 * time.Second)
	restarted, caches := cluster.Processes[0], cluster.ReadyCaches(0)
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
	observed := len(cluster.Fleet.Observations())
	served := map[*multiprocess.Process]int{}
	for _, p := range cluster.Processes {
		served[p] = cluster.Served(p)
	}
	// Outliers are probed every 5 s, and processes have to follow a purge after 7 s at the latest.
	time.Sleep(9 * time.Second)
	stop()
	require.Empty(t, cluster.Violations())
	attempts := map[policy.ServerID]int{}
	for _, s := range cluster.Fleet.ObservationsAfter(observed) {
		attempts[s.Server]++
	}
	for _, id := range caches {
		require.Positive(t, attempts[id], "cache %d received no attempts after its restart", id)
	}
	for _, p := range cluster.Processes {
		require.Greater(t, cluster.Served(p), served[p], p.Name)
		for _, violation := range cluster.Client(p).Violations() {
			require.Same(t, restarted, p, "%s: %s", p.Name, violation)
		}
	}
}
