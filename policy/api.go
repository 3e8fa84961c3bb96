package policy

import "time"

// Time is a reading of the caller's clock. It has no particular origin and never goes backwards.
type Time = time.Duration

// CacheID names a cache, a parent or the origin. It carries no meaning beyond identity.
type CacheID uint64

// Effect tells what repeating a request may do.
type Effect int

// The three kinds of effect.
const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are discarded within a group of caches, for a while
	Unsafe               // must never run twice
)

// Group tells which caches discard the repeats of a keyed request together.
type Group int

// The three reaches of a group.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Reach tells which other caches may be named as the source of a fill.
type Reach int

// The three reaches of sibling fills.
const (
	ReachNone Reach = iota
	ReachLocation
	ReachAny
)

// Detail tells how much an outcome says of how it came about.
type Detail int

// The three levels of detail.
const (
	DetailNone Detail = iota
	DetailHit
	DetailAll
)

// Class is one class of requests.
type Class struct {
	Target     time.Duration `cbor:"Target"`     // the full worth is earned by answering within this
	AimStretch float64       `cbor:"AimStretch"` // the aim grows by this many times the request's own sending time
	Deadline   time.Duration `cbor:"Deadline"`
	Worth      float64       `cbor:"Worth"`
	LateValue  float64       `cbor:"LateValue"` // share of the worth earned after the aim
	Effect     Effect        `cbor:"Effect"`
	Group      Group         `cbor:"Group"`
	Window     time.Duration `cbor:"Window"` // for Keyed: how long repeats are discarded
	Stream     bool          `cbor:"Stream"`
	Uncached   bool          `cbor:"Uncached"` // runs at the origin and is never kept
	InParts    bool          `cbor:"InParts"`  // objects come in parts, asked for in turn
	Fresh      time.Duration `cbor:"Fresh"`    // 0: good until purged
	StaleFor   time.Duration `cbor:"StaleFor"`
	StaleWorth float64       `cbor:"StaleWorth"`
}

// Fall is the limit beyond which something newly started is pushed over.
type Fall struct {
	ColdFrom   float64       `cbor:"ColdFrom"` // share of its capacity at its start, or more
	WarmWithin time.Duration `cbor:"WarmWithin"`
	Multiple   float64       `cbor:"Multiple"` // of its present capacity
	Within     time.Duration `cbor:"Within"`
}

// Settings are the facts a router is started with.
type Settings struct {
	Rank           int           `cbor:"Rank"`
	Routers        int           `cbor:"Routers"`
	Zone           int           `cbor:"Zone"`
	ZoneRouters    []int         `cbor:"ZoneRouters"` // routers in each zone; may be empty
	HomeHub        []int         `cbor:"HomeHub"`
	LinkKBPerS     []float64     `cbor:"LinkKBPerS"`
	Classes        []Class       `cbor:"Classes"`
	ParentKind     int           `cbor:"ParentKind"` // -1: none
	OriginKind     int           `cbor:"OriginKind"` // -1: none
	MayPassBy      bool          `cbor:"MayPassBy"`
	Siblings       Reach         `cbor:"Siblings"`
	SharesFills    bool          `cbor:"SharesFills"`
	Details        Detail        `cbor:"Details"`
	FlowKBPerS     float64       `cbor:"FlowKBPerS"` // pace of one transfer to a client; 0: not told
	PurgeTakes     time.Duration `cbor:"PurgeTakes"`
	PurgeNotice    time.Duration `cbor:"PurgeNotice"`
	OriginMultiple float64       `cbor:"OriginMultiple"` // the origin stops when asked for more than this; 0: never
	OriginBears    time.Duration `cbor:"OriginBears"`

	AskDiscovery  bool          `cbor:"AskDiscovery"`
	AskWithin     time.Duration `cbor:"AskWithin"`
	DrainGrace    time.Duration `cbor:"DrainGrace"`
	CacheFall     Fall          `cbor:"CacheFall"`
	ParentFall    Fall          `cbor:"ParentFall"`
	AnswerSlack   time.Duration `cbor:"AnswerSlack"`
	WeightsTold   bool          `cbor:"WeightsTold"` // weights are sizes in transfers, exact or rough
	MaxTries      int           `cbor:"MaxTries"`    // 0: no limit
	Cancel        bool          `cbor:"Cancel"`
	RetryAfter    bool          `cbor:"RetryAfter"`
	MaxRetryAfter time.Duration `cbor:"MaxRetryAfter"`
	ConnectWithin time.Duration `cbor:"ConnectWithin"`
	Tick          time.Duration `cbor:"Tick"`
}

