package membership

import (
	"fmt"

	"ravenwheel/policy"
)

// source is what the ledger holds of one.
type source struct {
	Source
	generation uint64
	told       bool   // a list or a change came
	floor      uint64 // of the first generation: what was taken before a restart
	heard      float64
	silent     bool
	listed     map[policy.CacheID]bool
}

// take notes what a source says. Nothing becomes of it before settle.
func (l *Table) take(at int, generation uint64, entries []Entry, whole bool) {
	if at < 0 || at >= len(l.sources) {
		l.do(Rejected{at, generation, "unknown source"})
		return
	}
	s := l.sources[at]
	// Guards against a list that is older than what was taken: it would bring back what drains by now.
	if s.told && generation <= s.generation || generation < s.floor {
		l.do(Rejected{at, generation, fmt.Sprintf("generation %d is not above %d", generation, max(s.generation, s.floor))})
		return
	}
	seen := make(map[policy.CacheID]bool, len(entries))
	for _, e := range entries {
		if seen[e.ID] && whole {
			l.do(Rejected{at, generation, fmt.Sprintf("server %d is listed twice", e.ID)})
			return
		}
		seen[e.ID] = true
	}
	l.hear(at)
	first := !s.told
	s.told, s.generation = true, generation
	for _, e := range entries {
		l.claim(at, e, first)
	}
	if !whole {
		return
	}
	for id := range s.listed {
		if !seen[id] {
			l.unclaim(at, id)
		}
	}
}

func (l *Table) hear(at int) {
	if at < 0 || at >= len(l.sources) {
		return
	}
	s := l.sources[at]
	s.heard = l.now
	if s.silent {
		s.silent = false
		l.do(SilenceChanged{at, false})
	}
	if s.SilentAfter > 0 {
		l.later(l.now+s.SilentAfter, 0)
	}
}

// claim books a source's word on one server.
func (l *Table) claim(at int, e Entry, first bool) {
	r := l.records[e.ID]
	if r == nil {
		r = &record{id: e.ID, claims: make([]*claim, len(l.sources))}
		r.handAt, r.hand = l.handed(e.ID)
		l.records[e.ID] = r
	}
	old := r.claims[at]
	if old != nil && old.said == e {
		return
	}
	c := &claim{Entry: e, said: e, wanted: e.State != policy.Gone}
	// A list by hand does not know when a server was started. One that it names anew is taken for cold, or the
	// full share of its objects would push it over; in the first list all run already. One that comes back from
	// a drain is the process that drained, unless the list says when it was started.
	if s := l.sources[at]; !s.Immediate && e.Started == 0 {
		switch {
		case old != nil && old.State == policy.Draining && e.State == policy.Ready && !e.Warm:
			c.guessed = true // drained by the list, as is done for a restart
		case old != nil && old.Addr != e.Addr && !e.Warm:
			c.guessed = true // another process
		case old != nil:
			c.Started, c.guessed = old.Started, old.guessed
		case e.Warm || first && !l.restored || (r.phase == Ready || r.phase == Draining && !r.before) && r.facts.Addr == e.Addr:
			c.Started = r.facts.Started
		case r.phase == None && l.was[e.ID].Addr == e.Addr:
			c.Started = l.was[e.ID].Started // in use before the restart of this proxy
		default:
			c.guessed = true
		}
	}
	r.claims[at] = c
	l.sources[at].listed[e.ID] = true
	l.touched[e.ID] = struct{}{}
}

func (l *Table) unclaim(at int, id policy.CacheID) {
	delete(l.sources[at].listed, id)
	if r := l.records[id]; r != nil {
		r.claims[at] = nil
		l.touched[id] = struct{}{}
	}
}

// word is whose facts count for a server (-1: nobody lists it), what all of them together allow it, and who bars the
// most. Facts go by precedence; a drain or a goodbye binds whoever tells it, as the rule asks no more than to have
// been told.
func (r *record) word() (at int, state policy.State, by int) {
	at, by = -1, -1
	least := policy.Gone
	for i, c := range r.claims {
		if c == nil {
			continue
		}
		if at < 0 || !r.claims[at].wanted && c.wanted {
			at = i
		}
		if by < 0 || c.State > state {
			state, by = c.State, i
		}
		least = min(least, c.State)
	}
	switch {
	case at < 0:
		return at, policy.Gone, by
	case state == policy.Gone && least != policy.Gone: // somebody lists it still
		return at, policy.Draining, by
	case r.hand && state == policy.Ready:
		return at, policy.Draining, -1
	}
	return at, state, by
}
