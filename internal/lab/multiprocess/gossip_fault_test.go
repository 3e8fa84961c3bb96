package multiprocess_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/multiprocess"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// pollInterval is the time between two checks of a condition that a test waits for.
const pollInterval = 50 * time.Millisecond

type serverTotals = map[policy.ServerID]fleetview.Totals

// All that one zone sends to the other is lost; the other direction works. No probe between the zones is answered, so the processes
// of each zone consider those of the other dead and each other alive. After the fault, the zones merge again.
func TestOneWayPartitionSplitsAndHeals(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 5, CachesPerZone: 2, Parents: 1, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	zone0, zone1 := cluster.Processes[:5], cluster.Processes[5:]
	cluster.SetLinkFault(0, 1, multiprocess.LinkFault{Blocked: true})
	waitForAgreement(t, zone0, zone0)
	waitForAgreement(t, zone1, zone1)
	cluster.SetLinkFault(0, 1, multiprocess.LinkFault{})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
}

// One process of twenty is partitioned from all others. They consider it dead. It hears from no process, which it notices long
// before it considers all others dead. After the partition, it rejoins.
func TestSingleProcessPartitionedRejoins(t *testing.T) {
	t.Parallel()
	const n = 20
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: n, ProcessesPerZone: 1, CachesPerZone: 1, Parents: 1, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	setLinks := func(fault multiprocess.LinkFault) {
		for z := range n - 1 {
			cluster.SetLinkFault(z, n-1, fault)
			cluster.SetLinkFault(n-1, z, fault)
		}
	}
	setLinks(multiprocess.LinkFault{Blocked: true})
	waitForAgreement(t, cluster.Processes[:n-1], cluster.Processes[:n-1])
	require.Eventually(t, func() bool {
		s, err := cluster.Processes[n-1].PeerSummary()
		return err == nil && s.RecentSenders == 0
	}, multiprocess.ReadyTimeout, pollInterval)
	setLinks(multiprocess.LinkFault{})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
}

// Between zones, a fifth of the datagrams is lost, a tenth is duplicated, and all are delayed by up to 200 ms and so reordered. A
// process is killed and rejoins while the loss lasts. Then streams are reset, and the links have almost no bandwidth. All processes
// agree on the members each time.
func TestMembershipConvergesDespiteLossAndJitter(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 3, ProcessesPerZone: 4, CachesPerZone: 2, Parents: 1, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	setLinks := func(fault multiprocess.LinkFault) {
		for from := range 3 {
			for to := range 3 {
				if from != to {
					cluster.SetLinkFault(from, to, fault)
				}
			}
		}
	}
	setLinks(multiprocess.LinkFault{LossFraction: 0.2, Jitter: 200, DuplicateFraction: 0.1})
	killed := cluster.Processes[11]
	cluster.Kill(killed)
	waitForAgreement(t, cluster.Processes[:11], cluster.Processes[:11])
	require.NoError(t, cluster.Start(killed))
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	setLinks(multiprocess.LinkFault{Bandwidth: 4, Reset: true})
	setLinks(multiprocess.LinkFault{Bandwidth: 20})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
}

// Every process is restarted twice, a quarter of the processes at a time, without waiting until the others notice. No rule is
// broken, and all agree on the members in the end.
func TestRapidRestartsBreakNoRule(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 8, CachesPerZone: 3, Parents: 1, TransferTime: 3, FillTime: 15, Peers: true})
	stop := cluster.StartTraffic(func(*multiprocess.Process) float64 { return 5 })
	for range 2 {
		for i := range 4 {
			batch := cluster.Processes[i*4 : i*4+4]
			require.NoError(t, cluster.Stop(batch...))
			require.NoError(t, cluster.Start(batch...))
		}
	}
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	stop()
	require.Empty(t, cluster.Violations())
	for _, p := range cluster.Processes {
		require.Empty(t, cluster.Client(p).Violations())
	}
}

