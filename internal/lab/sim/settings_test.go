package sim

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/policy"
)

// Parse checks the settings in which operators differ, and reports defects with their places.
func TestOperatorSettingsAreChecked(t *testing.T) {
	for text, want := range map[string]string{
		`{"fleet": {"branch_caches": [3, 2]}}`:                               "f:1:29: has 2 numbers, but must have one for each of 3 branches",
		`{"fleet": {"branch_proxies": [1, 0, 1]}}`:                           "f:1:34: branch_proxies[1] 0 is not from 1 to 10000",
		`{"fleet": {"cache_sizes": [1, 0]}}`:                                 "f:1:31: cache_sizes[1] 0 is not from 0.01 to 100",
		`{"fleet": {"weights_off": 1}}`:                                      "f:1:27: weights_off 1 is not from 0 to 0.9",
		`{"fleet": {"fill_pace": 0}}`:                                        "f:1:25: fill_pace 0 is not from 0.01 to 1000",
		`{"fleet": {"fills_at_once": -1}}`:                                   "f:1:29: fills_at_once -1 is not from 0 to 1000000",
		`{"fleet": {"parent_falls_at": 0.5}}`:                                "f:1:31: parent_falls_at 0.5 is not from 1 to 1000000",
		`{"fleet": {"parent_cold_from": 2}}`:                                 "f:1:32: parent_cold_from 2 is not from 0.001 to 1",
		`{"clients": {"wait": "long"}}`:                                      `f:1:22: wait "long" is not one of exp, fixed, none`,
		`{"clients": {"try_share": 0}}`:                                      "f:1:27: try_share 0 is not from 0.01 to 1",
		`{"traffic": {"classes": [` + classJSON(`"effect": "odd"`) + `]}}`:   `effect "odd" is not one of safe, keyed, unsafe`,
		`{"traffic": {"classes": [` + classJSON(`"effect": "keyed"`) + `]}}`: "window_ms 0 is not from 1 to 10000000",
		`{"traffic": {"classes": [` + classJSON(`"window_ms": 5`) + `]}}`:    `window_ms is allowed only with effect "keyed"`,
		`{"traffic": {"classes": [` + classJSON(`"local": 2`) + `]}}`:        "local 2 is not from 0 to 1",
		`{"troubles": [{"kind": "heavy", "extra": -1}]}`:                     "f:1:42: extra -1 is not from 0 to 1000",
	} {
		_, defects := Parse("f", []byte(text))
		require.ErrorContains(t, defects.Err(), want, text)
	}
	s, defects := Parse("f", []byte(`{"fleet": {"branch_caches": [3, 2, 1]}, "traffic": {"classes": [`+classJSON(`"effect": "keyed", "window_ms": 6000`)+`]}}`))
	require.NoError(t, defects.Err())
	require.Equal(t, policy.IdempotentByKey, s.Traffic.Classes[0].idempotency())
}

// classJSON returns a valid class with more fields.
func classJSON(fields string) string {
	return `{"name": "a", "share": 1, "kb": 1, "parts": 1, "target_ms": 5, "deadline_ms": 9, "worth": 1, ` + fields + `}`
}

// The proxies' settings state the sizes of the branches, and the traffic and bandwidth of a branch are in proportion to its caches.
func TestBranchesOfDifferentSizes(t *testing.T) {
	s := DefaultScenario()
	s.Seconds = 20
	s.Fleet.BranchCaches, s.Fleet.BranchProxies, s.Fleet.CacheSizes = []int{4, 1, 1}, []int{2, 1, 1}, []float64{1, 2}
	s.Fleet.LinksKnown, s.Fleet.MayBypassCaches, s.Fleet.CoalescesFills, s.Fleet.ParentInitialCapacity, s.Fleet.ParentOverloadMultiple = true, true, true, 0.06, 2
	sim, err := newSimulation(s, 1, RouterStrategy)
	require.NoError(t, err)
	settings := s.Settings(0, 0)
	require.Equal(t, 4, settings.Routers)
	require.Equal(t, []int{0, 0, 2, 1, 1}, settings.ZoneRouters)
	require.Equal(t, []float64{0, 0, 288_000, 72_000, 72_000}, settings.LinkKBPerS)
	require.True(t, settings.MayBypassCaches)
	require.True(t, settings.CoalescesFills)
	require.Equal(t, policy.WarmUp{InitialCapacity: 0.06, Duration: duration(18_000), OverloadMultiple: 2, OverloadWindow: duration(3000)}, settings.ParentWarmUp)
	require.Equal(t, 0.15, settings.CacheWarmUp.InitialCapacity)
	require.Equal(t, []float64{10, 20}, []float64{sim.branches[0].caches[0].weight, sim.branches[0].caches[1].weight})
	r := run(t, s, 1)
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	large := r.CacheLoads[0] + r.CacheLoads[1] + r.CacheLoads[2] + r.CacheLoads[3]
	require.Greater(t, large, 2*(r.CacheLoads[4]+r.CacheLoads[5]), "the large branch has two thirds of the traffic")
}

