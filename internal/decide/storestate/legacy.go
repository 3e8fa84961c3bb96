package storestate

import (
	"encoding/json"
	"fmt"
	"maps"
)

// legacyChange is an entry of format version 0. Its value belonged to the configuration and is not decoded.
type legacyChange struct {
	Op   int    `json:"Op"`
	Name string `json:"Name"`
	Key  struct {
		Alg  string `json:"alg"`
		Data []byte `json:"key"`
	} `json:"Key"`
	Until float64 `json:"Until"`
	Now   float64 `json:"Now"`
}

// legacyKinds are the kinds of format version 0, by operation. Operations beyond them changed a configuration that no
// version ever read.
var legacyKinds = [...]Kind{SpendToken, PutKey, DeleteKey, RevokeToken}

// legacyState is a snapshot of format version 0. Its configuration, which no version ever read, is not decoded.
type legacyState struct {
	Keys    map[string]Key     `json:"Keys"`
	Spent   map[string]float64 `json:"Spent"`
	Revoked map[string]float64 `json:"Revoked"`
}

// isLegacy reports whether bytes are of format version 0.
func isLegacy(b []byte) bool { return len(b) > 0 && b[0] == '{' }

// decodeLegacyChange returns a change whose kind is 0, and thus invalid, for an operation that is no longer supported.
func decodeLegacyChange(b []byte) (c Change, err error) {
	var old legacyChange
	if err := json.Unmarshal(b, &old); err != nil {
		return c, fmt.Errorf("storestate: decode version 0: %w", err)
	}
	c = Change{Name: old.Name, ExpiresAt: old.Until, ProposedAt: old.Now}
	if old.Op < 0 || old.Op >= len(legacyKinds) {
		return c, nil
	}
	if c.Kind = legacyKinds[old.Op]; c.Kind == PutKey {
		c.Key = &Key{old.Key.Alg, old.Key.Data}
	}
	return c, nil
}

func decodeLegacyState(b []byte) (*State, error) {
	var old legacyState
	if err := json.Unmarshal(b, &old); err != nil {
		return nil, fmt.Errorf("storestate: decode version 0: %w", err)
	}
	s := New()
	maps.Copy(s.Keys, old.Keys)
	maps.Copy(s.SpentTokens, old.Spent)
	maps.Copy(s.RevokedTokens, old.Revoked)
	s.rebuildExpiry()
	return s, nil
}
