package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/policy"
)

// run simulates a scenario with the real proxy's policy.
func run(t testing.TB, s Scenario, seed uint64) *Result {
	t.Helper()
	r, err := Run(context.Background(), s, seed)
	require.NoError(t, err)
	return r
}

// Runs with equal seeds give equal results, even if they run concurrently. Another seed gives another result.
func TestEqualSeedsGiveEqualResults(t *testing.T) {
	s := DefaultScenario()
	s.Seconds = 8
	s.Faults = []Fault{
		{At: 2, Duration: 2, Kind: HangCaches, Magnitude: 0.3}, {At: 3, Duration: 2, Kind: LoseBranch}, {At: 4, Kind: PurgeObjects, Magnitude: 0.4},
	}
	want, err := json.Marshal(run(t, s, 1))
	require.NoError(t, err)
	results := make(chan []byte, 4)
	for range 4 {
		go func() {
			encoded, _ := json.Marshal(run(t, s, 1))
			results <- encoded
		}()
	}
	for range 4 {
		require.JSONEq(t, string(want), string(<-results))
	}
	other, err := json.Marshal(run(t, s, 2))
	require.NoError(t, err)
	require.NotEqual(t, want, other)
}

// Without faults, more than 90 % of the requested value is served, no rule is broken, and every request is served or abandoned.
func TestRunWithoutFaults(t *testing.T) {
	s := DefaultScenario()
	s.Seconds = 15
	r := run(t, s, 1)
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	require.Greater(t, r.ServedValue, 0.9, "%+v", r)
	for _, c := range r.Classes {
		require.Equal(t, c.Requests, c.Served+c.Abandoned, c.Name)
	}
	t.Logf("served value %.3f, hit ratio %.2f, %.2f upstream attempts per client attempt, %d events", r.ServedValue, r.HitRatio, r.UpstreamAttempts, r.Events)
}

// The warm-up is run but not counted, and fills the stores. The times of faults start at its end.
func TestWarmUpIsNotCounted(t *testing.T) {
	s := DefaultScenario()
	s.Seconds = 10
	cold := run(t, s, 1)
	s.WarmUpSeconds = 60
	s.Faults = []Fault{{At: 4, Duration: 2, Kind: Burst, Magnitude: 3}}
	warm := run(t, s, 1)
	require.Greater(t, warm.HitRatio, cold.HitRatio+0.05)
	require.Less(t, warm.Seconds[2].Requests, 230)
	require.Greater(t, warm.Seconds[5].Requests, 350, "times of faults start at the end of the warm-up")
	for _, c := range warm.Classes {
		require.Equal(t, c.Requests, c.Served+c.Abandoned, c.Name)
	}
}

// Under each kind of fault alone, no rule is broken, and every request is served or abandoned.
func TestNoFaultBreaksARule(t *testing.T) {
	for _, kind := range faultKinds {
		s := DefaultScenario()
		s.Seconds = 30
		magnitude := map[FaultKind]float64{Burst: 2.4, OriginSlow: 3, PurgeObjects: 0.4}[kind]
		s.Faults = []Fault{{At: 4, Duration: 8, Kind: kind, Magnitude: magnitude}}
		r := run(t, s, 3)
		require.Zero(t, r.Violations, "%s: %v", kind, r.ViolationTexts)
		for _, c := range r.Classes {
			require.Equal(t, c.Requests, c.Served+c.Abandoned, "%s %s", kind, c.Name)
		}
		t.Logf("%-13s served value %.3f, in the worst 10 s %.3f, %.2f client attempts per request, %.2f upstream attempts per client attempt, %d origin fills", kind, r.ServedValue, r.WorstServedValue, r.ClientAttempts, r.UpstreamAttempts, r.OriginFills)
	}
}

// Events are called in the order of their times, and events at the same time in the order in which they were scheduled.
func TestEventQueueOrder(t *testing.T) {
	q := &eventQueue{}
	rng := stream(1, "q")
	var got []int
	for i := range 2000 {
		at := float64(rng.IntN(50))
		q.at(at, func() { got = append(got, int(at)*10_000+i) })
	}
	for e, ok := q.next(); ok; e, ok = q.next() {
		e.call()
	}
	require.Len(t, got, 2000)
	require.IsIncreasing(t, got)
}

