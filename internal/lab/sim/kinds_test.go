package sim

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/policy"
)

// What settings of operators differ in is refused with its place where it can't be used.
func TestKindsAreChecked(t *testing.T) {
	for text, want := range map[string]string{
		`{"fleet": {"branch_caches": [3, 2]}}`:                           "f:1:29: 2 numbers for 3 branches",
		`{"fleet": {"branch_proxies": [1, 0, 1]}}`:                       "f:1:34: branch_proxies[1] 0 is not 1 to 10000",
		`{"fleet": {"cache_sizes": [1, 0]}}`:                             "f:1:31: cache_sizes[1] 0 is not 0.01 to 100",
		`{"fleet": {"weights_off": 1}}`:                                  "f:1:27: weights_off 1 is not 0 to 0.9",
		`{"fleet": {"fill_pace": 0}}`:                                    "f:1:25: fill_pace 0 is not 0.01 to 1000",
		`{"fleet": {"fills_at_once": -1}}`:                               "f:1:29: fills_at_once -1 is not 0 to 1000000",
		`{"fleet": {"parent_falls_at": 0.5}}`:                            "f:1:31: parent_falls_at 0.5 is not 1 to 1000000",
		`{"fleet": {"parent_cold_from": 2}}`:                             "f:1:32: parent_cold_from 2 is not 0.001 to 1",
		`{"clients": {"wait": "long"}}`:                                  `f:1:22: wait "long" is none of exp, fixed, none`,
		`{"clients": {"try_share": 0}}`:                                  "f:1:27: try_share 0 is not 0.01 to 1",
		`{"traffic": {"classes": [` + class(`"effect": "odd"`) + `]}}`:   `effect "odd" is none of safe, keyed, unsafe`,
		`{"traffic": {"classes": [` + class(`"effect": "keyed"`) + `]}}`: "window_ms 0 is not 1 to 10000000",
		`{"traffic": {"classes": [` + class(`"window_ms": 5`) + `]}}`:    "window_ms goes with effect keyed",
		`{"traffic": {"classes": [` + class(`"local": 2`) + `]}}`:        "local 2 is not 0 to 1",
		`{"troubles": [{"kind": "heavy", "extra": -1}]}`:                 "f:1:42: extra -1 is not 0 to 1000",
	} {
		_, bad := Parse("f", []byte(text))
		require.ErrorContains(t, bad.Err(), want, text)
	}
	s, bad := Parse("f", []byte(`{"fleet": {"branch_caches": [3, 2, 1]}, "traffic": {"classes": [`+class(`"effect": "keyed", "window_ms": 6000`)+`]}}`))
	require.NoError(t, bad.Err())
	require.Equal(t, policy.IdempotentByKey, s.Traffic.Classes[0].repeats())
}

func class(more string) string {
	return `{"name": "a", "share": 1, "kb": 1, "parts": 1, "target_ms": 5, "deadline_ms": 9, "worth": 1, ` + more + `}`
}

// proxies are told what their settings say, and branches of unequal size share the traffic and the links by their caches.
func TestUnequalBranches(t *testing.T) {
	s := Default()
	s.Seconds = 20
	s.Fleet.BranchCaches, s.Fleet.BranchProxies, s.Fleet.Sizes = []int{4, 1, 1}, []int{2, 1, 1}, []float64{1, 2}
	s.Fleet.LinksTold, s.Fleet.Direct, s.Fleet.Joins, s.Fleet.ParentFrom, s.Fleet.ParentFalls = true, true, true, 0.06, 2
	w, err := newWorld(s, 1, Module)
	require.NoError(t, err)
	set := s.Settings(0, 0)
	require.Equal(t, 4, set.Routers)
	require.Equal(t, []int{0, 0, 2, 1, 1}, set.ZoneRouters)
	require.Equal(t, []float64{0, 0, 288_000, 72_000, 72_000}, set.LinkKBPerS)
	require.True(t, set.MayBypassCaches)
	require.True(t, set.CoalescesFills)
	require.Equal(t, policy.WarmUp{InitialCapacity: 0.06, Duration: ns(18_000), OverloadMultiple: 2, OverloadWindow: ns(3000)}, set.ParentWarmUp)
	require.Equal(t, 0.15, set.CacheWarmUp.InitialCapacity)
	require.Equal(t, []float64{10, 20}, []float64{w.branches[0].caches[0].told, w.branches[0].caches[1].told})
	r := play(t, s, 1)
	require.Zero(t, r.Broken, "%v", r.Rules)
	most := r.Loads[0] + r.Loads[1] + r.Loads[2] + r.Loads[3]
	require.Greater(t, most, 2*(r.Loads[4]+r.Loads[5]), "the large branch has two thirds of the traffic")
}

