package distribution

import (
	"slices"
	"sort"
)

// segment is a range of the stream that is sent as one batch.
type segment struct {
	after, through uint64 // the range (after, through]
	atomic         bool   // see Batch
	entries        []Entry
	bytes          int    // of the entries, encoded
	frame          *Frame // the encoded batch; nil: it has to be encoded
}

// backlog is the latest part of the stream, from which subscribers resume. Its segments follow each other without a gap.
type backlog struct {
	segments       []*segment
	floor          uint64 // the sequence after which the first segment begins: a subscriber below it needs a snapshot
	entries, bytes int    // of all segments
}

// reset drops all segments. The stream continues after the sequence floor.
func (b *backlog) reset(floor uint64) { *b = backlog{floor: floor} }

// append adds a range, split into segments of at most maxBytes. A larger entry is alone in its segment.
func (b *backlog) append(after, through uint64, entries []Entry, maxBytes int) {
	after = b.removeEmptyTail(after)
	s := &segment{after: after}
	for _, e := range entries {
		size := EncodedSize(e)
		if len(s.entries) > 0 && s.bytes+size > maxBytes {
			s.through = s.entries[len(s.entries)-1].Sequence
			b.push(s)
			s = &segment{after: s.through}
		}
		s.entries = append(s.entries, e)
		s.bytes += size
	}
	s.through = through
	b.push(s)
}

// appendAtomic adds a range that is not split, see Batch.
func (b *backlog) appendAtomic(after, through uint64, entries []Entry) {
	b.push(&segment{after: after, through: through, atomic: true, entries: entries, bytes: sizeOf(entries)})
}

// removeEmptyTail removes the last segment if it has no entries, and returns the sequence after which the next segment begins: that
// of the removed segment, or else the parameter after.
func (b *backlog) removeEmptyTail(after uint64) uint64 {
	last := len(b.segments) - 1
	if last < 0 || len(b.segments[last].entries) > 0 || b.segments[last].atomic {
		return after
	}
	after = b.segments[last].after
	b.segments = b.segments[:last]
	return after
}

func (b *backlog) push(s *segment) {
	b.segments = append(b.segments, s)
	b.entries += len(s.entries)
	b.bytes += s.bytes
}

// find returns the index of the first segment that ends after the sequence cursor, or the number of segments if there is none.
func (b *backlog) find(cursor uint64) int {
	return sort.Search(len(b.segments), func(i int) bool { return b.segments[i].through > cursor })
}

// drop removes an entry that a later entry covers (see the package comment), or that has expired. A segment that becomes empty is
// merged into the next.
func (b *backlog) drop(sequence uint64) {
	if sequence <= b.floor {
		return
	}
	i := b.find(sequence - 1)
	if i == len(b.segments) {
		return
	}
	s := b.segments[i]
	at := slices.IndexFunc(s.entries, func(e Entry) bool { return e.Sequence == sequence })
	if at < 0 {
		return
	}
	size := EncodedSize(s.entries[at])
	b.entries, b.bytes, s.bytes = b.entries-1, b.bytes-size, s.bytes-size
	s.entries = slices.Concat(s.entries[:at], s.entries[at+1:])
	s.frame = nil
	if len(s.entries) == 0 && !s.atomic && i+1 < len(b.segments) && !b.segments[i+1].atomic {
		next := b.segments[i+1]
		next.after, next.frame = s.after, nil
		b.segments = slices.Delete(b.segments, i, i+1)
	}
}

// trim drops the oldest segments until at most maxEntries entries and maxBytes bytes are left.
func (b *backlog) trim(maxEntries, maxBytes int) {
	for len(b.segments) > 0 && (b.entries > maxEntries || b.bytes > maxBytes) {
		s := b.segments[0]
		b.segments[0] = nil
		b.segments = b.segments[1:]
		b.floor = s.through
		b.entries -= len(s.entries)
		b.bytes -= s.bytes
	}
}

// middle returns the sequence after which the second half of the segments begins.
func (b *backlog) middle() uint64 {
	if len(b.segments) == 0 {
		return b.floor
	}
	return b.segments[len(b.segments)/2].after
}
