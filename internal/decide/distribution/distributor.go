package distribution

import (
	"cmp"
	"slices"
)

// Distributor feeds subscribers. See NewDistributor.
type Distributor struct {
	settings     Settings
	epoch        uint64 // 0: nothing whole is here
	head         uint64
	watermark    Watermark // holds once all up to its sequence is here
	facts        *factTable
	backlog      backlog
	lastSnapshot *snapshot // the last one made

	subscriptions []*subscription // in the order in which they came
	links         map[Link]*subscription
	admission     admission

	heartbeatAt float64
	shutdownAt  float64 // 0: not stopping
	dismissed   int     // members that were sent away since
	toDismiss   int     // members that there were then

	now     float64
	actions []Action
}

// member is a subscriber.
type subscription struct {
	link           Link
	name           string
	window         int    // what may be under way
	credit         int    // what is left of it
	sentBytes      uint64 // bytes sent against it, since the link is open
	needsSnapshot  bool
	cursor         uint64    // the sequence up to which all was sent; of no meaning while behind
	snapshot       *snapshot // on its way
	nextChunk      int       // the next
	lastReceivedAt float64
	lastSentAt     float64
}

// snapshot is all that holds at a place, encoded once for all that need it.
type snapshot struct {
	number  int // counts snapshots
	through uint64
	chunks  []*Frame
}

// NewDistributor returns one that has nothing yet: it refuses until it is told Replace.
func NewDistributor(s Settings) *Distributor {
	return &Distributor{settings: s, facts: newFactTable(), links: map[Link]*subscription{}, admission: newAdmission(s)}
}

// Position is up to where it has all.
func (d *Distributor) Position() Position { return Position{Epoch: d.epoch, Sequence: d.head} }

// Subscribers is how many there are.
func (d *Distributor) Subscribers() int { return len(d.subscriptions) }

// Sizes is what is kept, in entries and bytes as encoded: all that holds, and the backlog.
func (d *Distributor) Sizes() (held, heldBytes, backlog, backlogBytes int) {
	return len(d.facts.entries), d.facts.bytes, d.backlog.entries, d.backlog.bytes
}

// Handle takes one event and returns what is to be done. now is Unix ms.
func (d *Distributor) Handle(now float64, e Event) []Action {
	d.now, d.actions = now, nil
	if d.heartbeatAt == 0 {
		d.heartbeatAt = now + d.settings.HeartbeatInterval
	}
	switch e := e.(type) {
	case Apply:
		d.apply(e)
	case InstallSnapshot:
		d.installSnapshot(e)
	case AdvanceWatermark:
		d.advance(e)
	case Received:
		d.receive(e)
	case Disconnected:
		d.remove(e.Link)
	case Demand:
		d.admission.setDemand(e)
	case Shutdown:
		if d.shutdownAt == 0 {
			d.shutdownAt, d.toDismiss = now, len(d.subscriptions)
		}
	}
	if now >= d.heartbeatAt {
		d.heartbeatAt = now + d.settings.HeartbeatInterval
		d.sendHeartbeats()
	}
	d.dismissDue()
	d.requestWake()
	return d.actions
}

func (d *Distributor) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Distributor) requestWake() {
	due := d.heartbeatAt
	if d.shutdownAt != 0 && len(d.subscriptions) > 0 {
		due = min(due, d.nextDismissalAt())
	}
	d.emit(Wake{After: max(0, due-d.now)})
}

// mayClaim is the watermark that goes out: with holes here (the level above has covered something by what has not come
// yet) it holds only later below, too.
func (d *Distributor) claimableWatermark() Watermark {
	return Watermark{Sequence: max(d.watermark.Sequence, d.head), At: d.watermark.At}
}

// whole tells whether there are no such holes.
func (d *Distributor) gapFree() bool { return d.head >= d.watermark.Sequence }

