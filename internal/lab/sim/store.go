package sim

import "container/list"

// key is a part of an object.
type key struct {
	object int32
	part   int32
}

// held is a copy.
type held struct {
	key   key
	kb    float64
	made  float64 // when the origin gave it out
	since float64 // when it came here
	rank  int8
	place *list.Element
}

const ranks = 4

// store keeps copies: the lowest rank goes first, in a rank what was used longest ago. A new copy pushes out only its own
// rank or lower, else it is not kept.
type store struct {
	room  float64 // KB
	used  float64
	held  map[key]*held
	ranks [ranks]list.List // most recently used in front
}

func newStore(kb float64) *store {
	return &store{room: kb, held: map[key]*held{}}
}

// get finds a copy that was made at oldest or later. A hit sets its rank anew, where one is given.
func (s *store) get(k key, oldest float64, rank int) *held {
	h := s.held[k]
	if h == nil || h.made < oldest {
		return nil
	}
	s.ranks[h.rank].Remove(h.place)
	if rank > 0 {
		h.rank = int8(rank)
	}
	h.place = s.ranks[h.rank].PushFront(h)
	return h
}

// put keeps a copy, if there is room for it at its rank.
func (s *store) put(k key, kb, made float64, rank int) bool {
	if rank <= 0 || kb > s.room {
		return false
	}
	if old := s.held[k]; old != nil {
		s.drop(old)
	}
	for r := 0; r <= rank && s.used+kb > s.room; r++ {
		for s.used+kb > s.room && s.ranks[r].Len() > 0 {
			s.drop(s.ranks[r].Back().Value.(*held))
		}
	}
	if s.used+kb > s.room {
		return false
	}
	h := &held{key: k, kb: kb, made: made, rank: int8(rank)}
	h.place = s.ranks[rank].PushFront(h)
	s.held[k] = h
	s.used += kb
	return true
}

func (s *store) drop(h *held) {
	s.ranks[h.rank].Remove(h.place)
	delete(s.held, h.key)
	s.used -= h.kb
}

// purge drops what was made before a time, of the objects that which names; list are the same, and parts how many each
// has at the most. The order does not matter: all go. A few objects are looked up, as most purges are of one, and a pass
// over all copies of thousands of servers for each would be most of a run.
func (s *store) purge(before float64, which func(object int32) bool, list []int32, parts int) {
	if len(list)*parts < len(s.held) {
		for _, o := range list {
			for p := range int32(parts) {
				if h := s.held[key{o, p}]; h != nil && h.made < before {
					s.drop(h)
				}
			}
		}
		return
	}
	for k, h := range s.held {
		if h.made < before && which(k.object) {
			s.drop(h)
		}
	}
}

func (s *store) empty() { *s = *newStore(s.room) }
