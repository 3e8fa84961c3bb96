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

// agree waits until some processes take exactly those for alive.
func agree(t *testing.T, ps, alive []*multiprocess.Process) {
	t.Helper()
	var err error
	began := time.Now()
	if !assert.Eventually(t, func() bool {
		err = multiprocess.Agree(ps, alive)
		return err == nil
	}, multiprocess.ReadyWithin, 50*time.Millisecond) {
		t.Fatal(err)
	}
	t.Logf("%d agree on %d after %v", len(ps), len(alive), time.Since(began).Round(100*time.Millisecond))
}

// Half of the processes are killed at one instant: the survivors agree on who is gone, serve on, and take those that come
// back in again.
func TestHalfKilled(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 2, Processes: 10, Caches: 3, Parents: 1, Serve: 3, Fill: 15, Peers: true})
	agree(t, f.Processes, f.Processes)
	stop := f.Traffic(func(*multiprocess.Process) float64 { return 10 })
	var killed, left []*multiprocess.Process
	for i, p := range f.Processes {
		if i%2 == 0 {
			killed = append(killed, p)
		} else {
			left = append(left, p)
		}
	}
	f.Kill(killed...)
	agree(t, left, left)
	require.NoError(t, f.Start(killed...))
	agree(t, f.Processes, f.Processes)
	stop()
	require.Empty(t, f.Broken())
	for _, p := range left {
		require.Positive(t, f.Served(p))
		require.Empty(t, f.Client(p).Violations())
	}
	for _, p := range f.Processes { // also those that started under load
		n, err := p.Counters()
		require.NoError(t, err)
		require.Zero(t, n["misnamed"])
		require.LessOrEqual(t, n["unsent"]+n["unanswered"], n["requests"]/200, "%s: %v", p.Name, n)
	}
	require.NoError(t, f.Stop(f.Processes...), "those that leave say so and end with 0")
}

// Two zones are cut off from each other: each gives the other up, and after the heal both are one again, though nobody was
// left who knew of both.
func TestCutAndHealed(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 2, Processes: 6, Caches: 2, Parents: 1, Peers: true})
	agree(t, f.Processes, f.Processes)
	one, two := f.Processes[:6], f.Processes[6:]
	f.Between(0, 1, multiprocess.Link{Cut: true})
	f.Between(1, 0, multiprocess.Link{Cut: true})
	agree(t, one, one)
	agree(t, two, two)
	f.Between(0, 1, multiprocess.Link{})
	f.Between(1, 0, multiprocess.Link{})
	agree(t, f.Processes, f.Processes)
}

// stranger is a process of the field that the test plays itself, with its keys.
func stranger(t *testing.T, f *multiprocess.Field, p *multiprocess.Process, listen string, seed string, totals func() map[policy.CacheID]fleetview.Totals) *peers.Peers {
	t.Helper()
	id, err := store.LoadIdentity(f.Keys(), p.Name)
	require.NoError(t, err)
	s, err := peers.Start(peers.Options{
		Name: p.Name, Listen: listen, Seeds: []string{seed}, Zone: "zone-0", DigestInterval: 200, Identity: id, Clock: f.Clock,
		Totals:  func() (uint64, map[policy.CacheID]fleetview.Totals) { return 0, totals() },
		Objects: func() []uint64 { return nil },
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// One process of eight says that every cache fails whatever it is asked, a million times a second, and praises one that is
// dead; others send what is forged, repeated and too much. No estimate leaves what the honest saw, no cache loses its
// traffic, none that is dead is used, and nobody loses sight of anybody.
func TestLiars(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 1, Processes: 8, Caches: 4, Parents: 1, Serve: 3, Fill: 15, Peers: true})
	agree(t, f.Processes, f.Processes)
	liar, honest := f.Processes[7], f.Processes[:7]
	f.Kill(liar)
	caches := f.Caches(0)
	n := 0
	s := stranger(t, f, liar, liar.PeerAddr, honest[0].PeerAddr, func() map[policy.CacheID]fleetview.Totals {
		n++
		out := map[policy.CacheID]fleetview.Totals{}
		for _, id := range append(caches, 99) {
			x := fleetview.Totals{Attempts: uint64(n) * 200_000}
			if id != 99 {
				x.Failures = x.Attempts
			}
			out[id] = x
		}
		return out
	})
	agree(t, honest, f.Processes)
	stop := f.Traffic(func(*multiprocess.Process) float64 { return 20 })
	defer stop()

	nc, err := net.Dial("udp", honest[0].PeerAddr)
	require.NoError(t, err)
	defer nc.Close()
	for i := range 3000 {
		_, _ = nc.Write([]byte(fmt.Sprint("\x48 not a datagram of ours ", i)))
	}
	seen := len(f.Fleet.Observations())
	require.Eventually(t, func() bool { return len(f.Fleet.Observations()) > seen+1000 }, multiprocess.ReadyWithin, 10*time.Millisecond)
	byLiar := 0
	for _, p := range honest {
		v, err := p.View("")
		require.NoError(t, err)
		for _, x := range v.Servers {
			if x.ID == serverlist.FormatID(caches[0]) {
				said, err := p.View(x.ID)
				require.NoError(t, err)
				for _, r := range said.Servers[0].Reports {
					if r.Name == liar.Name && r.Attempts > 1e4 {
						byLiar++
					}
				}
			}
			if slices.Contains(caches, idOf(t, x.ID)) {
				require.Less(t, x.Failing.Value, 0.1, "%s of %s", x.ID, p.Name)
				require.Less(t, x.Load.Value, 1000.0)
			}
		}
	}
	require.Positive(t, byLiar, "the lie was heard")
	used := map[policy.CacheID]int{}
	for _, x := range f.Fleet.ObservationsAfter(seen) {
		used[x.Server]++
	}
	for _, id := range caches {
		require.Positive(t, used[id])
	}
	require.Zero(t, used[99])
	status, err := honest[0].Peers()
	require.NoError(t, err)
	require.Positive(t, status.Dropped["malformed"]+status.Dropped["flood"])
	agree(t, honest, f.Processes)
	require.Empty(t, f.Broken())
	s.Close()
	agree(t, honest, honest)
}

func idOf(t *testing.T, name string) policy.CacheID {
	id, ok := serverlist.ParseID(name)
	require.True(t, ok, name)
	return id
}

// A process stands still until the others have given it up, and wakes: all are one again, and none of those that went on
// was given up by the others for what the sleeper thought. One that comes under a name that is taken is not taken in, and
// both it and the other are named.
func TestStoppedAndTwice(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 2, Processes: 6, Caches: 2, Parents: 1, Peers: true})
	agree(t, f.Processes, f.Processes)
	sleeper, others := f.Processes[3], slices.Concat(f.Processes[:3], f.Processes[4:])
	require.NoError(t, sleeper.Signal(syscall.SIGSTOP))
	agree(t, others, others)
	require.NoError(t, sleeper.Signal(syscall.SIGCONT))
	agree(t, f.Processes, f.Processes)

	twice := f.Processes[1]
	s := stranger(t, f, twice, "127.0.0.1:0", f.Processes[0].PeerAddr, func() map[policy.CacheID]fleetview.Totals { return nil })
	require.Eventually(t, func() bool { return strings.Contains(twice.Log(), "two processes have one name") }, multiprocess.ReadyWithin, 20*time.Millisecond)
	require.Contains(t, twice.Log(), twice.PeerAddr)
	require.Contains(t, twice.Log(), s.Status().Addr)
	agree(t, f.Processes, f.Processes)
}
