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

// drawTotals draws totals of four servers that increase from earlier ones. About one server in ten is not listed.
func drawTotals(t *rapid.T, earlier map[policy.ServerID]Totals) map[policy.ServerID]Totals {
	out := map[policy.ServerID]Totals{}
	for _, id := range []policy.ServerID{1, 2, 3, 4} {
		if rapid.IntRange(0, 9).Draw(t, "listed") == 0 {
			continue
		}
		counts := earlier[id]
		counts.Attempts += uint64(rapid.IntRange(0, 40).Draw(t, "attempts"))
		counts.Failures += uint64(rapid.IntRange(0, 5).Draw(t, "failures"))
		counts.Latency[rapid.IntRange(0, LatencyBuckets-1).Draw(t, "bucket")]++
		out[id] = counts
	}
	return out
}

// contents returns what a view holds, except for times.
func contents(v *View) map[string]any {
	out := map[string]any{}
	for name, p := range v.peers {
		servers := map[policy.ServerID]string{}
		for id, e := range p.servers {
			servers[id] = fmt.Sprint(e.ServerLoad, e.version)
		}
		out[name] = []any{p.incarnation, p.version, p.zone, p.arrivals, fmt.Sprint(p.objects), servers}
	}
	return out
}

// Views that have received the same digests hold the same entries, whatever the order of the digests, however often each arrives,
// and whether it comes from its publisher or from another process.
func TestMergeIsIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Digest
		for _, from := range []string{"a", "b"} {
			for incarnation := range uint64(rapid.IntRange(1, 2).Draw(t, "incarnations")) {
				c := &Collector{From: from, Zone: "z", Incarnation: incarnation + 1, Window: 3000, Refresh: 3}
				totals := map[policy.ServerID]Totals{}
				for tick := range rapid.IntRange(1, 6).Draw(t, "ticks") {
					totals = drawTotals(t, totals)
					all = append(all, c.Collect(float64(tick)*1000, uint64(tick*7), totals, []ObjectRate{{Object: uint64(tick), Rate: 9}}))
				}
			}
		}
		inOrder, shuffled := New("x", DefaultSettings()), New("y", DefaultSettings())
		for _, d := range all {
			inOrder.Merge(0, d)
		}
		order := rapid.Permutation(all).Draw(t, "order")
		for i, d := range order {
			shuffled.Merge(float64(i), d)
			if rapid.Bool().Draw(t, "repeat") {
				shuffled.Merge(float64(i), order[rapid.IntRange(0, i).Draw(t, "which")])
			}
		}
		require.Equal(t, contents(inOrder), contents(shuffled))
		// A third view receives some digests from the publishers and the rest through snapshots of the shuffled view. Being passed
		// on does not make an entry younger.
		relayed := New("z", DefaultSettings())
		for _, d := range all[:rapid.IntRange(0, len(all)).Draw(t, "received")] {
			relayed.Merge(5000, d)
		}
		for _, name := range []string{"a", "b"} {
			for _, d := range shuffled.Snapshot(5000, name) {
				relayed.Merge(5000, d)
			}
		}
		require.Equal(t, contents(inOrder), contents(relayed))
		relayed.Expire(5000 + DefaultSettings().ExpireAfter)
		require.Empty(t, relayed.peers, "relayed entries expire together with the others")
	})
}

