package distribution

import (
	"cmp"
	"slices"
)

// Distributor feeds subscribers. See NewDistributor.
type Distributor struct {
	set     Settings
	epoch   uint64 // 0: nothing whole is here
	head    uint64
	mark    Watermark // holds once all up to its sequence is here
	table   *table
	backlog backlog
	shared  *snapshot // the last one made

	members []*member // in the order in which they came
	links   map[Link]*member
	door    door

	beatAt  float64
	stopAt  float64 // 0: not stopping
	stopped int     // members that were sent away since
	leaving int     // members that there were then

	now float64
	out []Action
}

// member is a subscriber.
type member struct {
	link     Link
	name     string
	window   int    // what may be under way
	credit   int    // what is left of it
	given    uint64 // bytes sent against it, since the link is open
	behind   bool
	cursor   uint64    // the sequence up to which all was sent; of no meaning while behind
	snapshot *snapshot // on its way
	chunk    int       // the next
	heard    float64
	sent     float64
}

// snapshot is all that holds at a place, encoded once for all that need it.
type snapshot struct {
	made    int // counts snapshots
	through uint64
	chunks  []*Frame
}

// NewDistributor returns one that has nothing yet: it refuses until it is told Replace.
func NewDistributor(s Settings) *Distributor {
	return &Distributor{set: s, table: newTable(), links: map[Link]*member{}, door: newDoor(s)}
}

// Position is up to where it has all.
func (d *Distributor) Position() Position { return Position{Epoch: d.epoch, Sequence: d.head} }

// Subscribers is how many there are.
func (d *Distributor) Subscribers() int { return len(d.members) }

// Sizes is what is kept, in entries and bytes as encoded: all that holds, and the backlog.
func (d *Distributor) Sizes() (held, heldBytes, backlog, backlogBytes int) {
	return len(d.table.held), d.table.bytes, d.backlog.entries, d.backlog.bytes
}

// Handle takes one event and returns what is to be done. now is Unix ms.
func (d *Distributor) Handle(now float64, e Event) []Action {
	d.now, d.out = now, nil
	if d.beatAt == 0 {
		d.beatAt = now + d.set.HeartbeatEvery
	}
	switch e := e.(type) {
	case Apply:
		d.apply(e)
	case Replace:
		d.replace(e)
	case Advance:
		d.advance(e)
	case Received:
		d.receive(e)
	case Lost:
		d.forget(e.Link)
	case Demand:
		d.door.demand(e)
	case Stop:
		if d.stopAt == 0 {
			d.stopAt, d.leaving = now, len(d.members)
		}
	}
	if now >= d.beatAt {
		d.beatAt = now + d.set.HeartbeatEvery
		d.beat()
	}
	d.sendAway()
	d.wake()
	return d.out
}

func (d *Distributor) do(a Action) { d.out = append(d.out, a) }

func (d *Distributor) wake() {
	due := d.beatAt
	if d.stopAt != 0 && len(d.members) > 0 {
		due = min(due, d.awayAt())
	}
	d.do(Wake{After: max(0, due-d.now)})
}

// mayClaim is the watermark that goes out: with holes here (the level above has covered something by what has not come
// yet) it holds only later below, too.
func (d *Distributor) mayClaim() Watermark {
	return Watermark{Sequence: max(d.mark.Sequence, d.head), At: d.mark.At}
}

// whole tells whether there are no such holes.
func (d *Distributor) whole() bool { return d.head >= d.mark.Sequence }

// apply takes entries in and passes them on.
func (d *Distributor) apply(e Apply) {
	if d.epoch == 0 || e.Epoch != d.epoch || e.After > d.head {
		d.lose()
		return
	}
	if e.Through <= d.head {
		return
	}
	d.mark = joined(d.mark, e.Mark)
	d.extend(e.Through, e.Entries, e.Whole)
	d.pump(d.members)
}

// extend moves the head, with entries of which those up to the present head are known.
func (d *Distributor) extend(through uint64, entries []Entry, whole bool) {
	var fresh []Entry
	covered := map[uint64]bool{}
	cover := func(sequences []uint64) {
		for _, s := range sequences {
			covered[s] = true
			d.backlog.drop(s)
		}
	}
	for _, e := range entries {
		if e.Sequence <= d.head {
			continue
		}
		whole, sequences := d.table.add(e)
		cover(sequences)
		fresh = append(fresh, whole)
	}
	cover(d.table.expire(d.mark.At))
	fresh = slices.DeleteFunc(fresh, func(e Entry) bool { return covered[e.Sequence] })
	if whole {
		d.backlog.appendWhole(d.head, through, fresh)
	} else {
		d.backlog.append(d.head, through, fresh, d.set.MostFrame)
	}
	d.head = through
	d.backlog.trim(d.set.BacklogEntries, d.set.BacklogBytes)
	if d.shared != nil && d.shared.through < d.backlog.floor {
		d.shared = nil
	}
}

