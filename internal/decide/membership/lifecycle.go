package membership

import (
	"cmp"
	"fmt"
	"slices"

	"ravenwheel/policy"
)

// settle brings every server that was touched to the phase that its sources and the addresses allow. Those that
// leave come first: what they free is there for those that come.
func (l *Table) settle() {
	for len(l.touched) > 0 {
		ids := make([]policy.CacheID, 0, len(l.touched))
		for id := range l.touched {
			ids = append(ids, id)
		}
		clear(l.touched)
		ids = slices.DeleteFunc(ids, func(id policy.CacheID) bool { return l.records[id] == nil })
		rank := func(id policy.CacheID) int { _, state, _ := l.records[id].word(); return -int(state) }
		slices.SortFunc(ids, func(a, b policy.CacheID) int { return cmp.Or(rank(a)-rank(b), cmp.Compare(a, b)) })
		for _, id := range ids {
			l.settleOne(l.records[id])
		}
	}
}

func (l *Table) settleOne(r *record) {
	at, state, by := r.word()
	if at < 0 {
		l.dropped(r)
		return
	}
	c := r.claims[at]
	r.direct = l.sources[at].Immediate
	why := "drained by hand"
	if by >= 0 {
		why = fmt.Sprintf("%s %d", l.sources[by].Name, l.sources[by].generation)
	}
	switch state {
	case policy.Gone:
		l.move(r, Gone, c.Member, why)
		for i, c := range r.claims { // the word is spent, or a fleet that replaces its machines would fill the memory
			if c != nil {
				l.unclaim(i, r.id)
			}
		}
		delete(l.touched, r.id)
	case policy.Draining:
		// A drain needs no address of its own: it runs where the server was used last.
		m := c.Member
		if r.told || r.before {
			m.Addr = r.facts.Addr
		}
		l.move(r, Draining, m, why)
	case policy.Ready:
		if !r.direct {
			if r.phase == Joining && l.now >= r.since+l.set.DrainTimeout {
				l.vacate(r)
			}
			if other := l.inTheWay(r, c); other != nil {
				book(l.queue, c.Addr, r.id)
				l.later(max(l.now, r.since)+max(1, l.set.DrainTimeout), r.id)
				l.move(r, Joining, c.Member, fmt.Sprintf("%s is still held by server %d", c.Addr, other.id))
				return
			}
		}
		if back := l.back[r.id]; r.direct && float64(c.said.Started)/1e6 < back {
			c.Started = policy.Time(back * 1e6) // given back by hand, and its source knows of no start since
		}
		if c.guessed && (r.phase != Ready || r.facts.Addr != c.Addr) {
			c.Started = policy.Time(l.now * 1e6)
		}
		l.move(r, Ready, c.Member, why)
	}
}

// dropped is a server that no list names any more: what it still owes is let finish.
func (l *Table) dropped(r *record) {
	switch {
	case r.phase == Joining && !r.told, r.phase != Gone && (r.direct || l.set.DrainTimeout <= 0):
		l.move(r, Gone, r.facts, "no longer listed")
	case r.phase == Joining || r.phase == Ready || r.phase == Draining:
		if r.phase != Draining {
			l.move(r, Draining, r.facts, "no longer listed")
		}
		r.until = r.since + l.set.DrainTimeout
		r.why = "no longer listed"
		if r.until <= l.now {
			l.move(r, Gone, r.facts, "drained")
			return
		}
		l.later(r.until, r.id)
	}
}

// move takes a server to a phase with the facts that are to be published for it.
func (l *Table) move(r *record, to Phase, m Member, why string) {
	from, was := r.phase, r.facts
	m.ID = r.id
	switch to {
	case Joining:
		// Nothing new may go to where it was, if it was in use.
		m.State = policy.Draining
		if r.told || r.before {
			m.Addr = was.Addr
		}
	case Ready:
		m.State = policy.Ready
		m.Weight = l.step(r, from, m.Weight)
	case Draining:
		m.State = policy.Draining
	case Gone:
		m.State = policy.Gone
	}
	if to != Ready {
		r.step = 0
	}
	if from != to {
		r.phase, r.since, r.why, r.before = to, l.now, why, false
		l.do(Transition{Member: m, From: from, To: to, Reason: why})
	}
	switch {
	case to == Ready || to == Draining || to == Joining && (r.told || r.holds != ""):
		l.occupy(r, m.Addr)
	case to == Gone:
		l.occupy(r, "")
		r.until = l.now + l.set.GoneRetention
		l.later(r.until, r.id)
	}
	if r.facts = m; m == was && from == to {
		return
	}
	// One that was never told of joins and goes unseen.
	if !r.told && (to == Joining || to == Gone) {
		return
	}
	r.told = to != Gone
	l.changed = append(l.changed, m)
}
