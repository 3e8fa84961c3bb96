package distribution

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Numbers of the messages on the wire: new ones are added behind.
const (
	wireSubscribe = iota + 1
	wireCredit
	wireLeave
	wireBatch
	wireChunk
	wireHeartbeat
	wireRefused
	wireWhole // a batch
)

// The first byte of an entry: its kind, and what follows.
const (
	kindBits  = 0x0f
	hasGroup  = 0x10
	hasUntil  = 0x20
	hasNumber = 0x40
	hasBody   = 0x80
)

// mostCount bounds what a count may say before its bytes were read, so that a few bytes reserve no memory.
const maxEntryCount = 1 << 20

// ErrForm is wrapped by every error of Decode.
var ErrMalformed = errors.New("distribution: not a message of this version")

// Encode makes a frame of a message. What has no meaning on the wire (an unknown type) makes none: nil.
func Encode(m Message) *Frame {
	var b []byte
	switch m := m.(type) {
	case Subscribe:
		b = append(b, wireSubscribe, byte(m.Stream))
		b = appendText(b, m.Name)
		b = appendNumbers(b, uint64(m.Rank), m.From.Epoch, m.From.Sequence, uint64(m.Credit), m.ReceivedBytes)
	case Credit:
		b = appendNumbers(append(b, wireCredit, byte(m.Stream)), uint64(m.Bytes))
	case Unsubscribe:
		b = append(b, wireLeave, byte(m.Stream))
	case Batch:
		b = make([]byte, 0, frameOverhead+sizeOf(m.Entries))
		kind := byte(wireBatch)
		if m.Atomic {
			kind = wireWhole
		}
		b = appendNumbers(append(b, kind, byte(m.Stream)), m.Epoch, m.After, m.Through-m.After)
		b = appendMark(b, m.Watermark)
		b = appendEntries(b, m.After, m.Watermark.At, m.Entries)
	case SnapshotChunk:
		last := uint64(0)
		if m.Last {
			last = 1
		}
		b = make([]byte, 0, frameOverhead+sizeOf(m.Entries))
		b = appendNumbers(append(b, wireChunk, byte(m.Stream)), m.Epoch, m.Through, uint64(m.Index)<<1|last)
		b = appendMark(b, m.Watermark)
		b = appendEntries(b, 0, m.Watermark.At, m.Entries)
	case Heartbeat:
		b = appendNumbers(append(b, wireHeartbeat, byte(m.Stream)), m.Epoch)
		b = appendMark(b, m.Watermark)
	case Rejected:
		b = append(b, wireRefused, byte(m.Stream), byte(m.Reason))
		b = appendNumbers(b, uint64(m.RetryAfter))
	default:
		return nil
	}
	return &Frame{Bytes: b}
}

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendMark(b []byte, w Watermark) []byte {
	return binary.AppendVarint(binary.AppendUvarint(b, w.Sequence), w.At)
}

// appendEntries writes sequences as steps from the one before, and times as differences: a purge is made little before
// the watermark, and binds for some minutes.
func appendEntries(b []byte, after uint64, at int64, entries []Entry) []byte {
	b = binary.AppendUvarint(b, uint64(len(entries)))
	for _, e := range entries {
		b = append(b, firstByte(e))
		b = binary.AppendUvarint(b, e.Sequence-after)
		after = e.Sequence
		b = appendText(b, e.Name)
		b = binary.AppendVarint(b, at-e.EffectiveAt)
		if carriesGroup(e.Kind, e.GroupKnown) {
			b = binary.AppendVarint(b, e.Group)
		}
		if e.ExpiresAt != 0 {
			b = binary.AppendVarint(b, e.ExpiresAt-e.EffectiveAt)
		}
		if e.Version != 0 {
			b = binary.AppendUvarint(b, e.Version)
		}
		if len(e.Body) != 0 {
			b = append(binary.AppendUvarint(b, uint64(len(e.Body))), e.Body...)
		}
	}
	return b
}

// named tells whether an entry of a kind has a group with it.
func carriesGroup(k Kind, grouped bool) bool { return grouped || k == PurgeGroup }

func firstByte(e Entry) byte {
	first := byte(e.Kind) & kindBits
	if e.GroupKnown {
		first |= hasGroup
	}
	if e.ExpiresAt != 0 {
		first |= hasUntil
	}
	if e.Version != 0 {
		first |= hasNumber
	}
	if len(e.Body) != 0 {
		first |= hasBody
	}
	return first
}

// frameOverhead is more than all of a batch or chunk beside its entries: two bytes, and eight numbers of ten at most.
const frameOverhead = 2 + 8*binary.MaxVarintLen64

// Bounds of the numbers of one entry, in bytes. Sequences that follow each other closely and times within some years of
// the watermark, which is what is sent, take no more; Encode reserves with them and grows where they are passed.
const (
	sizeSequence = 5
	sizeTime     = 6
	sizeNumber   = binary.MaxVarintLen64
)

