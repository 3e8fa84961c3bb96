package fleet

// partKey identifies one part of an object.
type partKey struct {
	object string
	part   int
}

// cachedCopy is a copy of a part in a cache or a parent.
type cachedCopy struct {
	stamp     float64 // when the origin created it, in Unix ms
	retention int     // retention rank from 0 (not kept) to 3; a full server evicts copies of the lowest rank first
	lastUsed  int64   // the server's useCount at the last use
}

// DropCopies empties the server's cache, as a restart does. It replaces the map, since a Go map keeps its memory after its entries
// are deleted.
func (s *Server) DropCopies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = map[partKey]*cachedCopy{}
}

// dropCopies drops the copies for which matches returns true.
func (s *Server) dropCopies(matches func(partKey, *cachedCopy) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for part, cached := range s.copies {
		if matches(part, cached) {
			delete(s.copies, part)
		}
	}
}

// lookUp returns the stamp of the copy of a part, if there is one that the origin created at oldestAllowed (Unix ms) or later. The
// origin has no copies.
func (s *Server) lookUp(part partKey, oldestAllowed float64) (stamp float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := s.copies[part]
	if s.Role == Origin || cached == nil || cached.stamp < oldestAllowed {
		return 0, false
	}
	s.useCount++
	cached.lastUsed = s.useCount
	return cached.stamp, true
}

// store adds or refreshes a copy; one with retention 0 is not kept. To add a copy, a full server first evicts the least recently
// used copy of the lowest retention, and does not store the new copy if that lowest retention is higher than the new copy's.
func (s *Server) store(part partKey, stamp float64, retention int) {
	if retention <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.useCount++
	if cached := s.copies[part]; cached != nil {
		cached.stamp = max(cached.stamp, stamp)
		cached.retention = retention
		cached.lastUsed = s.useCount
		return
	}
	if len(s.copies) >= s.fleet.options.MaxCopies && !s.evict(retention) {
		return
	}
	s.copies[part] = &cachedCopy{stamp: stamp, retention: retention, lastUsed: s.useCount}
}

// evict drops the least recently used copy of the lowest retention. It drops nothing and returns false if that copy's retention is
// higher than retention, that of the new copy. The caller holds s.mu.
func (s *Server) evict(retention int) bool {
	var victim partKey
	var victimCopy *cachedCopy
	for part, cached := range s.copies {
		if victimCopy == nil || cached.evictedBefore(victimCopy) {
			victim, victimCopy = part, cached
		}
	}
	if victimCopy.retention > retention {
		return false
	}
	delete(s.copies, victim)
	return true
}

// evictedBefore reports whether c is evicted before other.
func (c *cachedCopy) evictedBefore(other *cachedCopy) bool {
	if c.retention != other.retention {
		return c.retention < other.retention
	}
	return c.lastUsed < other.lastUsed
}
