package hollow

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/distribution"
)

// book is a world in which some purges are committed, and a proxy that has none of them.
func book(t *testing.T, n int) (*world, *process, []distribution.Entry) {
	t.Helper()
	s := Usual()
	s.GroupPurges = 0
	w := newWorld(s, leastProcesses(s), false)
	w.leader = w.byRole[Store][0]
	var entries []distribution.Entry
	for range n {
		c := w.history.purge(w, w.leader)
		w.history.commit(0, c)
		entries = append(entries, c.entry)
	}
	return w, w.byRole[Proxy][0], entries
}

func all(entries []distribution.Entry) distribution.Apply {
	through := entries[len(entries)-1].Sequence
	return distribution.Apply{Epoch: 1, Through: through, Watermark: distribution.Watermark{Sequence: through, At: epoch0}, Entries: entries}
}

// The checker takes what is right, in one piece or in several, and what is left out as something later covers it.
func TestCheckerTakes(t *testing.T) {
	w, p, entries := book(t, 20)
	first := all(entries[:8])
	w.check.applied(p, purges, first)
	rest := all(entries)
	rest.After, rest.Entries = first.Through, entries[8:]
	w.check.applied(p, purges, rest)
	w.check.end()
	require.Zero(t, w.check.broken-lacking(w, p), "%v", w.check.texts)

	w, p, entries = book(t, 20)
	again := w.history.purge(w, w.leader)
	again.entry.Name = entries[3].Name
	w.history.commit(0, again)
	left := slices.Concat(entries[:3], entries[4:])
	a := all(left)
	a.Watermark.Sequence = again.entry.Sequence
	w.check.applied(p, purges, a)
	require.Zero(t, w.check.broken, "%v", w.check.texts)
	require.Len(t, p.owed, 1)
	w.check.applied(p, purges, distribution.Apply{
		Epoch: 1, After: a.Through, Through: again.entry.Sequence, Watermark: distribution.Watermark{Sequence: again.entry.Sequence, At: epoch0},
		Entries: []distribution.Entry{again.entry},
	})
	require.Zero(t, w.check.broken, "%v", w.check.texts)
	require.Empty(t, p.owed)
}

// The numbers in what was made of a snapshot are made up: that they rise is all that counts.
func TestCheckerTakesMadeUpNumbers(t *testing.T) {
	w, p, entries := book(t, 9)
	a := all(entries)
	a.Atomic, a.Entries = true, slices.Clone(entries)
	for i := range a.Entries {
		a.Entries[i].Sequence = uint64(i + 1)
	}
	w.check.applied(p, purges, a)
	require.Zero(t, w.check.broken, "%v", w.check.texts)
	require.Equal(t, 9, p.next[purges])
	a.Atomic = false
	w.check.applied(w.byRole[Proxy][1], purges, a)
	require.NotZero(t, w.check.broken, "other batches have the store's numbers")
}

// lacking counts the complaints that other processes, which were told nothing, lack all.
func lacking(w *world, p *process) int {
	n := 0
	for _, x := range w.processes {
		if x != p && x.role != Store && x.next[purges] == 0 {
			n++
		}
	}
	return n
}

