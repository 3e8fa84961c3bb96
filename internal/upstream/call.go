package upstream

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"ravenwheel/internal/core"
)

// call is an attempt that is assigned to a connection. The lock of the connection guards its state. Its frame is encoded when it is
// written, so that the time left in the frame is the one at its first byte.
type call struct {
	attempt core.Attempt
	onEnd   func(core.Outcome)

	once       sync.Once // for onEnd
	stopTimers func()    // stops the timers of its deadline and of SendBy; nil: none are set
	done       bool      // it has an outcome or was aborted
	written    bool      // see core.Outcome.Written
	sentAt     float64   // ms of the clock
}

// reportOutcome reports the outcome of a call that is done, unless suppressOutcome was called before.
func (c *call) reportOutcome(outcome core.Outcome) {
	outcome.Written = c.written
	reported := false
	c.once.Do(func() {
		reported = true
		c.onEnd(outcome)
	})
	if !reported {
		outcome.Memory.Release()
	}
}

// suppressOutcome ensures that no outcome is reported.
func (c *call) suppressOutcome() { c.once.Do(func() {}) }

// recentIDCount is how many of the last ids a connection remembers, and maxAbandoned bounds those whose answers may still come.
const recentIDCount = 64

// idHistory remembers the ids of calls on a connection whose late answers could be taken for those of other calls with the same id:
// the last ones, and all that were abandoned. What it holds does not depend on the number of calls.
type idHistory struct {
	recent    [recentIDCount]uint64 // hashes of ids; the oldest is replaced
	next      int
	abandoned map[uint64]struct{} // hashes of ids; nil: none
}

// add adds an id, and reports whether it was not known.
func (h *idHistory) add(id string) (added bool) {
	hash := xxhash.Sum64String(id)
	if _, known := h.abandoned[hash]; known || slices.Contains(h.recent[:], hash) {
		return false
	}
	h.recent[h.next] = hash
	h.next = (h.next + 1) % recentIDCount
	return true
}

// abandon remembers an id for as long as the connection lives.
func (h *idHistory) abandon(id string) {
	if h.abandoned == nil {
		h.abandoned = map[uint64]struct{}{}
	}
	h.abandoned[xxhash.Sum64String(id)] = struct{}{}
}