// State is what discovery says of a member.
type State int

// The states of a member.
const (
	Ready State = iota
	Draining
	Gone
)

// Member is one entry of discovery's list.
type Member struct {
	ID      CacheID
	Zone    int
	Kind    int
	Cell    int
	State   State
	Weight  float64
	Started Time // 0: long ago
}

// ListKind tells how a Members event relates to the list held.
type ListKind int

// The kinds of list.
const (
	ListChanges ListKind = iota
	ListWhole
	ListStored // the whole list as last held, maybe old
	ListFailed // an asked call failed, or the subscription broke
)

// Result is how an attempt ended.
type Result int

// The results. Full, ConnectFailed, Moot and Miss prove that the attempt never ran.
const (
	Unknown Result = iota // not recognised: it may have run
	OK
	Failed
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
	Miss
)

// Note is how an outcome came about, where the settings give details.
type Note int

// The notes.
const (
	NoteNone Note = iota
	NoteHit
	NoteFilled
	NoteFilledOrigin
	NoteJoined
	NoteStale
	NoteSourceRefused
	NoteSourceLost
	NoteSourceLacks
	NoteNoPlace
	NoteOriginFailed
)

// Load is a load report: named values, late and noisy.
type Load map[string]float64

// Event is something the router is told: one of Members, Request, First, Outcome, ClientLeft, Timer,
// Purged and Overdue.
type Event interface{ event() }

// Members is news from discovery.
type Members struct {
	Kind    ListKind
	Version int64
	Entries []Member
}

// Request is a client's request, which the router now owes one final answer.
type Request struct {
	ID     string
	Left   time.Duration // until the client gives up on this try
	Class  int
	Tenant int
	Object string
	Part   int
	Group  int     // the object's purge group; -1: none told
	SizeKB float64 // 0: not told
	Repeat bool    // marked as a client's repeat
	Write  bool
}

// First tells that a streamed answer has begun: the attempt is the client's from here on.
type First struct {
	ID      string
	Attempt int
	Cache   CacheID
	Latency time.Duration
}

// Outcome is how one attempt ended.
type Outcome struct {
	ID      string
	Attempt int
	Cache   CacheID
	Result  Result
	Note    Note
	Closed  bool // the request is over
	Latency time.Duration
	Waited  time.Duration // to the source's first byte or failure; 0: not told
	Load    Load
}

// ClientLeft tells that a request is over and owed nothing more.
type ClientLeft struct{ ID string }

// Timer is an asked-for timer that is due.
type Timer struct{ Token uint64 }

// Purged tells that an object, or with no object a whole group, was purged at the origin.
type Purged struct {
	Object string
	Group  int // -1: none told
	Age    time.Duration
}

// Overdue tells that discovery has not spoken for too long: purges made until Age ago may bind without having
// been told. With On false all has been told again.
type Overdue struct {
	On  bool
	Age time.Duration
}

func (Members) event()    {}
func (Request) event()    {}
func (First) event()      {}
func (Outcome) event()    {}
func (ClientLeft) event() {}
func (Timer) event()      {}
func (Purged) event()     {}
func (Overdue) event()    {}

// Action is something the router wants done: one of Ask, Get, Cancel, Refuse, Fail, SetTimer,
// Watch and Log. Actions are to be carried out in order.
type Action interface{ action() }

