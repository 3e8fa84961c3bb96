package storestate

import (
	"encoding/json"
	"fmt"
	"maps"
)

// legacyChange is an entry of format version 0. Its Value field, which belonged to the configuration, is not decoded.
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

// legacyKinds maps the operations of format version 0 to kinds. Higher operations changed a configuration that no version of the
// proxy ever read.
var legacyKinds = [...]Kind{RedeemToken, PutKey, DeleteKey, RevokeToken}

// legacyState is a snapshot of format version 0. Its configuration is not decoded, as no version of the proxy ever read it.
type legacyState struct {
	Keys    map[string]Key     `json:"Keys"`
	Spent   map[string]float64 `json:"Spent"`
	Revoked map[string]float64 `json:"Revoked"`
}

// isLegacy reports whether an encoding is of format version 0, which was JSON.
func isLegacy(b []byte) bool { return len(b) > 0 && b[0] == '{' }

// decodeLegacyChange decodes a change of format version 0. An operation that is no longer supported becomes kind 0, which Apply
// rejects as Invalid.
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

// decodeLegacyState decodes a snapshot of format version 0.
func decodeLegacyState(b []byte) (*State, error) {
	var old legacyState
	if err := json.Unmarshal(b, &old); err != nil {
		return nil, fmt.Errorf("storestate: decode version 0: %w", err)
	}
	s := New()
	maps.Copy(s.Keys, old.Keys)
	maps.Copy(s.RedeemedTokens, old.Spent)
	maps.Copy(s.RevokedTokens, old.Revoked)
	s.rebuildExpiry()
	return s, nil
}