// manualSimulation returns a simulation without traffic, its first proxy, whose decider does nothing, and a function that makes the
// proxy receive a request of a class for an object.
func manualSimulation(t *testing.T, s Scenario) (*simulation, *proxy, func(class int, object int32) *request) {
	t.Helper()
	s.Traffic.Rate, s.Traffic.PurgeRate = 0, 0
	sim, err := newSimulation(s, 1, Strategy{New: func(policy.Settings, uint64, View) (Decider, error) { return idleDecider{}, nil }})
	require.NoError(t, err)
	p := sim.proxies[0]
	return sim, p, func(class int, object int32) *request {
		sim.clientRequests++
		client := &clientRequest{
			sim: sim, branch: p.branch, rng: sim.delayRNG, number: sim.clientRequests, class: class, key: partKey{object: object}, kb: 600, attemptTimeout: 60_000,
			attempts: 1,
		}
		p.receive(client)
		return client.current
	}
}

// idleDecider does nothing.
type idleDecider struct{}

func (idleDecider) Handle(_ policy.Time, _ policy.Event, actions []policy.Action) []policy.Action {
	return actions
}

// runUntil runs the simulation until a time.
func (s *simulation) runUntil(ms float64) {
	for len(s.heap) > 0 && s.heap[0].at <= ms {
		e, _ := s.next()
		e.call()
	}
	s.now = ms
}

// The origin drops a repeat of a write with an idempotency key within the deduplication window, and runs it again after the window.
func TestOriginDropsRepeatsWithinDedupWindow(t *testing.T) {
	s := DefaultScenario()
	s.Traffic.Classes[2].Effect, s.Traffic.Classes[2].DedupWindow = IdempotentByKey, 6000
	sim, p, receive := manualSimulation(t, s)
	r := receive(2, 7)
	caches := p.branch.caches
	p.send(r.id, policy.Fetch{ID: r.id, Server: caches[0].id, Source: sim.origin.id})
	p.send(r.id, policy.Fetch{ID: r.id, Server: caches[1].id, Source: sim.origin.id})
	sim.runUntil(3000)
	require.Equal(t, 1, sim.checker.writeRuns[r.client.number])
	require.Zero(t, sim.checker.violationCount, "%v", sim.checker.violationTexts)
	require.True(t, sim.originRunsWrite(&clientRequest{sim: sim, class: 2, number: 99}))
	sim.now += 5999
	require.False(t, sim.originRunsWrite(&clientRequest{sim: sim, class: 2, number: 99}))
	sim.now++
	require.True(t, sim.originRunsWrite(&clientRequest{sim: sim, class: 2, number: 99}))
}

