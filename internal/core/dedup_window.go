package core

import "math"

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
