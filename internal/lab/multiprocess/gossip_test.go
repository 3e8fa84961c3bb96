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

// agree waits until processes consider exactly the expected members alive.
func agree(t *testing.T, ps, alive []*multiprocess.Process) {
	t.Helper()
	var err error
	began := time.Now()
	if !assert.Eventually(t, func() bool {
		err = multiprocess.CheckAgreement(ps, alive)
		return err == nil
	}, multiprocess.ReadyTimeout, 50*time.Millisecond) {
		t.Fatal(err)
	}
	t.Logf("%d agree on %d after %v", len(ps), len(alive), time.Since(began).Round(100*time.Millisecond))
}

// Half of the processes are killed at the same time. The others agree on who is dead and keep serving; the killed ones rejoin.
func TestHalfKilledRejoins(t *testing.T) {
	t.Parallel()
	cluster := start(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 10, CachesPerZone: 3, Parents: 1, TransferTime: 3, FillTime: 15, Peers: true})
	agree(t, cluster.Processes, cluster.Processes)
	stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 10 })
	var killed, left []*multiprocess.Process
	for i, p := range cluster.Processes {
		if i%2 == 0 {
			killed = append(killed, p)
		} else {
			left = append(left, p)
		}
	}
	cluster.Kill(killed...)
	agree(t, left, left)
	require.NoError(t, cluster.Start(killed...))
	agree(t, cluster.Processes, cluster.Processes)
	stop()
	require.Empty(t, cluster.Violations())
	for _, p := range left {
		require.Positive(t, cluster.Served(p))
		require.Empty(t, cluster.Client(p).Violations())
	}
	for _, p := range cluster.Processes { // those that started under load included
		n, err := p.Counters()
		require.NoError(t, err)
		require.Zero(t, n["misnamed"])
		require.LessOrEqual(t, n["unsent"]+n["unanswered"], n["requests"]/200, "%s: %v", p.Name, n)
	}
	require.NoError(t, cluster.Stop(cluster.Processes...), "a process that leaves announces it and exits with status 0")
}

// Two zones are partitioned until each considers the other dead. They merge after the partition heals, though no process has
// members of both zones any more.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	cluster := start(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 6, CachesPerZone: 2, Parents: 1, Peers: true})
	agree(t, cluster.Processes, cluster.Processes)
	one, two := cluster.Processes[:6], cluster.Processes[6:]
	cluster.SetLink(0, 1, multiprocess.Link{Blocked: true})
	cluster.SetLink(1, 0, multiprocess.Link{Blocked: true})
	agree(t, one, one)
	agree(t, two, two)
	cluster.SetLink(0, 1, multiprocess.Link{})
	cluster.SetLink(1, 0, multiprocess.Link{})
	agree(t, cluster.Processes, cluster.Processes)
}

