package distribution

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
)

// Clone copies the Subscriber for another branch of the model.
func (s *Subscriber) Clone() *Subscriber {
	c := *s
	c.backoffs = maps.Clone(s.backoffs)
	c.actions = nil
	if s.assembly != nil {
		assembly := *s.assembly
		assembly.entries = slices.Clone(assembly.entries)
		c.assembly = &assembly
	}
	return &c
}

// Clone copies the Distributor for another branch of the model.
func (d *Distributor) Clone() *Distributor {
	c := *d
	c.actions = nil
	c.facts = &factTable{entries: maps.Clone(d.facts.entries), expiries: slices.Clone(d.facts.expiries), bytes: d.facts.bytes,
		objectsByGroup: map[int64]map[string]struct{}{}}
	for group, names := range d.facts.objectsByGroup {
		c.facts.objectsByGroup[group] = maps.Clone(names)
	}
	c.backlog.segments = make([]*segment, len(d.backlog.segments))
	for i, s := range d.backlog.segments {
		copied := *s
		copied.entries = slices.Clone(s.entries)
		c.backlog.segments[i] = &copied
	}
	c.subscriptions, c.links = make([]*subscription, len(d.subscriptions)), map[Link]*subscription{}
	for i, sub := range d.subscriptions {
		copied := *sub
		c.subscriptions[i] = &copied
		c.links[sub.link] = &copied
	}
	return &c
}

// fingerprint collects the bytes of a machine's fingerprint.
type fingerprint []byte

func (p *fingerprint) numbers(numbers ...uint64) {
	for _, n := range numbers {
		*p = binary.AppendUvarint(*p, n)
	}
}

func (p *fingerprint) floats(numbers ...float64) {
	for _, n := range numbers {
		*p = binary.BigEndian.AppendUint64(*p, math.Float64bits(n))
	}
}

func (p *fingerprint) flags(flags ...bool) {
	for _, f := range flags {
		if f {
			*p = append(*p, 1)
		} else {
			*p = append(*p, 0)
		}
	}
}

func (p *fingerprint) watermark(w Watermark) { p.numbers(w.Sequence, uint64(w.At)) }

func (p *fingerprint) entries(all []Entry) {
	p.numbers(uint64(len(all)))
	for _, e := range all {
		p.numbers(e.Sequence, uint64(e.EffectiveAt), uint64(e.ExpiresAt))
	}
}

// AppendFingerprint appends the state that decides what the Subscriber does next, except that of its jitter and its link numbers.
func (s *Subscriber) AppendFingerprint(b []byte) []byte {
	p := fingerprint(b)
	p.numbers(uint64(s.phase), uint64(s.resubscribes), uint64(s.unreturnedCredit), s.receivedBytes, s.epoch, s.applied, s.highestEpoch)
	p = append(p, s.parent.Name...)
	p.floats(s.backoffUntil, s.lastReceivedAt, s.subscribedAt, s.progressAt, s.lastSentAt, s.watermarkRoseAt, s.closerParentAt, s.relaxAt)
	p.floats(s.freshness.OldestCopy, s.freshness.FreshUntil, s.freshness.WatermarkTime)
	p.flags(s.hasState, s.freshness.Restricted, s.assembly != nil)
	p.watermark(s.pendingWatermark)
	p.watermark(s.watermark)
	if assembly := s.assembly; assembly != nil {
		p.numbers(assembly.epoch, assembly.through, uint64(assembly.nextChunk))
		p.entries(assembly.entries)
	}
	for _, c := range s.candidates {
		candidateBackoff := s.backoffs[c.Name]
		p.floats(candidateBackoff.until, float64(candidateBackoff.attempts))
	}
	return p
}

// AppendFingerprint appends the state that decides what the Distributor does next, except its link numbers.
func (d *Distributor) AppendFingerprint(b []byte) []byte {
	p := fingerprint(b)
	p.numbers(d.epoch, d.head, d.backlog.floor, uint64(len(d.subscriptions)))
	p.watermark(d.watermark)
	p.floats(d.heartbeatAt, d.admission.tokens, d.admission.refilledAt, d.admission.nextRetryAt)
	p.entries(d.facts.sorted())
	for _, s := range d.backlog.segments {
		p.numbers(s.after, s.through)
		p.entries(s.entries)
		p.flags(s.frame != nil)
		if s.frame != nil {
			p = append(p, s.frame.Bytes...)
		}
	}
	if d.lastSnapshot != nil {
		p.numbers(d.lastSnapshot.through)
	}
	for _, sub := range d.subscriptions {
		p = append(p, sub.name...)
		p.numbers(uint64(sub.window), uint64(int64(sub.credit)), sub.sentBytes, sub.cursor, uint64(sub.nextChunk))
		p.floats(sub.lastReceivedAt, sub.lastSentAt)
		p.flags(sub.needsSnapshot, sub.snapshot != nil)
		if sub.snapshot != nil {
			p.numbers(sub.snapshot.through)
		}
	}
	return p
}

// The mutations of the model use the following functions to bypass the checks that would prevent them.

// AppliedSequence returns the sequence up to which all entries were applied.
func (s *Subscriber) AppliedSequence() uint64 { return s.applied }

// PendingWatermark returns the watermark that may not be in effect yet.
func (s *Subscriber) PendingWatermark() Watermark { return s.pendingWatermark }

// AcceptsMessages reports whether the Subscriber has a link on which it handles messages.
func (s *Subscriber) AcceptsMessages() bool { return s.phase >= phaseSubscribing }

// NextChunk returns the index of the chunk that the Subscriber expects next.
func (s *Subscriber) NextChunk() int {
	if s.assembly == nil {
		return 0
	}
	return s.assembly.nextChunk
}

// RewindTo sets the Subscriber's position back to an earlier sequence.
func (s *Subscriber) RewindTo(applied uint64) { s.applied = applied }

// TrustPendingWatermark puts the pending watermark into effect at once.
func (s *Subscriber) TrustPendingWatermark() { s.watermark = s.pendingWatermark }

// ForgetHigherEpochs has the Subscriber forget that it has seen epochs above the given one.
func (s *Subscriber) ForgetHigherEpochs(epoch uint64) { s.highestEpoch = min(s.highestEpoch, epoch) }

// ResetCredits gives every subscriber its full credit.
func (d *Distributor) ResetCredits() {
	for _, sub := range d.subscriptions {
		sub.credit = sub.window
	}
}

// RemoveBacklogLimits has the Distributor retain all entries in its backlog.
func (d *Distributor) RemoveBacklogLimits() {
	d.settings.MaxBacklogEntries, d.settings.MaxBacklogBytes = 1<<30, 1<<30
}

// TreatBacklogAsComplete has the Distributor treat its backlog as if that began at the start of the stream.
func (d *Distributor) TreatBacklogAsComplete() { d.backlog.floor = 0 }
