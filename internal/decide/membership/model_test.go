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

const drainTimeout, goneRetention = 1000.0, 5000.0

// world drives a table and models, in the simplest way, what its sources list and what it may publish.
type world struct {
	t             *rapid.T
	table         *membership.Table
	now, wake     float64
	generations   [2]uint64
	received      [2]bool
	minGeneration uint64
	statements    [2]map[policy.ServerID]membership.Entry
	published     map[policy.ServerID]membership.Member
	phases        map[policy.ServerID]membership.Phase
	drainFrom     map[policy.ServerID]float64 // start of a published server's drain, ms
	drainAt       map[policy.ServerID]string  // and its address
	waiting       map[policy.ServerID]waiter  // servers in use at an address that wait for another one
	saved         *recovery.State             // what survives a crash
	manualDrains  map[policy.ServerID]bool
	versions      uint64
}

func newTable(t *rapid.T) *membership.Table {
	table, err := membership.New(membership.Settings{
		Sources:      []membership.Source{{Name: "file"}, {Name: "discovery", Immediate: true}},
		DrainTimeout: drainTimeout, GoneRetention: goneRetention, WeightStep: 2, WeightInterval: 100,
	})
	require.NoError(t, err)
	return table
}

func newWorld(t *rapid.T) *world {
	table := newTable(t)
	return &world{
		t: t, table: table, published: map[policy.ServerID]membership.Member{}, phases: map[policy.ServerID]membership.Phase{},
		statements: [2]map[policy.ServerID]membership.Entry{{}, {}},
		drainFrom:  map[policy.ServerID]float64{}, drainAt: map[policy.ServerID]string{}, waiting: map[policy.ServerID]waiter{},
		saved: recovery.NewState(), manualDrains: map[policy.ServerID]bool{},
	}
}

// waiter is a server that was in use at an address and waits for another one.
type waiter struct {
	addr  string
	since float64
}

// restart kills the proxy: what its sources listed is forgotten, drains must survive.
func (w *world) restart(t *rapid.T) {
	raw, err := w.saved.Encode()
	require.NoError(t, err)
	w.saved, err = recovery.DecodeState(raw)
	require.NoError(t, err)
	plan := w.saved.Plan(w.now, recovery.Settings{GoneRetention: goneRetention})
	w.table = newTable(t)
	w.table.Restore(w.now, plan.Members, map[int]uint64{0: w.generations[0]})
	w.versions, w.received, w.wake = 0, [2]bool{}, 0
	w.generations[1] = 0 // discovery counts from the start again
	clear(w.statements[0])
	clear(w.statements[1])
	clear(w.published)
	drained := w.drainFrom
	clear(w.waiting)
	w.phases, w.drainFrom, w.drainAt = map[policy.ServerID]membership.Phase{}, map[policy.ServerID]float64{}, map[policy.ServerID]string{}
	for _, x := range plan.Members {
		switch id := x.Member.ID; x.Phase {
		case membership.Draining:
			// Or it waited for an address while it was still in use at another one.
			w.phases[id], w.drainFrom[id], w.drainAt[id] = x.Phase, x.Since, x.Member.Addr
		case membership.Gone:
			w.phases[id] = x.Phase
		}
	}
	for id, since := range drained {
		require.Equal(t, membership.Draining, w.phases[id], "server %d drained before the restart", id)
		require.LessOrEqual(t, w.drainFrom[id], since, "%d", id) // a server that waits for an address gets no new requests either
	}
	w.minGeneration = w.generations[0]
	for id := range w.manualDrains {
		w.handle(membership.ManualDrain{ID: id, On: true})
	}
	w.handle(membership.Tick{})
}

