package multiprocess_test

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/multiprocess"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// waitForAgreement waits until each of the processes considers exactly the expected members alive, at their present addresses.
func waitForAgreement(t *testing.T, processes, alive []*multiprocess.Process) {
	t.Helper()
	var err error
	startedAt := time.Now()
	if !assert.Eventually(t, func() bool {
		err = multiprocess.CheckAgreement(processes, alive)
		return err == nil
	}, multiprocess.ReadyTimeout, 50*time.Millisecond) {
		t.Fatal(err)
	}
	t.Logf("%d processes agree on %d alive members after %v", len(processes), len(alive), time.Since(startedAt).Round(100*time.Millisecond))
}

// Half of the processes are killed at the same time. The others agree on which are dead and keep serving. The killed ones rejoin.
func TestHalfKilledRejoins(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 10, CachesPerZone: 3, Parents: 1, TransferTime: 3, FillTime: 15, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 10 })
	var killed, survivors []*multiprocess.Process
	for i, p := range cluster.Processes {
		if i%2 == 0 {
			killed = append(killed, p)
		} else {
			survivors = append(survivors, p)
		}
	}
	cluster.Kill(killed...)
	waitForAgreement(t, survivors, survivors)
	require.NoError(t, cluster.Start(killed...))
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	stop()
	require.Empty(t, cluster.Violations())
	for _, p := range survivors {
		require.Positive(t, cluster.Served(p))
		require.Empty(t, cluster.Client(p).Violations())
	}
	for _, p := range cluster.Processes { // also those that started under load
		counters, err := p.Counters()
		require.NoError(t, err)
		require.Zero(t, counters["misnamed"])
		require.LessOrEqual(t, counters["unsent"]+counters["unanswered"], counters["requests"]/200, "%s: %v", p.Name, counters)
	}
	require.NoError(t, cluster.Stop(cluster.Processes...), "a stopped process announces that it leaves and exits with status 0")
}

// Two zones are partitioned until the processes of each consider those of the other dead. After the partition the zones merge,
// though no process lists members of both zones any more.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 6, CachesPerZone: 2, Parents: 1, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	zone0, zone1 := cluster.Processes[:6], cluster.Processes[6:]
	cluster.SetLinkFault(0, 1, multiprocess.LinkFault{Blocked: true})
	cluster.SetLinkFault(1, 0, multiprocess.LinkFault{Blocked: true})
	waitForAgreement(t, zone0, zone0)
	waitForAgreement(t, zone1, zone1)
	cluster.SetLinkFault(0, 1, multiprocess.LinkFault{})
	cluster.SetLinkFault(1, 0, multiprocess.LinkFault{})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
}

// startGossipAs starts gossip in the test's process with the name and keys of a proxy process, at the address listen. It reports
// the totals that the given function returns.
func startGossipAs(t *testing.T, cluster *multiprocess.Cluster, p *multiprocess.Process, listen string, seed string, totals func() map[policy.ServerID]fleetview.Totals) *peers.Peers {
	t.Helper()
	identity, err := store.LoadIdentity(cluster.KeysDir(), p.Name)
	require.NoError(t, err)
	gossip, err := peers.Start(peers.Options{
		Name: p.Name, Listen: listen, Seeds: []string{seed}, Zone: "zone-0", DigestInterval: 200, Identity: identity, Clock: cluster.Clock,
		Totals:  func() (uint64, map[policy.ServerID]fleetview.Totals) { return 0, totals() },
		Objects: func() []uint64 { return nil },
	})
	require.NoError(t, err)
	t.Cleanup(gossip.Close)
	return gossip
}

// nonexistentCache is the id of a cache that does not exist.
const nonexistentCache = 99

// falseTotals returns a function whose totals grow at each call by 200,000 failed attempts at every cache, and as many successful
// ones at nonexistentCache.
func falseTotals(caches []policy.ServerID) func() map[policy.ServerID]fleetview.Totals {
	calls := 0
	return func() map[policy.ServerID]fleetview.Totals {
		calls++
		reported := map[policy.ServerID]fleetview.Totals{}
		for _, id := range append(caches, nonexistentCache) {
			totals := fleetview.Totals{Attempts: uint64(calls) * 200_000}
			if id != nonexistentCache {
				totals.Failures = totals.Attempts
			}
			reported[id] = totals
		}
		return reported
	}
}

