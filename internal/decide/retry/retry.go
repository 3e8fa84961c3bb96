// Package retry decides whether and when a failed operation is retried. It bounds the number of attempts, uses delays with
// decorrelated jitter, and has a budget that all callers share, so that retries do not overload a store or peer that is down. It
// draws no random numbers and reads no clock: the caller passes in both.
package retry

import "math"

// Settings bound retries. Times are in ms.
type Settings struct {
	MaxAttempts int     // attempts of one operation, including the first
	BaseDelay   float64 // shortest delay
	MaxDelay    float64 // longest delay
	// MaxRetries is the capacity of the budget, and RetriesPerSuccess is the number of retries, or the fraction of one, that each
	// success adds to it. In the long run there are at most RetriesPerSuccess retries for each success (the token bucket of
	// "Addressing Cascading Failures", Google SRE book, ch. 22).
	MaxRetries, RetriesPerSuccess float64
}

// Outcome is what is known about an attempt.
type Outcome int

// The outcomes.
const (
	Succeeded   Outcome = iota
	NotExecuted         // the operation certainly had no effect
	Unknown             // the operation may have had its effect
)

// Budget bounds the retries of all callers together. It is not safe for concurrent use.
type Budget struct {
	settings  Settings
	remaining float64
}

// New returns a full budget.
func New(settings Settings) *Budget {
	return &Budget{settings: settings, remaining: settings.MaxRetries}
}

// Remaining returns how many retries the budget still allows.
func (b *Budget) Remaining() float64 { return b.remaining }

// Operation is the state of one operation and its attempts. The zero value has had no attempt.
type Operation struct {
	attempts int
	delay    float64 // last delay, in ms
	// MayHaveRun reports that an attempt may have had its effect. From then on only the same operation, with the same id, may be
	// sent.
	MayHaveRun bool
}

// AttemptEnded records the outcome of an attempt and decides whether the operation is attempted again, and after which delay. All
// times are in ms. now is the present time, deadline is when the caller gives up, and random is a random number between 0 and 1.
func (b *Budget) AttemptEnded(op *Operation, outcome Outcome, now, deadline, random float64) (delay float64, again bool) {
	op.attempts++
	switch outcome {
	case Succeeded:
		b.remaining = min(b.settings.MaxRetries, b.remaining+b.settings.RetriesPerSuccess)
		return 0, false
	case Unknown:
		op.MayHaveRun = true
	}
	op.delay = b.nextDelay(op.delay, random)
	if op.attempts >= b.settings.MaxAttempts || b.remaining < 1 || now+op.delay >= deadline {
		return 0, false
	}
	b.remaining--
	return op.delay, true
}

// nextDelay returns a random delay between BaseDelay and three times the last delay, bounded by MaxDelay ("Exponential Backoff And
// Jitter", AWS Architecture Blog, 2015).
func (b *Budget) nextDelay(last, random float64) float64 {
	base := b.settings.BaseDelay
	delay := min(b.settings.MaxDelay, base+random*(3*max(last, base)-base))
	if math.IsNaN(delay) {
		return base
	}
	return delay
}