// A receiver's figures stay within the smallest published change of the true ones, although digests leave out unchanged entries.
func TestDigestsOfChangesKeepReceiversAccurate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, v := &Collector{From: "a", Incarnation: 1, Window: 3000}, New("b", DefaultSettings())
		totals := map[policy.ServerID]Totals{}
		history := []map[policy.ServerID]Totals{}
		sent := 0
		for tick := range 20 {
			totals = drawTotals(t, totals)
			history = append(history, totals)
			d := c.Collect(float64(tick)*1000, 0, totals, nil)
			sent += len(d.Servers)
			v.Merge(float64(tick)*1000, d)
			earlier := history[max(0, tick-3)]
			for id, n := range totals {
				if tick == 0 || n.Attempts < earlier[id].Attempts {
					continue
				}
				want := float64(n.Attempts-earlier[id].Attempts) / float64(min(tick, 3))
				require.InDelta(t, want, v.peers["a"].servers[id].Attempts.Value(), 0.3*want+0.1, "tick %d, server %d", tick, id)
			}
			for id := range v.peers["a"].servers {
				if _, listed := totals[id]; !listed {
					require.Zero(t, v.peers["a"].servers[id].Attempts, "a server that is no longer listed is published as idle")
				}
			}
		}
		require.Less(t, sent, 20*4+1)
	})
}

// While the tolerated number of reporters report arbitrary values, the sum stays within the bounds for the true values, and the
// bounds returned with it contain the sum of the true values.
func TestWinsorizedSumBoundsFaultyReporters(t *testing.T) {
	wrong := rapid.OneOf(rapid.Float64Range(0, 20), rapid.SampledFrom([]float64{0, 1e9, math.MaxFloat64 / 1e6}))
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 40).Draw(t, "n")
		truth := rapid.SliceOfN(rapid.Float64Range(0, 20), n, n).Draw(t, "truth")
		reported := append([]float64(nil), truth...)
		for range maxFaulty(n, 0.1) {
			reported[rapid.IntRange(0, n-1).Draw(t, "faulty")] = wrong.Draw(t, "wrong")
		}
		correct, got := WinsorizedSum(truth, 0.1), WinsorizedSum(reported, 0.1)
		const eps = 1e-6
		require.GreaterOrEqual(t, got.Value, correct.Low-eps)
		require.LessOrEqual(t, got.Value, correct.High+eps)
		require.LessOrEqual(t, got.Low, correct.Value+eps)
		require.GreaterOrEqual(t, got.High, correct.Value-eps)
	})
}

// Whatever weights and fractions the tolerated number of faulty reporters report, the mean stays in the range that the others
// report.
func TestTrimmedMeanStaysWithinCorrectReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 40).Draw(t, "n")
		fractions := rapid.SliceOfN(rapid.Float64Range(0.1, 0.3), n, n).Draw(t, "fractions")
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 50), n, n).Draw(t, "weights")
		for i := range maxFaulty(n, 0.1) {
			fractions[i] = rapid.SampledFrom([]float64{0, 1}).Draw(t, "wrong")
			weights[i] = rapid.SampledFrom([]float64{0.01, 1, 1e9}).Draw(t, "weight")
		}
		got := TrimmedMean(fractions, weights, 0.1)
		require.GreaterOrEqual(t, got.Value, 0.1-1e-9)
		require.LessOrEqual(t, got.Value, 0.3+1e-9)
		require.LessOrEqual(t, got.Low, got.Value)
		require.GreaterOrEqual(t, got.High, got.Value)
	})
}

// digestOfServer returns a digest with an entry for one server.
func digestOfServer(from string, id policy.ServerID, attempts, failures float64) Digest {
	return Digest{
		From: from, Incarnation: 1, Version: 1,
		Servers: []ServerLoad{{Server: id, Attempts: LevelOf(attempts), Failures: LevelOf(failures)}},
	}
}

// Thirty processes that report a server as failing do not outweigh what this process observes itself. Before it has sent enough
// attempts, their reports alone decide.
func TestOwnReportOutweighsOthers(t *testing.T) {
	v := New("self", DefaultSettings())
	for i := range 30 {
		v.Merge(0, digestOfServer(fmt.Sprint("p", i), 7, 10, 10))
	}
	require.InDelta(t, 1, v.Estimate(0, 7).Failing.Value, 0.05)
	v.Merge(0, digestOfServer("self", 7, 2, 0))
	e := v.Estimate(0, 7)
	require.InDelta(t, 0.5, e.OwnWeight, 0.01)
	require.LessOrEqual(t, e.Failing.Value, 0.51)
	require.Empty(t, v.Estimate(0, 8), "no process has reported on server 8")
}