// apply takes entries in and passes them on.
func (d *Distributor) apply(e Apply) {
	if d.epoch == 0 || e.Epoch != d.epoch || e.After > d.head {
		d.reset()
		return
	}
	if e.Through <= d.head {
		return
	}
	d.watermark = joinWatermarks(d.watermark, e.Watermark)
	d.extend(e.Through, e.Entries, e.Atomic)
	d.sendPending(d.subscriptions)
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
		whole, sequences := d.facts.add(e)
		cover(sequences)
		fresh = append(fresh, whole)
	}
	cover(d.facts.expire(d.watermark.At))
	fresh = slices.DeleteFunc(fresh, func(e Entry) bool { return covered[e.Sequence] })
	if whole {
		d.backlog.appendAtomic(d.head, through, fresh)
	} else {
		d.backlog.append(d.head, through, fresh, d.settings.MaxFrame)
	}
	d.head = through
	d.backlog.trim(d.settings.MaxBacklogEntries, d.settings.MaxBacklogBytes)
	if d.lastSnapshot != nil && d.lastSnapshot.through < d.backlog.floor {
		d.lastSnapshot = nil
	}
}

// replace takes the whole. Numbers in a snapshot say nothing but the order (a member of the store that reads its state back
// has made them up), so that what is new is found by what it says.
func (d *Distributor) installSnapshot(e InstallSnapshot) {
	if e.Epoch < d.epoch || e.Epoch == d.epoch && e.Through < d.head {
		return
	}
	if e.Epoch == d.epoch && d.settings.Stream == Purges && d.bridgeSnapshot(e) {
		return
	}
	d.epoch, d.head, d.watermark = e.Epoch, e.Through, e.Watermark
	d.facts = newFactTable()
	for _, x := range e.Entries {
		d.facts.add(x)
	}
	d.facts.expire(d.watermark.At)
	d.backlog.reset(d.head)
	d.lastSnapshot = nil
	for _, m := range d.subscriptions {
		m.needsSnapshot, m.snapshot = true, nil
	}
	d.sendPending(d.subscriptions)
}

// bridge passes on what a snapshot of the present epoch brings as one batch, so that the subscribers of a distributor that
// fell back do not all fall back with it. One frame or none: a part of it would be a place that nobody else knows. What a
// snapshot ends by not naming it, a list or a drain, a batch can't say: purges only.
func (d *Distributor) bridgeSnapshot(e InstallSnapshot) bool {
	var fresh []Entry
	for _, x := range e.Entries {
		if !d.facts.covers(x) {
			fresh = append(fresh, x)
		}
	}
	if uint64(len(fresh)) > e.Through-d.head || 2*sizeOf(fresh) > d.settings.Credit {
		return false
	}
	for i := range fresh { // numbers that nothing here has
		fresh[i].Sequence = e.Through - uint64(len(fresh)-1-i)
	}
	d.watermark = joinWatermarks(d.watermark, e.Watermark)
	if e.Through > d.head {
		d.extend(e.Through, fresh, len(fresh) > 0)
		d.sendPending(d.subscriptions)
	}
	return true
}

func (d *Distributor) advance(e AdvanceWatermark) {
	if d.epoch == 0 || e.Epoch != d.epoch {
		return
	}
	d.watermark = joinWatermarks(d.watermark, e.Watermark)
	if e.Watermark.Sequence > d.head { // at the root: the store's log went on, with nothing for this stream
		d.extend(e.Watermark.Sequence, nil, false)
		d.sendPending(d.subscriptions)
		return
	}
	d.sendHeartbeat(d.subscriptions)
}

// lose begins anew: what comes does not follow what is here. All subscribers go elsewhere.
func (d *Distributor) reset() {
	for _, m := range slices.Clone(d.subscriptions) {
		d.reject(m.link, RejectNotReady, d.settings.MinBackoff)
	}
	d.epoch, d.head, d.watermark = 0, 0, Watermark{}
	d.facts, d.lastSnapshot = newFactTable(), nil
	d.backlog.reset(0)
}

