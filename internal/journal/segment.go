package journal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A segment is a header and records, one behind the other:
//
//	header  magic:8 first:8 crc:4 zero:4          first: number of its first record
//	record  crc:4 length:4 number:8 batch:8 payload
//
// All numbers are little-endian; crc is CRC-32C (Castagnoli) of what follows it in the record, or of what stands before
// it in the header. batch is the number of the first record that was synced together with this one.
const (
	magic      = "RWJRNL01"
	headLen    = 24
	recordHead = 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendHeader(b []byte, first uint64) []byte {
	at := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint64(b, first)
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[at:], castagnoli))
	return append(b, 0, 0, 0, 0)
}

// readHeader reads a segment's first number; ok is false if the header is not whole.
func readHeader(b []byte) (first uint64, ok bool) {
	if len(b) < headLen || string(b[:8]) != magic || crc32.Checksum(b[:16], castagnoli) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, false
	}
	return binary.LittleEndian.Uint64(b[8:]), true
}

func appendRecord(b []byte, number, batch uint64, payload []byte) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, number)
	b = binary.LittleEndian.AppendUint64(b, batch)
	b = append(b, payload...)
	binary.LittleEndian.PutUint32(b[at:], crc32.Checksum(b[at+4:], castagnoli))
	return b
}

// readRecord reads the record at the start of b; size is 0 if none can be read there.
func readRecord(b []byte) (number, batch uint64, payload []byte, size int) {
	if len(b) < recordHead {
		return 0, 0, nil, 0
	}
	n := int(binary.LittleEndian.Uint32(b[4:]))
	if n > MostRecord || recordHead+n > len(b) || crc32.Checksum(b[4:recordHead+n], castagnoli) != binary.LittleEndian.Uint32(b) {
		return 0, 0, nil, 0
	}
	return binary.LittleEndian.Uint64(b[8:]), binary.LittleEndian.Uint64(b[16:]), b[recordHead : recordHead+n], recordHead + n
}

// ErrDamaged says that what was acknowledged can't be read any more.
var ErrDamaged = errors.New("journal: damaged")

// Damage is where, and how it shows.
type Damage struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (d *Damage) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s", d.File, d.Offset, d.Reason)
}

// Is makes a Damage an ErrDamaged.
func (d *Damage) Is(err error) bool { return err == ErrDamaged }

// scan reads the records of a segment from number next on, and calls each for every one. It returns where the last
// good record ends and the number that is due after it. What can't be read at the end of the last segment was torn: it
// was never acknowledged. Anywhere else, and where a later batch proves that the bytes were synced, it is damage.
func scan(name string, b []byte, last bool, each func(number uint64, payload []byte) error) (end int, next uint64, err error) {
	first, ok := readHeader(b)
	if !ok {
		return 0, 0, &Damage{name, 0, "its header can't be read"}
	}
	end, next = headLen, first
	for end < len(b) {
		number, _, payload, size := readRecord(b[end:])
		if size == 0 || number != next {
			break
		}
		if err := each(number, payload); err != nil {
			return end, next, fmt.Errorf("%s: record %d at offset %d: %w", name, number, end, err)
		}
		end, next = end+size, next+1
	}
	if end == len(b) {
		return end, next, nil
	}
	if !last {
		return end, next, &Damage{name, int64(end), fmt.Sprintf("record %d can't be read, and another segment follows", next)}
	}
	// A batch is begun once the one before it is synced: a record of a later batch proves that this place was good.
	for at := end + 1; at+recordHead <= len(b); at++ {
		number := binary.LittleEndian.Uint64(b[at+8:])
		batch := binary.LittleEndian.Uint64(b[at+16:])
		if number < next || number-next > uint64(len(b)) || batch > number || batch <= next {
			continue // no record that could stand here: its sum need not be taken
		}
		if _, _, _, size := readRecord(b[at:]); size > 0 {
			return end, next, &Damage{name, int64(end), fmt.Sprintf("record %d can't be read, and record %d behind it can", next, number)}
		}
	}
	return end, next, nil
}
