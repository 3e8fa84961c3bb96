// Package membership is the one ledger of the servers that a proxy may use. Sources (the notice board, watched
// files) tell it whole lists and changes, each with a numbering of its own; it tells what the module and the
// connections get. It owns the life of every server, the drains that outlive the list that named them, whose word
// counts where sources differ, and the steps in which weights change. It reads no file, no socket and no clock: the
// caller brings the time and carries out the actions, in order. Its decisions are tested here against a naive model.
package membership

import (
	"cmp"
	"container/heap"
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

// Phase is where a server stands in its life.
type Phase int

// The phases. A server that is joining is listed and gets nothing yet; one that drains gets nothing new; one that
// is gone is remembered for a while and then forgotten (None).
const (
	None Phase = iota
	Joining
	Ready
	Draining
	Gone
)

var phaseNames = [...]string{"none", "joining", "ready", "draining", "gone"}

// String names the phase as logs and the command line show it.
func (p Phase) String() string { return phaseNames[p] }

// legal are the steps that a life may take. None or Gone to Ready is a server that nothing holds back; Ready to Joining is a server that moves to an address which another one
// still holds; Joining to Gone one that was taken off the list before it was ever used.
var legal = [...][len(phaseNames)]bool{
	None:     {Joining: true, Ready: true, Draining: true, Gone: true},
	Joining:  {Ready: true, Draining: true, Gone: true},
	Ready:    {Joining: true, Draining: true, Gone: true},
	Draining: {Joining: true, Ready: true, Gone: true},
	Gone:     {None: true, Joining: true, Ready: true, Draining: true},
}

// Legal tells whether a life may step from one phase to another.
func Legal(from, to Phase) bool { return legal[from][to] }

// Source is one who tells of servers.
type Source struct {
	Name string
	// Direct: its word is passed on as it comes. What it drops is gone at once, weights change at once, a new
	// server is as warm as it says. The notice board is told of what runs; a list by hand says what is wanted.
	Direct bool
	// SilentAfter: with nothing heard for so many ms the source counts as silent; 0: never.
	SilentAfter float64
}

// Settings are the ledger's figures. Times are in ms.
type Settings struct {
	// Sources in the order of their precedence: the first that lists a server says what it is.
	Sources []Source
	// DropDrain: a server that a list no longer names drains for so long before it is gone. Longer spares what
	// still runs there, shorter frees its address sooner.
	DropDrain float64
	// GoneFor: how long one that is gone is remembered.
	GoneFor float64
	// WeightStep is the largest factor by which a weight changes at once, every WeightEvery; 1 or less: at once.
	// A weight that jumps moves as many objects to caches that do not hold them.
	WeightStep, WeightEvery float64
}

// Event is what the ledger is told: List, Changes, Heard, Drain, Back or Tick.
type Event interface{ event() }

// List is the whole list of a source. Its generation must be above those before it.
type List struct {
	Source     int // place in Settings.Sources
	Generation uint64
	Entries    []Entry
}

// Changes are entries that are new or have changed.
type Changes struct {
	Source     int
	Generation uint64
	Entries    []Entry
}

// Entry is what a source says of one server.
type Entry struct {
	Member
	Warm bool // it holds its copies although it is new here: no slow start
}

// Heard tells that a source is there and has nothing new.
type Heard struct{ Source int }

// Drain tells that a server is drained by hand, or no longer, whatever the sources say of it.
type Drain struct {
	ID policy.CacheID
	On bool
}

// Back tells that a server was given back by hand before this ledger was made, and when, in ms.
type Back struct {
	ID policy.CacheID
	At float64
}

// Tick tells that a wake that was asked for is due.
type Tick struct{}

func (List) event()    {}
func (Changes) event() {}
func (Heard) event()   {}
func (Drain) event()   {}
func (Back) event()    {}
func (Tick) event()    {}

// Action is what the ledger wants done: Publish, Wake, Moved, Rejected or Silence. Actions come in order.
type Action interface{ action() }

// Publish is what has changed for the module and the connections, by id. Whole: there was nothing before it.
type Publish struct {
	Version uint64
	Whole   bool
	Members []Member
}

// Wake asks for a Tick at a time, in place of any asked for before.
type Wake struct{ At float64 }

// Moved tells of a step in a server's life, for logs and for whoever shows the ledger.
type Moved struct {
	Member   Member
	From, To Phase
	Why      string
}

// Rejected tells that a source's word was not taken.
type Rejected struct {
	Source     int
	Generation uint64
	Why        string
}

// Silence tells that a source has fallen silent, or is heard again. Its last list stays.
type Silence struct {
	Source int
	Silent bool
}

func (Publish) action()  {}
func (Wake) action()     {}
func (Moved) action()    {}
func (Rejected) action() {}
func (Silence) action()  {}

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

// View is one server as the ledger sees it.
type View struct {
	Member Member
	Phase  Phase
	Since  float64 // ms
	Why    string
	Source string // whose word it is
	Wanted float64
}

// Ledger is the state machine. The zero value is of no use: see New.
type Ledger struct {
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
func New(s Settings) (*Ledger, error) {
	if len(s.Sources) == 0 {
		return nil, fmt.Errorf("membership: no source")
	}
	for _, v := range []float64{s.DropDrain, s.GoneFor, s.WeightStep, s.WeightEvery} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil, fmt.Errorf("membership: figure %v is not a time or factor of 0 or more", v)
		}
	}
	l := &Ledger{
		set: s, records: map[policy.CacheID]*record{}, at: map[string]map[policy.CacheID]struct{}{},
		hand: map[policy.CacheID]float64{}, back: map[policy.CacheID]float64{},
		queue: map[string]map[policy.CacheID]struct{}{}, touched: map[policy.CacheID]struct{}{},
	}
	for _, x := range s.Sources {
		l.sources = append(l.sources, &source{Source: x, listed: map[policy.CacheID]bool{}})
	}
	return l, nil
}