// The checker detects retries that may have a second effect, and rejections of requests that may have run.
func TestCheckerDetectsUnsafeRetries(t *testing.T) {
	s := DefaultScenario()
	s.Traffic.Classes[0].Effect, s.Traffic.Classes[0].DedupWindow = IdempotentByKey, 500
	sim, p, receive := manualSimulation(t, s)
	caches := p.branch.caches
	send := func(r *request, target *server, violations int, why string) {
		t.Helper()
		before := sim.checker.violationCount
		p.send(r.id, policy.Fetch{ID: r.id, Server: target.id, Source: sim.origin.id})
		require.Equal(t, before+violations, sim.checker.violationCount, why)
	}
	claim := receive(2, 1)
	send(claim, caches[0], 0, "first attempt")
	send(claim, caches[1], 1, "the first attempt may still run")
	require.Contains(t, sim.checker.violationTexts[0], "repeat: request")
	claim = receive(2, 2)
	sim.branches[0].caches[0].state = serverKilled
	send(claim, caches[0], 0, "first attempt")
	sim.runUntil(sim.now + 100)
	send(claim, caches[1], 0, "the first attempt could not connect")
	before := sim.checker.violationCount
	p.answer(claim.id, outcomeRejected, 0)
	require.Equal(t, before+1, sim.checker.violationCount, "the second attempt may have run")
	keyed := receive(0, 3)
	send(keyed, caches[1], 0, "first attempt")
	sim.now += 499
	send(keyed, caches[2], 0, "within the deduplication window")
	sim.now++
	send(keyed, caches[1], 1, "after the deduplication window")
	asset := receive(1, 4)
	for i := range maxAttempts {
		send(asset, caches[1+i%2], 0, "as many attempts as allowed")
	}
	send(asset, caches[1], 1, "one attempt more than allowed")
	send(receive(1, 5), sim.hubs[0][0], 1, "a parent as the target, where caches must not be bypassed")
	send(receive(1, 5), sim.branches[1].caches[0], 1, "a cache of another branch as the target")
	sim.scenario.Fleet.MayBypassCaches = true
	send(receive(1, 6), sim.hubs[0][0], 0, "a parent as the target, where caches may be bypassed")
}

// runTwoFills sends two requests for one object to one cache, the second one 5 ms after the first. It calls afterSend 5 ms after
// each.
func runTwoFills(
	t *testing.T, configure func(*Scenario), options policy.FillOptions, afterSend func(*simulation, *proxy, *request),
) (*simulation, [2]*request) {
	s := DefaultScenario()
	s.Fleet.OriginTime = 0.001
	configure(&s)
	sim, p, receive := manualSimulation(t, s)
	cache, parent := p.branch.caches[0], sim.hubs[0][0]
	var requests [2]*request
	for i := range requests {
		r := receive(1, 9)
		requests[i] = r
		p.send(r.id, policy.Fetch{ID: r.id, Server: cache.id, Source: parent.id, RetainRank: 1, Options: options})
		sim.runUntil(sim.now + 5)
		afterSend(sim, p, r)
	}
	sim.runUntil(10_000)
	return sim, requests
}

// Requests may share a fill, at a cache and at a parent. A fill whose clients have all left ends, unless fills outlive their
// clients.
func TestFillsAreSharedAndEnd(t *testing.T) {
	noop := func(*simulation, *proxy, *request) {}
	sim, _ := runTwoFills(t, func(s *Scenario) {}, policy.Coalesce, noop)
	require.Equal(t, 2, sim.result.OriginFills, "without coalescing")
	sim, _ = runTwoFills(t, func(s *Scenario) { s.Fleet.ParentsCoalesce = true }, 0, noop)
	require.Equal(t, 1, sim.result.OriginFills, "the parent fetches the part once for both fills")
	sim, r := runTwoFills(t, func(s *Scenario) { s.Fleet.CoalescesFills = true }, policy.Coalesce, noop)
	require.Equal(t, 1, sim.result.OriginFills)
	for _, x := range r {
		require.True(t, x.answered, "both requests are served by one fill")
	}
	_, r = runTwoFills(t, func(s *Scenario) { s.Fleet.MaxFills = 1 }, 0, noop)
	require.Equal(t, policy.NoteNoFillSlot, r[1].attempts[0].note)
	require.True(t, r[0].answered)

	cancelFirst := func(sim *simulation, p *proxy, r *request) {
		if r.id == "1" {
			p.execute(policy.Cancel{ID: r.id, Attempt: 0})
		}
	}
	sim, _ = runTwoFills(t, func(s *Scenario) {}, 0, cancelFirst)
	require.Equal(t, 1, sim.result.OriginFills, "the first request was cancelled before it reached the origin")
	sim, r = runTwoFills(t, func(s *Scenario) { s.Fleet.FillsOutliveClients, s.Fleet.CoalescesFills = true, true }, policy.Coalesce, cancelFirst)
	require.Equal(t, 1, sim.result.OriginFills, "the second request shared the fill of the first")
	require.True(t, r[1].answered)
	require.Empty(t, sim.branches[0].caches[0].fills)
}

