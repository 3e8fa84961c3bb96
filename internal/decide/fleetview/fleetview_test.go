package fleetview

import (
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/scenario/seeded"
	"ravenwheel/policy"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// drawTotals has counts rise by chance.
func drawTotals(t *rapid.T, from map[policy.CacheID]Totals) map[policy.CacheID]Totals {
	out := map[policy.CacheID]Totals{}
	for _, id := range []policy.CacheID{1, 2, 3, 4} {
		if rapid.IntRange(0, 9).Draw(t, "listed") == 0 {
			continue
		}
		n := from[id]
		n.Attempts += uint64(rapid.IntRange(0, 40).Draw(t, "attempts"))
		n.Failures += uint64(rapid.IntRange(0, 5).Draw(t, "failures"))
		n.Latency[rapid.IntRange(0, Buckets-1).Draw(t, "bucket")]++
		out[id] = n
	}
	return out
}

// state is what a view holds, times apart.
func state(v *View) map[string]any {
	out := map[string]any{}
	for name, p := range v.peers {
		servers := map[policy.CacheID]string{}
		for id, h := range p.servers {
			servers[id] = fmt.Sprint(h.Seen, h.version)
		}
		out[name] = []any{p.incarnation, p.version, p.zone, p.arrivals, fmt.Sprint(p.heavy), servers}
	}
	return out
}

// Whatever order digests come in, however often, and through whomever: those who have heard the same hold the same.
func TestMergeModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Digest
		for _, from := range []string{"a", "b"} {
			for incarnation := range uint64(rapid.IntRange(1, 2).Draw(t, "incarnations")) {
				c := &Collector{From: from, Zone: "z", Incarnation: incarnation + 1, Window: 3000, Refresh: 3}
				totals := map[policy.CacheID]Totals{}
				for tick := range rapid.IntRange(1, 6).Draw(t, "ticks") {
					totals = drawTotals(t, totals)
					all = append(all, c.Tick(float64(tick)*1000, uint64(tick*7), totals, []Heavy{{Object: uint64(tick), Rate: 9}}))
				}
			}
		}
		one, two := New("x", Usual), New("y", Usual)
		for _, d := range all {
			one.Merge(0, d)
		}
		order := rapid.Permutation(all).Draw(t, "order")
		for i, d := range order {
			two.Merge(float64(i), d)
			if rapid.Bool().Draw(t, "again") {
				two.Merge(float64(i), order[rapid.IntRange(0, i).Draw(t, "which")])
			}
		}
		require.Equal(t, state(one), state(two))
		// A third hears part of it itself and the rest from the second; a digest told again through others is not younger.
		three := New("z", Usual)
		for _, d := range all[:rapid.IntRange(0, len(all)).Draw(t, "heard")] {
			three.Merge(5000, d)
		}
		for _, name := range []string{"a", "b"} {
			for _, d := range two.Whole(5000, name) {
				three.Merge(5000, d)
			}
		}
		require.Equal(t, state(one), state(three))
		three.Age(5000 + Usual.Stale)
		require.Empty(t, three.peers, "what was only told again goes out with the rest")
	})
}

// What a collector leaves out is what a reader has already, within the steps of a level.
func TestDeltasSayTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, v := &Collector{From: "a", Incarnation: 1, Window: 3000}, New("b", Usual)
		totals := map[policy.CacheID]Totals{}
		history := []map[policy.CacheID]Totals{}
		sent := 0
		for tick := range 20 {
			totals = drawTotals(t, totals)
			history = append(history, totals)
			d := c.Tick(float64(tick)*1000, 0, totals, nil)
			sent += len(d.Servers)
			v.Merge(float64(tick)*1000, d)
			then := history[max(0, tick-3)]
			for id, n := range totals {
				if tick == 0 || n.Attempts < then[id].Attempts {
					continue
				}
				want := float64(n.Attempts-then[id].Attempts) / float64(min(tick, 3))
				require.InDelta(t, want, v.peers["a"].servers[id].Attempts.Value(), 0.3*want+0.1, "tick %d, server %d", tick, id)
			}
			for id := range v.peers["a"].servers {
				if _, listed := totals[id]; !listed {
					require.Zero(t, v.peers["a"].servers[id].Attempts, "no longer listed, told as silent")
				}
			}
		}
		require.Less(t, sent, 20*4+1)
	})
}

// g of n reporters may say anything, and a sum stays between the bounds that the others alone set; the bounds that are
// given with it hold the sum of the true values.
func TestLiarsMoveASumWithinItsBound(t *testing.T) {
	lie := rapid.OneOf(rapid.Float64Range(0, 20), rapid.SampledFrom([]float64{0, 1e9, math.MaxFloat64 / 1e6}))
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 40).Draw(t, "n")
		truth := rapid.SliceOfN(rapid.Float64Range(0, 20), n, n).Draw(t, "truth")
		said := append([]float64(nil), truth...)
		for range may(n, 0.1) {
			said[rapid.IntRange(0, n-1).Draw(t, "liar")] = lie.Draw(t, "lie")
		}
		honest, got := Sum(truth, 0.1), Sum(said, 0.1)
		const eps = 1e-6
		require.GreaterOrEqual(t, got.Value, honest.Low-eps)
		require.LessOrEqual(t, got.Value, honest.High+eps)
		require.LessOrEqual(t, got.Low, honest.Value+eps)
		require.GreaterOrEqual(t, got.High, honest.Value-eps)
	})
}

