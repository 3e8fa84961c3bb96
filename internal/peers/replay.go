package peers

import (
	"maps"
	"slices"

	"golang.org/x/time/rate"

	"ravenwheel/internal/decide/dedup"
)

const (
	// maxIncarnations is how many incarnations of one sender have a window.
	maxIncarnations = 4
	// ratePerAddress bounds the datagrams a second from one address, and rateBurst how many come at once, before a signature is verified.
	ratePerAddress, rateBurst = 1000, 2000
)

// replayWindows are the windows of the newest incarnations of a sender. Each incarnation has its own, because two processes may have one
// name by mistake: in a common window the datagrams of the later one would make all those of the earlier one, which is the member, count
// as outdated.
type replayWindows struct {
	lastAcceptedAt float64 // when the last datagram was accepted, ms
	byIncarnation  map[uint64]*dedup.Window
	highestDropped uint64 // incarnations up to this one have no window any more, and are not accepted
}

// accept reports whether a datagram is new, and records it.
func (r *replayWindows) accept(incarnation, sequence uint64) bool {
	w := r.byIncarnation[incarnation]
	if w == nil {
		if incarnation <= r.highestDropped || !r.makeRoom(incarnation) {
			return false
		}
		w = &dedup.Window{}
		r.byIncarnation[incarnation] = w
	}
	return w.Accept(incarnation, sequence)
}

// makeRoom drops the oldest window if there are too many. It returns false if that would be the one for this incarnation.
func (r *replayWindows) makeRoom(incarnation uint64) bool {
	if len(r.byIncarnation) < maxIncarnations {
		return true
	}
	oldest := slices.Min(slices.Collect(maps.Keys(r.byIncarnation)))
	if incarnation < oldest {
		return false
	}
	delete(r.byIncarnation, oldest)
	r.highestDropped = oldest
	return true
}

// acceptNew reports whether a datagram whose seal was verified is new, and records it and its sender's keys.
func (s *sealer) acceptNew(e envelope, keys *peerKeys) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeKeys(keys)
	w := s.windows[e.From]
	if w == nil {
		if len(s.windows) >= maxSenders {
			return false
		}
		w = &replayWindows{byIncarnation: map[uint64]*dedup.Window{}}
		s.windows[e.From] = w
	}
	if !w.accept(e.Incarnation, e.Sequence) {
		return false
	}
	w.lastAcceptedAt = s.clock.Now()
	return true
}

// sendersWithin returns the number of processes of which a datagram was accepted within the last ms.
func (s *sealer) sendersWithin(ms float64) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.windows {
		if s.clock.Now()-w.lastAcceptedAt <= ms {
			n++
		}
	}
	return n
}

// allow reports whether one more datagram of an address may be opened: verifying a signature costs more than sending a forged one.
func (s *sealer) allow(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.limiters[address]
	if limiter == nil {
		if len(s.limiters) >= maxSenders {
			clear(s.limiters)
		}
		limiter = rate.NewLimiter(ratePerAddress, rateBurst)
		s.limiters[address] = limiter
	}
	return limiter.Allow()
}
