package peers

import (
	"maps"
	"slices"

	"golang.org/x/time/rate"

	"ravenwheel/internal/decide/dedup"
)

const (
	// maxIncarnations limits the incarnations of one sender that have a window.
	maxIncarnations = 4
	// ratePerAddress limits the datagrams per second from one address, and rateBurst those that may arrive at once. The limit
	// applies before a signature is verified.
	ratePerAddress, rateBurst = 1000, 2000
)

// replayWindows are the windows of the newest incarnations of a sender. Each incarnation has a window of its own, because two
// processes may have the same name by mistake. In a common window the datagrams of the process that started later would make all
// datagrams of the earlier one, which is the member, count as outdated.
type replayWindows struct {
	lastAcceptedAt float64 // when the last datagram was accepted, ms
	byIncarnation  map[uint64]*dedup.Window
	highestDropped uint64 // incarnations up to this one have lost their window, and are no longer accepted
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

// makeRoom removes the window of the oldest incarnation if there are maxIncarnations of them. It returns false if the given
// incarnation is older than all of them.
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

// acceptNew reports whether a datagram whose seal was verified is new, and records the datagram and its sender's keys.
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

// sendersWithin returns the number of processes from which a datagram was accepted within the last ms milliseconds.
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

// allow reports whether one more datagram from an address may be opened. The rate is limited because verifying a signature costs
// more than sending a forged one.
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
