// Package retry decides whether and when something that failed is tried again: bounded attempts, decorrelated jitter, and
// a budget that all callers share, so that a store or peer that is down is not buried under what its callers do about it.
// It draws no randomness and reads no clock: the caller brings both. Its decisions are tested here.
package retry

import "math"

// Settings bound what is tried again. Times are in ms.
type Settings struct {
	Attempts int     // in all, the first among them
	Base     float64 // the least wait
	Most     float64 // the longest
	// Budget is how many retries may be saved up, and Earn how much of one a success adds: over time at most Earn retries
	// come on a success, whatever fails (the token bucket of "Addressing Cascading Failures", Google SRE book, ch. 22).
	Budget, Earn float64
}

// Outcome is what is known of an attempt.
type Outcome int

// The outcomes. Refused: it surely did not happen. Unknown: it may have.
const (
	Done Outcome = iota
	Refused
	Unknown
)

// Budget is what all callers share.
type Budget struct {
	set  Settings
	left float64
}

// New returns a budget that is full.
func New(s Settings) *Budget { return &Budget{set: s, left: s.Budget} }

// Left is how many retries are left.
func (b *Budget) Left() float64 { return b.left }

// Call is one thing that is tried.
type Call struct {
	tries int
	wait  float64 // the last
	// Unknown: an attempt may have happened. From then on only the same change may be sent, under the same id.
	Unknown bool
}

// Ended books an attempt's outcome at a time, and says whether another is to be made, and in how many ms. luck is drawn
// between 0 and 1; end is when the caller gives up.
func (b *Budget) Ended(c *Call, o Outcome, now, end, luck float64) (wait float64, again bool) {
	c.tries++
	switch o {
	case Done:
		b.left = min(b.set.Budget, b.left+b.set.Earn)
		return 0, false
	case Unknown:
		c.Unknown = true
	}
	// "Exponential Backoff And Jitter", AWS Architecture Blog, 2015: drawn between the base and three times the last wait.
	if c.wait = min(b.set.Most, b.set.Base+luck*(3*max(c.wait, b.set.Base)-b.set.Base)); math.IsNaN(c.wait) {
		c.wait = b.set.Base
	}
	if c.tries >= b.set.Attempts || b.left < 1 || now+c.wait >= end {
		return 0, false
	}
	b.left--
	return c.wait, true
}
