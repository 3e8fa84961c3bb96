package fleet

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// GroupCount is the number of purge groups.
const GroupCount = 256

// Group returns the purge group of an object, from 0 to GroupCount-1.
func Group(object string) int { return int(xxhash.Sum64String(object) % GroupCount) }

// Content returns the bytes of a part as the origin creates them at the time stamp (Unix ms): a first line with the object, the
// part and the stamp, then pseudo-random bytes, then a CRC-32 checksum. The length depends on the part, from 1 to 24 KB.
func Content(object string, part int, stamp float64) []byte { return contentOf(object, part, stamp, 0) }

// contentOf returns content of at least minBytes.
func contentOf(object string, part int, stamp float64, minBytes int) []byte {
	seed := xxhash.Sum64String(object + "/" + strconv.Itoa(part))
	rng := rand.New(rand.NewPCG(seed, uint64(stamp)))
	size := max(minBytes, 1024+int(seed%(23<<10)))
	b := fmt.Appendf(make([]byte, 0, size+16), "%s %d %.0f\n", object, part, stamp)
	for len(b) < size {
		b = binary.LittleEndian.AppendUint64(b, rng.Uint64())
	}
	return binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
}

// CheckContent verifies that a body is the content of the part that a client requested. It returns the time at which the origin
// created the content, in Unix ms.
func CheckContent(b []byte, object string, part int) (stamp float64, err error) {
	line, _, found := bytes.Cut(b, []byte("\n"))
	labels := bytes.Fields(line)
	if !found || len(labels) != 3 || len(b) < 4 {
		return 0, fmt.Errorf("body of %d bytes is not the content of any part", len(b))
	}
	if string(labels[0]) != object || string(labels[1]) != strconv.Itoa(part) {
		return 0, fmt.Errorf("received part %s of %s instead of part %d of %s", labels[1], labels[0], part, object)
	}
	end := len(b) - 4
	if crc32.ChecksumIEEE(b[:end]) != binary.LittleEndian.Uint32(b[end:]) {
		return 0, fmt.Errorf("part %d of %s is incomplete or corrupt", part, object)
	}
	return strconv.ParseFloat(string(labels[2]), 64)
}