// startImpostor takes part in gossip with the keys and name of a process.
func startImpostor(t *testing.T, cluster *multiprocess.Cluster, p *multiprocess.Process, listen string, seed string, totals func() map[policy.ServerID]fleetview.Totals) *peers.Peers {
	t.Helper()
	id, err := store.LoadIdentity(cluster.KeysDir(), p.Name)
	require.NoError(t, err)
	s, err := peers.Start(peers.Options{
		Name: p.Name, Listen: listen, Seeds: []string{seed}, Zone: "zone-0", DigestInterval: 200, Identity: id, Clock: cluster.Clock,
		Totals:  func() (uint64, map[policy.ServerID]fleetview.Totals) { return 0, totals() },
		Objects: func() []uint64 { return nil },
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// unknownCache is a cache that does not exist.
const unknownCache = 99

// falseTotals returns a function that reports, at each call, 200,000 more failed attempts at every cache, and as many successful
// ones at a cache that does not exist.
func falseTotals(caches []policy.ServerID) func() map[policy.ServerID]fleetview.Totals {
	calls := 0
	return func() map[policy.ServerID]fleetview.Totals {
		calls++
		reported := map[policy.ServerID]fleetview.Totals{}
		for _, id := range append(caches, unknownCache) {
			totals := fleetview.Totals{Attempts: uint64(calls) * 200_000}
			if id != unknownCache {
				totals.Failures = totals.Attempts
			}
			reported[id] = totals
		}
		return reported
	}
}

// requireCorrectEstimates checks that processes received the false reports of another one, and that their estimates of the caches
// do not follow them.
func requireCorrectEstimates(t *testing.T, honest []*multiprocess.Process, liar *multiprocess.Process, caches []policy.ServerID) {
	t.Helper()
	lies := 0
	for _, p := range honest {
		v, err := p.FleetView("")
		require.NoError(t, err)
		for _, x := range v.Servers {
			if x.ID == serverlist.FormatID(caches[0]) {
				details, err := p.FleetView(x.ID)
				require.NoError(t, err)
				for _, r := range details.Servers[0].Reports {
					if r.Name == liar.Name && r.Attempts > 1e4 {
						lies++
					}
				}
			}
			if slices.Contains(caches, idOf(t, x.ID)) {
				require.Less(t, x.Failing.Value, 0.1, "%s of %s", x.ID, p.Name)
				require.Less(t, x.Load.Value, 1000.0)
			}
		}
	}
	require.Positive(t, lies, "the false reports were received")
}

// One process of eight reports millions of attempts per second, all failing, at every cache, and successes at a cache that does
// not exist; forged datagrams arrive, too many of them. The other processes' estimates stay correct, every cache keeps its
// traffic, the one that does not exist gets none, and all members stay alive.
func TestFalseReportsAreOutvoted(t *testing.T) {
	t.Parallel()
	cluster := start(t, multiprocess.Options{Seed: 7, Zones: 1, ProcessesPerZone: 8, CachesPerZone: 4, Parents: 1, TransferTime: 3, FillTime: 15, Peers: true})
	agree(t, cluster.Processes, cluster.Processes)
	liar, honest := cluster.Processes[7], cluster.Processes[:7]
	cluster.Kill(liar)
	caches := cluster.ReadyCaches(0)
	impostor := startImpostor(t, cluster, liar, liar.PeerAddr, honest[0].PeerAddr, falseTotals(caches))
	agree(t, honest, cluster.Processes)
	stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 20 })
	defer stop()

	nc, err := net.Dial("udp", honest[0].PeerAddr)
	require.NoError(t, err)
	defer nc.Close()
	for i := range 3000 {
		_, _ = nc.Write([]byte(fmt.Sprint("\x48 not a datagram of ours ", i)))
	}
	seen := len(cluster.Fleet.Observations())
	require.Eventually(t, func() bool { return len(cluster.Fleet.Observations()) > seen+1000 }, multiprocess.ReadyTimeout, 10*time.Millisecond)
	requireCorrectEstimates(t, honest, liar, caches)
	used := map[policy.ServerID]int{}
	for _, x := range cluster.Fleet.ObservationsAfter(seen) {
		used[x.Server]++
	}
	for _, id := range caches {
		require.Positive(t, used[id])
	}
	require.Zero(t, used[unknownCache])
	status, err := honest[0].PeerStatus()
	require.NoError(t, err)
	require.Positive(t, status.Dropped["malformed"]+status.Dropped["flood"])
	agree(t, honest, cluster.Processes)
	require.Empty(t, cluster.Violations())
	impostor.Close()
	agree(t, honest, honest)
}

func idOf(t *testing.T, name string) policy.ServerID {
	id, ok := serverlist.ParseID(name)
	require.True(t, ok, name)
	return id
}

// A process is suspended until the others consider it dead. It rejoins when it is resumed, and what it believed of the others
// kills none of them. A process with a name that is in use is not admitted, and the log names both.
func TestSuspendedProcessRejoinsAndDuplicateNameIsRejected(t *testing.T) {
	t.Parallel()
	cluster := start(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 6, CachesPerZone: 2, Parents: 1, Peers: true})
	agree(t, cluster.Processes, cluster.Processes)
	suspended, others := cluster.Processes[3], slices.Concat(cluster.Processes[:3], cluster.Processes[4:])
	require.NoError(t, suspended.Signal(syscall.SIGSTOP))
	agree(t, others, others)
	require.NoError(t, suspended.Signal(syscall.SIGCONT))
	agree(t, cluster.Processes, cluster.Processes)

	twice := cluster.Processes[1]
	s := startImpostor(t, cluster, twice, "127.0.0.1:0", cluster.Processes[0].PeerAddr, func() map[policy.ServerID]fleetview.Totals { return nil })
	require.Eventually(t, func() bool { return strings.Contains(twice.Log(), "two processes have one name") }, multiprocess.ReadyTimeout, 20*time.Millisecond)
	require.Contains(t, twice.Log(), twice.PeerAddr)
	require.Contains(t, twice.Log(), s.Status().Addr)
	agree(t, cluster.Processes, cluster.Processes)
}