// Whatever a process may not be told is found: a gap, an entry that is missing, changed, new, repeated or out of order, a
// snapshot that lacks something or leads back, what is owed and never comes, and a process that is behind and does not say so.
func TestCheckerFinds(t *testing.T) {
	for name, wrong := range map[string]func(w *world, p *process, e []distribution.Entry){
		"missing": func(w *world, p *process, e []distribution.Entry) {
			a := all(e)
			a.Entries = slices.Concat(e[:4], e[5:])
			w.check.applied(p, purges, a)
		},
		"gap": func(w *world, p *process, e []distribution.Entry) {
			a := all(e)
			a.After, a.Entries = e[2].Sequence, e[3:]
			w.check.applied(p, purges, a)
		},
		"changed": func(w *world, p *process, e []distribution.Entry) {
			e[4].Name += "x"
			w.check.applied(p, purges, all(e))
		},
		"made earlier": func(w *world, p *process, e []distribution.Entry) {
			e[4].EffectiveAt--
			w.check.applied(p, purges, all(e))
		},
		"order": func(w *world, p *process, e []distribution.Entry) {
			e[4], e[5] = e[5], e[4]
			w.check.applied(p, purges, all(e))
		},
		"twice": func(w *world, p *process, e []distribution.Entry) {
			w.check.applied(p, purges, all(e))
			w.check.applied(p, purges, all(e))
		},
		"invented": func(w *world, p *process, e []distribution.Entry) {
			a := all(e)
			a.Entries = append(slices.Clone(e), distribution.Entry{Sequence: a.Through + 1, Kind: distribution.PurgeObject, Name: "x"})
			w.check.applied(p, purges, a)
		},
		"snapshot lacks": func(w *world, p *process, e []distribution.Entry) {
			a := all(e)
			w.check.replaced(p, purges, distribution.InstallSnapshot{Epoch: 1, Through: a.Through, Watermark: a.Watermark, Entries: e[1:]})
		},
		"snapshot invents": func(w *world, p *process, e []distribution.Entry) {
			a := all(e)
			more := distribution.Entry{Sequence: a.Through + 1, Kind: distribution.PurgeObject, Name: "x"}
			w.check.replaced(p, purges, distribution.InstallSnapshot{Epoch: 1, Through: a.Through, Watermark: a.Watermark, Entries: append(slices.Clone(e), more)})
		},
		"whole batch lacks": func(w *world, p *process, e []distribution.Entry) {
			a := all(e)
			a.Atomic, a.Entries = true, e[1:]
			w.check.applied(p, purges, a)
		},
		"whole batch invents": func(w *world, p *process, e []distribution.Entry) {
			a := all(e)
			a.Atomic, a.Entries = true, append(slices.Clone(e), distribution.Entry{Sequence: a.Through + 1, Kind: distribution.PurgeObject, Name: "x"})
			w.check.applied(p, purges, a)
		},
		"snapshot back": func(w *world, p *process, e []distribution.Entry) {
			w.check.applied(p, purges, all(e))
			a := all(e[:4])
			w.check.replaced(p, purges, distribution.InstallSnapshot{Epoch: 1, Through: a.Through, Watermark: a.Watermark, Entries: a.Entries})
		},
		"owed": func(w *world, p *process, e []distribution.Entry) {
			p.owed = append(p.owed, owed{purges, 0, e[1].Sequence})
			w.check.applied(p, purges, distribution.Apply{Epoch: 1, Through: 0})
			for _, x := range w.processes {
				x.next[purges] = len(e)
			}
			w.check.end()
		},
		"silent": func(w *world, p *process, _ []distribution.Entry) {
			for _, x := range w.processes {
				x.up = x == p
			}
			w.now = w.spec.BoundMs + 1
			p.gates[purges] = distribution.NewFreshnessGate(distribution.DefaultSettings(distribution.Purges, p.peer()))
			w.check.sweep()
			require.Zero(t, w.check.broken, "one that begins turns from copies")
			p.gates[purges] = nil
			w.check.sweep()
		},
	} {
		w, p, entries := book(t, 9)
		wrong(w, p, entries)
		require.NotZero(t, w.check.broken, name)
	}
}

// Limits are held against what a run showed, and name what is beyond them.
func TestJudge(t *testing.T) {
	w, p, entries := book(t, 3)
	w.now = warmUp + 9000
	for _, c := range w.history.log[purges] {
		c.at = warmUp
	}
	w.check.applied(p, purges, all(entries))
	r := &Result{Roles: map[string]int{"proxy": 1}, Phases: []Phase{{To: 10, Burst: 1}, {From: 10, To: 20, Burst: 10}}}
	r.Everywhere[purges] = w.everywhere(purges)
	for i := range r.Phases {
		r.Phases[i].Traffic[Proxy] = PhaseRole{Role: "proxy", In: 100}
	}
	w.judge(r)
	require.Len(t, r.Rules, 2, "%v", r.Rules)
	require.Contains(t, r.Rules[0], "took 9000 ms to "+p.name)
	require.True(t, strings.Contains(r.Rules[1], "from 0.0 to 10.0 s"), "the burst may pass ten times as much: %v", r.Rules)
}

// Recordings have a point a size, in order, and none is made of fewer sizes than can be fitted.
func TestRecordings(t *testing.T) {
	var runs []*Result
	for _, n := range []int{300, 100, 3000, 1000} {
		r := &Result{Name: "growth", Way: "levels", Processes: n, PerRole: []RoleCost{{Role: "proxy", InKBPerS: 5}}}
		runs = append(runs, r)
	}
	runs = append(runs, &Result{Way: "direct", Processes: 100})
	var out strings.Builder
	require.NoError(t, WriteRecordings(&out, "a machine", runs))
	var got Recordings
	require.NoError(t, json.Unmarshal([]byte(out.String()), &got))
	require.Len(t, got.Recordings, len(recorded)-1, "one size of today's way is too few")
	for _, x := range got.Recordings {
		if x.Name == "scale/proxy-bytes-per-s" {
			require.Equal(t, []Point{{100, 5000}, {300, 5000}, {1000, 5000}, {3000, 5000}}, x.Points)
		}
	}
}
