package signed

import "ravenwheel/internal/reasons"

// CloseReason is why the front closed a connection.
type CloseReason int

// The reasons.
const (
	ClosedForSlot   CloseReason = iota // another connection needed its slot or its memory
	ClosedUnread                       // no longer counted: a connection waits for its slot and its memory
	ClosedForMemory                    // the client did not read, and its answer held the most memory when there was none left
	ClosedByClient                     // the client left before its request was answered
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{"slot", "no_slot", "memory", "client"}

// String implements fmt.Stringer.
func (r CloseReason) String() string { return closeReasonNames[r] }

// RefusalReason is why the front refused a request before it reached the core.
type RefusalReason int

// The reasons.
const (
	RefusedMalformed     RefusalReason = iota
	RefusedNoTimeLeft                  // it arrived after its time
	RefusedRequestMemory               // there was no memory for an open request
	RefusedToken                       // its token is not accepted
	RefusedReplay                      // its token was redeemed before
	RefusedStore                       // the store did not say in time whether its token is redeemed
	refusalReasonCount
)

var refusalReasonNames = [refusalReasonCount]string{"malformed", "no_time_left", "request_memory", "token", "replay", "store"}

// String implements fmt.Stringer.
func (r RefusalReason) String() string { return refusalReasonNames[r] }

// counters count what the front closed and refused.
type counters struct {
	closes   reasons.Counters[CloseReason]
	refusals reasons.Counters[RefusalReason]
}

// Closes returns how many connections the front closed, by reason.
func (f *Front) Closes() []reasons.Count { return f.counters.closes.Counts() }

// Refusals returns how many requests the front refused before they reached the core, by reason.
func (f *Front) Refusals() []reasons.Count { return f.counters.refusals.Counts() }
