package discoveryclient

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"ravenwheel/internal/core"
	"ravenwheel/policy"
)

// The kinds of frame.
const (
	kindNothing = iota
	kindWhole
	kindChanges
	kindObject
	kindGroup
)

const (
	recordLen = 27
	mostFrame = 1 << 20
)

var errFrame = errors.New("board: a frame can't be read")

// frameHead is the length of what stands before a frame's payload, and numberLen that of what its length counts of it.
const frameHead, numberLen = 13, 9

// readFrame reads one frame. expect is told how long it is, once that is known.
func readFrame(r io.Reader, expect func(size int)) (n Event, kind byte, err error) {
	var head [frameHead]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return n, 0, err
	}
	size := binary.BigEndian.Uint32(head[:])
	n.Revision, kind = binary.BigEndian.Uint64(head[4:]), head[12]
	if size < numberLen || size > mostFrame {
		return n, kind, errFrame
	}
	expect(int(size) + frameHead - numberLen)
	b := make([]byte, size-numberLen)
	if _, err := io.ReadFull(r, b); err != nil {
		return n, kind, err
	}
	u64 := binary.BigEndian.Uint64
	switch {
	case (kind == kindWhole || kind == kindChanges) && len(b)%recordLen == 0:
		n.Complete = kind == kindWhole
		for ; len(b) > 0; b = b[recordLen:] {
			m, err := record(b)
			if err != nil {
				return n, kind, err
			}
			n.Members = append(n.Members, m)
		}
	case kind == kindObject && len(b) == 16:
		n.Purge = &core.Purge{Object: fmt.Sprintf("%016x", u64(b)), Group: -1, At: float64(u64(b[8:])) + core.TimestampResolution}
	case kind == kindGroup && len(b) == 10:
		n.Purge = &core.Purge{Group: int(binary.BigEndian.Uint16(b)), At: float64(u64(b[2:])) + core.TimestampResolution}
	case kind > kindGroup || kind == kindNothing: // of a later version, or nothing new
	default:
		return n, kind, errFrame
	}
	return n, kind, nil
}

func record(b []byte) (m core.Member, err error) {
	if int(b[10]) >= len(states) {
		return m, errFrame
	}
	m.ID = policy.CacheID(binary.BigEndian.Uint32(b))
	m.Addr = net.JoinHostPort(net.IP(b[4:8]).String(), strconv.Itoa(int(binary.BigEndian.Uint16(b[8:]))))
	m.State, m.Zone, m.Kind = states[b[10]], int(b[11]), int(b[12])
	m.Cell = int(binary.BigEndian.Uint16(b[13:]))
	m.Weight = float64(binary.BigEndian.Uint32(b[15:])) / 1000
	m.Started = policy.Time(binary.BigEndian.Uint64(b[19:])) * policy.Time(time.Millisecond)
	return m, nil
}
