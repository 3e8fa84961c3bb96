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
	"ravenwheel/internal/memory"
	"ravenwheel/policy"
)

// A frame is, in big-endian order: the length of what follows (4 bytes), the revision (8), the kind (1) and the payload.
// The client itself sends only the last revision that it has received, in 8 bytes, at the start of a connection.

// The kinds of frame. Later versions of the protocol may add others, whose payload is ignored.
const (
	kindHeartbeat = iota
	kindSnapshot  // the complete server list, as records
	kindDelta     // the servers that have changed, as records
	kindPurgeObject
	kindPurgeGroup
)

// Lengths in bytes.
const (
	lengthSize      = 4
	frameHeaderSize = 13      // length, revision and kind
	countedHeader   = 9       // revision and kind: the part of the header that is included in the length field
	maxFrameSize    = 1 << 20 // the largest value of the length field
	recordSize      = 27
	// memberBytes is the memory of one server of an event, with its address.
	memberBytes = 160
	// firstPayloadSize is the least capacity of the buffer for a larger payload.
	firstPayloadSize = 16 << 10
	purgeObjectSize  = 16 // object and time, 8 bytes each
	purgeGroupSize   = 10 // group, 2 bytes, and time, 8 bytes
)

// errMalformedFrame ends a call, as the rest of the stream can't be decoded.
var errMalformedFrame = errors.New("malformed discovery frame")

// recordStates has the state for each state number in a record.
var recordStates = []policy.State{policy.Ready, policy.Draining, policy.Gone}

// readFrame reads one frame. It calls onSize with the frame's total size, in bytes, once that is known. What it stores of the frame,
// and the event's servers, are added to held.
func readFrame(r io.Reader, onSize func(size int), held *memory.Reservation) (e Event, kind byte, err error) {
	var header [frameHeaderSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return e, 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	e.Revision, kind = binary.BigEndian.Uint64(header[lengthSize:]), header[frameHeaderSize-1]
	if size < countedHeader || size > maxFrameSize {
		return e, kind, errMalformedFrame
	}
	onSize(int(size) + lengthSize)
	payload, err := readPayload(r, int(size-countedHeader), held)
	if err != nil {
		return e, kind, err
	}
	held.Grow(int64(len(payload) / recordSize * memberBytes))
	return e, kind, e.decodePayload(kind, payload)
}

// readPayload reads a frame's payload. The buffer grows as bytes arrive, so that a declared size alone allocates little.
func readPayload(r io.Reader, size int, held *memory.Reservation) (payload []byte, err error) {
	for len(payload) < size {
		if len(payload) == cap(payload) {
			grown := make([]byte, len(payload), min(size, max(firstPayloadSize, 2*len(payload))))
			held.Grow(int64(cap(grown) - cap(payload)))
			copy(grown, payload)
			payload = grown
		}
		n, err := r.Read(payload[len(payload):cap(payload)])
		payload = payload[:len(payload)+n]
		switch {
		case len(payload) == size:
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
	}
	return payload, nil
}

// decodePayload sets the fields of an event from the payload of its frame. An unknown kind sets none.
func (e *Event) decodePayload(kind byte, payload []byte) error {
	u64 := binary.BigEndian.Uint64
	switch {
	case (kind == kindSnapshot || kind == kindDelta) && len(payload)%recordSize == 0:
		e.Complete = kind == kindSnapshot
		for ; len(payload) > 0; payload = payload[recordSize:] {
			m, err := decodeRecord(payload)
			if err != nil {
				return err
			}
			e.Members = append(e.Members, m)
		}
	case kind == kindPurgeObject && len(payload) == purgeObjectSize:
		object, at := fmt.Sprintf("%016x", u64(payload)), float64(u64(payload[8:]))
		e.Purge = &core.Purge{Object: object, Group: -1, At: at + core.TimestampResolution}
	case kind == kindPurgeGroup && len(payload) == purgeGroupSize:
		group, at := binary.BigEndian.Uint16(payload), float64(u64(payload[2:]))
		e.Purge = &core.Purge{Group: int(group), At: at + core.TimestampResolution}
	case kind == kindHeartbeat || kind > kindPurgeGroup:
	default:
		return errMalformedFrame
	}
	return nil
}

// decodeRecord decodes a server: id (4 bytes), IPv4 address (4), port (2), state (1), zone (1), kind (1), cell (2),
// weight in thousandths (4) and start in Unix ms (8).
func decodeRecord(b []byte) (m core.Member, err error) {
	if int(b[10]) >= len(recordStates) {
		return m, errMalformedFrame
	}
	m.ID = policy.ServerID(binary.BigEndian.Uint32(b))
	m.Addr = net.JoinHostPort(net.IP(b[4:8]).String(), strconv.Itoa(int(binary.BigEndian.Uint16(b[8:]))))
	m.State, m.Zone, m.Kind = recordStates[b[10]], int(b[11]), int(b[12])
	m.Cell = int(binary.BigEndian.Uint16(b[13:]))
	m.Weight = float64(binary.BigEndian.Uint32(b[15:])) / 1000
	m.Started = policy.Time(binary.BigEndian.Uint64(b[19:])) * policy.Time(time.Millisecond)
	return m, nil
}
