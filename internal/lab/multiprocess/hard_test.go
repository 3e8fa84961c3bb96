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

const asking = 50 * time.Millisecond

type serverTotals = map[policy.CacheID]fleetview.Totals

// What one zone sends to the other is lost, and what the other sends arrives: each gives the other up, as nobody's questions
// are answered, all of a zone keep sight of each other, and they are one again afterwards.
func TestCutOneWay(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 2, Processes: 5, Caches: 2, Parents: 1, Peers: true})
	agree(t, f.Processes, f.Processes)
	one, two := f.Processes[:5], f.Processes[5:]
	f.Between(0, 1, multiprocess.Link{Cut: true})
	agree(t, one, one)
	agree(t, two, two)
	f.Between(0, 1, multiprocess.Link{})
	agree(t, f.Processes, f.Processes)
}

// One of twenty is cut off from all others. They go on without it; it hears nobody, long before it has given each of them up,
// and is taken in again.
func TestOneCutOffFromNineteen(t *testing.T) {
	t.Parallel()
	const n = 20
	f := start(t, multiprocess.Options{Seed: 7, Zones: n, Processes: 1, Caches: 1, Parents: 1, Peers: true})
	agree(t, f.Processes, f.Processes)
	off := func(l multiprocess.Link) {
		for z := range n - 1 {
			f.Between(z, n-1, l)
			f.Between(n-1, z, l)
		}
	}
	off(multiprocess.Link{Cut: true})
	agree(t, f.Processes[:n-1], f.Processes[:n-1])
	require.Eventually(t, func() bool {
		s, err := f.Processes[n-1].Brief()
		return err == nil && s.Heard == 0
	}, multiprocess.ReadyWithin, asking)
	off(multiprocess.Link{})
	agree(t, f.Processes, f.Processes)
}

// A fifth of the datagrams between zones is lost, and the rest comes up to 200 ms late and out of order; then the links pass
// next to nothing, and break off streams. Whoever is given up for it comes back while the loss lasts.
func TestLossAndJitter(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 3, Processes: 4, Caches: 2, Parents: 1, Peers: true})
	agree(t, f.Processes, f.Processes)
	all := func(l multiprocess.Link) {
		for from := range 3 {
			for to := range 3 {
				if from != to {
					f.Between(from, to, l)
				}
			}
		}
	}
	all(multiprocess.Link{Loss: 0.2, Jitter: 200, Twice: 0.1})
	ended := f.Processes[11]
	f.Kill(ended)
	agree(t, f.Processes[:11], f.Processes[:11])
	require.NoError(t, f.Start(ended))
	agree(t, f.Processes, f.Processes)
	all(multiprocess.Link{Rate: 4, Reset: true})
	all(multiprocess.Link{Rate: 20})
	agree(t, f.Processes, f.Processes)
}

// Every process is restarted twice, a quarter at a time, without waiting for the others to have noticed.
func TestRestartStorm(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 2, Processes: 8, Caches: 3, Parents: 1, Serve: 3, Fill: 15, Peers: true})
	stop := f.Traffic(func(*multiprocess.Process) float64 { return 5 })
	for range 2 {
		for i := range 4 {
			some := f.Processes[i*4 : i*4+4]
			require.NoError(t, f.Stop(some...))
			require.NoError(t, f.Start(some...))
		}
	}
	agree(t, f.Processes, f.Processes)
	stop()
	require.Empty(t, f.Broken())
	for _, p := range f.Processes {
		require.Empty(t, f.Client(p).Violations())
	}
}

// The seeds are gone for good. Who starts anew finds the others by those that it knew before.
func TestSeedsGone(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 2, Processes: 6, Caches: 2, Parents: 1, Peers: true})
	agree(t, f.Processes, f.Processes)
	for _, p := range f.Processes {
		require.Eventually(t, func() bool { return p.Remembers() > 0 }, multiprocess.ReadyWithin, asking)
	}
	var gone, left []*multiprocess.Process
	for i, p := range f.Processes {
		if i%4 == 0 { // three seeds: see field.writeOperator
			gone = append(gone, p)
		} else {
			left = append(left, p)
		}
	}
	f.Kill(gone...)
	again := left[2]
	f.Kill(again)
	agree(t, append(left[:2:2], left[3:]...), append(left[:2:2], left[3:]...))
	require.NoError(t, f.Start(again))
	agree(t, left, left)
}

// A process that was killed comes back under its name at another address.
func TestBackElsewhere(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 1, Processes: 10, Caches: 2, Parents: 1, Peers: true})
	agree(t, f.Processes, f.Processes)
	moved := f.Processes[3]
	f.Kill(moved)
	require.NoError(t, f.Rehouse(moved)) // at once: the others take it for alive still, at the old address
	require.NoError(t, f.Start(moved))
	for _, p := range f.Processes {
		require.Eventually(t, func() bool {
			s, err := p.Peers()
			i := slices.IndexFunc(s.Members, func(m peers.Member) bool { return m.Name == moved.Name })
			return err == nil && i >= 0 && s.Members[i].State == peers.StateAlive && s.Members[i].Addr == moved.PeerAddr
		}, multiprocess.ReadyWithin, asking, "%s", p.Name)
	}
	agree(t, f.Processes, f.Processes)
}

// The clock of one process is 3 s ahead of the others', and of another 3 s behind: nobody is given up, and their word counts.
func TestClocksApart(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 1, Processes: 8, Caches: 2, Parents: 1, Serve: 3, Fill: 15, Peers: true})
	agree(t, f.Processes, f.Processes)
	for i, ahead := range []float64{3000, -3000} {
		p := f.Processes[6+i]
		f.Kill(p)
		id, err := store.LoadIdentity(f.Keys(), p.Name)
		require.NoError(t, err)
		n := uint64(0)
		s, err := peers.Start(peers.Options{
			Name: p.Name, Listen: p.PeerAddr, Seeds: []string{f.Processes[0].PeerAddr}, Zone: "zone-0", DigestInterval: 500, Identity: id,
			Clock: clock.Shifted(ahead), Objects: func() []uint64 { return nil },
			Totals: func() (uint64, serverTotals) {
				n += 50
				return n, serverTotals{1: {Attempts: n}}
			},
		})
		require.NoError(t, err)
		t.Cleanup(s.Close)
	}
	agree(t, f.Processes[:6], f.Processes)
	said := func(p *multiprocess.Process) int {
		v, err := p.View(serverlist.FormatID(1))
		require.NoError(t, err)
		n := 0
		for _, x := range v.Servers {
			for _, w := range x.Reports {
				if w.Attempts > 50 && (w.Name == f.Processes[6].Name || w.Name == f.Processes[7].Name) {
					n++
				}
			}
		}
		return n
	}
	for _, p := range f.Processes[:6] {
		require.Eventually(t, func() bool { return said(p) == 2 }, multiprocess.ReadyWithin, asking)
	}
	agree(t, f.Processes[:6], f.Processes)
}