// All seeds are dead. A process that restarts joins through the peers that it had stored before.
func TestRestartJoinsByStoredPeersWithoutSeeds(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 2, ProcessesPerZone: 6, CachesPerZone: 2, Parents: 1, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	for _, p := range cluster.Processes {
		require.Eventually(t, func() bool { return p.KnownPeers() > 0 }, multiprocess.ReadyTimeout, pollInterval)
	}
	var seeds, survivors []*multiprocess.Process
	for i, p := range cluster.Processes {
		if i%4 == 0 { // the three seeds of twelve processes: see Cluster.seedsOf
			seeds = append(seeds, p)
		} else {
			survivors = append(survivors, p)
		}
	}
	cluster.Kill(seeds...)
	restarted := survivors[2]
	cluster.Kill(restarted)
	waitForAgreement(t, append(survivors[:2:2], survivors[3:]...), append(survivors[:2:2], survivors[3:]...))
	require.NoError(t, cluster.Start(restarted))
	waitForAgreement(t, survivors, survivors)
}

// A killed process restarts under its name at another address. The others learn the new address.
func TestRestartAtAnotherAddress(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 1, ProcessesPerZone: 10, CachesPerZone: 2, Parents: 1, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	moved := cluster.Processes[3]
	cluster.Kill(moved)
	require.NoError(t, cluster.ChangePeerAddress(moved)) // while the others still consider it alive at the old address
	require.NoError(t, cluster.Start(moved))
	for _, p := range cluster.Processes {
		require.Eventually(t, func() bool {
			s, err := p.PeerStatus()
			i := slices.IndexFunc(s.Members, func(m peers.Member) bool { return m.Name == moved.Name })
			return err == nil && i >= 0 && s.Members[i].State == peers.StateAlive && s.Members[i].Addr == moved.PeerAddr
		}, multiprocess.ReadyTimeout, pollInterval, "%s", p.Name)
	}
	waitForAgreement(t, cluster.Processes, cluster.Processes)
}

// The clock of one process is 3 s ahead of the others' clocks, and that of another one 3 s behind. All stay alive, and the others
// accept the reports of both. The two run in the test's process, under the names and keys of processes that were killed.
func TestClockSkewIsTolerated(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, multiprocess.Options{Seed: 7, Zones: 1, ProcessesPerZone: 8, CachesPerZone: 2, Parents: 1, TransferTime: 3, FillTime: 15, Peers: true})
	waitForAgreement(t, cluster.Processes, cluster.Processes)
	for i, ahead := range []float64{3000, -3000} {
		p := cluster.Processes[6+i]
		cluster.Kill(p)
		identity, err := store.LoadIdentity(cluster.KeysDir(), p.Name)
		require.NoError(t, err)
		attempts := uint64(0)
		gossip, err := peers.Start(peers.Options{
			Name: p.Name, Listen: p.PeerAddr, Seeds: []string{cluster.Processes[0].PeerAddr}, Zone: "zone-0", DigestInterval: 500, Identity: identity,
			Clock: clock.SystemAhead(ahead), Objects: func() []uint64 { return nil },
			Totals: func() (uint64, serverTotals) {
				attempts += 50
				return attempts, serverTotals{1: {Attempts: attempts}}
			},
		})
		require.NoError(t, err)
		t.Cleanup(gossip.Close)
	}
	waitForAgreement(t, cluster.Processes[:6], cluster.Processes)
	skewedReports := func(p *multiprocess.Process) int {
		view, err := p.FleetView(serverlist.FormatID(1))
		require.NoError(t, err)
		count := 0
		for _, server := range view.Servers {
			for _, report := range server.Reports {
				if report.Attempts > 50 && (report.Name == cluster.Processes[6].Name || report.Name == cluster.Processes[7].Name) {
					count++
				}
			}
		}
		return count
	}
	for _, p := range cluster.Processes[:6] {
		require.Eventually(t, func() bool { return skewedReports(p) == 2 }, multiprocess.ReadyTimeout, pollInterval)
	}
	waitForAgreement(t, cluster.Processes[:6], cluster.Processes)
}
