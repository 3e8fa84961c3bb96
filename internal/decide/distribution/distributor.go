package distribution

import "slices"

// Distributor sends a stream to its subscribers. It holds the state at its position, which has the effect of all entries up to there,
// and a backlog of the latest entries. Use NewDistributor. It is not safe for concurrent use.
type Distributor struct {
	settings     Settings
	epoch        uint64 // 0: there is no complete state
	head         uint64 // the sequence up to which this distributor has all entries, or later ones that cover them
	watermark    Watermark
	facts        *factTable
	backlog      backlog
	lastSnapshot *snapshot // the latest snapshot that was encoded; nil: none from which a subscriber could go on with the backlog

	subscriptions []*subscription // in the order in which the subscribers were admitted
	links         map[Link]*subscription
	admission     admission

	heartbeatAt           float64 // when heartbeats are due next
	shutdownStartedAt     float64 // when the shutdown began; 0: it has not
	dismissed             int     // subscribers moved to other distributors since then
	subscribersAtShutdown int     // number of subscribers when the shutdown began

	now     float64
	actions []Action
}

// NewDistributor returns a Distributor without state: it rejects subscriptions until its first InstallSnapshot.
func NewDistributor(s Settings) *Distributor {
	return &Distributor{settings: s, facts: newFactTable(), links: map[Link]*subscription{}, admission: newAdmission(s)}
}

// Position returns the position up to which the Distributor has all entries.
func (d *Distributor) Position() Position { return Position{Epoch: d.epoch, Sequence: d.head} }

// Subscribers returns the number of subscribers.
func (d *Distributor) Subscribers() int { return len(d.subscriptions) }

// Sizes holds the sizes of a Distributor's state and backlog. Bytes are those of the encoded entries.
type Sizes struct {
	Entries, Bytes               int // of the state
	BacklogEntries, BacklogBytes int
}

// Sizes returns the sizes of the state and the backlog.
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
		d.advanceWatermark(e)
	case Received:
		d.receive(e)
	case Disconnected:
		d.removeSubscription(e.Link)
	case Demand:
		d.admission.setDemand(e)
	case Shutdown:
		if d.shutdownStartedAt == 0 {
			d.shutdownStartedAt, d.subscribersAtShutdown = now, len(d.subscriptions)
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

// requestWake requests a Tick for the next heartbeats or the next dismissal.
func (d *Distributor) requestWake() {
	due := d.heartbeatAt
	if d.shutdownStartedAt != 0 && len(d.subscriptions) > 0 {
		due = min(due, d.nextDismissalAt())
	}
	d.emit(Wake{After: max(0, due-d.now)})
}

// claimableWatermark returns the watermark that may be sent to subscribers. The level above leaves out entries that a later entry
// covers, so that this process may lack some until it has that later entry. A subscriber therefore must not use the watermark's time
// before it has reached the watermark's sequence, and that sequence is never below the head.
func (d *Distributor) claimableWatermark() Watermark {
	return Watermark{Sequence: max(d.watermark.Sequence, d.head), At: d.watermark.At}
}

// gapFree reports whether the head has reached the watermark's sequence. Then no entry is missing whose covering entry is still to come.
func (d *Distributor) gapFree() bool { return d.head >= d.watermark.Sequence }

// apply adds entries to the state and sends them to the subscribers.
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

// extend moves the head to the sequence through, and adds the entries after the present head to the state and the backlog. Earlier
// entries are known already.
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

// installSnapshot replaces the state. The sequences of a snapshot's entries give only their order, because a member of the store may
// have numbered them itself when it read its state from disk. Which entries are new is therefore decided by their content.
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

// bridgeSnapshot sends the entries that a snapshot of the present epoch adds as one atomic batch, so that the subscribers of a
// distributor that fell behind need no snapshot themselves. It reports whether that was possible. The batch must fit into one frame,
// because a position within it exists at no other distributor. It is done for the stream of purges only: a snapshot ends a list or a
// drain by leaving it out, which a batch cannot express.
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
	for i := range added { // new sequences after the head, which no entry of this distributor has
		added[i].Sequence = e.Through - uint64(len(added)-1-i)
	}
	d.watermark = joinWatermarks(d.watermark, e.Watermark)
	if e.Through > d.head {
		d.extend(e.Through, added, len(added) > 0)
		d.sendPending(d.subscriptions)
	}
	return true
}

// advanceWatermark joins a watermark with the present one. At the root it also moves the head, if the store's log went on without an
// entry of this stream.
func (d *Distributor) advanceWatermark(e AdvanceWatermark) {
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

// reset drops the whole state, because the entries that were received do not follow the state of this process. All subscribers are
// rejected with RejectNotReady, and subscribe to other distributors.
func (d *Distributor) reset() {
	for _, s := range slices.Clone(d.subscriptions) {
		d.reject(s.link, RejectNotReady, d.settings.MinBackoff)
	}
	d.epoch, d.head, d.watermark = 0, 0, Watermark{}
	d.facts, d.lastSnapshot = newFactTable(), nil
	d.backlog.reset(0)
}
