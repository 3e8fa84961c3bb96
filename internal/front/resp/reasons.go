package resp

import "ravenwheel/internal/reasons"

// CloseReason is why a connection ended.
type CloseReason int

// The reasons.
const (
	ClosedByClient CloseReason = iota
	ClosedByError
	ClosedForMalformedFrame
	ClosedForBadTag
	ClosedForSilence      // no first request, or no rest of one
	ClosedForSlot         // another connection needed its slot
	ClosedForDrain        // the proxy drains
	ClosedForUnreadAnswer // the client did not read
	ClosedForMemory       // the client did not read, and its answers held the most memory when there was none left
	ClosedUnreadNoSlot    // there was no slot for it
	ClosedUnreadNoMemory  // there was no memory for it
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	"client", "error", "malformed", "bad_tag", "silent", "slot", "drain", "unread_answer", "memory", "no_slot", "no_memory",
}

// String implements fmt.Stringer.
func (r CloseReason) String() string { return closeReasonNames[r] }

// RefusalReason is why the front refused a request.
type RefusalReason int

// The reasons.
const (
	RefusedDrain         RefusalReason = iota
	RefusedRequestMemory               // there was no memory for an open request
	RefusedInputMemory                 // there was no memory for the frame
	RefusedShare                       // memory was scarce, and the connection held its share
	RefusedDelayed                     // the client's input never ended
	refusalReasonCount
)

var refusalReasonNames = [refusalReasonCount]string{"drain", "request_memory", "input_memory", "share", "delayed"}

// String implements fmt.Stringer.
func (r RefusalReason) String() string { return refusalReasonNames[r] }

// Closes returns how many connections ended, by reason.
func (f *Front) Closes() []reasons.Count { return f.closes.Counts() }

// Refusals returns how many requests the front refused, by reason.
func (f *Front) Refusals() []reasons.Count { return f.refusals.Counts() }
