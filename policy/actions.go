package policy

import "time"

// Action is an output of a Router: one of Lookup, Fetch, Cancel, Reject, Fail, SetTimer, Watch and Log.
// Actions are to be carried out in order.
type Action interface{ action() }

// Lookup is an attempt that names no source: a cache answers only from its copy, the origin executes it.
type Lookup struct {
	ID      string
	Server  ServerID
	Timeout time.Duration // 0: until the client's deadline
}

// Fetch is an attempt that names the source of a fill and says whether the copy is retained.
type Fetch struct {
	ID         string
	Server     ServerID
	Source     ServerID      // equal to Cache: no fill
	Timeout    time.Duration // 0: until the client's deadline
	MaxAge     time.Duration // oldest copy that may be served; 0: the class's FreshFor
	RetainRank int           // 1 to 3, the lowest is evicted first; 0: the copy's rank stays, a new copy is not retained
	Options    FillOptions
}

// FillOptions modify a Fetch.
type FillOptions int

// The bits of FillOptions.
const (
	Coalesce            FillOptions = 1 << iota // join a fill in progress
	CachedOnly                                  // the source answers only from its copy
	ParentPassThrough                           // the parent retains no copy
	RefreshInBackground                         // an expiring copy is served and fetched again meanwhile
)

// Cancel ends an attempt whose answer is not needed any more.
type Cancel struct {
	ID      string
	Attempt int
}

// Reject is a final answer: the request was not executed, or may be repeated without harm.
type Reject struct {
	ID         string
	RetryAfter time.Duration // 0: none
}

// Fail is a final answer: the request may or may not have been executed.
type Fail struct{ ID string }

// SetTimer requests a Timer event.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// Watch subscribes to discovery's changes, or ends the subscription.
type Watch struct{ On bool }

// Log is a message for operators.
type Log struct{ Text string }

func (Lookup) action()   {}
func (Fetch) action()    {}
func (Cancel) action()   {}
func (Reject) action()   {}
func (Fail) action()     {}
func (SetTimer) action() {}
func (Watch) action()    {}
func (Log) action()      {}
