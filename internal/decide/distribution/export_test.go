package distribution

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
)

// Clone copies a Subscriber for a model that branches.
func (s *Subscriber) Clone() *Subscriber {
	c := *s
	c.turned = maps.Clone(s.turned)
	c.out = nil
	if s.gather != nil {
		g := *s.gather
		g.entries = slices.Clone(g.entries)
		c.gather = &g
	}
	return &c
}

// Clone copies a Distributor for a model that branches.
func (d *Distributor) Clone() *Distributor {
	c := *d
	c.out = nil
	c.table = &table{held: maps.Clone(d.table.held), ends: slices.Clone(d.table.ends), bytes: d.table.bytes,
		groups: map[int64]map[string]struct{}{}}
	for group, names := range d.table.groups {
		c.table.groups[group] = maps.Clone(names)
	}
	c.backlog.segments = make([]*segment, len(d.backlog.segments))
	for i, s := range d.backlog.segments {
		copied := *s
		copied.entries = slices.Clone(s.entries)
		c.backlog.segments[i] = &copied
	}
	c.members, c.links = make([]*member, len(d.members)), map[Link]*member{}
	for i, m := range d.members {
		copied := *m
		c.members[i] = &copied
		c.links[m.link] = &copied
	}
	return &c
}

// print is a fingerprint under way.
type print []byte

func (p *print) whole(numbers ...uint64) {
	for _, n := range numbers {
		*p = binary.AppendUvarint(*p, n)
	}
}

func (p *print) real(numbers ...float64) {
	for _, n := range numbers {
		*p = binary.BigEndian.AppendUint64(*p, math.Float64bits(n))
	}
}

func (p *print) flags(flags ...bool) {
	for _, f := range flags {
		if f {
			*p = append(*p, 1)
		} else {
			*p = append(*p, 0)
		}
	}
}

func (p *print) mark(w Watermark) { p.whole(w.Sequence, uint64(w.At)) }

func (p *print) entries(all []Entry) {
	p.whole(uint64(len(all)))
	for _, e := range all {
		p.whole(e.Sequence, uint64(e.Made), uint64(e.Until))
	}
}

// Print appends all that decides what a Subscriber does next, but for the state of its draws and numbers of links.
func (s *Subscriber) Print(b []byte) []byte {
	p := print(b)
	p.whole(uint64(s.phase), uint64(s.again), uint64(s.owed), s.taken, s.epoch, s.applied, s.seen)
	p = append(p, s.at.Name...)
	p.real(s.until, s.heard, s.asked, s.moved, s.said, s.risen, s.returnAt, s.easeAt)
	p.real(s.state.Oldest, s.state.FreshUntil, s.state.Watermark)
	p.flags(s.have, s.state.Held, s.gather != nil)
	p.mark(s.pending)
	p.mark(s.mark)
	if g := s.gather; g != nil {
		p.whole(g.epoch, g.through, uint64(g.index))
		p.entries(g.entries)
	}
	for _, c := range s.order {
		t := s.turned[c.Name]
		p.real(t.until, float64(t.times))
	}
	return p
}

// Print appends all that decides what a Distributor does next, but for the numbers of links.
func (d *Distributor) Print(b []byte) []byte {
	p := print(b)
	p.whole(d.epoch, d.head, d.backlog.floor, uint64(len(d.members)))
	p.mark(d.mark)
	p.real(d.beatAt, d.door.tokens, d.door.filled, d.door.slot)
	p.entries(d.table.all())
	for _, s := range d.backlog.segments {
		p.whole(s.after, s.through)
		p.entries(s.entries)
		p.flags(s.frame != nil)
		if s.frame != nil {
			p = append(p, s.frame.Bytes...)
		}
	}
	if d.shared != nil {
		p.whole(d.shared.through)
	}
	for _, m := range d.members {
		p = append(p, m.name...)
		p.whole(uint64(m.window), uint64(int64(m.credit)), m.given, m.cursor, uint64(m.chunk))
		p.real(m.heard, m.sent)
		p.flags(m.behind, m.snapshot != nil)
		if m.snapshot != nil {
			p.whole(m.snapshot.through)
		}
	}
	return p
}

// What the mutations of the model need to get past what guards against them.

// Applied and Seen are where a Subscriber stands.
func (s *Subscriber) Applied() uint64 { return s.applied }

// Pending is the watermark that does not hold yet.
func (s *Subscriber) Pending() Watermark { return s.pending }

// Linked tells whether messages are taken.
func (s *Subscriber) Linked() bool { return s.phase >= asking }

// GatherIndex is the chunk that comes next.
func (s *Subscriber) GatherIndex() int {
	if s.gather == nil {
		return 0
	}
	return s.gather.index
}

// Rewind has a Subscriber forget how far it is.
func (s *Subscriber) Rewind(applied uint64) { s.applied = applied }

// Believe has a Subscriber take the watermark for holding at once.
func (s *Subscriber) Believe() { s.mark = s.pending }

// Unseen has a Subscriber forget the epochs it has heard of beyond its own.
func (s *Subscriber) Unseen(epoch uint64) { s.seen = min(s.seen, epoch) }

// Lavish gives every member of a Distributor its whole credit.
func (d *Distributor) Lavish() {
	for _, m := range d.members {
		m.credit = m.window
	}
}

// Unlimited has a Distributor keep all.
func (d *Distributor) Unlimited() { d.set.BacklogEntries, d.set.BacklogBytes = 1<<30, 1<<30 }

// Boastful has a Distributor take its backlog for one that begins with the stream.
func (d *Distributor) Boastful() { d.backlog.floor = 0 }
