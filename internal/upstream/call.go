package upstream

import (
	"sync"

	"ravenwheel/internal/core"
)

// call is an attempt on its way. The lock of its connection guards its state. Its frame is encoded when it is written, so
// that the time left in it is that of the first byte.
type call struct {
	attempt core.Attempt
	onEnd   func(core.Outcome)

	once    sync.Once // of onEnd
	done    bool
	written bool    // see core.Outcome.Written
	sentAt  float64 // ms of the clock
}

// reportOutcome reports the outcome of a call that is done, unless it was forgotten.
func (c *call) reportOutcome(outcome core.Outcome) {
	outcome.Written = c.written
	c.once.Do(func() { c.onEnd(outcome) })
}

// suppressOutcome makes sure that no outcome is reported.
func (c *call) suppressOutcome() { c.once.Do(func() {}) }

// idSet remembers ids for at least the lifetime of a request, and at most twice as long.
type idSet struct {
	current, previous map[string]struct{}
	rotatedAt         float64
}

// add adds an id and reports whether it was missing. Times are in ms.
func (s *idSet) add(id string, now, lifetime float64) (added bool) {
	if s.current == nil || now-s.rotatedAt >= lifetime {
		s.current, s.previous, s.rotatedAt = map[string]struct{}{}, s.current, now
	}
	_, inCurrent := s.current[id]
	_, inPrevious := s.previous[id]
	if inCurrent || inPrevious {
		return false
	}
	s.current[id] = struct{}{}
	return true
}