// Remembered is a server as it stood before a restart.
type Remembered struct {
	Member Member
	Phase  Phase
	Since  float64 // ms
}

// Restore has a new ledger take up where another one stood: who drained goes on draining, who was gone counts as gone,
// and who was in use is no newcomer when a list names it. floors are the generations taken last, by source; nothing
// below them is believed. It comes before the first event.
func (l *Ledger) Restore(now float64, list []Remembered, floors map[int]uint64) {
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
			r.until = r.since + l.set.GoneFor
		} else {
			r.until = r.since + l.set.DropDrain
			l.occupy(r, m.Addr)
		}
		l.later(r.until, m.ID)
	}
}

// Handle takes one event at a time in ms and appends the actions that answer it to acts. Time never goes back: an
// earlier one counts as the last.
func (l *Ledger) Handle(now float64, e Event, acts []Action) []Action {
	l.now, l.out = max(now, l.now), acts
	switch e := e.(type) {
	case List:
		l.take(e.Source, e.Generation, e.Entries, true)
	case Changes:
		l.take(e.Source, e.Generation, e.Entries, false)
	case Heard:
		l.hear(e.Source)
	case Drain:
		l.byHand(e)
	case Back:
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

func (l *Ledger) do(a Action) { l.out = append(l.out, a) }

// take notes what a source says. Nothing becomes of it before settle.
func (l *Ledger) take(at int, generation uint64, entries []Entry, whole bool) {
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

// byHand books a drain by hand. It outlives the server's record: one that comes back is drained still.
func (l *Ledger) byHand(e Drain) {
	if _, was := l.hand[e.ID]; e.On && !was {
		l.hand[e.ID] = l.now
	} else if !e.On {
		delete(l.hand, e.ID)
	}
	r := l.records[e.ID]
	if r == nil || r.hand == e.On {
		return
	}
	since := r.handAt
	r.handAt, r.hand = l.handed(e.ID)
	// Given back after a drain: most likely restarted meanwhile, as one that its list drained is, unless the list tells
	// of the start.
	if at, _, _ := r.word(); !e.On && at >= 0 && float64(r.claims[at].said.Started)/1e6 < since && !r.claims[at].Warm {
		if l.sources[at].Direct {
			l.back[e.ID] = l.now
		} else {
			r.claims[at].guessed = true
		}
	}
	l.touched[e.ID] = struct{}{}
}

// handed tells whether a server is drained by hand, and since when.
func (l *Ledger) handed(id policy.CacheID) (since float64, on bool) {
	since, on = l.hand[id]
	return since, on
}

// Knows tells whether a server is listed, remembered or drained by hand.
func (l *Ledger) Knows(id policy.CacheID) bool {
	r := l.records[id]
	_, on := l.hand[id]
	return on || r != nil && r.phase != Gone
}

func (l *Ledger) hear(at int) {
	if at < 0 || at >= len(l.sources) {
		return
	}
	s := l.sources[at]
	s.heard = l.now
	if s.silent {
		s.silent = false
		l.do(Silence{at, false})
	}
	if s.SilentAfter > 0 {
		l.later(l.now+s.SilentAfter, 0)
	}
}

// claim books a source's word on one server.
func (l *Ledger) claim(at int, e Entry, first bool) {
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
	if s := l.sources[at]; !s.Direct && e.Started == 0 {
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

func (l *Ledger) unclaim(at int, id policy.CacheID) {
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

// settle brings every server that was touched to the phase that its sources and the addresses allow. Those that
// leave come first: what they free is there for those that come.
func (l *Ledger) settle() {
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

func (l *Ledger) settleOne(r *record) {
	at, state, by := r.word()
	if at < 0 {
		l.dropped(r)
		return
	}
	c := r.claims[at]
	r.direct = l.sources[at].Direct
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
			if r.phase == Joining && l.now >= r.since+l.set.DropDrain {
				l.vacate(r)
			}
			if other := l.inTheWay(r, c); other != nil {
				book(l.queue, c.Addr, r.id)
				l.later(max(l.now, r.since)+max(1, l.set.DropDrain), r.id)
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
func (l *Ledger) dropped(r *record) {
	switch {
	case r.phase == Joining && !r.told, r.phase != Gone && (r.direct || l.set.DropDrain <= 0):
		l.move(r, Gone, r.facts, "no longer listed")
	case r.phase == Joining || r.phase == Ready || r.phase == Draining:
		if r.phase != Draining {
			l.move(r, Draining, r.facts, "no longer listed")
		}
		r.until = r.since + l.set.DropDrain
		r.why = "no longer listed"
		if r.until <= l.now {
			l.move(r, Gone, r.facts, "drained")
			return
		}
		l.later(r.until, r.id)
	}
}

// inTheWay is another server that is in use or drains at the address that one is listed with; nil: there is none. One
// that drains is over if the newcomer was started after it began to: two processes can't listen at one address.
func (l *Ledger) inTheWay(r *record, c *claim) *record {
	for {
		first := policy.CacheID(0)
		found := false
		for id := range l.at[c.Addr] {
			if id != r.id && (!found || id < first) {
				first, found = id, true
			}
		}
		if !found {
			return nil
		}
		other := l.records[first]
		if at, _, _ := other.word(); at >= 0 || other.phase != Draining || float64(c.said.Started)/1e6 <= other.since {
			return other
		}
		l.move(other, Gone, other.facts, fmt.Sprintf("server %d was started at its address", r.id))
	}
}

// occupy books a server at an address, and has those looked at again that waited for the one it leaves.
func (l *Ledger) occupy(r *record, addr string) {
	if r.holds == addr {
		return
	}
	if left := r.holds; left != "" {
		if delete(l.at[left], r.id); len(l.at[left]) == 0 {
			delete(l.at, left)
		}
		for id := range l.queue[left] {
			if l.records[id] != nil {
				l.touched[id] = struct{}{}
			}
		}
		delete(l.queue, left)
	}
	if r.holds = addr; addr != "" {
		book(l.at, addr, r.id)
	}
}

// vacate has a server that waits for an address let go of the one that it was in use at, its work there being over. Two
// that swap their addresses would wait for one another for good.
func (l *Ledger) vacate(r *record) {
	l.occupy(r, "")
	if r.before = false; r.told {
		gone := r.facts
		gone.State = policy.Gone
		l.changed = append(l.changed, gone)
		r.told = false
	}
}

func book(m map[string]map[policy.CacheID]struct{}, addr string, id policy.CacheID) {
	if m[addr] == nil {
		m[addr] = map[policy.CacheID]struct{}{}
	}
	m[addr][id] = struct{}{}
}

// move takes a server to a phase with the facts that are to be published for it.
func (l *Ledger) move(r *record, to Phase, m Member, why string) {
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
		l.do(Moved{Member: m, From: from, To: to, Why: why})
	}
	switch {
	case to == Ready || to == Draining || to == Joining && (r.told || r.holds != ""):
		l.occupy(r, m.Addr)
	case to == Gone:
		l.occupy(r, "")
		r.until = l.now + l.set.GoneFor
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

// step is the weight that is published now on the way to the wanted one.
func (l *Ledger) step(r *record, from Phase, want float64) float64 {
	at, _, _ := r.word()
	if from != Ready || l.sources[at].Direct || l.set.WeightStep <= 1 || want == r.facts.Weight || r.facts.Weight <= 0 {
		return want
	}
	now := r.facts.Weight
	if l.now < r.step {
		return now
	}
	next := min(want, now*l.set.WeightStep)
	if want < now {
		next = max(want, now/l.set.WeightStep)
	}
	if next != want {
		r.step = l.now + max(1, l.set.WeightEvery)
		l.later(r.step, r.id)
	}
	return next
}

// expire does what is due: drains that are over, servers to be forgotten, weights on their way, silent sources.
func (l *Ledger) expire() {
	for len(l.due) > 0 && l.due[0].at <= l.now {
		d := heap.Pop(&l.due).(due)
		r := l.records[d.id]
		if r == nil {
			continue
		}
		at, _, _ := r.word()
		switch {
		case r.phase == Gone && at < 0 && r.until <= l.now:
			l.do(Moved{Member: r.facts, From: Gone, To: None, Why: "forgotten"})
			delete(l.records, r.id)
			delete(l.back, r.id)
		case at < 0 || r.step > 0 && r.step <= l.now || r.phase == Joining:
			l.touched[r.id] = struct{}{}
		}
	}
	for i, s := range l.sources {
		if s.SilentAfter > 0 && s.told && !s.silent && l.now-s.heard >= s.SilentAfter {
			s.silent = true
			l.do(Silence{i, true})
		}
	}
}

// publish hands out what has changed, each server once and as it is now.
func (l *Ledger) publish() {
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
	l.do(Publish{Version: l.version, Whole: l.version == 1, Members: members})
}

// ask asks to be woken when something falls due next.
func (l *Ledger) ask() {
	if len(l.due) == 0 || l.due[0].at == l.wake && l.wake > l.now {
		return
	}
	l.wake = l.due[0].at
	l.do(Wake{l.wake})
}

func (l *Ledger) later(at float64, id policy.CacheID) { heap.Push(&l.due, due{at, id}) }

// Views are all servers that the ledger remembers, by id.
func (l *Ledger) Views() []View {
	out := make([]View, 0, len(l.records))
	for _, r := range l.records {
		v := View{Member: r.facts, Phase: r.phase, Since: r.since, Why: r.why, Wanted: r.facts.Weight}
		if at, _, _ := r.word(); at >= 0 {
			v.Source, v.Wanted = l.sources[at].Name, r.claims[at].Weight
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return out
}

// Generation is the last that was taken from a source; ok is false if none was.
func (l *Ledger) Generation(at int) (generation uint64, ok bool) {
	return l.sources[at].generation, l.sources[at].told
}

// due is a time at which something of a server falls due. An entry that has become void does no harm.
type due struct {
	at float64
	id policy.CacheID
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *dues) Push(x any) { *d = append(*d, x.(due)) }

// Pop implements heap.Interface.
func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}
