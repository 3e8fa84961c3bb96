package distribution

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
)

// maxEntryCount bounds the number of entries that a frame may announce, so that a few bytes cannot reserve much memory.
const maxEntryCount = 1 << 20

// ErrMalformed is wrapped by every error of Decode.
var ErrMalformed = errors.New("distribution: malformed message")

// Decode decodes a frame. The message shares no memory with b. An error wraps ErrMalformed.
func Decode(b []byte) (Message, error) {
	r := &reader{remaining: b}
	kind, stream := r.byte(), Stream(r.byte())
	m := r.message(kind, stream)
	if r.failed || len(r.remaining) != 0 {
		return nil, fmt.Errorf("%w: kind %d, %d bytes", ErrMalformed, kind, len(b))
	}
	return m, nil
}

// reader reads the parts of a frame. After the first malformed part it returns zero values.
type reader struct {
	remaining []byte
	failed    bool
}

func (r *reader) message(kind byte, stream Stream) Message {
	switch kind {
	case wireSubscribe:
		return Subscribe{
			Stream: stream, Name: string(r.bytes()), Rank: r.int(),
			From: Position{Epoch: r.number(), Sequence: r.number()}, Credit: r.int(), ReceivedBytes: r.number(),
		}
	case wireCredit:
		return Credit{Stream: stream, Bytes: r.int()}
	case wireUnsubscribe:
		return Unsubscribe{Stream: stream}
	case wireBatch, wireAtomicBatch:
		m := Batch{Stream: stream, Atomic: kind == wireAtomicBatch, Epoch: r.number(), After: r.number()}
		m.Through = m.After + r.number()
		m.Watermark = r.watermark()
		m.Entries = r.entries(m.After, m.Watermark.At)
		return m
	case wireChunk:
		m := SnapshotChunk{Stream: stream, Epoch: r.number(), Through: r.number()}
		indexAndLast := r.int()
		m.Index, m.Last = indexAndLast>>1, indexAndLast&1 != 0
		m.Watermark = r.watermark()
		m.Entries = r.entries(0, m.Watermark.At)
		return m
	case wireHeartbeat:
		return Heartbeat{Stream: stream, Epoch: r.number(), Watermark: r.watermark()}
	case wireRejected:
		return Rejected{Stream: stream, Reason: RejectReason(r.byte()), RetryAfter: r.int()}
	default:
		r.fail()
		return nil
	}
}

func (r *reader) fail() { r.failed, r.remaining = true, nil }

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

// int reads a number that fits into 31 bits.
func (r *reader) int() int {
	n := r.number()
	if n > math.MaxInt32 {
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

// bytes reads a length and that many bytes. They share memory with the frame.
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
	if count > maxEntryCount || count > uint64(len(r.remaining)) { // each entry takes more than one byte
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
	e := Entry{
		Kind: Kind(first & entryKindMask), Sequence: after + r.number(), Name: string(r.bytes()), EffectiveAt: at - r.signed(),
	}
	e.GroupKnown = first&entryHasGroup != 0
	if hasGroup(e.Kind, e.GroupKnown) {
		e.Group = r.signed()
	}
	if first&entryHasExpiry != 0 {
		e.ExpiresAt = e.EffectiveAt + r.signed()
	}
	if first&entryHasVersion != 0 {
		e.Version = r.number()
	}
	if first&entryHasBody != 0 {
		e.Body = append([]byte(nil), r.bytes()...) // a copy, because the body outlives the frame
	}
	return e
}
