package upstream

import (
	"sync"

	"ravenwheel/internal/core"
)

// call is an attempt that is assigned to a connection. The lock of the connection guards its state. Its frame is encoded when it is
// written, so that the time left in the frame is the one at its first byte.
type call struct {
	attempt core.Attempt
	onEnd   func(core.Outcome)

	once    sync.Once // for onEnd
	done    bool      // it has an outcome or was aborted
	written bool      // see core.Outcome.Written
	sentAt  float64   // ms of the clock
}

// reportOutcome reports the outcome of a call that is done, unless suppressOutcome was called before.
func (c *call) reportOutcome(outcome core.Outcome) {
	outcome.Written = c.written
	c.once.Do(func() { c.onEnd(outcome) })
}

// suppressOutcome ensures that no outcome is reported.
func (c *call) suppressOutcome() { c.once.Do(func() {}) }

// idSet holds each id for at least the lifetime of a request and at most twice as long.
type idSet struct {
	current, previous map[string]struct{}
	rotatedAt         float64
}

// add adds an id and reports whether it was not in the set before. Times are in ms.
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
