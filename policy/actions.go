package policy

import "time"

// Action is an output of a Router: one of Lookup, Fetch, Cancel, Reject, Fail, SetTimer, StopTimer, Watch and Log.
// The caller carries them out in order.
type Action interface{ action() }

// Lookup sends an attempt that names no source: a cache answers only from its copy, and the origin executes
// the request.
type Lookup struct {
	ID      string
	Server  ServerID
	Timeout time.Duration // 0: until the client's deadline
}

// Fetch sends an attempt that names the source for a fill and says whether the copy is retained.
type Fetch struct {
	ID      string
	Server  ServerID
	Source  ServerID      // equal to Server: no fill
	Timeout time.Duration // 0: until the client's deadline
	MaxAge  time.Duration // maximum age of the copy that is served; 0: the class's FreshFor
	// RetainRank is the copy's eviction rank, 1 to 3; the lowest rank is evicted first. With 0 an existing
	// copy keeps its rank, and a new copy is not retained.
	RetainRank int
	Options    FillOptions
}

// FillOptions modify a Fetch.
type FillOptions int

// The bits of FillOptions.
const (
	Coalesce            FillOptions = 1 << iota // join a fill that is in progress
	CachedOnly                                  // the source answers only from its copy
	ParentPassThrough                           // the parent retains no copy
	RefreshInBackground                         // serve an expiring copy while it is fetched again
)

// Cancel ends an attempt whose answer is no longer needed.
type Cancel struct {
	ID      string
	Attempt int // index among the request's attempts, from 0
}

// Reject is a final answer: the request was not executed, or can be repeated safely.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0: the answer has no Retry-After
}

// Fail is a final answer: the request may or may not have been executed.
type Fail struct{ ID string }

// SetTimer requests a Timer event with this token.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// StopTimer ends the need for a timer. A Timer event with its token has no effect any more.
type StopTimer struct{ Token uint64 }

// Watch begins or ends the subscription to discovery's changes.
type Watch struct{ On bool }

// Log is a message for operators.
type Log struct{ Text string }

func (Lookup) action()    {}
func (Fetch) action()     {}
func (Cancel) action()    {}
func (Reject) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (StopTimer) action() {}
func (Watch) action()     {}
func (Log) action()       {}
