package distribution

import "encoding/binary"

// Values of a frame's first byte: the kind of the message. The numbers are on the wire: new ones are appended.
const (
	wireSubscribe = iota + 1
	wireCredit
	wireUnsubscribe
	wireBatch
	wireChunk
	wireHeartbeat
	wireRejected
	wireAtomicBatch
)

// Bits of an entry's first byte: its kind, and which optional fields follow.
const (
	entryKindMask   = 0x0f
	entryHasGroup   = 0x10
	entryHasExpiry  = 0x20
	entryHasVersion = 0x40
	entryHasBody    = 0x80
)

// Encode encodes a message. It returns nil for a type that has no encoding.
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
		b = append(b, wireUnsubscribe, byte(m.Stream))
	case Batch:
		b = encodeBatch(m)
	case SnapshotChunk:
		b = encodeChunk(m)
	case Heartbeat:
		b = appendNumbers(append(b, wireHeartbeat, byte(m.Stream)), m.Epoch)
		b = appendWatermark(b, m.Watermark)
	case Rejected:
		b = append(b, wireRejected, byte(m.Stream), byte(m.Reason))
		b = appendNumbers(b, uint64(m.RetryAfter))
	default:
		return nil
	}
	return &Frame{Bytes: b}
}

func encodeBatch(m Batch) []byte {
	kind := byte(wireBatch)
	if m.Atomic {
		kind = wireAtomicBatch
	}
	b := make([]byte, 0, frameOverhead+sizeOf(m.Entries))
	b = appendNumbers(append(b, kind, byte(m.Stream)), m.Epoch, m.After, m.Through-m.After)
	b = appendWatermark(b, m.Watermark)
	return appendEntries(b, m.After, m.Watermark.At, m.Entries)
}

// encodeChunk encodes a chunk. One number holds its index, and in the lowest bit whether it is the last one.
func encodeChunk(m SnapshotChunk) []byte {
	lastBit := uint64(0)
	if m.Last {
		lastBit = 1
	}
	b := make([]byte, 0, frameOverhead+sizeOf(m.Entries))
	b = appendNumbers(append(b, wireChunk, byte(m.Stream)), m.Epoch, m.Through, uint64(m.Index)<<1|lastBit)
	b = appendWatermark(b, m.Watermark)
	return appendEntries(b, 0, m.Watermark.At, m.Entries)
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

func appendWatermark(b []byte, w Watermark) []byte {
	return binary.AppendVarint(binary.AppendUvarint(b, w.Sequence), w.At)
}

// appendEntries encodes sequences as differences from the previous one, and times as differences from the watermark's time at, which
// are small: a purge is issued shortly before the watermark, and expires after some minutes.
func appendEntries(b []byte, after uint64, at int64, entries []Entry) []byte {
	b = binary.AppendUvarint(b, uint64(len(entries)))
	for _, e := range entries {
		b = append(b, firstByte(e))
		b = binary.AppendUvarint(b, e.Sequence-after)
		after = e.Sequence
		b = appendText(b, e.Name)
		b = binary.AppendVarint(b, at-e.EffectiveAt)
		if hasGroup(e.Kind, e.GroupKnown) {
			b = binary.AppendVarint(b, e.Group)
		}
		if e.ExpiresAt != noExpiry {
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

// hasGroup reports whether the group of an entry is encoded.
func hasGroup(k Kind, groupKnown bool) bool { return groupKnown || k == PurgeGroup }

func firstByte(e Entry) byte {
	first := byte(e.Kind) & entryKindMask
	if e.GroupKnown {
		first |= entryHasGroup
	}
	if e.ExpiresAt != noExpiry {
		first |= entryHasExpiry
	}
	if e.Version != 0 {
		first |= entryHasVersion
	}
	if len(e.Body) != 0 {
		first |= entryHasBody
	}
	return first
}

// frameOverhead bounds the bytes of a batch or chunk beside its entries: two bytes, and eight numbers of ten bytes at most.
const frameOverhead = 2 + 8*binary.MaxVarintLen64

// Maximum sizes of the numbers of one entry, in bytes. They hold for sequences that follow each other closely, and for times within some
// years of the watermark, as in the entries that are sent. Encode reserves memory by them, and reserves more if an entry is larger.
const (
	sequenceSize = 5
	timeSize     = 6
	versionSize  = binary.MaxVarintLen64
)

// EncodedSize returns the maximum number of bytes that an entry takes in a batch or chunk.
func EncodedSize(e Entry) int {
	size := 1 + sequenceSize + lengthSize(len(e.Name)) + len(e.Name) + timeSize
	if hasGroup(e.Kind, e.GroupKnown) {
		size += varintSize(e.Group)
	}
	if e.ExpiresAt != noExpiry {
		size += timeSize
	}
	if e.Version != 0 {
		size += versionSize
	}
	if len(e.Body) != 0 {
		size += lengthSize(len(e.Body)) + len(e.Body)
	}
	return size
}

func lengthSize(n int) int {
	size := 1
	for ; n >= 0x80; n >>= 7 {
		size++
	}
	return size
}

func varintSize(n int64) int {
	return len(binary.AppendVarint(make([]byte, 0, binary.MaxVarintLen64), n))
}

func sizeOf(entries []Entry) int {
	size := 0
	for _, e := range entries {
		size += EncodedSize(e)
	}
	return size
}
