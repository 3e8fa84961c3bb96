package storestate

import (
	"maps"

	"ravenwheel/internal/decide/expiryqueue"
)

// setToken stores a token id with the time at which its token expires.
func setToken(tokens map[string]float64, expiry *expiryqueue.Queue[string], id string, expiresAt float64) {
	old, known := tokens[id]
	tokens[id] = expiresAt
	if expiry.Set(id, expiresAt, old, known); expiry.NeedsRebuild(len(tokens)) {
		expiry.Rebuild(maps.All(tokens))
	}
}

// expireTokens deletes the ids of expired tokens.
func expireTokens(tokens map[string]float64, expiry *expiryqueue.Queue[string], now float64) {
	expiry.Expire(
		func(expiresAt float64) bool { return expiresAt < now },
		func(id string) (float64, bool) { expiresAt, known := tokens[id]; return expiresAt, known },
		func(id string) { delete(tokens, id) })
}

// expirePurges deletes expired purges and their log indexes.
func (s *State) expirePurges() {
	s.purgeExpiry.Expire(
		func(expiresAt float64) bool { return expiresAt < s.Time },
		func(name string) (float64, bool) { p, known := s.Purges[name]; return p.ExpiresAt, known },
		func(name string) {
			delete(s.Purges, name)
			delete(s.FactIndexes, FactKey(AddPurge, name))
		})
}

// rebuildExpiry builds the expiry queues from the tokens and purges.
func (s *State) rebuildExpiry() {
	s.redeemedExpiry.Rebuild(maps.All(s.RedeemedTokens))
	s.revokedExpiry.Rebuild(maps.All(s.RevokedTokens))
	s.purgeExpiry.Rebuild(func(yield func(string, float64) bool) {
		for name, p := range s.Purges {
			if !yield(name, p.ExpiresAt) {
				return
			}
		}
	})
}
