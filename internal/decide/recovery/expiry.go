package recovery

import "ravenwheel/internal/decide/membership"

// Prune drops the purges that can no longer match a copy (see purgeExpiresAt) and the servers that left more than GoneRetention
// ago, and returns how many. now is Unix ms.
func (s *State) Prune(now float64, set Settings) (dropped int) {
	s.purgeExpiry.Expire(
		func(base float64) bool { return purgeExpiresAt(base, set) < now },
		func(key purgeKey) (float64, bool) { p, known := s.purges[key]; return p.expiryBase(), known },
		func(key purgeKey) { delete(s.purges, key); dropped++ })
	s.goneExpiry.Expire(
		func(since float64) bool { return since+set.GoneRetention < now },
		func(id uint64) (float64, bool) { m := s.members[id]; return m.Since, m.Phase == membership.Gone },
		func(id uint64) { delete(s.members, id); dropped++ })
	return dropped
}

// expiryBase is the time that a purge's expiry is counted from: the later of when it was issued and when it was received.
func (p Purge) expiryBase() float64 { return max(p.NotifiedAt, p.IssuedAt) }

// purgeExpiresAt is when a purge can no longer match a copy. The propagation time counts twice, because an older copy may
// have been in transfer when its source dropped it.
func purgeExpiresAt(base float64, set Settings) float64 {
	return base + 2*set.PurgePropagation + set.PurgeGrace
}

// purgeExpiryBases yields all purges with the times that their expiry is counted from.
func (s *State) purgeExpiryBases(yield func(purgeKey, float64) bool) {
	for key, p := range s.purges {
		if !yield(key, p.expiryBase()) {
			return
		}
	}
}

// goneSince yields the servers that have left, each with the time when it left.
func (s *State) goneSince(yield func(uint64, float64) bool) {
	for id, m := range s.members {
		if m.Phase == membership.Gone && !yield(id, m.Since) {
			return
		}
	}
}
