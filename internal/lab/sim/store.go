package sim

import "container/list"

// partKey identifies a part of an object.
type partKey struct {
	object int32
	part   int32
}

// cachedCopy is a copy of a part.
type cachedCopy struct {
	key     partKey
	kb      float64
	created float64 // ms at which the origin served it
	stored  float64 // ms at which it was put into this store
	rank    int8
	element *list.Element // in the list of its rank
}

// retainRanks is the number of ranks. Copies of rank 0 are not stored.
const retainRanks = 4

// store holds a server's copies, up to a limited size. It evicts copies of the lowest rank first, and within a rank the least
// recently used one. A new copy evicts only copies of its own or a lower rank.
type store struct {
	capacity float64 // KB
	used     float64 // KB
	copies   map[partKey]*cachedCopy
	ranks    [retainRanks]list.List // most recently used first
}

func newStore(kb float64) *store {
	return &store{capacity: kb, copies: map[partKey]*cachedCopy{}}
}

// get returns the copy of a part if it was created at oldest or later, else nil. It sets the copy's rank unless rank is 0.
func (s *store) get(key partKey, oldest float64, rank int) *cachedCopy {
	c := s.copies[key]
	if c == nil || c.created < oldest {
		return nil
	}
	s.ranks[c.rank].Remove(c.element)
	if rank > 0 {
		c.rank = int8(rank)
	}
	c.element = s.ranks[c.rank].PushFront(c)
	return c
}

// put stores a copy at the time now, and evicts other copies to make room. It reports whether it stored the copy. It does not store
// a copy if the rank is 0 or there is no room.
func (s *store) put(key partKey, kb, created, now float64, rank int) (stored bool) {
	if rank <= 0 || kb > s.capacity {
		return false
	}
	if old := s.copies[key]; old != nil {
		s.remove(old)
	}
	for r := 0; r <= rank && s.used+kb > s.capacity; r++ {
		for s.used+kb > s.capacity && s.ranks[r].Len() > 0 {
			s.remove(s.ranks[r].Back().Value.(*cachedCopy))
		}
	}
	if s.used+kb > s.capacity {
		return false
	}
	c := &cachedCopy{key: key, kb: kb, created: created, stored: now, rank: int8(rank)}
	c.element = s.ranks[rank].PushFront(c)
	s.copies[key] = c
	s.used += kb
	return true
}

func (s *store) remove(c *cachedCopy) {
	s.ranks[c.rank].Remove(c.element)
	delete(s.copies, c.key)
	s.used -= c.kb
}

// purge removes the copies of some objects that were created before a time. purged and objects hold the same objects, which have at
// most the given number of parts each. A few objects are looked up one by one: most purges are of one object, and iterating over
// all copies of all stores for them would take most of the time of a run.
func (s *store) purge(before float64, purged map[int32]bool, objects []int32, parts int) {
	if len(objects)*parts < len(s.copies) {
		for _, object := range objects {
			for part := range int32(parts) {
				if c := s.copies[partKey{object, part}]; c != nil && c.created < before {
					s.remove(c)
				}
			}
		}
		return
	}
	for key, c := range s.copies {
		if c.created < before && purged[key.object] {
			s.remove(c)
		}
	}
}

// clear removes all copies.
func (s *store) clear() { *s = *newStore(s.capacity) }
