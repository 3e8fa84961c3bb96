package policy

import "time"

// Event is an input of a Router: one of Members, Request, StreamStarted, Outcome, ClientLeft, Timer, Purged
// and DiscoveryOverdue.
type Event interface{ event() }

// State is a member's state as discovery reports it.
type State int

// The states of a member.
const (
	Ready    State = iota
	Draining       // finishes its requests and gets no new ones
	Gone           // is no longer a member
)

// Member is an entry of discovery's list.
type Member struct {
	ID      ServerID
	Zone    int
	Kind    int // Settings.ParentKind, Settings.OriginKind, or any other value for a cache
	Cell    int // see DedupCell
	State   State
	Weight  float64 // capacity of its link, in concurrent transfers; see Settings.WeightsKnown
	Started Time    // when it started; 0: long ago, so it needs no slow start
}

// ListKind says how a Members event changes the router's list of servers.
type ListKind int

// The kinds of list.
const (
	ListChanges ListKind = iota // changes to the list
	ListFull                    // the complete list
	ListCached                  // the complete list as last known, possibly outdated
	ListFailed                  // no list: the call failed or the subscription ended
)

// Members is an update from discovery.
type Members struct {
	Kind    ListKind
	Version int64
	Entries []Member
}

// KeyIssuer says who chose the idempotency key that all attempts of a request carry.
type KeyIssuer int

// The issuers of idempotency keys.
const (
	NoKey     KeyIssuer = iota // the attempts carry no key
	ClientKey                  // the client: its retries of the request have the same key
	FrontKey                   // the front: the client's retries of the request have another key
)

// Request is a client's request, which must get exactly one final answer.
type Request struct {
	ID          string
	TimeLeft    time.Duration // until the client's deadline
	Class       int           // index in Settings.Classes
	KeyIssuer   KeyIssuer
	Tenant      int
	Object      string
	Part        int
	Group       int     // the object's purge group; -1: unknown
	SizeKB      float64 // 0: unknown
	ClientRetry bool    // the client has marked it as a retry
	Write       bool
}

// StreamStarted reports that a streamed answer has begun. From then on the request is bound to this attempt
// and is not retried.
type StreamStarted struct {
	ID      string
	Attempt int // index among the request's attempts, from 0
	Server  ServerID
	Latency time.Duration // since the attempt was sent
}

// Result is how an attempt ended.
type Result int

// The results.
const (
	Unknown    Result = iota // not recognised: the request may have been executed
	OK                       // answered
	Failed                   // answered with an error
	Overloaded               // rejected by the server
	TimedOut
	ConnectFailed
	Reset // the connection broke
	Cancelled
	Skipped // not sent
	Miss    // a Lookup found no copy
)

// MayHaveExecuted reports whether an attempt that ended with the result may have executed the request.
func (r Result) MayHaveExecuted() bool {
	switch r {
	case Overloaded, ConnectFailed, Skipped, Miss:
		return false
	}
	return true
}

// Note says how an attempt was answered or why it failed. Settings.OutcomeDetail says which notes there are.
type Note int

// The notes.
const (
	NoteNone           Note = iota
	NoteHit                 // from a cached copy
	NoteFilled              // after a fill
	NoteFilledOrigin        // after a fill that reached the origin
	NoteCoalesced           // after joining a fill in progress
	NoteStale               // from a copy past its freshness
	NoteSourceRejected      // the source rejected the fill, as it was overloaded
	NoteSourceLost          // the source could not be reached, or stopped answering
	NoteSourceMiss          // the source had no copy
	NoteNoFillSlot          // the cache had no slot for a fill
	NoteOriginFailed        // the source needed the origin, which failed
)

// LoadReport is a server's load report: inflight and queue (requests), util (a fraction), latency (ms),
// served and errors (per second), hits (a fraction) and link. Any value may be missing, late or inexact; no
// rule of this package uses them.
type LoadReport map[string]float64

// Outcome is how one attempt ended.
type Outcome struct {
	ID         string
	Attempt    int // index among the request's attempts, from 0
	Server     ServerID
	Result     Result
	Note       Note
	Final      bool          // the request has its final answer
	Latency    time.Duration // since the attempt was sent
	SourceWait time.Duration // until the source's first byte or failure; 0: unknown
	Load       LoadReport
}

// filled reports whether the answer needed a fill.
func (o Outcome) filled() bool { return o.Note == NoteFilled || o.Note == NoteFilledOrigin }

// sourceFailed reports whether the attempt failed because of its source.
func (o Outcome) sourceFailed() bool {
	return o.Note == NoteSourceRejected || o.Note == NoteSourceLost || o.Note == NoteSourceMiss
}

// overloaded reports whether the server or its source rejected the attempt because of overload. An Overloaded
// result with any other note has another cause.
func (o Outcome) overloaded() bool {
	return o.Result == Overloaded && (o.Note == NoteNone || o.Note == NoteSourceRejected)
}

// ClientLeft reports that the client has gone, so that its request needs no answer.
type ClientLeft struct{ ID string }

// Timer reports that a timer requested with SetTimer is due.
type Timer struct{ Token uint64 }

// Purged reports that an object, or a whole group if Object is empty, was purged at the origin.
type Purged struct {
	Object string
	Group  int           // -1: unknown
	Age    time.Duration // time since the purge; negative: copies made up to -Age after now are outdated too
}

// DiscoveryOverdue reports that discovery has sent nothing for too long: some purges made at least Age ago
// may not have been reported. With Overdue false, all purges have been reported again.
type DiscoveryOverdue struct {
	Overdue bool
	Age     time.Duration
}

func (Members) event()          {}
func (Request) event()          {}
func (StreamStarted) event()    {}
func (Outcome) event()          {}
func (ClientLeft) event()       {}
func (Timer) event()            {}
func (Purged) event()           {}
func (DiscoveryOverdue) event() {}