func (d *Distributor) receive(e Received) {
	switch m := e.Message.(type) {
	case Subscribe:
		d.subscribe(e.Link, m)
	case Credit:
		if x := d.links[e.Link]; x != nil && m.Stream == d.settings.Stream && m.Bytes >= 0 {
			x.lastReceivedAt = d.now
			x.credit = min(x.window, x.credit+m.Bytes)
			d.sendPending([]*subscription{x})
		}
	case Unsubscribe:
		if d.links[e.Link] != nil {
			d.closeLink(e.Link, CauseFinished)
		}
	default:
		d.closeLink(e.Link, CauseProtocolError)
	}
}

func (d *Distributor) subscribe(link Link, m Subscribe) {
	x := d.links[link]
	if reason, after := d.admit(x == nil, m); reason != 0 {
		d.reject(link, reason, after)
		return
	}
	if x == nil {
		d.closeEarlierLink(m.Name)
		x = &subscription{link: link, name: m.Name}
		d.links[link] = x
		d.subscriptions = append(d.subscriptions, x)
	}
	underWay := x.sentBytes - min(m.ReceivedBytes, x.sentBytes)
	x.window, x.credit, x.lastReceivedAt = m.Credit, m.Credit-int(underWay), d.now
	x.cursor, x.snapshot, x.nextChunk = m.From.Sequence, nil, 0
	x.needsSnapshot = m.From.Epoch != d.epoch || m.From.Sequence < d.backlog.floor
	d.sendHeartbeat([]*subscription{x})
	d.sendPending([]*subscription{x})
}

// supersede ends an earlier link of the same subscriber, whose end was not seen yet.
func (d *Distributor) closeEarlierLink(name string) {
	if m := d.find(name); m != nil {
		d.closeLink(m.link, CauseFinished)
	}
}

