package distribution

import (
	"cmp"
	"slices"
)

// snapshot holds all entries in effect at a sequence, encoded once for all subscribers that need them.
type snapshot struct {
	number  int // counts the snapshots
	through uint64
	chunks  []*Frame
}

// frameOrder is the position of a frame in one transmission. Each subscriber gets its frames in this order.
type frameOrder struct {
	inBacklog bool // the frame is a segment of the backlog, which comes after all snapshots; else a chunk of a snapshot
	snapshot  int  // number of the snapshot
	index     int  // of the chunk, or of the backlog's segment
}

// compare orders snapshots before the backlog, and each by index.
func (o frameOrder) compare(other frameOrder) int {
	if o.inBacklog != other.inBacklog {
		if o.inBacklog {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(o.snapshot, other.snapshot), cmp.Compare(o.index, other.index))
}

// outgoing is a frame, the links that it is sent on, and its position in the transmission.
type outgoing struct {
	order frameOrder
	send  SendFrame
}

// transmission collects the frames for several subscribers, so that each frame is sent once for all of them.
type transmission struct {
	now    float64
	frames map[*Frame]int // index of each frame in all
	all    []outgoing
}

// add adds a frame for a subscriber, and reports whether the subscriber's credit allows that. A frame larger than the whole window is
// sent if nothing else is in flight.
func (t *transmission) add(s *subscription, order frameOrder, f *Frame) bool {
	if s.credit < len(f.Bytes) && s.credit < s.window {
		return false
	}
	s.credit -= len(f.Bytes)
	s.sentBytes += uint64(len(f.Bytes))
	s.lastSentAt = t.now
	i, known := t.frames[f]
	if !known {
		i = len(t.all)
		t.frames[f] = i
		t.all = append(t.all, outgoing{order: order, send: SendFrame{Frame: f}})
	}
	t.all[i].send.Links = append(t.all[i].send.Links, s.link)
	return true
}

// sendPending sends each of the given subscribers as many pending frames as its credit allows. No subscriber waits for another.
func (d *Distributor) sendPending(to []*subscription) {
	if d.epoch == 0 {
		return
	}
	t := &transmission{now: d.now, frames: map[*Frame]int{}}
	for _, s := range to {
		if d.sendSnapshot(s, t) {
			d.sendBacklog(s, t)
		}
	}
	slices.SortFunc(t.all, func(a, b outgoing) int { return a.order.compare(b.order) })
	for _, o := range t.all {
		d.emit(o.send)
	}
}

// sendSnapshot sends a subscriber that needs a snapshot its next chunks, and reports whether the subscriber can go on with the backlog.
func (d *Distributor) sendSnapshot(s *subscription, t *transmission) bool {
	if !s.needsSnapshot && s.cursor < d.backlog.floor {
		s.needsSnapshot = true
	}
	if !s.needsSnapshot {
		return true
	}
	if s.snapshot == nil {
		if !d.gapFree() {
			return false
		}
		s.snapshot, s.nextChunk = d.currentSnapshot(), 0
	}
	for ; s.nextChunk < len(s.snapshot.chunks); s.nextChunk++ {
		order := frameOrder{snapshot: s.snapshot.number, index: s.nextChunk}
		if !t.add(s, order, s.snapshot.chunks[s.nextChunk]) {
			return false
		}
	}
	s.needsSnapshot, s.cursor, s.snapshot = false, s.snapshot.through, nil
	return s.cursor >= d.backlog.floor
}

// sendBacklog sends a subscriber the segments of the backlog after its cursor.
func (d *Distributor) sendBacklog(s *subscription, t *transmission) {
	for i := d.backlog.find(s.cursor); i < len(d.backlog.segments); i++ {
		segment := d.backlog.segments[i]
		if segment.atomic && s.cursor > segment.after { // the subscriber came from another distributor with a position within the batch
			s.needsSnapshot = true
			d.sendSnapshot(s, t)
			return
		}
		if segment.frame == nil {
			segment.frame = d.encodeSegment(segment)
		}
		if !t.add(s, frameOrder{inBacklog: true, index: i}, segment.frame) {
			return
		}
		s.cursor = segment.through
	}
}

func (d *Distributor) encodeSegment(s *segment) *Frame {
	return Encode(Batch{
		Stream: d.settings.Stream, Epoch: d.epoch, Atomic: s.atomic, After: s.after, Through: s.through,
		Watermark: d.claimableWatermark(), Entries: s.entries,
	})
}

// currentSnapshot returns the latest snapshot if at most half of the backlog follows it, and otherwise makes a new one.
func (d *Distributor) currentSnapshot() *snapshot {
	if d.lastSnapshot != nil && d.lastSnapshot.through >= d.backlog.middle() {
		return d.lastSnapshot
	}
	number := 1
	if d.lastSnapshot != nil {
		number = d.lastSnapshot.number + 1
	}
	d.lastSnapshot = &snapshot{number: number, through: d.head, chunks: d.encodeSnapshot()}
	return d.lastSnapshot
}

// encodeSnapshot encodes all entries in effect, in chunks of at most MaxFrame bytes.
func (d *Distributor) encodeSnapshot() (chunks []*Frame) {
	c := SnapshotChunk{Stream: d.settings.Stream, Epoch: d.epoch, Through: d.head, Watermark: d.claimableWatermark()}
	bytes := 0
	for _, e := range d.facts.sorted() {
		size := EncodedSize(e)
		if len(c.Entries) > 0 && bytes+size > d.settings.MaxFrame {
			chunks = append(chunks, Encode(c))
			c.Index, c.Entries, bytes = c.Index+1, nil, 0
		}
		c.Entries = append(c.Entries, e)
		bytes += size
	}
	c.Last = true
	return append(chunks, Encode(c))
}
