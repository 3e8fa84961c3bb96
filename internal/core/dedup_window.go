package core

import (
	"math"

	"ravenwheel/policy"
)

// retryDeadline is the time, in ms of the clock, until which a retry with an idempotency key may be written. Servers discard
// duplicates for window ms, counted from the first attempt that may have been executed. The router checks this when it decides on
// the retry, but afterwards the retry may still have to wait for its connection.
func (o *openRequest) retryDeadline(window float64) float64 {
	for _, a := range o.attempts {
		if a.open || a.mayHaveRun {
			return a.sentAt + window
		}
	}
	return math.Inf(1)
}

// mayHaveRun reports whether an attempt with this result may have been executed. The router applies the same rule: see
// policy.Result.
func mayHaveRun(result policy.Result) bool {
	switch result {
	case policy.Overloaded, policy.ConnectFailed, policy.Skipped, policy.Miss:
		return false
	}
	return true
}
