package recovery

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the first byte of each encoding. Code that writes a later version must still read the earlier ones.
const formatVersion = 1

// ErrUnknownFormat is the error of decoding bytes that are empty or have a format version that this code does not support.
var ErrUnknownFormat = errors.New("recovery: unknown format version")

// decodeMode limits the array, map and nesting sizes that untrusted bytes may declare, and rejects duplicate map keys.
var decodeMode = must(cbor.DecOptions{
	MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF,
}.DecMode())

// encodeMode is the core deterministic encoding of RFC 8949, section 4.2.
var encodeMode = must(cbor.CoreDetEncOptions().EncMode())

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns the event as its format version followed by CBOR.
func (e Event) Encode() ([]byte, error) { return encode(e) }

// DecodeEvent decodes what Event.Encode returned. It returns ErrUnknownFormat, ErrInvalidEvent or a CBOR error.
func DecodeEvent(b []byte) (e Event, err error) {
	if err := decode(b, &e); err != nil {
		return e, err
	}
	return e, e.validate()
}

// snapshot is the encoded form of a State.
type snapshot struct {
	LatestTime   float64  `cbor:"1,keyasint"`
	Boots        int      `cbor:"2,keyasint"`
	Revision     uint64   `cbor:"3,keyasint"`
	Purges       []Purge  `cbor:"4,keyasint"`
	Members      []Member `cbor:"5,keyasint"`
	Lists        []List   `cbor:"6,keyasint"`
	ManualDrains []uint64 `cbor:"7,keyasint,omitempty"`
	Epoch        float64  `cbor:"8,keyasint,omitempty"`
}

// Encode returns the whole state as its format version followed by CBOR. Equal states have equal encodings.
func (s *State) Encode() ([]byte, error) {
	return encode(snapshot{
		LatestTime: s.LatestTime, Boots: s.Boots, Revision: s.Revision, Purges: s.Purges(), Members: s.Members(), Lists: s.Lists(),
		ManualDrains: s.drainedManually(), Epoch: s.Epoch,
	})
}

// DecodeState decodes what State.Encode returned. It returns ErrUnknownFormat, ErrInvalidEvent or a CBOR error.
func DecodeState(b []byte) (*State, error) {
	var snap snapshot
	if err := decode(b, &snap); err != nil {
		return nil, err
	}
	s := NewState()
	for i := range snap.Purges {
		s.Apply(Event{Purge: &snap.Purges[i]})
	}
	for i := range snap.Members {
		e := Event{Member: &snap.Members[i]}
		if err := e.validate(); err != nil {
			return nil, err
		}
		s.Apply(e)
	}
	for i := range snap.Lists {
		s.Apply(Event{List: &snap.Lists[i]})
	}
	for _, id := range snap.ManualDrains {
		s.manualDrains[id] = true
	}
	s.LatestTime, s.Boots, s.Revision, s.Epoch = snap.LatestTime, snap.Boots, snap.Revision, snap.Epoch
	return s, nil
}

func encode(v any) ([]byte, error) {
	b, err := encodeMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("recovery: encode: %w", err)
	}
	return append([]byte{formatVersion}, b...), nil
}

func decode(b []byte, v any) error {
	if len(b) == 0 || b[0] != formatVersion {
		return ErrUnknownFormat
	}
	if err := decodeMode.Unmarshal(b[1:], v); err != nil {
		return fmt.Errorf("recovery: decode: %w", err)
	}
	return nil
}
