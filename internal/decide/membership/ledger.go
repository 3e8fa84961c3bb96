// Package membership is the one ledger of the servers that a proxy may use. Sources (the notice board, watched
// files) tell it whole lists and changes, each with a numbering of its own; it tells what the module and the
// connections get. It owns the life of every server, the drains that outlive the list that named them, whose word
// counts where sources differ, and the steps in which weights change. It reads no file, no socket and no clock: the
// caller brings the time and carries out the actions, in order. Its decisions are tested here against a naive model.
package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"ravenwheel/policy"
)

// Member is a server and where it listens.
type Member struct {
	policy.Member
	Addr string
}

// record is one server.
type record struct {
	id     policy.CacheID
	claims []*claim // by source
	phase  Phase
	since  float64
	why    string
	facts  Member  // as they would be published, or were
	told   bool    // published, and not as gone
	direct bool    // its last word came from a direct source
	hand   bool    // drained by hand
	handAt float64 // since when
	before bool    // as it stood before a restart: why it drains is not known
	holds  string  // the address that is its own
	until  float64 // Draining: gone then, where no list names it; Gone: forgotten then
	step   float64 // when its weight may change next
}

type claim struct {
	Entry
	said    Entry // as the source told it: without the ledger's guess of when the server was started
	guessed bool  // that it is cold from when it joins
	wanted  bool  // the state is not Gone
}

// Table is the state machine. The zero value is of no use: see New.
type Table struct {
	set     Settings
	sources []*source
	records map[policy.CacheID]*record
	at      map[string]map[policy.CacheID]struct{} // who is in use or drains at an address
	queue   map[string]map[policy.CacheID]struct{} // who waits for one
	due     dues
	wake    float64
	version uint64
	now     float64
	// was is who was in use before a restart, and restored that this is known.
	was      map[policy.CacheID]Member
	hand     map[policy.CacheID]float64 // drained by hand, since when
	back     map[policy.CacheID]float64 // given back by hand, when: cold from then on
	restored bool

	out     []Action
	touched map[policy.CacheID]struct{}
	changed []Member
}

// New returns an empty ledger, or an error that names the figure it can't work with.
func New(s Settings) (*Table, error) {
	if len(s.Sources) == 0 {
		return nil, fmt.Errorf("membership: no source")
	}
	for _, v := range []float64{s.DrainTimeout, s.GoneRetention, s.WeightStep, s.WeightInterval} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil, fmt.Errorf("membership: figure %v is not a time or factor of 0 or more", v)
		}
	}
	l := &Table{
		set: s, records: map[policy.CacheID]*record{}, at: map[string]map[policy.CacheID]struct{}{},
		hand: map[policy.CacheID]float64{}, back: map[policy.CacheID]float64{},
		queue: map[string]map[policy.CacheID]struct{}{}, touched: map[policy.CacheID]struct{}{},
	}
	for _, x := range s.Sources {
		l.sources = append(l.sources, &source{Source: x, listed: map[policy.CacheID]bool{}})
	}
	return l, nil
}

// SavedMember is a server as it stood before a restart.
type SavedMember struct {
	Member Member
	Phase  Phase
	Since  float64 // ms
}

// Restore has a new ledger take up where another one stood: who drained goes on draining, who was gone counts as gone,
// and who was in use is no newcomer when a list names it. floors are the generations taken last, by source; nothing
// below them is believed. It comes before the first event.
func (l *Table) Restore(now float64, list []SavedMember, floors map[int]uint64) {
	l.now, l.restored, l.was = max(now, l.now), true, map[policy.CacheID]Member{}
	for at, floor := range floors {
		if at >= 0 && at < len(l.sources) {
			l.sources[at].floor = floor
		}
	}
	for _, x := range list {
		m := x.Member
		if x.Phase != Draining && x.Phase != Gone {
			l.was[m.ID] = m
			continue
		}
		r := &record{
			id: m.ID, claims: make([]*claim, len(l.sources)), phase: x.Phase, since: min(x.Since, l.now),
			why: "so before the restart", facts: m, before: true,
		}
		r.handAt, r.hand = l.handed(m.ID)
		l.records[m.ID] = r
		if x.Phase == Gone {
			r.until = r.since + l.set.GoneRetention
		} else {
			r.until = r.since + l.set.DrainTimeout
			l.occupy(r, m.Addr)
		}
		l.later(r.until, m.ID)
	}
}

// Handle takes one event at a time in ms and appends the actions that answer it to acts. Time never goes back: an
// earlier one counts as the last.
func (l *Table) Handle(now float64, e Event, acts []Action) []Action {
	l.now, l.out = max(now, l.now), acts
	switch e := e.(type) {
	case Snapshot:
		l.take(e.Source, e.Generation, e.Entries, true)
	case Delta:
		l.take(e.Source, e.Generation, e.Entries, false)
	case Heartbeat:
		l.hear(e.Source)
	case ManualDrain:
		l.byHand(e)
	case ManualDrainEnded:
		l.back[e.ID] = min(e.At, l.now)
		if l.records[e.ID] != nil {
			l.touched[e.ID] = struct{}{}
		}
	}
	l.expire()
	l.settle()
	l.publish()
	l.ask()
	acts, l.out = l.out, nil
	return acts
}

func (l *Table) do(a Action) { l.out = append(l.out, a) }

// publish hands out what has changed, each server once and as it is now.
func (l *Table) publish() {
	if len(l.changed) == 0 {
		return
	}
	last := make(map[policy.CacheID]int, len(l.changed))
	for i, m := range l.changed {
		last[m.ID] = i
	}
	members := make([]Member, 0, len(last))
	for i, m := range l.changed {
		if last[m.ID] == i {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	l.changed = l.changed[:0]
	l.version++
	l.do(Publish{Version: l.version, Complete: l.version == 1, Members: members})
}