// Requests may bypass the caches: a parent serves them and stores a copy, and the origin serves them too.
func TestRequestsBypassCaches(t *testing.T) {
	s := DefaultScenario()
	s.Fleet.MayBypassCaches = true
	sim, p, receive := manualSimulation(t, s)
	parent := sim.hubs[0][0]
	first, second, third, claim := receive(1, 9), receive(1, 9), receive(1, 9), receive(2, 3)
	p.send(first.id, policy.Fetch{ID: first.id, Server: parent.id, Source: sim.origin.id, RetainRank: 1})
	sim.runUntil(5000)
	p.send(second.id, policy.Fetch{ID: second.id, Server: parent.id, Source: parent.id})
	p.send(third.id, policy.Fetch{ID: third.id, Server: sim.origin.id, Source: sim.origin.id})
	p.send(claim.id, policy.Fetch{ID: claim.id, Server: sim.origin.id, Source: sim.origin.id})
	sim.runUntil(10_000)
	for i, r := range []*request{first, second, third, claim} {
		require.True(t, r.answered, i)
	}
	require.Equal(t, policy.NoteHit, second.attempts[0].note)
	require.Equal(t, policy.NoteFilledOrigin, third.attempts[0].note)
	require.Equal(t, 1, sim.checker.writeRuns[claim.client.number])
	require.Zero(t, sim.checker.violationCount, "%v", sim.checker.violationTexts)
}

// A proxy that restarts drops its requests in flight, which need no answer then, and starts with its last known members and nothing
// else.
func TestProxyRestartForgetsRequests(t *testing.T) {
	s := DefaultScenario()
	s.Seconds, s.Clients.BackoffKind = 30, FixedBackoff
	s.Faults = []Fault{
		{At: 5, Duration: 10, Kind: RestartProxies, Magnitude: 1, Extra: 1}, {At: 2, Duration: 6, Kind: CrashCaches, Magnitude: 0.2},
	}
	r := run(t, s, 4)
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	require.Positive(t, r.Unanswered, "requests in flight at a restart get no answer")
	for _, c := range r.Classes {
		require.Equal(t, c.Requests, c.Served+c.Abandoned, c.Name)
	}
	sim, p, receive := manualSimulation(t, s)
	gone := p.branch.caches[0].member(policy.Gone)
	p.rememberMembers([]policy.Member{p.branch.caches[1].member(policy.Ready), gone})
	var events []policy.Event
	sim.strategy.New = func(policy.Settings, uint64, View) (Decider, error) { return recordingDecider{&events}, nil }
	open := receive(0, 1)
	p.restart(1000)
	late := receive(0, 2)
	require.Empty(t, events)
	sim.runUntil(2000)
	require.True(t, open.aborted)
	require.True(t, late.aborted, "it arrived while the proxy was down")
	require.Len(t, events, 1)
	require.Len(t, events[0].(policy.Members).Entries, 1, "the member that is gone is left out")
}

// recordingDecider records the events and does nothing else.
type recordingDecider struct{ events *[]policy.Event }

func (d recordingDecider) Handle(_ policy.Time, e policy.Event, actions []policy.Action) []policy.Action {
	*d.events = append(*d.events, e)
	return actions
}

// The scenario sets how long clients back off and when they abandon an attempt.
func TestClientBackoffAndTimeout(t *testing.T) {
	for kind, want := range map[BackoffKind][2]float64{ExponentialBackoff: {100, 200}, FixedBackoff: {100, 100}, NoBackoff: {0, 0}} {
		c := Clients{Backoff: 100, BackoffKind: kind}
		require.Equal(t, want, [2]float64{c.backoff(1), c.backoff(2)}, kind)
	}
	s := DefaultScenario()
	s.Seconds, s.Clients.MinAttemptFraction = 10, 1
	sim, err := newSimulation(s, 1, RouterStrategy)
	require.NoError(t, err)
	for range 200 {
		sim.makeRequest(sim.branches[0], sim.arrivalRNGs[0])
	}
	sim.runUntil(1)
	for _, p := range sim.proxies {
		for _, r := range p.requests {
			require.Equal(t, s.Traffic.Classes[r.client.class].Deadline, r.client.attemptTimeout)
		}
	}
}