// at plays a world by hand: a proxy that does what it is told, and no traffic but what is asked for.
func at(t *testing.T, s Spec) (*world, *proxy, func(class int, object int32) *request) {
	t.Helper()
	s.Traffic.PerS, s.Traffic.Purges = 0, 0
	w, err := newWorld(s, 1, Player{Make: func(policy.Settings, uint64, View) (Decider, error) { return idle{}, nil }})
	require.NoError(t, err)
	p := w.proxies[0]
	return w, p, func(class int, object int32) *request {
		w.wants++
		x := &want{w: w, b: p.branch, rng: w.chance, no: w.wants, class: class, key: key{object: object}, kb: 600, budget: 60_000, tries: 1}
		p.take(x)
		return x.try
	}
}

// idle decides nothing.
type idle struct{}

func (idle) Handle(_ policy.Time, _ policy.Event, acts []policy.Action) []policy.Action { return acts }

func (w *world) until(ms float64) {
	for len(w.heap) > 0 && w.heap[0].at <= ms {
		e, _ := w.next()
		e.f()
	}
	w.now = ms
}

// A keyed write that comes to the origin again is dropped while its key is kept there, and runs once more behind that.
func TestKeyedRepeatIsDropped(t *testing.T) {
	s := Default()
	s.Traffic.Classes[2].Effect, s.Traffic.Classes[2].Window = "keyed", 6000
	w, p, ask := at(t, s)
	r := ask(2, 7)
	to := p.branch.caches
	p.send(r.id, policy.Fetch{ID: r.id, Cache: to[0].id, Source: w.origin.id})
	p.send(r.id, policy.Fetch{ID: r.id, Cache: to[1].id, Source: w.origin.id})
	w.until(3000)
	require.Equal(t, 1, w.check.runs[r.want.no])
	require.Zero(t, w.check.count, "%v", w.check.broken)
	require.True(t, w.runs(&want{w: w, class: 2, no: 99}))
	w.now += 5999
	require.False(t, w.runs(&want{w: w, class: 2, no: 99}))
	w.now++
	require.True(t, w.runs(&want{w: w, class: 2, no: 99}))
}

// The checker sees a repeat that may have a second effect, and a refusal of what may have run.
func TestRepeatsAreChecked(t *testing.T) {
	s := Default()
	s.Traffic.Classes[0].Effect, s.Traffic.Classes[0].Window = "keyed", 500
	w, p, ask := at(t, s)
	to := p.branch.caches
	send := func(r *request, s *server, broken int, why string) {
		t.Helper()
		before := w.check.count
		p.send(r.id, policy.Fetch{ID: r.id, Cache: s.id, Source: w.origin.id})
		require.Equal(t, before+broken, w.check.count, why)
	}
	seat := ask(2, 1)
	send(seat, to[0], 0, "the first")
	send(seat, to[1], 1, "it may be running at the other")
	require.Contains(t, w.check.broken[0], "repeat: request")
	seat = ask(2, 2)
	w.branches[0].caches[0].state = lost
	send(seat, to[0], 0, "the first")
	w.until(w.now + 100)
	send(seat, to[1], 0, "nothing listened at the other")
	before := w.check.count
	p.final(seat.id, refused, 0)
	require.Equal(t, before+1, w.check.count, "it may run")
	keyed := ask(0, 3)
	send(keyed, to[1], 0, "the first")
	w.now += 499
	send(keyed, to[2], 0, "within its window")
	w.now++
	send(keyed, to[1], 1, "past its window")
	asset := ask(1, 4)
	for i := range mostTries {
		send(asset, to[1+i%2], 0, "as many as there may be")
	}
	send(asset, to[1], 1, "one more")
	send(ask(1, 5), w.hubs[0][0], 1, "nothing goes past the caches here")
	send(ask(1, 5), w.branches[1].caches[0], 1, "nor to those of another branch")
	w.spec.Fleet.Direct = true
	send(ask(1, 6), w.hubs[0][0], 0, "where it may")
}

