package multiprocess_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/lab/multiprocess"
)

// program is the path of the proxy's binary, built once.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ravenwheel-field-")
	if err == nil {
		program = filepath.Join(dir, "ravenwheel")
		var out []byte
		if out, err = exec.Command("go", "build", "-tags", tags, "-o", program, "ravenwheel/cmd/ravenwheel").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// startCluster starts a cluster and waits until all its processes are ready. It is closed when the test ends.
func startCluster(t *testing.T, o multiprocess.Options) *multiprocess.Cluster {
	o.Program, o.Dir = program, t.TempDir()
	cluster, err := multiprocess.New(o)
	require.NoError(t, err)
	t.Cleanup(cluster.Close)
	require.NoError(t, cluster.Start(cluster.Processes...))
	return cluster
}

// All processes are restarted, a tenth at a time, while half of the caches are replaced and the discovery service moves to another
// address, where it does not answer at first. No rule is broken, every process starts and exits cleanly, and at most one request in
// 200 is lost, fails or is finally rejected.
func TestRollingRestartBreaksNoRule(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 10, CachesPerZone: 6, Parents: 2, TransferTime: 3, FillTime: 15})
	stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 15 })
	replaced := append(cluster.ReadyCaches(0)[:3:3], cluster.ReadyCaches(1)[:3]...)
	tenth := len(cluster.Processes) / 10
	for step := range 10 {
		if step < len(replaced) {
			require.NoError(t, cluster.ReplaceCache(replaced[step]))
		}
		if step == 4 {
			old, err := cluster.MoveDiscovery()
			require.NoError(t, err)
			cluster.DiscoveryListener.SetStalled(true)
			running := cluster.Processes
			require.NoError(t, cluster.Reload(running...))
			require.Eventually(t, func() bool { return cluster.DiscoveryListener.Calls.Load() >= int64(len(running)) }, multiprocess.ReadyTimeout, 10*time.Millisecond)
			old.Close()
			cluster.Purge("", 17)
			cluster.DiscoveryListener.SetStalled(false)
		}
		batch := cluster.Processes[step*tenth : (step+1)*tenth]
		require.NoError(t, cluster.Stop(batch...))
		require.NoError(t, cluster.Start(batch...))
	}
	for _, id := range replaced {
		require.NoError(t, cluster.RemoveCache(id))
	}
	for z := range 2 {
		require.Len(t, cluster.ReadyCaches(z), 6)
	}
	time.Sleep(time.Second)
	stop()
	totals := cluster.Totals()
	require.Empty(t, cluster.Violations())
	require.Greater(t, totals.Served, 2000)
	unserved := totals.Lost + totals.Failed + max(0, totals.Rejected-totals.Retried)
	require.LessOrEqual(t, unserved, totals.Requested/200, "%+v", totals)
	for _, counts := range cluster.Fleet.Counts() {
		if !slices.Contains(replaced, counts.Server) && counts.Role == 0 {
			require.Positive(t, counts.Attempts, "cache %d was not replaced, but received no attempts", counts.Server)
		}
	}
}
