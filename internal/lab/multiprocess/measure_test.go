package multiprocess_test

import (
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/multiprocess"
	"ravenwheel/policy"
)

// TestMeasureWithPeers measures what gossip costs and how fast processes agree on the members, with the numbers of processes in the
// environment variable FIELD, separated by commas ("make field"). CI does not run it. Its figures go to docs/measurements/peers.md;
// it asserts only what must hold at every size.
func TestMeasureWithPeers(t *testing.T) {
	sizes := os.Getenv("FIELD")
	if sizes == "" {
		t.Skip("FIELD is not set")
	}
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		t.Run(text, func(t *testing.T) { measureGossip(t, n) })
	}
}

// measureInterval is the time between two queries of hundreds of processes; more frequent queries would load them noticeably.
const measureInterval = 500 * time.Millisecond

func measureGossip(t *testing.T, n int) {
	zones := max(2, n/25)
	cluster := startCluster(t, multiprocess.Options{
		Seed: 7, Zones: zones, ProcessesPerZone: n / zones, CachesPerZone: 4, Parents: 4, TransferTime: 5, FillTime: 20,
		Peers: true, Objects: 2000,
	})
	waitForAgreement := func(event string, processes, alive []*multiprocess.Process) {
		startedAt := time.Now()
		var err error
		if !assert.Eventually(t, func() bool {
			err = multiprocess.CheckAgreement(processes, alive)
			return err == nil
		}, multiprocess.ReadyTimeout, measureInterval) {
			t.Fatal(err)
		}
		t.Logf("%d processes, %d zones: %s %.1f s", len(cluster.Processes), zones, event, time.Since(startedAt).Seconds())
	}
	waitForAgreement("time until all agreed that all were alive, from when the last was ready:", cluster.Processes, cluster.Processes)

	stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 10 })
	time.Sleep(settleTime)
	measureSteadyState(t, cluster)

	var killed, survivors []*multiprocess.Process
	for i, p := range cluster.Processes {
		if i%3 == 0 {
			killed = append(killed, p)
		} else {
			survivors = append(survivors, p)
		}
	}
	cluster.Kill(killed...)
	waitForAgreement("time until all survivors agreed on the dead third, from when it was killed:", survivors, survivors)
	require.NoError(t, cluster.Start(killed...))
	waitForAgreement("time until all agreed that all were alive, from when the killed ones were ready again:", cluster.Processes, cluster.Processes)
	stop()
	require.Empty(t, cluster.Violations())
	for _, p := range survivors {
		require.Empty(t, cluster.Client(p).Violations())
	}
}

// measureSteadyState logs the resources that each process uses, and how accurate the estimates of the caches' load are.
func measureSteadyState(t *testing.T, cluster *multiprocess.Cluster) {
	const spanSeconds = 20.0 // seconds
	before := usageOf(t, cluster)
	var estimateErrors []float64
	for range 4 {
		time.Sleep(spanSeconds / 4 * time.Second)
		estimateErrors = append(estimateErrors, loadEstimateErrors(t, cluster)...)
	}
	after := usageOf(t, cluster)
	perProcess := func(value func(usage) float64) float64 {
		return (value(after) - value(before)) / spanSeconds / float64(len(cluster.Processes))
	}
	slices.Sort(estimateErrors)
	accurate := 0
	for _, e := range estimateErrors {
		if e <= 0.2 {
			accurate++
		}
	}
	var resident []float64
	for _, p := range cluster.Processes {
		resident = append(resident, residentMemory(t, p.PID()))
	}
	slices.Sort(resident)
	t.Logf("per process: %.1f KB/s sent, of which digests %.1f and streams %.1f; %.1f KB/s received; %.2f %% of a core in all; %.1f MB resident (median)",
		perProcess(func(u usage) float64 { return u.sent })/1000, perProcess(func(u usage) float64 { return u.digests })/1000,
		perProcess(func(u usage) float64 { return u.streams })/1000, perProcess(func(u usage) float64 { return u.received })/1000,
		100*perProcess(func(u usage) float64 { return u.cpu }), resident[len(resident)/2])
	t.Logf("estimated load of the caches of the own zone, compared with the attempts that they received in the last 3 s: within 20 %% in %.0f %% of %d samples; median relative error %.2f, 95th percentile %.2f",
		100*float64(accurate)/float64(len(estimateErrors)), len(estimateErrors), estimateErrors[len(estimateErrors)/2], estimateErrors[len(estimateErrors)*95/100])
}