// No weight and no share that liars claim moves a share out of what the honest saw.
func TestLiarsMoveAShareWithinTheHonest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 40).Draw(t, "n")
		shares := rapid.SliceOfN(rapid.Float64Range(0.1, 0.3), n, n).Draw(t, "shares")
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 50), n, n).Draw(t, "weights")
		for i := range may(n, 0.1) {
			shares[i] = rapid.SampledFrom([]float64{0, 1}).Draw(t, "lie")
			weights[i] = rapid.SampledFrom([]float64{0.01, 1, 1e9}).Draw(t, "weight")
		}
		f := Share(shares, weights, 0.1)
		require.GreaterOrEqual(t, f.Value, 0.1-1e-9)
		require.LessOrEqual(t, f.Value, 0.3+1e-9)
		require.LessOrEqual(t, f.Low, f.Value)
		require.GreaterOrEqual(t, f.High, f.Value)
	})
}

func said(from string, id policy.CacheID, attempts, failures float64) Digest {
	return Digest{From: from, Incarnation: 1, Version: 1, Servers: []Seen{{Server: id, Attempts: LevelOf(attempts), Failures: LevelOf(failures)}}}
}

// Thirty that call a server dead do not outweigh what a process sees itself; once it has seen too little, they stand alone.
func TestOwnWordOutweighs(t *testing.T) {
	v := New("me", Usual)
	for i := range 30 {
		v.Merge(0, said(fmt.Sprint("p", i), 7, 10, 10))
	}
	require.InDelta(t, 1, v.Server(0, 7).Failing.Value, 0.05)
	v.Merge(0, said("me", 7, 2, 0))
	e := v.Server(0, 7)
	require.InDelta(t, 0.5, e.OwnPart, 0.01)
	require.LessOrEqual(t, e.Failing.Value, 0.51)
	require.Empty(t, v.Server(0, 8), "nobody has named it")
}

// What is heard fades in proportion and without a jump, down to nothing; a peer that comes back is taken in at once.
func TestFades(t *testing.T) {
	v := New("me", Usual)
	for i := range 10 {
		v.Merge(0, said(fmt.Sprint("p", i), 7, 10, 0))
	}
	last := v.Server(0, 7).Load.Value
	require.InDelta(t, 100, last, 8)
	for at := 0.0; at < 20_000; at += 100 {
		now := v.Server(at, 7).Load.Value
		require.LessOrEqual(t, now, last+1e-9)
		require.Less(t, last-now, 2.0)
		last = now
	}
	require.Zero(t, last)
	v.Age(20_000)
	require.Empty(t, v.Peers(20_000))
}

// One that floods with names, servers and objects is bounded, and takes nothing from the others.
func TestBounds(t *testing.T) {
	o := Usual
	o.Peers, o.Servers, o.HeavyMost = 3, 5, 2
	v := New("me", o)
	flood := Digest{From: "f", Incarnation: 1, Version: 1, Heavy: make([]Heavy, 100)}
	for id := range policy.CacheID(1000) {
		flood.Servers = append(flood.Servers, Seen{Server: id})
	}
	require.Equal(t, TooMuch, v.Merge(0, flood))
	require.Len(t, v.peers["f"].servers, 5)
	require.Len(t, v.peers["f"].heavy, 2)
	for i := range 10 {
		v.Merge(0, said(fmt.Sprint("p", i), 7, 1, 0))
	}
	require.Len(t, v.peers, 3)
	require.Equal(t, TooMuch, v.Merge(0, flood))
}

// An object that one in ten requests asks for is found by all; one that few claim is not.
func TestHeavy(t *testing.T) {
	v := New("me", Usual)
	for i := range 20 {
		h := NewHeavies(32)
		for n := range 2000 {
			object := uint64(1000 + n*i%700)
			if n%10 == 0 {
				object = 5
			}
			h.Add(object)
		}
		d := said(fmt.Sprint("p", i), 7, 1, 0)
		d.Heavy = h.Most(4, 0.01)
		if i < 2 {
			d.Heavy = append(d.Heavy, Heavy{Object: 666, Rate: 200})
		}
		v.Merge(0, d)
	}
	most := v.Heavy(0, 3)
	require.EqualValues(t, 5, most[0].Object)
	require.InDelta(t, 40, most[0].Rate.Value, 12)
	for _, m := range most {
		if m.Object == 666 {
			require.Zero(t, m.Rate.Value)
		}
	}
}

func TestLevels(t *testing.T) {
	for v := 0.3; v < 5000; v *= 1.07 {
		require.InEpsilon(t, v, LevelOf(v).Value(), 0.06)
	}
	require.Zero(t, LevelOf(math.NaN()))
	l := latencyOf([Buckets]uint64{0, 0, 50, 50})
	require.InDelta(t, 50, l.Quantile(0.5), 1)
	require.InDelta(t, 90, l.Quantile(0.9), 3)
}

func BenchmarkServer(b *testing.B) {
	v := New("me", Usual)
	for i := range 300 {
		v.Merge(0, said(fmt.Sprint("p", i), 7, float64(i%20), 0))
	}
	b.ReportAllocs()
	for b.Loop() {
		v.Server(0, 7)
	}
}
