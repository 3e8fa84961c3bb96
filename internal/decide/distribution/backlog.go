package distribution

import (
	"slices"
	"sort"
)

// segment is a range of the stream that goes out as one batch.
type segment struct {
	after, through uint64
	atomic         bool // see Batch: nobody may begin within it
	entries        []Entry
	bytes          int
	frame          *Frame // nil: to be encoded
}

// backlog is the end of the stream, to resume from. Segments follow each other without a gap, from floor on.
type backlog struct {
	segments       []*segment
	floor          uint64
	entries, bytes int
}

// reset forgets all: the stream goes on from a place.
func (b *backlog) reset(floor uint64) { *b = backlog{floor: floor} }

// append adds a range, cut into segments of at most so many bytes.
func (b *backlog) append(after, through uint64, entries []Entry, most int) {
	b.removeIdleTail(&after)
	s := &segment{after: after}
	for _, e := range entries {
		size := EncodedSize(e)
		if len(s.entries) > 0 && s.bytes+size > most {
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

// appendWhole adds a range that is not cut, and that nobody may begin within.
func (b *backlog) appendAtomic(after, through uint64, entries []Entry) {
	b.push(&segment{after: after, through: through, atomic: true, entries: entries, bytes: sizeOf(entries)})
}

// takeIdle removes a last segment without entries: the next begins where it did.
func (b *backlog) removeIdleTail(after *uint64) {
	if n := len(b.segments); n > 0 && len(b.segments[n-1].entries) == 0 && !b.segments[n-1].atomic {
		*after = b.segments[n-1].after
		b.segments = b.segments[:n-1]
	}
}

func (b *backlog) push(s *segment) {
	b.segments = append(b.segments, s)
	b.entries += len(s.entries)
	b.bytes += s.bytes
}

// find is the index of the first segment that ends behind a place.
func (b *backlog) find(cursor uint64) int {
	return sort.Search(len(b.segments), func(i int) bool { return b.segments[i].through > cursor })
}

// drop removes an entry that something later covers, or that has ended. A segment that is left without any goes into
// the next.
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

// trim gives up the oldest until no more than so many entries and bytes are kept.
func (b *backlog) trim(entries, bytes int) {
	for len(b.segments) > 0 && (b.entries > entries || b.bytes > bytes) {
		s := b.segments[0]
		b.segments[0] = nil
		b.segments = b.segments[1:]
		b.floor = s.through
		b.entries -= len(s.entries)
		b.bytes -= s.bytes
	}
}

// middle is the place that half of the segments are behind.
func (b *backlog) middle() uint64 {
	if len(b.segments) == 0 {
		return b.floor
	}
	return b.segments[len(b.segments)/2].after
}