// fills plays two requests for one object at one cache, the second a little later, and returns the fills that the origin gave.
func fills(t *testing.T, change func(*Spec), how policy.FillOptions, between func(*world, *proxy, *request)) (*world, [2]*request) {
	s := Default()
	s.Fleet.OriginMs = 0.001
	change(&s)
	w, p, ask := at(t, s)
	cache, parent := p.branch.caches[0], w.hubs[0][0]
	var out [2]*request
	for i := range out {
		r := ask(1, 9)
		out[i] = r
		p.send(r.id, policy.Fetch{ID: r.id, Cache: cache.id, Source: parent.id, RetainRank: 1, Options: how})
		w.until(w.now + 5)
		between(w, p, r)
	}
	w.until(10_000)
	return w, out
}

// Requests that join a fill share it; a fill whose client has left ends, or runs on where it does.
func TestFills(t *testing.T) {
	nothing := func(*world, *proxy, *request) {}
	w, _ := fills(t, func(s *Spec) {}, policy.Coalesce, nothing)
	require.Equal(t, 2, w.out.Origin, "without joins")
	w, _ = fills(t, func(s *Spec) { s.Fleet.ParentsJoin = true }, 0, nothing)
	require.Equal(t, 1, w.out.Origin, "the parent fetches once")
	w, r := fills(t, func(s *Spec) { s.Fleet.Joins = true }, policy.Coalesce, nothing)
	require.Equal(t, 1, w.out.Origin)
	for _, x := range r {
		require.True(t, x.answered, "both are served")
	}
	_, r = fills(t, func(s *Spec) { s.Fleet.Fills = 1 }, 0, nothing)
	require.Equal(t, policy.NoteNoFillSlot, r[1].attempts[0].note)
	require.True(t, r[0].answered)

	leave := func(w *world, p *proxy, r *request) {
		if r.id == "1" {
			p.act(policy.Cancel{ID: r.id, Attempt: 0})
		}
	}
	w, _ = fills(t, func(s *Spec) {}, 0, leave)
	require.Equal(t, 1, w.out.Origin, "the first never asked")
	w, r = fills(t, func(s *Spec) { s.Fleet.FillsRunOn, s.Fleet.Joins = true, true }, policy.Coalesce, leave)
	require.Equal(t, 1, w.out.Origin, "the second found the fill of the first")
	require.True(t, r[1].answered)
	require.Empty(t, w.branches[0].caches[0].under)
}

// Requests that go past the caches are answered by a parent, which keeps a copy, and by the origin.
func TestDirect(t *testing.T) {
	s := Default()
	s.Fleet.Direct = true
	w, p, ask := at(t, s)
	parent := w.hubs[0][0]
	first, second, third, seat := ask(1, 9), ask(1, 9), ask(1, 9), ask(2, 3)
	p.send(first.id, policy.Fetch{ID: first.id, Cache: parent.id, Source: w.origin.id, RetainRank: 1})
	w.until(5000)
	p.send(second.id, policy.Fetch{ID: second.id, Cache: parent.id, Source: parent.id})
	p.send(third.id, policy.Fetch{ID: third.id, Cache: w.origin.id, Source: w.origin.id})
	p.send(seat.id, policy.Fetch{ID: seat.id, Cache: w.origin.id, Source: w.origin.id})
	w.until(10_000)
	for i, r := range []*request{first, second, third, seat} {
		require.True(t, r.answered, i)
	}
	require.Equal(t, policy.NoteHit, second.attempts[0].note)
	require.Equal(t, policy.NoteFilledOrigin, third.attempts[0].note)
	require.Equal(t, 1, w.check.runs[seat.want.no])
	require.Zero(t, w.check.count, "%v", w.check.broken)
}

// A proxy that is restarted owes nothing of what it had, and starts with its last list and nothing else.
func TestProxyRestart(t *testing.T) {
	s := Default()
	s.Seconds, s.Clients.Wait = 30, "fixed"
	s.Troubles = []Trouble{{At: 5, For: 10, Kind: "proxy_roll", Size: 1, Extra: 1}, {At: 2, For: 6, Kind: "crash", Size: 0.2}}
	r := play(t, s, 4)
	require.Zero(t, r.Broken, "%v", r.Rules)
	require.Positive(t, r.Missed, "what was open ended")
	for _, c := range r.Classes {
		require.Equal(t, c.Wants, c.Served+c.Lost, c.Name)
	}
	w, p, ask := at(t, s)
	gone := p.branch.caches[0].member(policy.Gone)
	p.keepList([]policy.Member{p.branch.caches[1].member(policy.Ready), gone})
	var heard []policy.Event
	w.player.Make = func(policy.Settings, uint64, View) (Decider, error) { return hears{&heard}, nil }
	open := ask(0, 1)
	p.restart(1000)
	late := ask(0, 2)
	require.Empty(t, heard)
	w.until(2000)
	require.True(t, open.dead)
	require.True(t, late.dead, "nobody listened")
	require.Len(t, heard, 1)
	require.Len(t, heard[0].(policy.Members).Entries, 1, "not what is gone")
}

