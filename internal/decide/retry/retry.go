// Package retry decides whether and when a failed operation is tried again: with a bounded number of attempts, delays with
// decorrelated jitter, and a budget that all callers share, so that retries do not overload a store or peer that is down.
// It draws no random numbers and reads no clock: the caller passes both in. Its decisions are tested here.
package retry

import "math"

// Settings bound retries. Times are in ms.
type Settings struct {
	MaxAttempts int     // of one operation, the first among them
	BaseDelay   float64 // lowest delay
	MaxDelay    float64 // highest delay
	// MaxRetries is how many retries the budget holds, and RetriesPerSuccess how much of one a success adds to it. Over
	// time there are at most RetriesPerSuccess retries for each success (the token bucket of "Addressing Cascading
	// Failures", Google SRE book, ch. 22).
	MaxRetries, RetriesPerSuccess float64
}

// Outcome is what is known about an attempt.
type Outcome int

// The outcomes.
const (
	Succeeded   Outcome = iota
	NotExecuted         // it certainly had no effect
	Unknown             // it may have had its effect
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

// Remaining returns how many retries the budget holds.
func (b *Budget) Remaining() float64 { return b.remaining }

// Operation is the state of one operation that is tried. The zero value has had no attempt.
type Operation struct {
	attempts int
	delay    float64 // the last one, in ms
	// MayHaveRun reports that an attempt may have had its effect: only the same operation, with the same id, may be sent
	// from then on.
	MayHaveRun bool
}

// AttemptEnded records the outcome of an attempt at a time and decides whether there is another, after a delay in ms.
// Times are in ms; deadline is when the caller gives up. random is drawn between 0 and 1.
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

// nextDelay draws a delay between BaseDelay and three times the last one ("Exponential Backoff And Jitter", AWS
// Architecture Blog, 2015).
func (b *Budget) nextDelay(last, random float64) float64 {
	base := b.settings.BaseDelay
	delay := min(b.settings.MaxDelay, base+random*(3*max(last, base)-base))
	if math.IsNaN(delay) {
		return base
	}
	return delay
}
