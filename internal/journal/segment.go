package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A segment is a header followed by records:
//
//	header  magic:8 first:8 crc:4 zero:4          first: number of its first record
//	record  crc:4 length:4 number:8 batch:8 payload
//
// Numbers are little-endian. A checksum is the CRC-32C (Castagnoli) of the bytes that follow it in a record, and of the bytes that
// precede it in the header. batch is the number of the first record that was synced together with this one.
const (
	segmentMagic     = "RWJRNL01"
	firstOffset      = 8  // offset of the field first in the header, in bytes
	headerSize       = 24 // bytes
	recordHeaderSize = 24 // bytes
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendHeader(b []byte, first uint64) []byte {
	start := len(b)
	b = append(b, segmentMagic...)
	b = binary.LittleEndian.AppendUint64(b, first)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], castagnoli))
	return append(b, 0, 0, 0, 0)
}

// readHeader returns the number of a segment's first record. ok is false if the header is incomplete or damaged.
func readHeader(b []byte) (first uint64, ok bool) {
	if len(b) < headerSize || string(b[:firstOffset]) != segmentMagic || crc32.Checksum(b[:16], castagnoli) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, false
	}
	return binary.LittleEndian.Uint64(b[firstOffset:]), true
}

func appendRecord(b []byte, number, batch uint64, payload []byte) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, batch)
	b = append(b, payload...)
	binary.LittleEndian.PutUint32(b[start:], crc32.Checksum(b[start+4:], castagnoli))
	return b
}

// readRecord reads the record at the start of b. size is the record's length in bytes, 0 if there is no intact record.
func readRecord(b []byte) (number, batch uint64, payload []byte, size int) {
	if len(b) < recordHeaderSize {
		return 0, 0, nil, 0
	}
	length := int(binary.LittleEndian.Uint32(b[4:]))
	size = recordHeaderSize + length
	if length > MaxRecordSize || size > len(b) || crc32.Checksum(b[4:size], castagnoli) != binary.LittleEndian.Uint32(b) {
		return 0, 0, nil, 0
	}
	return binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), b[recordHeaderSize:size], size
}

// ErrDamaged means that acknowledged data can't be read any more. errors.Is reports each DamageError as ErrDamaged.
var ErrDamaged = errors.New("journal: damaged")

// DamageError describes where a file is damaged, and how the damage was found.
type DamageError struct {
	File   string
	Offset int64 // in bytes
	Reason string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", e.File, e.Offset, e.Reason)
}

// Is makes errors.Is report each DamageError as ErrDamaged.
func (e *DamageError) Is(err error) bool { return err == ErrDamaged }

// scan calls visit for every record of a segment. It returns the offset just after the last intact record, and the number that the
// next record must have. Unreadable bytes at the end of the last segment are a torn write, which was never acknowledged. Unreadable
// bytes anywhere else, or before a later batch, which proves that they were synced, are damage.
func scan(name string, b []byte, last bool, visit func(number uint64, payload []byte) error) (end int, next uint64, err error) {
	first, ok := readHeader(b)
	if !ok {
		return 0, 0, &DamageError{name, 0, "its header can't be read"}
	}
	end, next = headerSize, first
	for end < len(b) {
		number, _, payload, size := readRecord(b[end:])
		if size == 0 || number != next {
			break
		}
		if err := visit(number, payload); err != nil {
			return end, next, fmt.Errorf("%s: record %d at offset %d: %w", name, number, end, err)
		}
		end, next = end+size, next+1
	}
	if end == len(b) {
		return end, next, nil
	}
	if !last {
		return end, next, &DamageError{name, int64(end), fmt.Sprintf("record %d can't be read, but another segment follows", next)}
	}
	if later, found := findLaterBatch(b, end, next); found {
		return end, next, &DamageError{name, int64(end), fmt.Sprintf("record %d can't be read, but the later record %d can", next, later)}
	}
	return end, next, nil
}

// findLaterBatch searches the bytes after the unreadable record next, which is at offset end, for an intact record of a later
// batch. A batch is written only after the batch before it was synced, so such a record proves that record next was on disk.
// number is that of the record found.
func findLaterBatch(b []byte, end int, next uint64) (number uint64, found bool) {
	for at := end + 1; at+recordHeaderSize <= len(b); at++ {
		number := binary.LittleEndian.Uint64(b[at+8:])
		batch := binary.LittleEndian.Uint64(b[at+16:])
		if number < next || number-next > uint64(len(b)) || batch > number || batch <= next {
			continue // no such record begins here, so the checksum need not be computed
		}
		if _, _, _, size := readRecord(b[at:]); size > 0 {
			return number, true
		}
	}
	return 0, false
}
