package membership

import "ravenwheel/policy"

// SavedMember is the state of a server before a restart.
type SavedMember struct {
	Member Member
	Phase  Phase
	Since  float64 // start of the phase, ms
}

// SavedSource is what was in force of a source before a restart.
type SavedSource struct {
	MinGeneration uint64            // the lowest generation that is accepted from it
	Omitted       []policy.ServerID // servers that it has removed by no longer listing them
}

// Restore continues from the state before a restart. Servers that were draining go on draining, servers that were gone stay
// gone, and servers that were in use do not count as new when a source lists them. A server that a source has removed drains while
// another one lists it. sources are by index. Restore must be called before the first event.
func (t *Table) Restore(now float64, saved []SavedMember, sources map[int]SavedSource) {
	t.now, t.restoreCalled, t.inUseBeforeRestart = max(now, t.now), true, map[policy.ServerID]Member{}
	for i, source := range sources {
		if t.knownSource(i) {
			t.sources[i].minGeneration = source.MinGeneration
		}
	}
	omitted := map[policy.ServerID]bool{}
	for _, source := range sources {
		for _, id := range source.Omitted {
			omitted[id] = true
		}
	}
	for _, x := range saved {
		if x.Phase == Draining && omitted[x.Member.ID] {
			x.Since = t.now // another source may list it, which is not known yet: it must not be gone before
		}
		if x.Phase == Draining || x.Phase == Gone {
			t.restoreServer(x)
		} else {
			t.inUseBeforeRestart[x.Member.ID] = x.Member
		}
	}
	for i, source := range sources {
		for _, id := range source.Omitted {
			t.restoreOmission(i, id)
		}
	}
}

// restoreOmission records again that a list of a source no longer names a server.
func (t *Table) restoreOmission(i int, id policy.ServerID) {
	if !t.knownSource(i) {
		return
	}
	s := t.servers[id]
	if s == nil {
		s = t.newServer(id)
	}
	s.entries[i] = &sourceEntry{omitted: true}
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