func (d *Distributor) find(name string) *subscription {
	for _, m := range d.subscriptions {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (d *Distributor) reject(link Link, r RejectReason, after float64) {
	d.emit(SendFrame{Links: []Link{link}, Frame: Encode(Rejected{Stream: d.settings.Stream, Reason: r, RetryAfter: int(after)})})
	d.closeLink(link, CauseRejected)
}

func (d *Distributor) closeLink(link Link, why Cause) {
	d.emit(CloseLink{Link: link, Cause: why})
	d.remove(link)
}

func (d *Distributor) remove(link Link) {
	if d.links[link] == nil {
		return
	}
	delete(d.links, link)
	d.subscriptions = slices.DeleteFunc(d.subscriptions, func(m *subscription) bool { return m.link == link })
}

// beat sends a heartbeat to who got nothing for so long, and gives up who said nothing.
func (d *Distributor) sendHeartbeats() {
	var quiet []*subscription
	for _, m := range slices.Clone(d.subscriptions) {
		switch {
		case d.now >= m.lastReceivedAt+maxMissedKeepalives*d.settings.KeepaliveInterval:
			d.closeLink(m.link, CauseTimeout)
		case d.now >= m.lastSentAt+d.settings.HeartbeatInterval:
			quiet = append(quiet, m)
		}
	}
	d.sendHeartbeat(quiet)
}

// mostMissed of its signs of life a subscriber may miss.
const maxMissedKeepalives = 3

func (d *Distributor) sendHeartbeat(to []*subscription) {
	if len(to) == 0 || d.epoch == 0 {
		return
	}
	s := SendFrame{Frame: Encode(Heartbeat{Stream: d.settings.Stream, Epoch: d.epoch, Watermark: d.claimableWatermark()})}
	for _, m := range to {
		m.lastSentAt = d.now
		s.Links = append(s.Links, m.link)
	}
	d.emit(s)
}

// place orders the frames of one pump: all subscribers get what they get of them in this order.
type frameOrder struct {
	inBacklog bool // behind all snapshots
	snapshot  int
	index     int
}

type outgoing struct {
	order frameOrder
	send  SendFrame
}

// pump sends each of some members what its credit allows. Nobody waits for another: who has no credit is passed over.
func (d *Distributor) sendPending(to []*subscription) {
	if d.epoch == 0 {
		return
	}
	frames := map[*Frame]int{}
	var all []outgoing
	send := func(m *subscription, p frameOrder, f *Frame) bool {
		if m.credit < len(f.Bytes) && m.credit < m.window {
			return false
		}
		m.credit -= len(f.Bytes)
		m.sentBytes += uint64(len(f.Bytes))
		m.lastSentAt = d.now
		i, known := frames[f]
		if !known {
			i = len(all)
			frames[f] = i
			all = append(all, outgoing{order: p, send: SendFrame{Frame: f}})
		}
		all[i].send.Links = append(all[i].send.Links, m.link)
		return true
	}
	for _, m := range to {
		if d.sendSnapshot(m, send) {
			d.sendBacklog(m, send)
		}
	}
	slices.SortFunc(all, func(a, b outgoing) int {
		if a.order.inBacklog != b.order.inBacklog {
			if a.order.inBacklog {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.order.snapshot, b.order.snapshot), cmp.Compare(a.order.index, b.order.index))
	})
	for _, o := range all {
		d.emit(o.send)
	}
}

// pumpSnapshot tells whether the member needs no more of a snapshot.
func (d *Distributor) sendSnapshot(m *subscription, send func(*subscription, frameOrder, *Frame) bool) bool {
	if !m.needsSnapshot && m.cursor < d.backlog.floor {
		m.needsSnapshot = true
	}
	if !m.needsSnapshot {
		return true
	}
	if m.snapshot == nil {
		if !d.gapFree() {
			return false
		}
		m.snapshot, m.nextChunk = d.currentSnapshot(), 0
	}
	for ; m.nextChunk < len(m.snapshot.chunks); m.nextChunk++ {
		if !send(m, frameOrder{snapshot: m.snapshot.number, index: m.nextChunk}, m.snapshot.chunks[m.nextChunk]) {
			return false
		}
	}
	m.needsSnapshot, m.cursor, m.snapshot = false, m.snapshot.through, nil
	return m.cursor >= d.backlog.floor
}

func (d *Distributor) sendBacklog(m *subscription, send func(*subscription, frameOrder, *Frame) bool) {
	for i := d.backlog.find(m.cursor); i < len(d.backlog.segments); i++ {
		s := d.backlog.segments[i]
		if s.atomic && m.cursor > s.after { // it came from elsewhere, and is at a place within
			m.needsSnapshot = true
			d.sendSnapshot(m, send)
			return
		}
		if s.frame == nil {
			s.frame = Encode(Batch{Stream: d.settings.Stream, Epoch: d.epoch, Atomic: s.atomic, After: s.after, Through: s.through,
				Watermark: d.claimableWatermark(), Entries: s.entries})
		}
		if !send(m, frameOrder{inBacklog: true, index: i}, s.frame) {
			return
		}
		m.cursor = s.through
	}
}

// snapshotNow is the last one made, if half of the backlog still goes on from there, or a new one.
func (d *Distributor) currentSnapshot() *snapshot {
	if d.lastSnapshot != nil && d.lastSnapshot.through >= d.backlog.middle() {
		return d.lastSnapshot
	}
	made := 1
	if d.lastSnapshot != nil {
		made = d.lastSnapshot.number + 1
	}
	s := &snapshot{number: made, through: d.head}
	c := SnapshotChunk{Stream: d.settings.Stream, Epoch: d.epoch, Through: d.head, Watermark: d.claimableWatermark()}
	bytes := 0
	for _, e := range d.facts.sorted() {
		size := EncodedSize(e)
		if len(c.Entries) > 0 && bytes+size > d.settings.MaxFrame {
			s.chunks = append(s.chunks, Encode(c))
			c.Index, c.Entries, bytes = c.Index+1, nil, 0
		}
		c.Entries = append(c.Entries, e)
		bytes += size
	}
	c.Last = true
	s.chunks = append(s.chunks, Encode(c))
	d.lastSnapshot = s
	return s
}
