package distribution

import "slices"

// Distributor sends a stream to its subscribers. It holds what has the effect of everything up to its position, and a backlog of the
// latest entries. Use NewDistributor. It is not safe for concurrent use.
type Distributor struct {
	settings     Settings
	epoch        uint64 // 0: there is no complete state
	head         uint64 // the sequence up to which everything is here
	watermark    Watermark
	facts        *factTable
	backlog      backlog
	lastSnapshot *snapshot // the latest that was made; nil: none that can be used

	subscriptions []*subscription // in the order in which they began
	links         map[Link]*subscription
	admission     admission

	heartbeatAt float64
	shutdownAt  float64 // when the shutdown began; 0: it has not
	dismissed   int     // subscribers moved to other distributors since
	toDismiss   int     // subscribers there were then

	now     float64
	actions []Action
}

// NewDistributor returns a Distributor that has nothing yet: it rejects subscriptions until its first InstallSnapshot.
func NewDistributor(s Settings) *Distributor {
	return &Distributor{settings: s, facts: newFactTable(), links: map[Link]*subscription{}, admission: newAdmission(s)}
}

// Position returns the position up to which it has everything.
func (d *Distributor) Position() Position { return Position{Epoch: d.epoch, Sequence: d.head} }

// Subscribers returns the number of subscribers.
func (d *Distributor) Subscribers() int { return len(d.subscriptions) }

// Sizes is how much a Distributor holds. Bytes are those of the encoding.
type Sizes struct {
	Entries, Bytes               int // of the state
	BacklogEntries, BacklogBytes int
}

// Sizes returns how much it holds.
func (d *Distributor) Sizes() Sizes {
	return Sizes{
		Entries: len(d.facts.entries), Bytes: d.facts.bytes, BacklogEntries: d.backlog.entries, BacklogBytes: d.backlog.bytes,
	}
}

// Handle processes an event and returns the resulting actions. now is Unix ms.
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

// claimableWatermark returns the watermark that is sent. Its sequence is not below the head: where entries are missing here, because
// the level above has left out what something later covers, the watermark holds below only once that later entry is there too.
func (d *Distributor) claimableWatermark() Watermark {
	return Watermark{Sequence: max(d.watermark.Sequence, d.head), At: d.watermark.At}
}

// gapFree reports whether no such entries are missing.
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
func (d *Distributor) extend(through uint64, entries []Entry, atomic bool) {
	var added []Entry
	covered := map[uint64]bool{}
	cover := func(sequences []uint64) {
		for _, sequence := range sequences {
			covered[sequence] = true
			d.backlog.drop(sequence)
		}
	}
	for _, e := range entries {
		if e.Sequence <= d.head {
			continue
		}
		joined, sequences := d.facts.add(e)
		cover(sequences)
		added = append(added, joined)
	}
	cover(d.facts.expire(d.watermark.At))
	added = slices.DeleteFunc(added, func(e Entry) bool { return covered[e.Sequence] })
	if atomic {
		d.backlog.appendAtomic(d.head, through, added)
	} else {
		d.backlog.append(d.head, through, added, d.settings.MaxFrame)
	}
	d.head = through
	d.backlog.trim(d.settings.MaxBacklogEntries, d.settings.MaxBacklogBytes)
	if d.lastSnapshot != nil && d.lastSnapshot.through < d.backlog.floor {
		d.lastSnapshot = nil
	}
}

// installSnapshot replaces the state. The sequences in a snapshot say nothing but the order, since a member of the store that reads
// its state back has made them up: what is new is found by its content.
func (d *Distributor) installSnapshot(e InstallSnapshot) {
	if e.Epoch < d.epoch || e.Epoch == d.epoch && e.Through < d.head {
		return
	}
	if e.Epoch == d.epoch && d.settings.Stream == Purges && d.bridgeSnapshot(e) {
		return
	}
	d.epoch, d.head, d.watermark = e.Epoch, e.Through, e.Watermark
	d.facts = newFactTable()
	for _, entry := range e.Entries {
		d.facts.add(entry)
	}
	d.facts.expire(d.watermark.At)
	d.backlog.reset(d.head)
	d.lastSnapshot = nil
	for _, s := range d.subscriptions {
		s.needsSnapshot, s.snapshot = true, nil
	}
	d.sendPending(d.subscriptions)
}

// bridgeSnapshot passes what a snapshot of the present epoch adds on as one atomic batch, so that the subscribers of a distributor
// that fell behind need no snapshot themselves. It reports whether that was possible. It takes one frame, as a part of the batch would
// be a position that nobody else knows, and the stream of purges: a batch cannot say that a list or a drain has ended, which a
// snapshot does by leaving it out.
func (d *Distributor) bridgeSnapshot(e InstallSnapshot) bool {
	var added []Entry
	for _, entry := range e.Entries {
		if !d.facts.covers(entry) {
			added = append(added, entry)
		}
	}
	if uint64(len(added)) > e.Through-d.head || 2*sizeOf(added) > d.settings.Credit {
		return false
	}
	for i := range added { // sequences that no entry here has
		added[i].Sequence = e.Through - uint64(len(added)-1-i)
	}
	d.watermark = joinWatermarks(d.watermark, e.Watermark)
	if e.Through > d.head {
		d.extend(e.Through, added, len(added) > 0)
		d.sendPending(d.subscriptions)
	}
	return true
}

// advance takes in a watermark. At the root it also moves the head, if the store's log went on without an entry of this stream.
func (d *Distributor) advance(e AdvanceWatermark) {
	if d.epoch == 0 || e.Epoch != d.epoch {
		return
	}
	d.watermark = joinWatermarks(d.watermark, e.Watermark)
	if e.Watermark.Sequence > d.head {
		d.extend(e.Watermark.Sequence, nil, false)
		d.sendPending(d.subscriptions)
		return
	}
	d.sendHeartbeat(d.subscriptions)
}

// reset drops everything, as what was received does not follow what is here. All subscribers are sent to other distributors.
func (d *Distributor) reset() {
	for _, s := range slices.Clone(d.subscriptions) {
		d.reject(s.link, RejectNotReady, d.settings.MinBackoff)
	}
	d.epoch, d.head, d.watermark = 0, 0, Watermark{}
	d.facts, d.lastSnapshot = newFactTable(), nil
	d.backlog.reset(0)
}
