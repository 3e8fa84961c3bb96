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

// Idempotency says whether a request may be executed more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // the caches of a DedupScope discard duplicates for a DedupWindow, by key
	NotIdempotent                      // must not be executed twice
)

// DedupScope says which caches share the idempotency keys by which they discard duplicates of a request.
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

// OutcomeDetail says which notes outcomes carry.
type OutcomeDetail int

// The levels of detail.
const (
	DetailNone OutcomeDetail = iota // no notes
	DetailHit                       // only NoteHit
	DetailAll
)

// Class describes a class of requests. A digest of the settings covers the names in the tags and the order of
// the fields. Both must stay as they are, because a process accepts learned state only from a process with
// the same digest.
type Class struct {
	LatencyObjective time.Duration `cbor:"Target"` // an answer within this time earns all of PriorityWeight
	// ObjectiveStretch extends the objective by this multiple of the request's own transfer time.
	ObjectiveStretch float64       `cbor:"AimStretch"`
	Deadline         time.Duration `cbor:"Deadline"`
	PriorityWeight   float64       `cbor:"Worth"`     // value of an answer in time, relative to other classes
	LateFraction     float64       `cbor:"LateValue"` // of PriorityWeight, for an answer after the objective
	Idempotency      Idempotency   `cbor:"Effect"`
	DedupScope       DedupScope    `cbor:"Group"`  // for IdempotentByKey
	DedupWindow      time.Duration `cbor:"Window"` // for IdempotentByKey: how long duplicates are discarded
	Streamed         bool          `cbor:"Stream"`
	Uncached         bool          `cbor:"Uncached"`   // executed at the origin, never cached
	Multipart        bool          `cbor:"InParts"`    // objects have parts, which are requested one by one
	FreshFor         time.Duration `cbor:"Fresh"`      // maximum age of a fresh copy; 0: fresh until purged
	StaleFor         time.Duration `cbor:"StaleFor"`   // maximum age of a stale copy that may be served
	StaleFraction    float64       `cbor:"StaleWorth"` // of PriorityWeight, for an answer from a stale copy
}

// EffectiveIdempotency returns the idempotency of a request of the class. If the class is IdempotentByKey and
// the request has no key, no server can recognise a duplicate, so the request is NotIdempotent.
func (c *Class) EffectiveIdempotency(issuer KeyIssuer) Idempotency {
	if c.Idempotency == IdempotentByKey && issuer == NoKey {
		return NotIdempotent
	}
	return c.Idempotency
}

// WarmUp describes how the capacity of a recently started server grows, and which load overloads it
// meanwhile: OverloadMultiple times its current capacity, for OverloadWindow.
type WarmUp struct {
	InitialCapacity  float64       `cbor:"ColdFrom"`   // least capacity, as a fraction of its full capacity
	Duration         time.Duration `cbor:"WarmWithin"` // time until its capacity is full
	OverloadMultiple float64       `cbor:"Multiple"`
	OverloadWindow   time.Duration `cbor:"Within"`
}

// Settings describe the deployment in which a router runs. See Class for the tags. The rules of this package
// use only some of them; they don't use, for example, PollInterval, OriginOverloadMultiple,
// OriginOverloadWindow and MinBatchInterval.
type Settings struct {
	RouterIndex     int           `cbor:"Rank"`        // index of this router, from 0
	Routers         int           `cbor:"Routers"`     // number of routers
	Zone            int           `cbor:"Zone"`        // of this router
	ZoneRouters     []int         `cbor:"ZoneRouters"` // number of routers by zone; may be empty
	HomeHub         []int         `cbor:"HomeHub"`     // by zone, the hub zone to which it is attached
	LinkKBPerS      []float64     `cbor:"LinkKBPerS"`  // by zone, rate of its inbound link; 0: unknown
	Classes         []Class       `cbor:"Classes"`
	ParentKind      int           `cbor:"ParentKind"` // Member.Kind of parents; -1: there are none
	OriginKind      int           `cbor:"OriginKind"` // Member.Kind of the origin; -1: there is none
	MayBypassCaches bool          `cbor:"MayPassBy"`  // requests may go directly to parents and the origin
	SiblingFills    SiblingScope  `cbor:"Siblings"`
	CoalescesFills  bool          `cbor:"SharesFills"` // a request may join a fill in progress
	OutcomeDetail   OutcomeDetail `cbor:"Details"`
	TransferKBPerS  float64       `cbor:"FlowKBPerS"`  // highest rate of a transfer to a client; 0: unknown
	PurgeDuration   time.Duration `cbor:"PurgeTakes"`  // time from a purge until no older copy is left
	PurgeGrace      time.Duration `cbor:"PurgeNotice"` // time from a purge's notice until it must be obeyed
	// A load of OriginOverloadMultiple times its capacity for OriginOverloadWindow stops the origin; with 0
	// no load does.
	OriginOverloadMultiple float64       `cbor:"OriginMultiple"`
	OriginOverloadWindow   time.Duration `cbor:"OriginBears"`

	WatchDiscovery   bool          `cbor:"AskDiscovery"` // discovery reports only after a Watch
	PollInterval     time.Duration `cbor:"AskWithin"`    // without a watch, age up to which a list is current
	DrainGrace       time.Duration `cbor:"DrainGrace"`   // time from a drain's notice until it must be obeyed
	CacheWarmUp      WarmUp        `cbor:"CacheFall"`
	ParentWarmUp     WarmUp        `cbor:"ParentFall"`
	FinalAnswerGrace time.Duration `cbor:"AnswerSlack"` // time after the deadline in which an answer is valid
	WeightsKnown     bool          `cbor:"WeightsTold"` // weights are link capacities, possibly inexact
	MaxAttempts      int           `cbor:"MaxTries"`    // of a request; 0: no limit
	CanCancel        bool          `cbor:"Cancel"`      // attempts can be cancelled
	SendsRetryAfter  bool          `cbor:"RetryAfter"`  // clients respect a Retry-After
	MaxRetryAfter    time.Duration `cbor:"MaxRetryAfter"`
	ConnectTimeout   time.Duration `cbor:"ConnectWithin"`
	MinBatchInterval time.Duration `cbor:"Tick"` // minimum time between two batches of events
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
		return &SettingsError{"Settings.Classes", " is empty, must have at least one class"}
	}
	for i, class := range settings.Classes {
		field := fmt.Sprintf("Settings.Classes[%d].", i)
		if class.Idempotency < Idempotent || class.Idempotency > NotIdempotent {
			return &SettingsError{field + "Idempotency", fmt.Sprintf(": %d is not from 0 to 2", class.Idempotency)}
		}
		if class.Deadline <= 0 {
			return &SettingsError{field + "Deadline", " must be above 0"}
		}
	}
	return nil
}