// Ask is an attempt for what the cache holds.
type Ask struct {
	ID      string
	Cache   CacheID
	Timeout time.Duration // 0: until the client gives up
}

// Get is an attempt that also says where a miss is filled from and what is kept.
type Get struct {
	ID      string
	Cache   CacheID
	Source  CacheID // Cache itself: no fill
	Timeout time.Duration
	Age     time.Duration // oldest copy that will do; 0: the class's fresh time
	Keep    int           // 0: pass through; 1 to 3: rank
	How     How
}

// How refines a Get.
type How int

// The bits of How.
const (
	Join         How = 1 << iota // join a fill under way
	HeldOnly                     // the source gives only what it holds
	ParentPasses                 // the parent keeps no copy
	Renew                        // an ageing copy is served and fetched anew behind
)

// Cancel stops waiting for one attempt.
type Cancel struct {
	ID      string
	Attempt int
}

// Refuse is the final answer that turns a request away: a retry is harmless.
type Refuse struct {
	ID         string
	RetryAfter time.Duration // 0: no advice
}

// Fail is the final answer that promises nothing.
type Fail struct{ ID string }

// SetTimer asks for a Timer event.
type SetTimer struct {
	Token uint64
	After time.Duration
}

// Watch asks discovery for changes from now on, or no longer.
type Watch struct{ On bool }

// Log is a line for the operators.
type Log struct{ Text string }

func (Ask) action()      {}
func (Get) action()      {}
func (Cancel) action()   {}
func (Refuse) action()   {}
func (Fail) action()     {}
func (SetTimer) action() {}
func (Watch) action()    {}
func (Log) action()      {}

// Judged is what a router has learned of one cache, parent or the origin.
type Judged struct {
	Down       bool    `cbor:"Down"`
	Lost       bool    `cbor:"Lost"`       // could not be reached, or broke off, since it was last up
	Unanswered int     `cbor:"Unanswered"` // attempts past their aim since the last answer
	FailedAt   Time    `cbor:"FailedAt"`   // when it failed last
	FailShare  share   `cbor:"FailShare"`  // of its last attempts: failed; timed out
	LateShare  share   `cbor:"LateShare"`  // of its last attempts: failed; timed out
	LastAnswer Time    `cbor:"LastAnswer"`
	TrialAt    Time    `cbor:"TrialAt"`
	Limit      float64 `cbor:"Limit"`  // attempts (of a source: fills) this router lets itself have out
	Heard      Time    `cbor:"Heard"`  // when an answer last spoke for the limit
	Ramped     Time    `cbor:"Ramped"` // start of the rising share
	Ramps      bool    `cbor:"Ramps"`
	Cold       Time    `cbor:"Cold"` // start of the cold time, for the budget
	Colds      bool    `cbor:"Colds"`
	Credit     float64 `cbor:"Credit"` // of the cold budget, in seconds of sending; below 0 it is overdrawn
	CreditAt   Time    `cbor:"CreditAt"`
}

// Learned is what a router has learned of all, for the one that takes its place.
type Learned struct {
	Targets     map[CacheID]Judged   `cbor:"Targets"`
	Link        Judged               `cbor:"Link"`
	MeanSend    []float64            `cbor:"MeanSend"`
	MeanTook    []float64            `cbor:"MeanTook"`
	FillShare   share                `cbor:"FillShare"`
	OriginShare share                `cbor:"OriginShare"`
	LinkSeen    [foreign + 1]float64 `cbor:"LinkSeen"`
}

// Learned is what a router that takes this one's place may start from.
func (r *Router) Learned() Learned {
	l := Learned{map[CacheID]Judged{}, r.link.Judged, r.meanSend, r.meanTook, r.fillShare, r.originShare, r.linkSeen}
	for id, t := range r.known {
		l.Targets[id] = t.Judged
	}
	return l
}
