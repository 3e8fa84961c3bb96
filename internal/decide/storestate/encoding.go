package storestate

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// formatVersion is the first byte of an encoding. Version 0 has no such byte: it was JSON and begins with a brace; see legacy.go.
const formatVersion = 1

// ErrUnknownFormat means that an encoding is empty, or has a format version that this version of the proxy does not support.
var ErrUnknownFormat = errors.New("storestate: unknown format version")

var (
	// encodeMode is the core deterministic encoding of RFC 8949, section 4.2: equal values have equal encodings.
	encodeMode = must(cbor.CoreDetEncOptions().EncMode())
	// decodeMode limits the sizes and the nesting that untrusted input may declare.
	decodeMode = must(cbor.DecOptions{MaxArrayElements: 1 << 22, MaxMapPairs: 1 << 22, MaxNestedLevels: 8}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode returns a Change, a Result or a State as its format version followed by CBOR. Equal values have equal encodings.
func Encode(v any) ([]byte, error) {
	b, err := encodeMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("storestate: encode: %w", err)
	}
	return append([]byte{formatVersion}, b...), nil
}

// DecodeChange decodes a change of this format version or an earlier one. Its errors are ErrUnknownFormat and those of the CBOR and
// JSON decoders.
func DecodeChange(b []byte) (c Change, err error) {
	if isLegacy(b) {
		return decodeLegacyChange(b)
	}
	err = decode(b, &c)
	return c, err
}

// DecodeState decodes a state of this format version or an earlier one. Its errors are ErrUnknownFormat and those of the CBOR and
// JSON decoders.
func DecodeState(b []byte) (*State, error) {
	if isLegacy(b) {
		return decodeLegacyState(b)
	}
	s := New()
	if err := decode(b, s); err != nil {
		return nil, err
	}
	s.replaceNilMaps()
	s.resultsByID = map[string]Result{}
	for _, r := range s.Results {
		s.resultsByID[r.ID] = r.Result
	}
	s.rebuildExpiry()
	return s, nil
}

// replaceNilMaps replaces nil maps by empty ones. An encoding may hold null for a map, and writing to a nil map panics.
func (s *State) replaceNilMaps() {
	empty := New()
	for _, m := range []*map[string]float64{&s.RedeemedTokens, &s.RevokedTokens, &s.Drains} {
		if *m == nil {
			*m = map[string]float64{}
		}
	}
	if s.Keys == nil {
		s.Keys = empty.Keys
	}
	if s.Lists == nil {
		s.Lists = empty.Lists
	}
	if s.Purges == nil {
		s.Purges = empty.Purges
	}
	if s.FactIndexes == nil {
		s.FactIndexes = empty.FactIndexes
	}
}

func decode(b []byte, v any) error {
	if len(b) == 0 || b[0] != formatVersion {
		return ErrUnknownFormat
	}
	if err := decodeMode.Unmarshal(b[1:], v); err != nil {
		return fmt.Errorf("storestate: decode: %w", err)
	}
	return nil
}
