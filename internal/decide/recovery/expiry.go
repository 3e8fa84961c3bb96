package recovery

import "ravenwheel/internal/decide/membership"

// Prune removes the purges that can no longer match a copy (see purgeExpiresAt) and the servers that left more than GoneRetention
// ago, and returns the number of entries removed. now is in Unix ms.
func (s *State) Prune(now float64, settings Settings) (dropped int) {
	s.purgeExpiry.Expire(
		func(base float64) bool { return purgeExpiresAt(base, settings) < now },
		func(key purgeKey) (float64, bool) { p, known := s.purges[key]; return p.expiryBase(), known },
		func(key purgeKey) { delete(s.purges, key); dropped++ })
	s.goneExpiry.Expire(
		func(since float64) bool { return since+settings.GoneRetention < now },
		func(id uint64) (float64, bool) { m := s.members[id]; return m.Since, m.Phase == membership.Gone },
		func(id uint64) { delete(s.members, id); dropped++ })
	return dropped
}

// expiryBase is the time from which a purge's expiry is counted: the later of the times when it was issued and received.
func (p Purge) expiryBase() float64 { return max(p.NotifiedAt, p.IssuedAt) }

// purgeExpiresAt is the time from which a purge can no longer match a copy. The propagation time counts twice, because a copy from
// before the purge may have been in transfer when the server that sent it removed its own.
func purgeExpiresAt(base float64, settings Settings) float64 {
	return base + 2*settings.PurgePropagation + settings.PurgeGrace
}

// purgeExpiryBases yields the key and the expiryBase of each purge.
func (s *State) purgeExpiryBases(yield func(purgeKey, float64) bool) {
	for key, p := range s.purges {
		if !yield(key, p.expiryBase()) {
			return
		}
	}
}

// goneSince yields the id of each server that has left and the time when it left.
func (s *State) goneSince(yield func(uint64, float64) bool) {
	for id, m := range s.members {
		if m.Phase == membership.Gone && !yield(id, m.Since) {
			return
		}
	}
}