// requireCorrectEstimates checks that at least one of the observers received false reports of falseReporter, and that no observer's
// estimates of the caches follow them.
func requireCorrectEstimates(t *testing.T, observers []*multiprocess.Process, falseReporter *multiprocess.Process, caches []policy.ServerID) {
	t.Helper()
	falseReports := 0
	for _, p := range observers {
		view, err := p.FleetView("")
		require.NoError(t, err)
		for _, server := range view.Servers {
			if server.ID == serverlist.FormatID(caches[0]) {
				details, err := p.FleetView(server.ID)
				require.NoError(t, err)
				for _, report := range details.Servers[0].Reports {
					if report.Name == falseReporter.Name && report.Attempts > 1e4 {
						falseReports++
					}
				}
			}
			if slices.Contains(caches, parseServerID(t, server.ID)) {
				require.Less(t, server.Failing.Value, 0.1, "estimate of cache %s by %s", server.ID, p.Name)
				require.Less(t, server.Load.Value, 1000.0)
			}
		}
	}
	require.Positive(t, falseReports, "no observer received the false reports")
}

// One process of eight reports a million failed attempts per second at every cache, and as many successes at a cache that does not
// exist; another process also receives a flood of forged datagrams. The other processes' estimates stay correct, every cache keeps
// receiving requests, the nonexistent one gets none, and all members stay alive.
func TestFalseReportsAreOutvoted(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 1, ProcessesPerZone: 8, CachesPerZone: 4, Parents: 1, TransferTime: 3, FillTime: 15, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	falseReporter, others := cluster.Processes[7], cluster.Processes[:7]
	cluster.Kill(falseReporter)
	caches := cluster.ReadyCaches(0)
	gossip := startGossipAs(t, cluster, falseReporter, falseReporter.PeerAddr, others[0].PeerAddr, falseTotals(caches))
	waitForAgreement(t, others, cluster.Processes)
	stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 20 })
	defer stop()

	nc, err := net.Dial("udp", others[0].PeerAddr)
	require.NoError(t, err)
	defer nc.Close()
	for i := range 3000 {
		_, _ = nc.Write([]byte(fmt.Sprint("\x48 not a datagram of ours ", i)))
	}
	observed := len(cluster.Fleet.Observations())
	require.Eventually(t, func() bool { return len(cluster.Fleet.Observations()) > observed+1000 }, multiprocess.ReadyTimeout, 10*time.Millisecond)
	requireCorrectEstimates(t, others, falseReporter, caches)
	attempts := map[policy.ServerID]int{}
	for _, observation := range cluster.Fleet.ObservationsAfter(observed) {
		attempts[observation.Server]++
	}
	for _, id := range caches {
		require.Positive(t, attempts[id])
	}
	require.Zero(t, attempts[nonexistentCache])
	status, err := others[0].PeerStatus()
	require.NoError(t, err)
	require.Positive(t, status.Dropped["malformed"]+status.Dropped["flood"])
	waitForAgreement(t, others, cluster.Processes)
	require.Empty(t, cluster.Violations())
	gossip.Close()
	waitForAgreement(t, others, others)
}

func parseServerID(t *testing.T, name string) policy.ServerID {
	id, ok := serverlist.ParseID(name)
	require.True(t, ok, name)
	return id
}

// A process is suspended until the others consider it dead. It rejoins when it is resumed, and its outdated view of the others
// makes no process consider them dead. A second process with a name that is in use is not admitted, and the log of the first names
// both addresses.
func TestSuspendedProcessRejoinsAndDuplicateNameIsRejected(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 6, CachesPerZone: 2, Parents: 1, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	suspended, others := cluster.Processes[3], slices.Concat(cluster.Processes[:3], cluster.Processes[4:])
	require.NoError(t, suspended.Signal(syscall.SIGSTOP))
	waitForAgreement(t, others, others)
	require.NoError(t, suspended.Signal(syscall.SIGCONT))
	waitForAgreement(t, cluster.Processes, cluster.Processes)

	duplicated := cluster.Processes[1]
	duplicate := startGossipAs(t, cluster, duplicated, "127.0.0.1:0", cluster.Processes[0].PeerAddr, func() map[policy.ServerID]fleetview.Totals { return nil })
	require.Eventually(t, func() bool { return strings.Contains(duplicated.Log(), "two processes have one name") }, multiprocess.ReadyTimeout, 20*time.Millisecond)
	require.Contains(t, duplicated.Log(), duplicated.PeerAddr)
	require.Contains(t, duplicated.Log(), duplicate.Status().Addr)
	waitForAgreement(t, cluster.Processes, cluster.Processes)
}
