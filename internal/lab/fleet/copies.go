package fleet

// partKey names one part of an object.
type partKey struct {
	object string
	part   int
}

// cachedCopy is a copy of a part in a cache or a parent.
type cachedCopy struct {
	stamp     float64 // ms at which the origin made it
	retention int     // rank at which it is retained, 0 to 3
	lastUsed  int64   // the server's useCount at the last use
}

// DropCopies empties the server's cache, as a restart does. The map is replaced, since an emptied one keeps its size.
func (s *Server) DropCopies() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = map[partKey]*cachedCopy{}
}

func (s *Server) dropCopies(which func(partKey, *cachedCopy) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for part, cached := range s.copies {
		if which(part, cached) {
			delete(s.copies, part)
		}
	}
}

// lookUp finds a copy made at oldestAllowed (ms) or later.
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

// store keeps a copy. A full cache evicts the least recently used copy of the lowest retention, unless that is higher than the
// new one's.
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

// evict drops the copy that is worth least, unless its retention is higher than that of the copy to come. Called under the
// lock.
func (s *Server) evict(retention int) bool {
	var victim partKey
	var lowest *cachedCopy
	for part, cached := range s.copies {
		if lowest == nil || cached.evictedBefore(lowest) {
			victim, lowest = part, cached
		}
	}
	if lowest.retention > retention {
		return false
	}
	delete(s.copies, victim)
	return true
}

func (c *cachedCopy) evictedBefore(other *cachedCopy) bool {
	if c.retention != other.retention {
		return c.retention < other.retention
	}
	return c.lastUsed < other.lastUsed
}