// replace takes the whole. Numbers in a snapshot say nothing but the order (a member of the store that reads its state back
// has made them up), so that what is new is found by what it says.
func (d *Distributor) replace(e Replace) {
	if e.Epoch < d.epoch || e.Epoch == d.epoch && e.Through < d.head {
		return
	}
	if e.Epoch == d.epoch && d.set.Stream == Purges && d.bridge(e) {
		return
	}
	d.epoch, d.head, d.mark = e.Epoch, e.Through, e.Mark
	d.table = newTable()
	for _, x := range e.Entries {
		d.table.add(x)
	}
	d.table.expire(d.mark.At)
	d.backlog.reset(d.head)
	d.shared = nil
	for _, m := range d.members {
		m.behind, m.snapshot = true, nil
	}
	d.pump(d.members)
}

// bridge passes on what a snapshot of the present epoch brings as one batch, so that the subscribers of a distributor that
// fell back do not all fall back with it. One frame or none: a part of it would be a place that nobody else knows. What a
// snapshot ends by not naming it, a list or a drain, a batch can't say: purges only.
func (d *Distributor) bridge(e Replace) bool {
	var fresh []Entry
	for _, x := range e.Entries {
		if !d.table.covers(x) {
			fresh = append(fresh, x)
		}
	}
	if uint64(len(fresh)) > e.Through-d.head || 2*sizeOf(fresh) > d.set.Credit {
		return false
	}
	for i := range fresh { // numbers that nothing here has
		fresh[i].Sequence = e.Through - uint64(len(fresh)-1-i)
	}
	d.mark = joined(d.mark, e.Mark)
	if e.Through > d.head {
		d.extend(e.Through, fresh, len(fresh) > 0)
		d.pump(d.members)
	}
	return true
}

func (d *Distributor) advance(e Advance) {
	if d.epoch == 0 || e.Epoch != d.epoch {
		return
	}
	d.mark = joined(d.mark, e.Mark)
	if e.Mark.Sequence > d.head { // at the root: the store's log went on, with nothing for this stream
		d.extend(e.Mark.Sequence, nil, false)
		d.pump(d.members)
		return
	}
	d.heartbeat(d.members)
}

// lose begins anew: what comes does not follow what is here. All subscribers go elsewhere.
func (d *Distributor) lose() {
	for _, m := range slices.Clone(d.members) {
		d.refuse(m.link, NotReady, d.set.RetryFrom)
	}
	d.epoch, d.head, d.mark = 0, 0, Watermark{}
	d.table, d.shared = newTable(), nil
	d.backlog.reset(0)
}

func (d *Distributor) receive(e Received) {
	switch m := e.Message.(type) {
	case Subscribe:
		d.subscribe(e.Link, m)
	case Credit:
		if x := d.links[e.Link]; x != nil && m.Stream == d.set.Stream && m.Bytes >= 0 {
			x.heard = d.now
			x.credit = min(x.window, x.credit+m.Bytes)
			d.pump([]*member{x})
		}
	case Leave:
		if d.links[e.Link] != nil {
			d.drop(e.Link, CauseFinished)
		}
	default:
		d.drop(e.Link, CauseBroken)
	}
}

func (d *Distributor) subscribe(link Link, m Subscribe) {
	x := d.links[link]
	if reason, after := d.admit(x == nil, m); reason != 0 {
		d.refuse(link, reason, after)
		return
	}
	if x == nil {
		d.supersede(m.Name)
		x = &member{link: link, name: m.Name}
		d.links[link] = x
		d.members = append(d.members, x)
	}
	underWay := x.given - min(m.Taken, x.given)
	x.window, x.credit, x.heard = m.Credit, m.Credit-int(underWay), d.now
	x.cursor, x.snapshot, x.chunk = m.From.Sequence, nil, 0
	x.behind = m.From.Epoch != d.epoch || m.From.Sequence < d.backlog.floor
	d.heartbeat([]*member{x})
	d.pump([]*member{x})
}

// supersede ends an earlier link of the same subscriber, whose end was not seen yet.
func (d *Distributor) supersede(name string) {
	if m := d.named(name); m != nil {
		d.drop(m.link, CauseFinished)
	}
}

