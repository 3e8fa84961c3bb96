package membership_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/scenario/seeded"
	"ravenwheel/policy"
)

func TestMain(m *testing.M) { seeded.Main(m) }

const dropDrain, goneFor = 1000.0, 5000.0

// world drives a ledger and keeps, in the plainest way, what its sources said and what it published.
type world struct {
	t         *rapid.T
	ledger    *membership.Table
	now, wake float64
	gens      [2]uint64
	told      [2]bool
	floor     uint64
	claims    [2]map[policy.CacheID]membership.Entry
	published map[policy.CacheID]membership.Member
	phases    map[policy.CacheID]membership.Phase
	drainFrom map[policy.CacheID]float64 // since when a server that was published drains
	drainAt   map[policy.CacheID]string  // and where
	leaves    map[policy.CacheID]leaving // who waits for an address, and was in use at another
	kept      *recovery.State            // what would survive a crash
	hand      map[policy.CacheID]bool
	versions  uint64
}

func newLedger(t *rapid.T) *membership.Table {
	l, err := membership.New(membership.Settings{
		Sources:      []membership.Source{{Name: "file"}, {Name: "board", Immediate: true}},
		DrainTimeout: dropDrain, GoneRetention: goneFor, WeightStep: 2, WeightInterval: 100,
	})
	require.NoError(t, err)
	return l
}

func newWorld(t *rapid.T) *world {
	l := newLedger(t)
	return &world{
		t: t, ledger: l, published: map[policy.CacheID]membership.Member{}, phases: map[policy.CacheID]membership.Phase{},
		claims:    [2]map[policy.CacheID]membership.Entry{{}, {}},
		drainFrom: map[policy.CacheID]float64{}, drainAt: map[policy.CacheID]string{}, leaves: map[policy.CacheID]leaving{}, kept: recovery.NewState(), hand: map[policy.CacheID]bool{},
	}
}

type leaving struct {
	addr  string
	since float64
}

// restart kills the proxy: what its sources said is forgotten, and what drains must not be.
func (w *world) restart(t *rapid.T) {
	raw, err := w.kept.Encode()
	require.NoError(t, err)
	w.kept, err = recovery.DecodeState(raw)
	require.NoError(t, err)
	plan := w.kept.Plan(w.now, recovery.Settings{GoneRetention: goneFor})
	w.ledger = newLedger(t)
	w.ledger.Restore(w.now, plan.Remembered, map[int]uint64{0: w.gens[0]})
	w.versions, w.told, w.wake = 0, [2]bool{}, 0
	w.gens[1] = 0 // the board counts anew
	clear(w.claims[0])
	clear(w.claims[1])
	clear(w.published)
	drained := w.drainFrom
	clear(w.leaves)
	w.phases, w.drainFrom, w.drainAt = map[policy.CacheID]membership.Phase{}, map[policy.CacheID]float64{}, map[policy.CacheID]string{}
	for _, x := range plan.Remembered {
		switch id := x.Member.ID; x.Phase {
		case membership.Draining:
			// Also one that waited for an address while it was still in use at another.
			w.phases[id], w.drainFrom[id], w.drainAt[id] = x.Phase, x.Since, x.Member.Addr
		case membership.Gone:
			w.phases[id] = x.Phase
		}
	}
	for id, since := range drained {
		require.Equal(t, membership.Draining, w.phases[id], "%d drained before the restart", id)
		require.LessOrEqual(t, w.drainFrom[id], since, "%d", id) // what waits for an address gets nothing new either
	}
	w.floor = w.gens[0]
	for id := range w.hand {
		w.handle(membership.ManualDrain{ID: id, On: true})
	}
	w.handle(membership.Tick{})
}

