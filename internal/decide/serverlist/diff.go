package serverlist

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"ravenwheel/policy"
)

// ChangeKind is what happens to a server between two lists. Its text is logged and shown to operators.
type ChangeKind string

// The kinds of change.
const (
	ChangeAdded      ChangeKind = "added"
	ChangeDropped    ChangeKind = "dropped"
	ChangeDrained    ChangeKind = "drained"
	ChangeRestored   ChangeKind = "restored" // no longer draining
	ChangeMoved      ChangeKind = "moved"    // to another address
	ChangeReweighted ChangeKind = "re-weighted"
	ChangeOther      ChangeKind = "changed" // zone, kind, cell, start or warmth
)

// Change is one difference of a server between two lists.
type Change struct {
	ID   policy.ServerID
	Kind ChangeKind
	Text string // details, to be shown to operators
}

// Diff returns the changes of the servers from list a to list b, sorted by id. Either list may be nil, which is an empty one.
func Diff(a, b *List) []Change {
	before, after := indexByID(a), indexByID(b)
	ids := make([]policy.ServerID, 0, len(before)+len(after))
	for id := range before {
		ids = append(ids, id)
	}
	for id := range after {
		if before[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	var changes []Change
	for _, id := range ids {
		changes = appendChanges(changes, id, before[id], after[id])
	}
	return changes
}

// appendChanges appends the changes of one server. before or after is nil if the server is not listed there.
func appendChanges(changes []Change, id policy.ServerID, before, after *Server) []Change {
	add := func(kind ChangeKind, format string, args ...any) {
		changes = append(changes, Change{id, kind, fmt.Sprintf(format, args...)})
	}
	switch {
	case before == nil:
		add(ChangeAdded, "%s in %s, %s, weight %v%s", after.dialAddr(), after.Zone, after.Kind, after.Weight, after.stateSuffix())
		return changes
	case after == nil:
		add(ChangeDropped, "%s: drains, then is gone", before.dialAddr())
		return changes
	}
	if before.Draining != after.Draining {
		kind := ChangeRestored
		if after.Draining {
			kind = ChangeDrained
		}
		add(kind, "%s%s", after.dialAddr(), after.stateSuffix())
	}
	if before.dialAddr() != after.dialAddr() {
		add(ChangeMoved, "from %s to %s", before.dialAddr(), after.dialAddr())
	}
	if before.Weight != after.Weight {
		add(ChangeReweighted, "from %v to %v", before.Weight, after.Weight)
	}
	if before.Zone != after.Zone || before.Kind != after.Kind || before.Cell != after.Cell ||
		before.StartedMs != after.StartedMs || before.Warm != after.Warm {
		add(ChangeOther, "zone %s, kind %s, cell %d%s", after.Zone, after.Kind, after.Cell, after.stateSuffix())
	}
	return changes
}

// dialAddr returns the server's address, or host:port if the host has not been resolved.
func (s *Server) dialAddr() string { return cmp.Or(s.Addr, s.Host+":"+strconv.Itoa(s.Port)) }

// stateSuffix returns text to append to a change: that the server drains, that it is warm, or when it was started (Unix ms).
func (s *Server) stateSuffix() string {
	switch {
	case s.Draining:
		return ", draining"
	case s.Warm:
		return ", warm"
	case s.StartedMs > 0:
		return fmt.Sprintf(", started at %.0f", s.StartedMs)
	}
	return ""
}

// indexByID returns the servers of a list by their id. A nil list is an empty one.
func indexByID(l *List) map[policy.ServerID]*Server {
	out := map[policy.ServerID]*Server{}
	if l != nil {
		for i := range l.Servers {
			out[l.Servers[i].ID] = &l.Servers[i]
		}
	}
	return out
}