// EncodedSize is what an entry takes in a batch or chunk, at most.
func EncodedSize(e Entry) int {
	size := 1 + sizeSequence + sizeLength(len(e.Name)) + len(e.Name) + sizeTime
	if carriesGroup(e.Kind, e.GroupKnown) {
		size += sizeOfVarint(e.Group)
	}
	if e.ExpiresAt != 0 {
		size += sizeTime
	}
	if e.Version != 0 {
		size += sizeNumber
	}
	if len(e.Body) != 0 {
		size += sizeLength(len(e.Body)) + len(e.Body)
	}
	return size
}

func sizeLength(n int) int {
	size := 1
	for ; n >= 0x80; n >>= 7 {
		size++
	}
	return size
}

func sizeOfVarint(n int64) int {
	return len(binary.AppendVarint(make([]byte, 0, binary.MaxVarintLen64), n))
}

func sizeOf(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += EncodedSize(e)
	}
	return size
}

// reader takes a frame apart; after the first thing that does not fit, all that it reads is zero.
type reader struct {
	remaining []byte
	failed    bool
}

func (r *reader) number() uint64 {
	n, size := binary.Uvarint(r.remaining)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.remaining = r.remaining[size:]
	return n
}

func (r *reader) signed() int64 {
	n, size := binary.Varint(r.remaining)
	if size <= 0 {
		r.fail()
		return 0
	}
	r.remaining = r.remaining[size:]
	return n
}

func (r *reader) fail() { r.failed, r.remaining = true, nil }

func (r *reader) small() int {
	n := r.number()
	if n > 1<<31-1 {
		r.fail()
		return 0
	}
	return int(n)
}

func (r *reader) byte() byte {
	if len(r.remaining) == 0 {
		r.fail()
		return 0
	}
	b := r.remaining[0]
	r.remaining = r.remaining[1:]
	return b
}

func (r *reader) bytes() []byte {
	n := r.number()
	if n > uint64(len(r.remaining)) {
		r.fail()
		return nil
	}
	b := r.remaining[:n:n]
	r.remaining = r.remaining[n:]
	return b
}

func (r *reader) watermark() Watermark { return Watermark{Sequence: r.number(), At: r.signed()} }

func (r *reader) entries(after uint64, at int64) []Entry {
	count := r.number()
	if count > maxEntryCount || count > uint64(len(r.remaining)) { // an entry has more than a byte
		r.fail()
		return nil
	}
	if count == 0 {
		return nil
	}
	entries := make([]Entry, 0, min(count, uint64(len(r.remaining)/4+1)))
	for range count {
		e := r.entry(after, at)
		if r.failed {
			return nil
		}
		after = e.Sequence
		entries = append(entries, e)
	}
	return entries
}

func (r *reader) entry(after uint64, at int64) Entry {
	first := r.byte()
	e := Entry{Kind: Kind(first & kindBits), Sequence: after + r.number(), Name: string(r.bytes()), EffectiveAt: at - r.signed()}
	e.GroupKnown = first&hasGroup != 0
	if carriesGroup(e.Kind, e.GroupKnown) {
		e.Group = r.signed()
	}
	if first&hasUntil != 0 {
		e.ExpiresAt = e.EffectiveAt + r.signed()
	}
	if first&hasNumber != 0 {
		e.Version = r.number()
	}
	if first&hasBody != 0 {
		e.Body = append([]byte(nil), r.bytes()...) // what stays for long does not hold the frame
	}
	return e
}

// Decode reads a frame. What it returns shares no memory with b.
func Decode(b []byte) (Message, error) {
	r := &reader{remaining: b}
	kind, stream := r.byte(), Stream(r.byte())
	var m Message
	switch kind {
	case wireSubscribe:
		m = Subscribe{Stream: stream, Name: string(r.bytes()), Rank: r.small(),
			From: Position{Epoch: r.number(), Sequence: r.number()}, Credit: r.small(), ReceivedBytes: r.number()}
	case wireCredit:
		m = Credit{Stream: stream, Bytes: r.small()}
	case wireLeave:
		m = Unsubscribe{Stream: stream}
	case wireBatch, wireWhole:
		x := Batch{Stream: stream, Atomic: kind == wireWhole, Epoch: r.number(), After: r.number()}
		x.Through = x.After + r.number()
		x.Watermark = r.watermark()
		x.Entries = r.entries(x.After, x.Watermark.At)
		m = x
	case wireChunk:
		x := SnapshotChunk{Stream: stream, Epoch: r.number(), Through: r.number()}
		place := r.small()
		x.Index, x.Last = place>>1, place&1 != 0
		x.Watermark = r.watermark()
		x.Entries = r.entries(0, x.Watermark.At)
		m = x
	case wireHeartbeat:
		m = Heartbeat{Stream: stream, Epoch: r.number(), Watermark: r.watermark()}
	case wireRefused:
		m = Rejected{Stream: stream, Reason: RejectReason(r.byte()), RetryAfter: r.small()}
	default:
		r.fail()
	}
	if r.failed || len(r.remaining) != 0 {
		return nil, fmt.Errorf("%w: kind %d, %d bytes", ErrMalformed, kind, len(b))
	}
	return m, nil
}