func (w *world) handle(e membership.Event) {
	for _, a := range w.ledger.Handle(w.now, e, nil) {
		switch a := a.(type) {
		case membership.Transition:
			id := a.Member.ID
			require.True(w.t, membership.ValidTransition(a.From, a.To), "%v to %v", a.From, a.To)
			require.Equal(w.t, w.phases[id], a.From, "a life without gaps")
			w.phases[id] = a.To
			if a.To != membership.Draining {
				delete(w.drainFrom, id)
				delete(w.drainAt, id)
			} else {
				w.drainFrom[id], w.drainAt[id] = w.now, a.Member.Addr
			}
			if delete(w.leaves, id); a.To == membership.Joining {
				w.leaves[id] = leaving{a.Member.Addr, w.now}
			}
			m := a.Member
			m.State = map[membership.Phase]policy.State{membership.Draining: policy.Draining, membership.Gone: policy.Gone}[a.To]
			if a.To == membership.Draining || a.To == membership.Gone {
				w.kept.Apply(recovery.MemberEvent(m, w.now))
			}
		case membership.Publish:
			w.versions++
			require.Equal(w.t, w.versions, a.Version)
			require.Equal(w.t, w.versions == 1, a.Complete)
			require.True(w.t, slices.IsSortedFunc(a.Members, func(x, y membership.Member) int { return int(x.ID) - int(y.ID) }))
			for _, m := range a.Members {
				w.kept.Apply(recovery.MemberEvent(m, w.now))
				if w.published[m.ID] = m; m.State == policy.Gone {
					delete(w.published, m.ID)
				}
			}
		case membership.Wake:
			w.wake = a.At
		}
	}
}

// say has a source tell a whole list, or changes, of a generation.
func (w *world) say(at int, gen uint64, entries []membership.Entry, whole bool) {
	var e membership.Event = membership.Delta{Source: at, Generation: gen, Entries: entries}
	if whole {
		e = membership.Snapshot{Source: at, Generation: gen, Entries: entries}
	}
	before := maps.Clone(w.published)
	w.handle(e)
	if w.told[at] && gen <= w.gens[at] || at == 0 && gen < w.floor {
		require.Equal(w.t, before, w.published, "an old list changes nothing")
		return
	}
	w.told[at], w.gens[at] = true, gen
	if whole {
		clear(w.claims[at])
	}
	for _, x := range entries {
		w.claims[at][x.ID] = x
	}
	// A goodbye binds others that list the server; with nobody left it is spent.
	for id := policy.CacheID(1); id <= 6; id++ {
		if !w.wanted(id) {
			delete(w.claims[0], id)
			delete(w.claims[1], id)
		}
	}
}

func (w *world) wanted(id policy.CacheID) bool {
	file, byFile := w.claims[0][id]
	board, byBoard := w.claims[1][id]
	return byFile && file.State != policy.Gone || byBoard && board.State != policy.Gone
}

// check holds what was published against what the sources say.
func (w *world) check() {
	for id := policy.CacheID(1); id <= 6; id++ {
		file, byFile := w.claims[0][id]
		board, byBoard := w.claims[1][id]
		state := policy.Ready
		for at, said := range []bool{byFile, byBoard} {
			if said {
				state = max(state, w.claims[at][id].State)
			}
		}
		if w.hand[id] {
			state = max(state, policy.Draining)
		}
		m, out := w.published[id]
		wanted := w.wanted(id)
		switch {
		case out && m.State == policy.Ready:
			require.True(w.t, wanted && state == policy.Ready, "%d is ready, and a source has not said so: %v %v", id, file, board)
		case wanted && state == policy.Ready && byBoard && !byFile:
			require.Fail(w.t, "what the board lists is used at once", "%d", id)
		case wanted && state == policy.Ready:
			// Held back for its address alone, which another server has.
			taken := false
			for other, x := range w.published {
				taken = taken || other != id && x.Addr == file.Addr && w.phases[other] != membership.Joining
			}
			for other, addr := range w.drainAt {
				taken = taken || other != id && addr == file.Addr
			}
			for other, x := range w.leaves {
				taken = taken || other != id && x.addr == file.Addr && w.now-x.since < dropDrain
			}
			require.True(w.t, taken, "%d waits for nothing", id)
		}
		if since, drains := w.drainFrom[id]; drains && !wanted {
			require.Less(w.t, w.now-since, dropDrain, "a server that no list names is gone after its drain")
		}
	}
	at := map[string]policy.CacheID{}
	for _, id := range slices.Sorted(maps.Keys(w.published)) {
		m := w.published[id]
		if _, byBoard := w.claims[1][id]; byBoard || m.State != policy.Ready {
			continue // the board's word is passed on as it comes
		}
		require.Zero(w.t, at[m.Addr], "two servers at %s", m.Addr)
		at[m.Addr] = id
		for other, addr := range w.drainAt {
			_, board := w.claims[1][other]
			require.False(w.t, other != id && addr == m.Addr && !board, "%d is used at %s, where %d drains", id, addr, other)
		}
	}
}

