package membership

import "ravenwheel/policy"

// SavedMember is the state of a server before a restart.
type SavedMember struct {
	Member Member
	Phase  Phase
	Since  float64 // start of the phase, ms
}

// Restore continues from the state before a restart. Servers that were draining go on draining, servers that were gone stay
// gone, and servers that were in use do not count as new when a source lists them. minGenerations has, by the index of a
// source, the lowest generation that is accepted from it. Restore must be called before the first event.
func (t *Table) Restore(now float64, saved []SavedMember, minGenerations map[int]uint64) {
	t.now, t.restoreCalled, t.inUseBeforeRestart = max(now, t.now), true, map[policy.ServerID]Member{}
	for i, generation := range minGenerations {
		if i >= 0 && i < len(t.sources) {
			t.sources[i].minGeneration = generation
		}
	}
	for _, x := range saved {
		if x.Phase == Draining || x.Phase == Gone {
			t.restoreServer(x)
		} else {
			t.inUseBeforeRestart[x.Member.ID] = x.Member
		}
	}
}

// restoreServer adds a server that was draining or gone.
func (t *Table) restoreServer(x SavedMember) {
	s := t.newServer(x.Member.ID)
	s.phase, s.since, s.current = x.Phase, min(x.Since, t.now), x.Member
	s.reason, s.restored = reasonRestored, true
	if x.Phase == Gone {
		s.deadline = s.since + t.settings.GoneRetention
	} else {
		s.deadline = s.since + t.settings.DrainTimeout
		t.reserveAddress(s, s.current.Addr)
	}
	t.schedule(s.deadline, s.id)
}