// settleTime is the time after processes joined until gossip traffic is steady: after its start, each process requests the complete
// state three times.
const settleTime = 45 * time.Second

// usage is the sum of what all processes have used since their starts.
type usage struct {
	sent, digests, streams, received float64 // bytes
	cpu                              float64 // seconds
}

func usageOf(t *testing.T, cluster *multiprocess.Cluster) (sum usage) {
	for _, p := range cluster.Processes {
		s, err := p.PeerSummary()
		require.NoError(t, err)
		sum.sent += float64(s.SentBytes)
		sum.digests += float64(s.DigestBytes)
		sum.streams += float64(s.StreamBytes)
		sum.received += float64(s.ReceivedBytes)
		sum.cpu += cpuTime(t, p.PID())
	}
	return sum
}

// cpuTime returns the CPU time of a process in seconds.
func cpuTime(t *testing.T, pid int) (seconds float64) {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	require.NoError(t, err)
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	for _, i := range []int{11, 12} { // utime and stime, in hundredths of a second
		ticks, err := strconv.ParseFloat(fields[i], 64)
		require.NoError(t, err)
		seconds += ticks / 100
	}
	return seconds
}

// residentMemory returns the resident set size of a process in MB.
func residentMemory(t *testing.T, pid int) float64 {
	raw, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	require.NoError(t, err)
	pages, err := strconv.ParseFloat(strings.Fields(string(raw))[1], 64)
	require.NoError(t, err)
	return pages * float64(os.Getpagesize()) / 1e6
}

// loadEstimateErrors compares the load of each cache, as one process of its zone estimates it, with the attempts that the cache
// received in the last 3 s. It returns the relative errors.
func loadEstimateErrors(t *testing.T, cluster *multiprocess.Cluster) (relativeErrors []float64) {
	byZone := map[int]*multiprocess.Process{}
	for _, p := range cluster.Processes {
		byZone[p.Zone] = p
	}
	now := cluster.Clock.Now()
	received := map[policy.ServerID]float64{}
	for _, observation := range cluster.Fleet.Observations() {
		if observation.At > now-3000 && !observation.Probe {
			received[observation.Server] += 1.0 / 3
		}
	}
	for zone, p := range byZone {
		view, err := p.FleetView("")
		require.NoError(t, err)
		estimates := map[string]float64{}
		for _, server := range view.Servers {
			estimates[server.ID] = server.Load.Value
		}
		for _, id := range cluster.ReadyCaches(zone) {
			relativeErrors = append(relativeErrors, math.Abs(estimates[serverlist.FormatID(id)]-received[id])/max(received[id], 1))
		}
	}
	return relativeErrors
}

// TestMeasureWithoutPeers measures the CPU time and memory of a process at the same traffic without gossip, with the numbers of
// processes in the environment variable FIELD_OFF.
func TestMeasureWithoutPeers(t *testing.T) {
	sizes := os.Getenv("FIELD_OFF")
	if sizes == "" {
		t.Skip("FIELD_OFF is not set")
	}
	for _, text := range strings.Split(sizes, ",") {
		n, err := strconv.Atoi(text)
		require.NoError(t, err)
		zones := max(2, n/25)
		cluster := startCluster(t, multiprocess.Options{
			Seed: 7, Zones: zones, ProcessesPerZone: n / zones, CachesPerZone: 4, Parents: 4, TransferTime: 5, FillTime: 20,
			Objects: 2000,
		})
		stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 10 })
		time.Sleep(settleTime)
		const spanSeconds = 20.0
		before, after, resident := 0.0, 0.0, []float64{}
		for _, p := range cluster.Processes {
			before += cpuTime(t, p.PID())
		}
		time.Sleep(spanSeconds * time.Second)
		for _, p := range cluster.Processes {
			after += cpuTime(t, p.PID())
			resident = append(resident, residentMemory(t, p.PID()))
		}
		stop()
		slices.Sort(resident)
		t.Logf("%d processes without gossip: %.2f %% of a core each; %.1f MB resident (median)", n, 100*(after-before)/spanSeconds/float64(len(cluster.Processes)), resident[len(resident)/2])
	}
}
