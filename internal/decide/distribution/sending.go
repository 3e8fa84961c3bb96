package distribution

import (
	"cmp"
	"slices"
)

// snapshot is everything that holds at a sequence, encoded once for all subscribers that need it.
type snapshot struct {
	number  int // of the snapshots made so far
	through uint64
	chunks  []*Frame
}

// frameOrder is the order of the frames of one transmission: all subscribers get those that they get of them in this order.
type frameOrder struct {
	inBacklog bool // a segment of the backlog: after all snapshots
	snapshot  int  // its number
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

// outgoing is a frame and the links that it is sent on.
type outgoing struct {
	order frameOrder
	send  SendFrame
}

// transmission collects the frames for several subscribers, so that each frame is sent once for all of them.
type transmission struct {
	now    float64
	frames map[*Frame]int // indexes in all
	all    []outgoing
}

// add sends a frame to a subscriber, and reports whether its credit allows that. A frame larger than the whole window is sent if
// nothing else is in flight.
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

// sendPending sends each of some subscribers what its credit allows. None waits for another.
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

// sendSnapshot sends a subscriber the chunks of a snapshot that it needs, and reports whether it can go on with the backlog.
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
		if segment.atomic && s.cursor > segment.after { // it comes from another distributor, and its position lies within
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

// currentSnapshot returns the latest snapshot if at least half of the backlog follows it, or makes a new one.
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

// encodeSnapshot encodes everything that holds, in chunks of at most MaxFrame bytes.
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
