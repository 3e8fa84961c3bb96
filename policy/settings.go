package policy

import (
	"fmt"
	"time"
)

// Time is a reading of the caller's clock, in nanoseconds. It has no particular origin and never goes
// backwards.
type Time = time.Duration

// ServerID identifies a server: a cache, a parent cache or the origin.
type ServerID uint64

// Idempotency says what a repeated execution of a request may do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be repeated
	IdempotentByKey                    // duplicates are discarded by caches of one scope, for a while
	NotIdempotent                      // must not run twice
)

// DedupScope says which caches discard duplicates of a request with an idempotency key together.
type DedupScope int

// The scopes of deduplication.
const (
	DedupAll  DedupScope = iota // all caches
	DedupZone                   // the caches of one zone
	DedupCell                   // the caches of one cell
)

// SiblingScope says which other caches may be named as the source of a fill.
type SiblingScope int

// The scopes of sibling fills.
const (
	SiblingsNone   SiblingScope = iota
	SiblingsInZone              // caches of the same zone
	SiblingsAny
)

// OutcomeDetail says how much an outcome's note tells.
type OutcomeDetail int

// The levels of detail.
const (
	DetailNone OutcomeDetail = iota // there are no notes
	DetailHit                       // only hits are noted
	DetailAll
)

// Class describes a class of requests. The names in the tags are those under which a digest of the settings
// was computed first; they and the order of the fields must stay, as a process accepts learned state only
// from one with the same digest.
type Class struct {
	LatencyObjective time.Duration `cbor:"Target"` // an answer within it earns the full weight
	// ObjectiveStretch extends the objective by this multiple of the request's own transfer time.
	ObjectiveStretch float64       `cbor:"AimStretch"`
	Deadline         time.Duration `cbor:"Deadline"`
	PriorityWeight   float64       `cbor:"Worth"`     // what an answer in time is worth, relative to other classes
	LateFraction     float64       `cbor:"LateValue"` // of the weight, for an answer after the objective
	Idempotency      Idempotency   `cbor:"Effect"`
	DedupScope       DedupScope    `cbor:"Group"`  // of IdempotentByKey
	DedupWindow      time.Duration `cbor:"Window"` // of IdempotentByKey: how long duplicates are discarded
	Streamed         bool          `cbor:"Stream"`
	Uncached         bool          `cbor:"Uncached"`   // executed at the origin, never cached
	Multipart        bool          `cbor:"InParts"`    // an object has parts, which are requested in turn
	FreshFor         time.Duration `cbor:"Fresh"`      // age up to which a copy is fresh; 0: until it is purged
	StaleFor         time.Duration `cbor:"StaleFor"`   // age up to which a stale copy may still be served
	StaleFraction    float64       `cbor:"StaleWorth"` // of the weight, for an answer from a stale copy
}

// WarmUp describes how the capacity of a recently started server grows, and what overloads it meanwhile.
type WarmUp struct {
	InitialCapacity  float64       `cbor:"ColdFrom"`   // at least this fraction of its full capacity
	Duration         time.Duration `cbor:"WarmWithin"` // time until its capacity is full
	OverloadMultiple float64       `cbor:"Multiple"`   // load that overloads it, as a multiple of its present capacity
	OverloadWindow   time.Duration `cbor:"Within"`     // when it lasts for this time
}

// Settings are the facts with which a router is started. See Class for the tags. No rule of this package reads
// some of them, such as PollInterval, the overload of the origin and MinBatchInterval.
type Settings struct {
	RouterIndex     int           `cbor:"Rank"`        // index of this router, from 0
	Routers         int           `cbor:"Routers"`     // number of routers
	Zone            int           `cbor:"Zone"`        // of this router
	ZoneRouters     []int         `cbor:"ZoneRouters"` // number of routers by zone; may be empty
	HomeHub         []int         `cbor:"HomeHub"`     // by zone, the hub zone to which it is attached
	LinkKBPerS      []float64     `cbor:"LinkKBPerS"`  // by zone, its link in, in KB/s; 0: unknown
	Classes         []Class       `cbor:"Classes"`
	ParentKind      int           `cbor:"ParentKind"` // Member.Kind of parents; -1: there are none
	OriginKind      int           `cbor:"OriginKind"` // Member.Kind of the origin; -1: there is none
	MayBypassCaches bool          `cbor:"MayPassBy"`  // requests may be sent to parents and the origin directly
	SiblingFills    SiblingScope  `cbor:"Siblings"`
	CoalescesFills  bool          `cbor:"SharesFills"` // a request may join a fill in progress
	OutcomeDetail   OutcomeDetail `cbor:"Details"`
	TransferKBPerS  float64       `cbor:"FlowKBPerS"`  // best pace of a transfer to a client, in KB/s; 0: unknown
	PurgeDuration   time.Duration `cbor:"PurgeTakes"`  // after a purge, time until no older copy is left anywhere
	PurgeGrace      time.Duration `cbor:"PurgeNotice"` // time from the notice of a purge until it must be respected
	// OriginOverloadMultiple of its capacity, for OriginOverloadWindow, makes the origin stop; 0: never.
	OriginOverloadMultiple float64       `cbor:"OriginMultiple"`
	OriginOverloadWindow   time.Duration `cbor:"OriginBears"`

	WatchDiscovery   bool          `cbor:"AskDiscovery"` // discovery reports only after a Watch
	PollInterval     time.Duration `cbor:"AskWithin"`    // without a watch, lists this old count as known
	DrainGrace       time.Duration `cbor:"DrainGrace"`   // time from the notice of a drain until it must be respected
	CacheWarmUp      WarmUp        `cbor:"CacheFall"`
	ParentWarmUp     WarmUp        `cbor:"ParentFall"`
	FinalAnswerGrace time.Duration `cbor:"AnswerSlack"` // after the deadline, time in which a final answer is valid
	WeightsKnown     bool          `cbor:"WeightsTold"` // weights are link capacities in transfers, maybe inexact
	MaxAttempts      int           `cbor:"MaxTries"`    // of a request; 0: no limit
	CanCancel        bool          `cbor:"Cancel"`      // attempts can be cancelled
	SendsRetryAfter  bool          `cbor:"RetryAfter"`  // clients respect a Retry-After
	MaxRetryAfter    time.Duration `cbor:"MaxRetryAfter"`
	ConnectTimeout   time.Duration `cbor:"ConnectWithin"`
	MinBatchInterval time.Duration `cbor:"Tick"` // least time between two batches of events
}

// SettingsError reports a setting that a Router cannot work with.
type SettingsError struct {
	Field   string // path of the field, for example Settings.Classes[0].Deadline
	Problem string
}

// Error implements error.
func (e *SettingsError) Error() string { return "policy: " + e.Field + e.Problem }

// validate returns a *SettingsError for the first setting that a Router cannot work with.
func validate(settings Settings) error {
	if len(settings.Classes) == 0 {
		return &SettingsError{"Settings.Classes", " is empty"}
	}
	for i, class := range settings.Classes {
		field := fmt.Sprintf("Settings.Classes[%d].", i)
		if class.Idempotency < Idempotent || class.Idempotency > NotIdempotent {
			return &SettingsError{field + "Idempotency", fmt.Sprintf(": unknown value %d", class.Idempotency)}
		}
		if class.Deadline <= 0 {
			return &SettingsError{field + "Deadline", " must be above 0"}
		}
	}
	return nil
}
