package core

import (
	"math"

	"ravenwheel/policy"
)

// repeatBy is until when a repeat of a keyed request may be written: repeats are discarded for so many ms from the first
// attempt that may have run. Guards against one that was decided on within that time, and waits for its connection beyond it.
func (l *openRequest) retryDeadline(window float64) float64 {
	for _, a := range l.attempts {
		if a.open || a.mayHaveRun {
			return a.sentAt + window
		}
	}
	return math.Inf(1)
}

// mayHaveRun tells of an end whether it leaves that open.
func mayHaveRun(r policy.Result) bool {
	switch r {
	case policy.Overloaded, policy.ConnectFailed, policy.Skipped, policy.Miss:
		return false
	}
	return true
}
