package policy

import "time"

// Event is an input of a Router: one of Members, Request, StreamStarted, Outcome, ClientLeft, Timer, Purged
// and DiscoveryOverdue.
type Event interface{ event() }

// State is what discovery says about a member.
type State int

// The states of a member.
const (
	Ready    State = iota
	Draining       // finishes what it has, and gets nothing new
	Gone
)

// Member is an entry of discovery's list.
type Member struct {
	ID      ServerID
	Zone    int
	Kind    int // Settings.ParentKind, Settings.OriginKind or any other for a cache
	Cell    int // see DedupCell
	State   State
	Weight  float64 // capacity of its link, in transfers at once; see Settings.WeightsKnown
	Started Time    // when it started; 0: long ago
}

// ListKind says how a Members event relates to the list that the router has.
type ListKind int

// The kinds of list.
const (
	ListChanges ListKind = iota // changes to the list
	ListFull                    // the complete list
	ListCached                  // the complete list as last known, perhaps outdated
	ListFailed                  // no list: the call failed or the subscription ended
)

// Members is an update from discovery.
type Members struct {
	Kind    ListKind
	Version int64
	Entries []Member
}

// Request is a client's request, which must get exactly one final answer.
type Request struct {
	ID          string
	TimeLeft    time.Duration // until the client's deadline
	Class       int           // index in Settings.Classes
	Tenant      int
	Object      string
	Part        int
	Group       int     // the object's purge group; -1: unknown
	SizeKB      float64 // 0: unknown
	ClientRetry bool    // the client has marked it as a retry
	Write       bool
}

// StreamStarted reports that a streamed answer has begun: the request is bound to this attempt from now on.
type StreamStarted struct {
	ID      string
	Attempt int
	Server  ServerID
	Latency time.Duration // since the attempt was made
}

// Result is how an attempt ended.
type Result int

// The results. Overloaded, ConnectFailed, Skipped and Miss prove that the attempt was not executed.
const (
	Unknown    Result = iota // not recognised: it may have been executed
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

// Note is how an outcome came about, as far as Settings.OutcomeDetail provides it.
type Note int

// The notes.
const (
	NoteNone           Note = iota
	NoteHit                 // from a cached copy
	NoteFilled              // after a fill
	NoteFilledOrigin        // after a fill that reached the origin
	NoteCoalesced           // after joining a fill in progress
	NoteStale               // from a copy past its freshness
	NoteSourceRejected      // the source was overloaded
	NoteSourceLost          // the source could not be reached, or stopped answering
	NoteSourceMiss          // the source had no copy
	NoteNoFillSlot          // the cache had no slot for a fill
	NoteOriginFailed        // the origin failed behind the source
)

// LoadReport is a server's load report: inflight and queue (requests), util (a fraction), latency (ms), served and errors
// (per second), hits (a fraction) and link. Any figure may be missing, late or inexact; no rule reads them.
type LoadReport map[string]float64

// Outcome is how one attempt ended.
type Outcome struct {
	ID         string
	Attempt    int // index among the request's attempts, from 0
	Server     ServerID
	Result     Result
	Note       Note
	Final      bool          // the request has its final answer
	Latency    time.Duration // since the attempt was made
	SourceWait time.Duration // until the source's first byte or failure; 0: unknown
	Load       LoadReport
}

// filled reports whether the answer needed a fill.
func (o Outcome) filled() bool { return o.Note == NoteFilled || o.Note == NoteFilledOrigin }

// sourceFailed reports whether the source is why the attempt failed.
func (o Outcome) sourceFailed() bool {
	return o.Note == NoteSourceRejected || o.Note == NoteSourceLost || o.Note == NoteSourceMiss
}

// overloaded reports whether the server or the source rejected the attempt. The other notes of Overloaded name
// another reason.
func (o Outcome) overloaded() bool {
	return o.Result == Overloaded && (o.Note == NoteNone || o.Note == NoteSourceRejected)
}

// ClientLeft reports that a request needs no answer any more.
type ClientLeft struct{ ID string }

// Timer reports that a timer requested with SetTimer is due.
type Timer struct{ Token uint64 }

// Purged reports that an object or, if Object is empty, a whole group was purged at the origin.
type Purged struct {
	Object string
	Group  int           // -1: unknown
	Age    time.Duration // time since the purge; below 0: copies made shortly after now are outdated too
}

// DiscoveryOverdue reports that discovery has been silent for too long: purges made until Age ago may exist
// that were not reported. With Overdue false all purges have been reported again.
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