type hears struct{ events *[]policy.Event }

func (h hears) Handle(_ policy.Time, e policy.Event, acts []policy.Action) []policy.Action {
	*h.events = append(*h.events, e)
	return acts
}

// Clients wait as they are said to, and give a try up after the share of the deadline that they are said to have.
func TestClientsDiffer(t *testing.T) {
	for wait, want := range map[string][2]float64{"exp": {100, 200}, "fixed": {100, 100}, "none": {0, 0}} {
		c := Clients{Backoff: 100, Wait: wait}
		require.Equal(t, want, [2]float64{c.wait(1), c.wait(2)}, wait)
	}
	s := Default()
	s.Seconds, s.Clients.TryFrom = 10, 1
	w, err := newWorld(s, 1, Module)
	require.NoError(t, err)
	for range 200 {
		w.ask(w.branches[0], w.traffic[0])
	}
	w.until(1)
	for _, p := range w.proxies {
		for _, r := range p.live {
			require.Equal(t, s.Traffic.Classes[r.want.class].Deadline, r.want.budget)
		}
	}
}

// All players are asked for the same by the same seed; a list that is further behind is heard later, and large objects are large.
func TestPlayersMeetTheSame(t *testing.T) {
	s := Default()
	s.Seconds = 12
	s.Traffic.Classes[0].Local = 0.3
	s.Troubles = []Trouble{
		{At: 1, For: 4, Kind: "heavy", Size: 10, Extra: 0.1}, {At: 2, For: 5, Kind: "stale_list", Size: 4},
		{At: 3, For: 2, Kind: "crash", Size: 0.3}, {At: 4, For: 3, Kind: "proxy_roll", Size: 0.5, Extra: 0.5},
	}
	want := play(t, s, 2)
	for _, p := range []Player{Random, LateSeeing(300)} {
		got, err := Play(t.Context(), s, 2, p)
		require.NoError(t, err)
		again, err := Play(t.Context(), s, 2, p)
		require.NoError(t, err)
		require.Equal(t, got.Classes, again.Classes, "the same each time")
		for i := range want.Classes {
			require.Equal(t, want.Classes[i].Asked, got.Classes[i].Asked, p.Name)
			for k := range 3 {
				require.Equal(t, want.Classes[i].Thirds[k].Asked, got.Classes[i].Thirds[k].Asked, p.Name)
			}
			require.Equal(t, want.Classes[i].Wants, got.Classes[i].Served+got.Classes[i].Lost, p.Name)
		}
		for _, text := range got.Rules {
			require.NotContains(t, text, ": repeat:", p.Name)
			require.NotContains(t, text, ": write:", p.Name)
			require.NotContains(t, text, ": answer:", p.Name)
			require.NotContains(t, text, ": way:", p.Name)
		}
	}
}

// What the late-seeing baseline sees is as old as it should be.
func TestLateView(t *testing.T) {
	s := Default()
	w, err := newWorld(s, 1, LateSeeing(300))
	require.NoError(t, err)
	cache := w.branches[0].caches[0]
	w.late.look()
	w.at(1000, func() {
		cache.state = lost
		cache.keep(key{object: 5}, 10, 1000, 1)
		cache.out.start(6e6, func() {})
	})
	w.until(1200)
	busy, up := w.late.Busy(cache.id)
	require.True(t, up)
	require.Zero(t, busy)
	require.False(t, w.late.Holds(cache.id, "0000000000000005", 0))
	w.until(1400)
	busy, up = w.late.Busy(cache.id)
	require.False(t, up)
	require.InDelta(t, 0.1, busy, 1e-9)
	require.True(t, w.late.Holds(cache.id, "0000000000000005", 0))
}

// Sizes are exponentially spread about their mean, those of the most popular objects too: none is a freak of the hash.
func TestSizes(t *testing.T) {
	w, err := newWorld(Default(), 1, Module)
	require.NoError(t, err)
	sum, above, n := 0.0, 0, 0
	for o := range int32(3000) {
		for p := range int32(4) {
			kb := w.size(key{o, p}, 100)
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
