package distribution

import "math"

const (
	// maxResubscribes is how often a subscriber that makes no progress sends Subscribe again before it leaves the distributor.
	maxResubscribes = 2
	// staleParentFactor is the multiple of MaxLag after which a subscriber leaves a distributor whose watermark has not risen. By then
	// the distributor has had the time to leave its own parent.
	staleParentFactor = 2
	// minWake is the shortest time until a Tick, in ms: timers that are due within it run together.
	minWake = 1
)

// runTimers carries out the timers that are due.
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

// staleParentTimeout returns for how long a distributor that sends heartbeats may have an unchanged watermark, in ms.
func (s *Subscriber) staleParentTimeout() float64 { return staleParentFactor * s.settings.MaxLag }

// incomplete reports whether the distributor has announced more than this process has applied.
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