func (w *world) handle(e membership.Event) {
	for _, a := range w.table.Handle(w.now, e, nil) {
		switch a := a.(type) {
		case membership.Transition:
			id := a.Member.ID
			require.True(w.t, membership.ValidTransition(a.From, a.To), "%v to %v", a.From, a.To)
			require.Equal(w.t, w.phases[id], a.From, "phases follow each other without gaps")
			w.phases[id] = a.To
			if a.To != membership.Draining {
				delete(w.drainFrom, id)
				delete(w.drainAt, id)
			} else {
				w.drainFrom[id], w.drainAt[id] = w.now, a.Member.Addr
			}
			if delete(w.waiting, id); a.To == membership.Joining {
				w.waiting[id] = waiter{a.Member.Addr, w.now}
			}
			m := a.Member
			m.State = map[membership.Phase]policy.State{membership.Draining: policy.Draining, membership.Gone: policy.Gone}[a.To]
			if a.To == membership.Draining || a.To == membership.Gone {
				w.saved.Apply(recovery.MemberEvent(m, w.now))
			}
		case membership.Publish:
			w.versions++
			require.Equal(w.t, w.versions, a.Version)
			require.Equal(w.t, w.versions == 1, a.Complete)
			require.True(w.t, slices.IsSortedFunc(a.Members, func(x, y membership.Member) int { return int(x.ID) - int(y.ID) }))
			for _, m := range a.Members {
				w.saved.Apply(recovery.MemberEvent(m, w.now))
				if w.published[m.ID] = m; m.State == policy.Gone {
					delete(w.published, m.ID)
				}
			}
		case membership.Wake:
			w.wake = a.At
		}
	}
}

// report has a source send a snapshot (complete) or a delta of a generation.
func (w *world) report(at int, gen uint64, entries []membership.Entry, complete bool) {
	var e membership.Event = membership.Delta{Source: at, Generation: gen, Entries: entries}
	if complete {
		e = membership.Snapshot{Source: at, Generation: gen, Entries: entries}
	}
	before := maps.Clone(w.published)
	w.handle(e)
	if w.received[at] && gen <= w.generations[at] || at == 0 && gen < w.minGeneration {
		require.Equal(w.t, before, w.published, "a stale list changes nothing")
		return
	}
	w.received[at], w.generations[at] = true, gen
	if complete {
		clear(w.statements[at])
	}
	for _, x := range entries {
		w.statements[at][x.ID] = x
	}
	// A removal binds other sources that list the server; once all removed it, it is forgotten.
	for id := policy.ServerID(1); id <= 6; id++ {
		if !w.wanted(id) {
			delete(w.statements[0], id)
			delete(w.statements[1], id)
		}
	}
}

func (w *world) wanted(id policy.ServerID) bool {
	file, byFile := w.statements[0][id]
	discovery, byDiscovery := w.statements[1][id]
	return byFile && file.State != policy.Gone || byDiscovery && discovery.State != policy.Gone
}

// check compares what is published with what the sources say.
func (w *world) check() {
	for id := policy.ServerID(1); id <= 6; id++ {
		file, byFile := w.statements[0][id]
		discovery, byDiscovery := w.statements[1][id]
		state := policy.Ready
		for at, listed := range []bool{byFile, byDiscovery} {
			if listed {
				state = max(state, w.statements[at][id].State)
			}
		}
		if w.manualDrains[id] {
			state = max(state, policy.Draining)
		}
		m, out := w.published[id]
		wanted := w.wanted(id)
		switch {
		case out && m.State == policy.Ready:
			require.True(w.t, wanted && state == policy.Ready, "server %d is ready, though a source does not say so: %v %v",
				id, file, discovery)
		case wanted && state == policy.Ready && byDiscovery && !byFile:
			require.Fail(w.t, "what discovery lists is used at once", "%d", id)
		case wanted && state == policy.Ready:
			// It may only wait for its address, which another server holds.
			taken := false
			for other, x := range w.published {
				taken = taken || other != id && x.Addr == file.Addr && w.phases[other] != membership.Joining
			}
			for other, addr := range w.drainAt {
				taken = taken || other != id && addr == file.Addr
			}
			for other, x := range w.waiting {
				taken = taken || other != id && x.addr == file.Addr && w.now-x.since < drainTimeout
			}
			require.True(w.t, taken, "server %d waits for nothing", id)
		}
		if since, drains := w.drainFrom[id]; drains && !wanted {
			require.Less(w.t, w.now-since, drainTimeout, "an unlisted server is gone after its drain")
		}
	}
	at := map[string]policy.ServerID{}
	for _, id := range slices.Sorted(maps.Keys(w.published)) {
		m := w.published[id]
		if _, byDiscovery := w.statements[1][id]; byDiscovery || m.State != policy.Ready {
			continue // what discovery reports takes effect at once
		}
		require.Zero(w.t, at[m.Addr], "two servers at %s", m.Addr)
		at[m.Addr] = id
		for other, addr := range w.drainAt {
			_, discovery := w.statements[1][other]
			require.False(w.t, other != id && addr == m.Addr && !discovery, "server %d is used at %s, where %d drains", id, addr, other)
		}
	}
}

