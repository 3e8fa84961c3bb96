// Package retry decides whether and when something that failed is tried again: bounded attempts, decorrelated jitter, and
// a budget that all callers share, so that a store or peer that is down is not buried under what its callers do about it.
// It draws no randomness and reads no clock: the caller brings both. Its decisions are tested here.
package retry

import "math"

// Settings bound what is tried again. Times are in ms.
type Settings struct {
	MaxAttempts int     // in all, the first among them
	BaseDelay   float64 // the least wait
	MaxDelay    float64 // the longest
	// Budget is how many retries may be saved up, and Earn how much of one a success adds: over time at most Earn retries
	// come on a success, whatever fails (the token bucket of "Addressing Cascading Failures", Google SRE book, ch. 22).
	MaxRetries, RetriesPerSuccess float64
}

// Outcome is what is known of an attempt.
type Outcome int

// The outcomes. Refused: it surely did not happen. Unknown: it may have.
const (
	Succeeded Outcome = iota
	NotExecuted
	Unknown
)

// Budget is what all callers share.
type Budget struct {
	settings  Settings
	remaining float64
}

// New returns a budget that is full.
func New(s Settings) *Budget { return &Budget{settings: s, remaining: s.MaxRetries} }

// Left is how many retries are left.
func (b *Budget) Remaining() float64 { return b.remaining }

// Call is one thing that is tried.
type Operation struct {
	attempts int
	delay    float64 // the last
	// Unknown: an attempt may have happened. From then on only the same change may be sent, under the same id.
	MayHaveRun bool
}

// Ended books an attempt's outcome at a time, and says whether another is to be made, and in how many ms. luck is drawn
// between 0 and 1; end is when the caller gives up.
func (b *Budget) AttemptEnded(c *Operation, o Outcome, now, end, luck float64) (wait float64, again bool) {
	c.attempts++
	switch o {
	case Succeeded:
		b.remaining = min(b.settings.MaxRetries, b.remaining+b.settings.RetriesPerSuccess)
		return 0, false
	case Unknown:
		c.MayHaveRun = true
	}
	// "Exponential Backoff And Jitter", AWS Architecture Blog, 2015: drawn between the base and three times the last wait.
	if c.delay = min(b.settings.MaxDelay, b.settings.BaseDelay+luck*(3*max(c.delay, b.settings.BaseDelay)-b.settings.BaseDelay)); math.IsNaN(c.delay) {
		c.delay = b.settings.BaseDelay
	}
	if c.attempts >= b.settings.MaxAttempts || b.remaining < 1 || now+c.delay >= end {
		return 0, false
	}
	b.remaining--
	return c.delay, true
}