// With equal seeds, all strategies get the same requests and faults.
func TestStrategiesGetTheSameRequests(t *testing.T) {
	s := DefaultScenario()
	s.Seconds = 12
	s.Traffic.Classes[0].LocalFraction = 0.3
	s.Faults = []Fault{
		{At: 1, Duration: 4, Kind: LargeObjects, Magnitude: 10, Extra: 0.1}, {At: 2, Duration: 5, Kind: StaleList, Magnitude: 4},
		{At: 3, Duration: 2, Kind: CrashCaches, Magnitude: 0.3}, {At: 4, Duration: 3, Kind: RestartProxies, Magnitude: 0.5, Extra: 0.5},
	}
	want := run(t, s, 2)
	for _, p := range []Strategy{RandomStrategy, DelayedViewStrategy(300)} {
		got, err := RunStrategy(t.Context(), s, 2, p)
		require.NoError(t, err)
		again, err := RunStrategy(t.Context(), s, 2, p)
		require.NoError(t, err)
		require.Equal(t, got.Classes, again.Classes, "equal runs give equal results")
		for i := range want.Classes {
			require.Equal(t, want.Classes[i].RequestedValue, got.Classes[i].RequestedValue, p.Name)
			for k := range 3 {
				require.Equal(t, want.Classes[i].Thirds[k].RequestedValue, got.Classes[i].Thirds[k].RequestedValue, p.Name)
			}
			require.Equal(t, want.Classes[i].Requests, got.Classes[i].Served+got.Classes[i].Abandoned, p.Name)
		}
		for _, text := range got.ViolationTexts {
			require.NotContains(t, text, ": repeat:", p.Name)
			require.NotContains(t, text, ": write:", p.Name)
			require.NotContains(t, text, ": answer:", p.Name)
			require.NotContains(t, text, ": way:", p.Name)
		}
	}
}

// The view shows the state of the fleet as it was before the delay.
func TestDelayedView(t *testing.T) {
	s := DefaultScenario()
	sim, err := newSimulation(s, 1, DelayedViewStrategy(300))
	require.NoError(t, err)
	cache := sim.branches[0].caches[0]
	sim.view.takeSnapshot()
	sim.at(1000, func() {
		cache.state = serverKilled
		cache.storeCopy(partKey{object: 5}, 10, 1000, 1)
		cache.outbound.start(6e6, func() {})
	})
	sim.runUntil(1200)
	utilization, up := sim.view.Utilization(cache.id)
	require.True(t, up)
	require.Zero(t, utilization)
	require.False(t, sim.view.Holds(cache.id, "0000000000000005", 0))
	sim.runUntil(1400)
	utilization, up = sim.view.Utilization(cache.id)
	require.False(t, up)
	require.InDelta(t, 0.1, utilization, 1e-9)
	require.True(t, sim.view.Holds(cache.id, "0000000000000005", 0))
}

// Sizes of parts are exponentially distributed, and no part of the most popular objects is ten times the mean or more.
func TestPartSizesAreExponential(t *testing.T) {
	require.Equal(t, partSize(partKey{1, 2}, 100), partSize(partKey{1, 2}, 100), "a part always has the same size")
	sum, above, n := 0.0, 0, 0
	for o := range int32(3000) {
		for p := range int32(4) {
			kb := partSize(partKey{o, p}, 100)
			if sum, n = sum+kb, n+1; kb > 300 {
				above++
			}
			if o < 12 {
				require.Less(t, kb, 1000.0, "object %d, part %d", o, p)
			}
		}
	}
	require.InDelta(t, 100, sum/float64(n), 3)
	require.InDelta(t, math.Exp(-3), float64(above)/float64(n), 0.006)
}