func entry(t *rapid.T, states ...policy.State) membership.Entry {
	var e membership.Entry
	e.ID = policy.ServerID(rapid.IntRange(1, 6).Draw(t, "id"))
	e.Addr = fmt.Sprintf("a%d", rapid.IntRange(1, 6).Draw(t, "addr"))
	e.State = rapid.SampledFrom(states).Draw(t, "state")
	e.Weight = float64(rapid.IntRange(1, 20).Draw(t, "weight"))
	e.Warm = rapid.Bool().Draw(t, "warm")
	if rapid.IntRange(0, 4).Draw(t, "started") == 0 {
		e.Started = policy.Time(rapid.IntRange(1, 20_000).Draw(t, "at")) * 1e6
	}
	return e
}

// distinct drops entries whose id or address occurred before, as the check of a list does.
func distinct(entries []membership.Entry) (out []membership.Entry) {
	ids, addrs := map[policy.ServerID]bool{}, map[string]bool{}
	for _, e := range entries {
		if !ids[e.ID] && !addrs[e.Addr] {
			out = append(out, e)
		}
		ids[e.ID], addrs[e.Addr] = true, true
	}
	return out
}

// TestTableMatchesModel sends random events in random order: no server is ready that no source lists or that one drains, no
// drained server comes back by a stale list, and no server waits without a reason.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		generation := func(at int) uint64 {
			return uint64(max(0, int(w.generations[at])+rapid.SampledFrom([]int{1, 1, 1, 1, 5, 0, -1}).Draw(t, "step")))
		}
		draw := func(states ...policy.State) []membership.Entry {
			oneEntry := rapid.Custom(func(t *rapid.T) membership.Entry { return entry(t, states...) })
			return distinct(rapid.SliceOfN(oneEntry, 0, 6).Draw(t, "list"))
		}
		t.Repeat(map[string]func(*rapid.T){
			"file": func(t *rapid.T) {
				w.report(0, generation(0), draw(policy.Ready, policy.Ready, policy.Draining), true)
			},
			"discovery full list": func(t *rapid.T) {
				w.report(1, generation(1), draw(policy.Ready, policy.Draining), true)
			},
			"discovery update": func(t *rapid.T) {
				w.report(1, generation(1), draw(policy.Ready, policy.Draining, policy.Gone), false)
			},
			"wait": func(t *rapid.T) {
				for end := w.now + float64(rapid.IntRange(1, 3000).Draw(t, "ms")); w.now < end; {
					// The clock fires at each wake, or a little later.
					if w.wake > w.now {
						w.now = min(end, w.wake)
					} else {
						w.now = end
					}
					w.handle(membership.Tick{})
				}
			},
			"manual drain": func(t *rapid.T) {
				id := policy.ServerID(rapid.IntRange(1, 6).Draw(t, "id"))
				on := rapid.Bool().Draw(t, "on")
				if delete(w.manualDrains, id); on {
					w.manualDrains[id] = true
				}
				w.handle(membership.ManualDrain{ID: id, On: on})
			},
			"restart": func(t *rapid.T) { w.restart(t) },
			"":        func(*rapid.T) { w.check() },
		})
		// With nothing listed, in time nothing is published and nothing remembered.
		w.report(0, w.generations[0]+1, nil, true)
		w.report(1, w.generations[1]+1, nil, true)
		for range 50 {
			w.now += 500
			w.handle(membership.Tick{})
		}
		require.Empty(t, w.published)
		require.Empty(t, w.table.Servers())
	})
}