// A link shares its bandwidth equally: transfers end when a calculation by hand says so. Without bandwidth, none ends.
func TestLinkSharesBandwidthEqually(t *testing.T) {
	q := &eventQueue{}
	l := &link{queue: q, bandwidth: 10, maxRate: 8}
	ended := map[string]float64{}
	end := func(name string) func() { return func() { ended[name] = q.now } }
	l.start(80, end("a"))                     // alone at 8 KB/ms: 16 KB left at 8 ms
	q.at(8, func() { l.start(30, end("b")) }) // 5 KB/ms each: a ends at 11.2 ms, b has 14 KB left
	var c *transfer
	q.at(9, func() { c = l.start(1000, end("c")) })
	q.at(9, func() { c.stop() }) // stopped at once
	for e, ok := q.next(); ok; e, ok = q.next() {
		e.call()
	}
	require.InDelta(t, 11.2, ended["a"], 1e-6)
	require.InDelta(t, 11.2+14/8.0, ended["b"], 1e-6)
	require.NotContains(t, ended, "c")
	// Late in the longest run, which is a day, the clock (a float64) has a coarse resolution. Transfers must still end.
	late := &eventQueue{now: 8.64e7}
	n := 0
	l = &link{queue: late, bandwidth: 977, maxRate: 6}
	for i := range 500 {
		late.at(8.64e7+float64(i)*0.37, func() { l.start(0.1+float64(i%7)*3.3, func() { n++ }) })
	}
	for e, ok := late.next(); ok && late.handled < 100_000; e, ok = late.next() {
		e.call()
	}
	require.Equal(t, 500, n)
	dead := &link{queue: q}
	dead.start(1, func() { t.Error("a transfer without bandwidth ended") })
	for e, ok := q.next(); ok; e, ok = q.next() {
		e.call()
	}
}

// The origin is an M/M/c queue: its mean wait agrees with Erlang's formula (Kleinrock, Queueing Systems I, 3.36).
func TestOriginWaitMatchesErlangC(t *testing.T) {
	const c, service, load = 8, 10.0, 0.8
	s := DefaultScenario()
	s.Fleet.OriginSlots, s.Fleet.OriginTime, s.Fleet.OriginQueue = c, service, 1<<20
	sim, err := newSimulation(s, 1, RouterStrategy)
	require.NoError(t, err)
	rng := stream(5, "arrivals")
	total, n := 0.0, 0
	var arrive func()
	arrive = func() {
		began := sim.now
		sim.originServer.submit(func(bool) { total, n = total+sim.now-began, n+1 })
		if n < 200_000 {
			sim.after(-math.Log(1-rng.Float64())*service/(c*load), arrive)
		}
	}
	arrive()
	for e, ok := sim.next(); ok && n < 200_000; e, ok = sim.next() {
		e.call()
	}
	a := c * load
	sum, term := 0.0, 1.0
	for k := range c {
		if k > 0 {
			term *= a / float64(k)
		}
		sum += term
	}
	last := term * a / c / (1 - load)
	wait := last / (sum + last) * service / (c * (1 - load))
	require.InEpsilon(t, service+wait, total/float64(n), 0.03)
}

// A store's hit ratio under independent requests agrees with Che's approximation (Che, Tung, Wang, 2002).
func TestHitRatioMatchesChe(t *testing.T) {
	const objects, capacity = 2000, 300
	weights := make([]float64, objects)
	total := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -0.8)
		total += weights[i]
	}
	table, rng, cache := newAliasTable(weights), stream(3, "che"), newStore(capacity)
	hits, n := 0, 0
	for i := range 400_000 {
		k := partKey{object: int32(table.draw(rng))}
		hit := cache.get(k, 0, 1) != nil
		if !hit {
			cache.put(k, 1, 0, 0, 1)
		}
		if i > 50_000 {
			if n++; hit {
				hits++
			}
		}
	}
	// The characteristic time is the time after which the expected number of copies equals the capacity.
	lo, hi := 0.0, 1e9
	for range 200 {
		mid, copies := (lo+hi)/2, 0.0
		for _, w := range weights {
			copies += 1 - math.Exp(-w/total*mid)
		}
		if copies < capacity {
			lo = mid
		} else {
			hi = mid
		}
	}
	want := 0.0
	for _, w := range weights {
		want += w / total * (1 - math.Exp(-w/total*lo))
	}
	require.InEpsilon(t, want, float64(hits)/float64(n), 0.02)
}

// Copies of a higher rank evict copies of a lower rank, but not the other way round. A purge removes copies created before it.
func TestStoreEvictionAndPurge(t *testing.T) {
	s := newStore(3)
	for i := range int32(3) {
		require.True(t, s.put(partKey{object: i}, 1, 10, 0, 2))
	}
	require.False(t, s.put(partKey{object: 9}, 1, 10, 0, 1), "there is no copy of its rank or a lower one to evict")
	require.True(t, s.put(partKey{object: 8}, 1, 20, 0, 3))
	require.Nil(t, s.get(partKey{object: 0}, 0, 0), "the least recently used copy is evicted")
	s.purge(15, map[int32]bool{0: true, 1: true, 2: true, 8: true}, []int32{0, 1, 2, 8}, 1)
	require.NotNil(t, s.get(partKey{object: 8}, 0, 0))
	require.Equal(t, 1.0, s.used)
	require.Nil(t, s.get(partKey{object: 8}, 21, 0), "the copy is older than allowed")
}

