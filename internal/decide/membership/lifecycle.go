package membership

import (
	"cmp"
	"fmt"
	"slices"

	"ravenwheel/policy"
)

// Reasons for a phase, as shown to operators. For a phase that a source has set, the reason is the name of the source and its
// generation.
const (
	reasonManualDrain = "drained by hand"
	reasonUnlisted    = "no longer listed"
	reasonDrained     = "drained"
	reasonForgotten   = "forgotten"
	reasonRestored    = "unchanged since the restart"
)

// reconcile moves each dirty server to the phase that the sources and the reserved addresses allow. Servers that are removed
// or drained come first, so that addresses that are freed by a removal are available to servers that become ready.
func (t *Table) reconcile() {
	for len(t.dirty) > 0 {
		ids := make([]policy.ServerID, 0, len(t.dirty))
		for id := range t.dirty {
			ids = append(ids, id)
		}
		clear(t.dirty)
		ids = slices.DeleteFunc(ids, func(id policy.ServerID) bool { return t.servers[id] == nil })
		rank := func(id policy.ServerID) int { return -int(t.servers[id].merge().state) }
		slices.SortFunc(ids, func(a, b policy.ServerID) int { return cmp.Or(rank(a)-rank(b), cmp.Compare(a, b)) })
		for _, id := range ids {
			t.reconcileServer(t.servers[id])
		}
	}
}

// reconcileServer moves one server to the phase that its merged state and the reserved addresses allow.
func (t *Table) reconcileServer(s *server) {
	merged := s.merge()
	if merged.factsSource < 0 {
		t.reconcileUnlisted(s)
		return
	}
	entry := s.entries[merged.factsSource]
	s.immediate = t.sources[merged.factsSource].Immediate
	reason := reasonManualDrain
	if merged.stateSource >= 0 {
		reason = fmt.Sprintf("%s %d", t.sources[merged.stateSource].Name, t.sources[merged.stateSource].generation)
	}
	switch merged.state {
	case policy.Gone:
		t.transition(s, Gone, entry.Member, reason)
		t.dropAllEntries(s)
	case policy.Draining:
		// A server drains at the address at which it was used last, as its requests run there. It need not wait until the address
		// that is listed now is free.
		m := entry.Member
		if s.published || s.restored {
			m.Addr = s.current.Addr
		}
		t.transition(s, Draining, m, reason)
	case policy.Ready:
		t.reconcileReady(s, entry, reason)
	}
}

// dropAllEntries deletes the entries of a server that all sources listing it have removed. Without this, entries would pile
// up in memory as a fleet replaces its machines.
func (t *Table) dropAllEntries(s *server) {
	for _, source := range t.sources {
		delete(source.listed, s.id)
	}
	clear(s.entries)
}

// reconcileReady makes a server ready, or keeps it joining while its address is reserved for another server. Servers of an
// immediate source never wait, as such a source reports what is running already.
func (t *Table) reconcileReady(s *server, entry *sourceEntry, reason string) {
	if !s.immediate && t.waitForAddress(s, entry) {
		return
	}
	drainEnded := t.manualDrainsEnded[s.id]
	if s.immediate && toMs(entry.reported.Started) < drainEnded {
		entry.Started = fromMs(drainEnded) // the source has not reported a start since the drain
	}
	if entry.warmUpOnReady && (s.phase != Ready || s.current.Addr != entry.Addr) {
		entry.Started = fromMs(t.now)
	}
	m := entry.Member
	m.Started = s.latestStart(entry)
	t.transition(s, Ready, m, reason)
}

// waitForAddress keeps a server joining while the address listed for it is reserved for another one. After DrainTimeout the
// reservation of the address at which the server was used before ends. It reports whether the server still waits.
func (t *Table) waitForAddress(s *server, entry *sourceEntry) (waits bool) {
	if s.phase == Joining && t.now >= s.since+t.settings.DrainTimeout {
		t.abandonAddress(s)
	}
	other := t.resolveAddressConflict(s, entry)
	if other == nil {
		return false
	}
	insert(t.waiting, entry.Addr, s.id)
	t.schedule(max(t.now, s.since)+max(minTimerDelay, t.settings.DrainTimeout), s.id)
	t.transition(s, Joining, entry.Member, fmt.Sprintf("%s is still held by server %d", entry.Addr, other.id))
	return true
}

// reconcileUnlisted drains a server that no source lists any more, for DrainTimeout from the start of its drain. A server of
// an immediate source, or one that was never in use, is gone at once.
func (t *Table) reconcileUnlisted(s *server) {
	switch {
	case s.phase == Joining && !s.published, s.phase != Gone && (s.immediate || t.settings.DrainTimeout <= 0):
		t.transition(s, Gone, s.current, reasonUnlisted)
	case s.phase == Joining || s.phase == Ready || s.phase == Draining:
		if s.phase != Draining {
			t.transition(s, Draining, s.current, reasonUnlisted)
		}
		s.deadline = s.since + t.settings.DrainTimeout
		s.reason = reasonUnlisted
		if s.deadline <= t.now {
			t.transition(s, Gone, s.current, reasonDrained)
			return
		}
		t.schedule(s.deadline, s.id)
	}
}

// transition moves a server to a phase, with the facts m that are to be published for it.
func (t *Table) transition(s *server, to Phase, m Member, reason string) {
	from, previous := s.phase, s.current
	m = t.publishedFacts(s, to, m)
	if to != Ready {
		s.nextWeightStep = 0
	}
	if from != to {
		s.phase, s.since, s.reason, s.restored = to, t.now, reason, false
		t.emit(Transition{Member: m, From: from, To: to, Reason: reason})
	}
	t.updateReservation(s, m.Addr)
	if s.current = m; m == previous && from == to {
		return
	}
	// The router and the pools need not know of a server that joins or is gone without ever having been published.
	if !s.published && (to == Joining || to == Gone) {
		return
	}
	s.published = to != Gone
	t.changed = append(t.changed, m)
}

// publishedFacts returns the facts m of a server as they are published in a phase.
func (t *Table) publishedFacts(s *server, to Phase, m Member) Member {
	m.ID = s.id
	switch to {
	case Joining:
		// If the server was in use at a previous address, no new request may be sent there.
		m.State = policy.Draining
		if s.published || s.restored {
			m.Addr = s.current.Addr
		}
	case Ready:
		m.State = policy.Ready
		m.Weight = t.nextWeight(s, m.Weight)
	case Draining:
		m.State = policy.Draining
	case Gone:
		m.State = policy.Gone
	}
	return m
}

// updateReservation reserves the address of a server that is in use or draining there. A server that is gone has no
// reservation, and is deleted after GoneRetention.
func (t *Table) updateReservation(s *server, addr string) {
	switch s.phase {
	case Ready, Draining:
		t.reserveAddress(s, addr)
	case Joining:
		if s.published || s.addr != "" {
			t.reserveAddress(s, addr)
		}
	case Gone:
		t.reserveAddress(s, "")
		s.deadline = t.now + t.settings.GoneRetention
		t.schedule(s.deadline, s.id)
	}
}
