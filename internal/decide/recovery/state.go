package recovery

import (
	"cmp"
	"maps"
	"slices"

	"ravenwheel/internal/decide/expiryqueue"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/policy"
)

// State is the result of all events applied to it. It is not safe for concurrent use.
type State struct {
	LatestTime float64 // latest time of an event
	Boots      int     // number of starts of the proxy
	Epoch      float64 // epoch of the clock by which the times are measured; 0: unknown
	Revision   uint64  // highest revision of the configuration that was in use

	purges       map[purgeKey]Purge
	members      map[uint64]Member
	lists        map[string]List // by source
	manualDrains map[uint64]bool
	// purgeExpiry and goneExpiry order purges and departed servers by the time from which their expiry is counted.
	purgeExpiry expiryqueue.Queue[purgeKey]
	goneExpiry  expiryqueue.Queue[uint64]
}

// NewState returns a state to which no event has been applied.
func NewState() *State {
	return &State{
		manualDrains: map[uint64]bool{}, purges: map[purgeKey]Purge{}, members: map[uint64]Member{}, lists: map[string]List{},
	}
}

// Apply adds an event.
func (s *State) Apply(e Event) {
	if e.Boot {
		s.shiftTimes(e.Shift)
		s.Epoch = e.Epoch
	}
	s.LatestTime = max(s.LatestTime, e.At)
	switch {
	case e.Purge != nil:
		s.applyPurge(*e.Purge)
	case e.Member != nil:
		s.applyMember(*e.Member)
	case e.List != nil:
		s.applyList(*e.List, e.At)
	case e.Revision > 0:
		s.Revision = max(s.Revision, e.Revision)
	case e.ManualDrain != nil:
		s.applyManualDrain(*e.ManualDrain)
	case e.Boot:
		s.Boots++
	}
}

// applyPurge merges a purge with an earlier one of the same object or group: the later of each time counts.
func (s *State) applyPurge(p Purge) {
	key := p.key()
	old, known := s.purges[key]
	if known {
		p.IssuedAt, p.NotifiedAt = max(p.IssuedAt, old.IssuedAt), max(p.NotifiedAt, old.NotifiedAt)
	}
	s.purges[key] = p
	s.purgeExpiry.Set(key, p.expiryBase(), old.expiryBase(), known) // an expiry only moves to later, so the queue needs no rebuild
}

// applyMember replaces a member. Since changes only with the phase, except that for a departed server it is always the time of the
// latest event.
func (s *State) applyMember(m Member) {
	old, known := s.members[m.ID]
	if known && old.Phase == m.Phase && m.Phase != membership.Gone {
		m.Since = old.Since
	}
	s.members[m.ID] = m
	if m.Phase != membership.Gone {
		return
	}
	s.forgetOmitted(m.ID)
	s.goneExpiry.Set(m.ID, m.Since, old.Since, known && old.Phase == membership.Gone)
	if s.goneExpiry.NeedsRebuild(len(s.members)) {
		s.goneExpiry.Rebuild(s.goneSince)
	}
}

// applyList accepts a list unless a later generation of its source is known.
func (s *State) applyList(l List, at float64) {
	old, known := s.lists[l.Source]
	if known && l.Generation < old.Generation {
		return
	}
	s.drainUnlisted(old, l, at)
	l.Omitted = s.omittedBy(old, l)
	s.lists[l.Source] = l
}

// omittedBy returns the servers that the lists of a source up to next have named, and that next does not name, in order. A server that
// has left is not among them, as no source lists it.
func (s *State) omittedBy(old, next List) []uint64 {
	candidates := slices.Concat(next.Omitted, old.Omitted)
	for _, server := range old.Servers {
		candidates = append(candidates, uint64(server.ID))
	}
	slices.Sort(candidates)
	listed := make(map[uint64]bool, len(next.Servers))
	for _, server := range next.Servers {
		listed[uint64(server.ID)] = true
	}
	omitted := slices.DeleteFunc(slices.Compact(candidates), func(id uint64) bool {
		m, known := s.members[id]
		return listed[id] || !known || m.Phase == membership.Gone
	})
	if len(omitted) == 0 {
		return nil
	}
	return omitted
}

// forgetOmitted removes a server that has left from the omitted servers of all sources.
func (s *State) forgetOmitted(id uint64) {
	for source, l := range s.lists {
		if i, found := slices.BinarySearch(l.Omitted, id); found {
			if l.Omitted = slices.Delete(slices.Clone(l.Omitted), i, i+1); len(l.Omitted) == 0 {
				l.Omitted = nil
			}
			s.lists[source] = l
		}
	}
}

// drainUnlisted starts the drain of each server that a new list omits or marks as draining. A list is stored before it
// takes effect, so after a crash between the two the stored list is the only record of these drains.
func (s *State) drainUnlisted(old, next List, at float64) {
	ready := make(map[policy.ServerID]bool, len(next.Servers))
	for _, server := range next.Servers {
		ready[server.ID] = !server.Draining
	}
	for _, server := range old.Servers {
		m, known := s.members[uint64(server.ID)]
		if !known || ready[server.ID] || m.Phase == membership.Draining || m.Phase == membership.Gone {
			continue
		}
		m.Phase, m.Since = membership.Draining, at
		s.members[m.ID] = m
	}
}

func (s *State) applyManualDrain(d ManualDrain) {
	if d.Active {
		s.manualDrains[d.ID] = true
	} else {
		delete(s.manualDrains, d.ID)
	}
}

// shiftTimes adds ms to all stored times, to convert them to another clock.
func (s *State) shiftTimes(ms float64) {
	if ms == 0 {
		return
	}
	s.LatestTime += ms
	for key, p := range s.purges {
		s.purges[key] = p.shifted(ms)
	}
	for id, m := range s.members {
		m.Since += ms
		if m.Started > 0 {
			m.Started += ms
		}
		s.members[id] = m
	}
	s.purgeExpiry.Rebuild(s.purgeExpiryBases)
	s.goneExpiry.Rebuild(s.goneSince)
}

func (p Purge) shifted(ms float64) Purge {
	p.IssuedAt += ms
	p.NotifiedAt += ms
	return p
}

// Counts returns how many purges, members and lists are stored.
func (s *State) Counts() (purges, members, lists int) {
	return len(s.purges), len(s.members), len(s.lists)
}

// Purges returns the stored purges, oldest notification first.
func (s *State) Purges() []Purge {
	purges := make([]Purge, 0, len(s.purges))
	for _, p := range s.purges {
		purges = append(purges, p)
	}
	slices.SortFunc(purges, func(a, b Purge) int {
		return cmp.Or(cmp.Compare(a.NotifiedAt, b.NotifiedAt), cmp.Compare(a.Object, b.Object), a.Group-b.Group)
	})
	return purges
}

// Members returns the stored members, by id.
func (s *State) Members() []Member {
	members := make([]Member, 0, len(s.members))
	for _, m := range s.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Lists returns the stored lists, by source; nil if there is none.
func (s *State) Lists() []List {
	var lists []List
	for _, l := range s.lists {
		lists = append(lists, l)
	}
	slices.SortFunc(lists, func(a, b List) int { return cmp.Compare(a.Source, b.Source) })
	return lists
}

// drainedManually returns the ids of the servers that operators drain, in ascending order.
func (s *State) drainedManually() []uint64 { return slices.Sorted(maps.Keys(s.manualDrains)) }