// The smallest fleet and a fleet that can serve nothing break no rule, and Parse reports what is wrong in a file.
func TestEdgeCasesAndInvalidFiles(t *testing.T) {
	smallest := DefaultScenario()
	smallest.Seconds, smallest.Fleet.Branches, smallest.Fleet.CachesPerBranch, smallest.Fleet.Hubs, smallest.Fleet.ParentsPerHub = 3, 1, 1, 1, 1
	require.Zero(t, run(t, smallest, 1).Violations)
	unserved := smallest
	unserved.Fleet.CacheBandwidth, unserved.Fleet.BranchBandwidth, unserved.Fleet.OriginSlots, unserved.Fleet.OriginQueue = 0, 0, 0, 0
	r := run(t, unserved, 1)
	require.Zero(t, r.ServedValue)
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	for text, want := range map[string]string{
		`{"seconds": 0}`:                               "f:1:13: seconds 0 is not from 0.1 to 80000",
		`{"fleet": {"branches": 0}}`:                   "f:1:24: branches 0 is not from 1 to 10000",
		`{"fleet": {"brances": 3}}`:                    `f:1:12: unknown field "brances"; did you mean "branches"?`,
		`{"troubles": [{"at_s": 1, "kind": "quake"}]}`: `f:1:35: kind "quake" is not one of burst, purge, hang, hang_parents, hub_lost, branch_lost, origin_slow, roll, empty, crash, proxy_roll, stale_list, heavy`,
		`{"traffic": {"classes": []}}`:                 "f:1:25: classes is empty, must have at least one class\nf:1:25: all shares are 0, but at least one class must have a share",
	} {
		_, defects := Parse("f", []byte(text))
		if text == `{"traffic": {"classes": []}}` {
			want = "f:1:25: classes is empty, must have at least one class"
		}
		require.EqualError(t, defects.Err(), want, text)
	}
}

// The checker detects a violation of each rule.
func TestCheckerDetectsViolations(t *testing.T) {
	s := DefaultScenario()
	sim, err := newSimulation(s, 9, RouterStrategy)
	require.NoError(t, err)
	p, cache := sim.proxies[0], sim.branches[0].caches[0]
	client := &clientRequest{sim: sim, branch: p.branch, rng: sim.delayRNG, number: 1, attempts: 1}
	r := &request{id: "r", client: client, proxy: p, deadline: 100}
	client.current = r
	sim.checker.requestReceived(r)
	a := &attempt{request: r, target: cache, source: sim.origin, created: 1}
	requireViolation := func(f func()) {
		t.Helper()
		before := sim.checker.violationCount
		f()
		require.Equal(t, before+1, sim.checker.violationCount)
	}
	sim.checker.membersNotified(p, []policy.Member{cache.member(policy.Draining)})
	sim.checker.attemptSent(a)
	require.Zero(t, sim.checker.violationCount, "still within the drain's grace period")
	sim.now = 2001
	requireViolation(func() { sim.checker.attemptSent(a) })
	sim.checker.purgeNotified(p, client.key.object, 5)
	a.sent = 3002
	requireViolation(func() { sim.checker.copyServed(a) })
	a.created = 5
	sim.checker.copyServed(a)
	sim.checker.writeRan(r)
	requireViolation(func() { sim.checker.writeRan(r) })
	requireViolation(func() { sim.checker.serverOverloaded(cache) })
	r.answered = true
	requireViolation(func() { sim.checker.requestAnswered(r, outcomeServed) })
	r.answered = false
	e, ok := sim.next()
	require.True(t, ok)
	requireViolation(e.call)
	require.Contains(t, sim.checker.violationTexts[0], "seed 9, 2001.000 ms: drain: proxy 0 uses s-00000004, notified at 0.000 ms that it drains or is gone\n    0.000 ms: proxy 0 is notified")
}

// BenchmarkScale measures the time per event for fleets of 10 to 2,000 caches.
func BenchmarkScale(b *testing.B) {
	for _, branches := range []int{1, 10, 50, 200} {
		b.Run(fmt.Sprintf("caches=%d", branches*10), func(b *testing.B) {
			s := DefaultScenario()
			// The number of hubs is fixed, because the policy sorts all parents for every request. So is the expected number of
			// requests.
			s.Fleet.Branches, s.Fleet.CachesPerBranch, s.Fleet.Hubs = branches, 10, 2
			s.Fleet.OriginSlots, s.Fleet.BranchBandwidth, s.Fleet.ParentBandwidth = 24*branches, 80, 30*float64(branches)
			s.Seconds = 3000.0 / float64(branches)
			events := uint64(0)
			for b.Loop() {
				events += run(b, s, 1).Events
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(events), "ns/event")
			b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
		})
	}
}
