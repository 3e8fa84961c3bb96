package distribution

import "math"

const (
	// maxResubscribes is how often a subscriber that makes no progress requests again what is missing before it leaves the distributor.
	maxResubscribes = 2
	// staleParentFactor: a distributor whose watermark has not risen for so many times MaxLag is left. By then it has had the time to
	// leave its own parent.
	staleParentFactor = 2
	// minWake is the shortest time until a Wake, in ms: what is due within it is done together.
	minWake = 1
)

// runTimers does what is due.
func (s *Subscriber) runTimers() {
	if s.phase == phaseBackingOff && s.now >= s.backoffUntil {
		s.connectNext()
	}
	if !s.hasLink() {
		return
	}
	switch {
	case s.now >= s.lastReceivedAt+s.receiveTimeout():
		s.leave(CauseTimeout, 0, s.phase == phaseSubscribed)
		return
	case s.phase < phaseSubscribed:
		return
	case s.incomplete() && s.now >= s.progressAt+s.settings.SilenceTimeout:
		if s.resubscribes >= maxResubscribes {
			s.leave(CauseStalled, 0, true)
			return
		}
		s.resubscribe()
	case s.now >= s.watermarkRoseAt+s.staleParentTimeout():
		s.leave(CauseStalled, 0, true)
		return
	case s.closerParentAt != 0 && s.now >= s.closerParentAt:
		s.tryCloserParent()
		return
	}
	s.returnCredit()
}

// receiveTimeout returns how long the distributor may send nothing, in ms.
func (s *Subscriber) receiveTimeout() float64 {
	if s.phase < phaseSubscribed {
		return s.settings.ConnectTimeout
	}
	return s.settings.SilenceTimeout
}

// staleParentTimeout returns how long a distributor's watermark may stand still while it sends heartbeats, in ms.
func (s *Subscriber) staleParentTimeout() float64 { return staleParentFactor * s.settings.MaxLag }

// incomplete reports whether the distributor has announced more than is here.
func (s *Subscriber) incomplete() bool {
	return !s.hasState || s.epoch != s.highestEpoch || s.applied < s.pendingWatermark.Sequence
}

// requestWake requests the next Tick.
func (s *Subscriber) requestWake() {
	due := math.Inf(1)
	wakeAt := func(at float64) { due = min(due, max(at, s.now+minWake)) }
	if s.phase == phaseBackingOff {
		wakeAt(s.backoffUntil)
	}
	if s.hasLink() {
		wakeAt(s.lastReceivedAt + s.receiveTimeout())
	}
	if s.phase == phaseSubscribed {
		wakeAt(s.lastSentAt + s.settings.KeepaliveInterval)
		wakeAt(s.watermarkRoseAt + s.staleParentTimeout())
		if s.incomplete() {
			wakeAt(s.progressAt + s.settings.SilenceTimeout)
		}
		if s.closerParentAt != 0 {
			wakeAt(s.closerParentAt)
		}
	}
	if s.relaxAt != 0 {
		wakeAt(s.relaxAt)
	}
	if s.freshness.FreshUntil > s.now {
		wakeAt(s.freshness.FreshUntil)
	}
	if !math.IsInf(due, 1) {
		s.emit(Wake{After: due - s.now})
	}
}
