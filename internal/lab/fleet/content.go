// Package fleet stands in for what a proxy balances: caches that keep, fill and purge, parents, and an origin that
// runs writes. It speaks the upstream side of the platform's protocol on loopback sockets and writes down what every
// server saw, so that rules are checked against what arrived and not against what the proxy says of itself.
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

// Groups is how many groups of objects there are.
const Groups = 256

// Group is an object's purge group.
func Group(object string) int { return int(xxhash.Sum64String(object) % Groups) }

// Content are the bytes of a part as the origin made it at a time: a line that names them, noise, and a sum. Length
// varies from 1 to 24 KB, by the part.
func Content(object string, part int, stamp float64) []byte {
	seed := xxhash.Sum64String(object + "/" + strconv.Itoa(part))
	rng := rand.New(rand.NewPCG(seed, uint64(stamp)))
	size := 1024 + int(seed%(23<<10))
	b := fmt.Appendf(make([]byte, 0, size+16), "%s %d %.0f\n", object, part, stamp)
	for len(b) < size {
		b = binary.LittleEndian.AppendUint64(b, rng.Uint64())
	}
	return binary.LittleEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
}

// Check holds the bytes that a client got against what it asked for. It returns when the origin made them, in Unix ms.
func Check(b []byte, object string, part int) (stamp float64, err error) {
	line, _, found := bytes.Cut(b, []byte("\n"))
	words := bytes.Fields(line)
	if !found || len(words) != 3 || len(b) < 4 {
		return 0, fmt.Errorf("%d bytes that no server made", len(b))
	}
	if string(words[0]) != object || string(words[1]) != strconv.Itoa(part) {
		return 0, fmt.Errorf("part %s of %s came for part %d of %s", words[1], words[0], part, object)
	}
	end := len(b) - 4
	if crc32.ChecksumIEEE(b[:end]) != binary.LittleEndian.Uint32(b[end:]) {
		return 0, fmt.Errorf("part %d of %s is not whole", part, object)
	}
	return strconv.ParseFloat(string(words[2]), 64)
}