func (d *Distributor) named(name string) *member {
	for _, m := range d.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (d *Distributor) refuse(link Link, r Reason, after float64) {
	d.do(Send{To: []Link{link}, Frame: Encode(Refused{Stream: d.set.Stream, Reason: r, RetryAfter: int(after)})})
	d.drop(link, CauseRefused)
}

func (d *Distributor) drop(link Link, why Cause) {
	d.do(Drop{Link: link, Why: why})
	d.forget(link)
}

func (d *Distributor) forget(link Link) {
	if d.links[link] == nil {
		return
	}
	delete(d.links, link)
	d.members = slices.DeleteFunc(d.members, func(m *member) bool { return m.link == link })
}

// beat sends a heartbeat to who got nothing for so long, and gives up who said nothing.
func (d *Distributor) beat() {
	var quiet []*member
	for _, m := range slices.Clone(d.members) {
		switch {
		case d.now >= m.heard+mostMissed*d.set.AliveEvery:
			d.drop(m.link, CauseSilent)
		case d.now >= m.sent+d.set.HeartbeatEvery:
			quiet = append(quiet, m)
		}
	}
	d.heartbeat(quiet)
}

// mostMissed of its signs of life a subscriber may miss.
const mostMissed = 3

func (d *Distributor) heartbeat(to []*member) {
	if len(to) == 0 || d.epoch == 0 {
		return
	}
	s := Send{Frame: Encode(Heartbeat{Stream: d.set.Stream, Epoch: d.epoch, Mark: d.mayClaim()})}
	for _, m := range to {
		m.sent = d.now
		s.To = append(s.To, m.link)
	}
	d.do(s)
}

// place orders the frames of one pump: all subscribers get what they get of them in this order.
type place struct {
	tail  bool // behind all snapshots
	made  int
	index int
}

type outgoing struct {
	place place
	send  Send
}

// pump sends each of some members what its credit allows. Nobody waits for another: who has no credit is passed over.
func (d *Distributor) pump(to []*member) {
	if d.epoch == 0 {
		return
	}
	frames := map[*Frame]int{}
	var all []outgoing
	send := func(m *member, p place, f *Frame) bool {
		if m.credit < len(f.Bytes) && m.credit < m.window {
			return false
		}
		m.credit -= len(f.Bytes)
		m.given += uint64(len(f.Bytes))
		m.sent = d.now
		i, known := frames[f]
		if !known {
			i = len(all)
			frames[f] = i
			all = append(all, outgoing{place: p, send: Send{Frame: f}})
		}
		all[i].send.To = append(all[i].send.To, m.link)
		return true
	}
	for _, m := range to {
		if d.pumpSnapshot(m, send) {
			d.pumpTail(m, send)
		}
	}
	slices.SortFunc(all, func(a, b outgoing) int {
		if a.place.tail != b.place.tail {
			if a.place.tail {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.place.made, b.place.made), cmp.Compare(a.place.index, b.place.index))
	})
	for _, o := range all {
		d.do(o.send)
	}
}

// pumpSnapshot tells whether the member needs no more of a snapshot.
func (d *Distributor) pumpSnapshot(m *member, send func(*member, place, *Frame) bool) bool {
	if !m.behind && m.cursor < d.backlog.floor {
		m.behind = true
	}
	if !m.behind {
		return true
	}
	if m.snapshot == nil {
		if !d.whole() {
			return false
		}
		m.snapshot, m.chunk = d.snapshotNow(), 0
	}
	for ; m.chunk < len(m.snapshot.chunks); m.chunk++ {
		if !send(m, place{made: m.snapshot.made, index: m.chunk}, m.snapshot.chunks[m.chunk]) {
			return false
		}
	}
	m.behind, m.cursor, m.snapshot = false, m.snapshot.through, nil
	return m.cursor >= d.backlog.floor
}

func (d *Distributor) pumpTail(m *member, send func(*member, place, *Frame) bool) {
	for i := d.backlog.find(m.cursor); i < len(d.backlog.segments); i++ {
		s := d.backlog.segments[i]
		if s.whole && m.cursor > s.after { // it came from elsewhere, and is at a place within
			m.behind = true
			d.pumpSnapshot(m, send)
			return
		}
		if s.frame == nil {
			s.frame = Encode(Batch{Stream: d.set.Stream, Epoch: d.epoch, Whole: s.whole, After: s.after, Through: s.through,
				Mark: d.mayClaim(), Entries: s.entries})
		}
		if !send(m, place{tail: true, index: i}, s.frame) {
			return
		}
		m.cursor = s.through
	}
}

// snapshotNow is the last one made, if half of the backlog still goes on from there, or a new one.
func (d *Distributor) snapshotNow() *snapshot {
	if d.shared != nil && d.shared.through >= d.backlog.middle() {
		return d.shared
	}
	made := 1
	if d.shared != nil {
		made = d.shared.made + 1
	}
	s := &snapshot{made: made, through: d.head}
	c := Chunk{Stream: d.set.Stream, Epoch: d.epoch, Through: d.head, Mark: d.mayClaim()}
	bytes := 0
	for _, e := range d.table.all() {
		size := EncodedSize(e)
		if len(c.Entries) > 0 && bytes+size > d.set.MostFrame {
			s.chunks = append(s.chunks, Encode(c))
			c.Index, c.Entries, bytes = c.Index+1, nil, 0
		}
		c.Entries = append(c.Entries, e)
		bytes += size
	}
	c.Last = true
	s.chunks = append(s.chunks, Encode(c))
	d.shared = s
	return s
}