// The weight of reports falls linearly with their age, without a jump, until it is 0.
func TestReportsFadeWithoutJump(t *testing.T) {
	v := New("self", DefaultSettings())
	for i := range 10 {
		v.Merge(0, digestOfServer(fmt.Sprint("p", i), 7, 10, 0))
	}
	last := v.Estimate(0, 7).Load.Value
	require.InDelta(t, 100, last, 8)
	for at := 0.0; at < 20_000; at += 100 {
		now := v.Estimate(at, 7).Load.Value
		require.LessOrEqual(t, now, last+1e-9)
		require.Less(t, last-now, 2.0)
		last = now
	}
	require.Zero(t, last)
	v.Expire(20_000)
	require.Empty(t, v.Peers(20_000))
}

// The view holds at most the limits of processes, servers and objects, even if a process publishes far more, and that takes no room
// from other processes.
func TestMergeLimitsWhatOneProcessPublishes(t *testing.T) {
	settings := DefaultSettings()
	settings.MaxPeers, settings.MaxServers, settings.MaxObjects = 3, 5, 2
	v := New("self", settings)
	flood := Digest{From: "f", Incarnation: 1, Version: 1, Objects: make([]ObjectRate, 100)}
	for id := range policy.ServerID(1000) {
		flood.Servers = append(flood.Servers, ServerLoad{Server: id})
	}
	require.Equal(t, LimitExceeded, v.Merge(0, flood))
	require.Len(t, v.peers["f"].servers, 5)
	require.Len(t, v.peers["f"].objects, 2)
	for i := range 10 {
		v.Merge(0, digestOfServer(fmt.Sprint("p", i), 7, 1, 0))
	}
	require.Len(t, v.peers, 3)
	require.Equal(t, LimitExceeded, v.Merge(0, flood))
}

// An object that one request in ten asks for is found. An object that only two of twenty processes report, at a high rate, is not.
func TestHeavyHittersAreFoundUnlessFewReportThem(t *testing.T) {
	v := New("self", DefaultSettings())
	for i := range 20 {
		sketch := NewSketch(32)
		for n := range 2000 {
			object := uint64(1000 + n*i%700)
			if n%10 == 0 {
				object = 5
			}
			sketch.Add(object)
		}
		d := digestOfServer(fmt.Sprint("p", i), 7, 1, 0)
		d.Objects = sketch.Top(4, 0.01)
		if i < 2 {
			d.Objects = append(d.Objects, ObjectRate{Object: 666, Rate: 200})
		}
		v.Merge(0, d)
	}
	top := v.HeavyHitters(0, 3)
	require.EqualValues(t, 5, top[0].Object)
	require.InDelta(t, 40, top[0].Rate.Value, 12)
	for _, hitter := range top {
		if hitter.Object == 666 {
			require.Zero(t, hitter.Rate.Value)
		}
	}
}

func TestLevelsAndQuantilesAreNearTheAmounts(t *testing.T) {
	for amount := 0.3; amount < 5000; amount *= 1.07 {
		require.InEpsilon(t, amount, LevelOf(amount).Value(), 0.06)
	}
	require.Zero(t, LevelOf(math.NaN()))
	latency := latencyOf([LatencyBuckets]uint64{0, 0, 50, 50})
	require.InDelta(t, 50, latency.Quantile(0.5), 1)
	require.InDelta(t, 90, latency.Quantile(0.9), 3)
}

func BenchmarkEstimate(b *testing.B) {
	v := New("self", DefaultSettings())
	for i := range 300 {
		v.Merge(0, digestOfServer(fmt.Sprint("p", i), 7, float64(i%20), 0))
	}
	b.ReportAllocs()
	for b.Loop() {
		v.Estimate(0, 7)
	}
}