func entry(t *rapid.T, states ...policy.State) membership.Entry {
	var e membership.Entry
	e.ID = policy.CacheID(rapid.IntRange(1, 6).Draw(t, "id"))
	e.Addr = fmt.Sprintf("a%d", rapid.IntRange(1, 6).Draw(t, "addr"))
	e.State = rapid.SampledFrom(states).Draw(t, "state")
	e.Weight = float64(rapid.IntRange(1, 20).Draw(t, "weight"))
	e.Warm = rapid.Bool().Draw(t, "warm")
	if rapid.IntRange(0, 4).Draw(t, "started") == 0 {
		e.Started = policy.Time(rapid.IntRange(1, 20_000).Draw(t, "at")) * 1e6
	}
	return e
}

// distinct drops entries whose id or address came before, as the check of a list does.
func distinct(entries []membership.Entry) (out []membership.Entry) {
	ids, addrs := map[policy.CacheID]bool{}, map[string]bool{}
	for _, e := range entries {
		if !ids[e.ID] && !addrs[e.Addr] {
			out = append(out, e)
		}
		ids[e.ID], addrs[e.Addr] = true, true
	}
	return out
}

// TestModel: whatever is told in whatever order, nothing is ready that a source does not list or that one drains,
// nothing that drains comes back by an old list, and nothing waits without a reason.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		generation := func(at int) uint64 {
			return uint64(max(0, int(w.gens[at])+rapid.SampledFrom([]int{1, 1, 1, 1, 5, 0, -1}).Draw(t, "step")))
		}
		draw := func(states ...policy.State) []membership.Entry {
			return distinct(rapid.SliceOfN(rapid.Custom(func(t *rapid.T) membership.Entry { return entry(t, states...) }), 0, 6).Draw(t, "list"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"file": func(t *rapid.T) {
				w.say(0, generation(0), draw(policy.Ready, policy.Ready, policy.Draining), true)
			},
			"board": func(t *rapid.T) {
				w.say(1, generation(1), draw(policy.Ready, policy.Draining), true)
			},
			"changes": func(t *rapid.T) {
				w.say(1, generation(1), draw(policy.Ready, policy.Draining, policy.Gone), false)
			},
			"wait": func(t *rapid.T) {
				for end := w.now + float64(rapid.IntRange(1, 3000).Draw(t, "ms")); w.now < end; {
					// The clock calls at each wake, and a little late.
					if w.wake > w.now {
						w.now = min(end, w.wake)
					} else {
						w.now = end
					}
					w.handle(membership.Tick{})
				}
			},
			"hand": func(t *rapid.T) {
				id := policy.CacheID(rapid.IntRange(1, 6).Draw(t, "id"))
				on := rapid.Bool().Draw(t, "on")
				if delete(w.hand, id); on {
					w.hand[id] = true
				}
				w.handle(membership.ManualDrain{ID: id, On: on})
			},
			"restart": func(t *rapid.T) { w.restart(t) },
			"":        func(*rapid.T) { w.check() },
		})
		// With nothing listed and time passing, nothing is published and nothing remembered.
		w.say(0, w.gens[0]+1, nil, true)
		w.say(1, w.gens[1]+1, nil, true)
		for range 50 {
			w.now += 500
			w.handle(membership.Tick{})
		}
		require.Empty(t, w.published)
		require.Empty(t, w.ledger.Servers())
	})
}
