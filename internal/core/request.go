package core

import (
	"slices"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/memory"
	"ravenwheel/policy"
)

// RequestBytes is what an open request needs in bytes besides its body: in its front, here, in the policy and at the upstream. A
// front reserves it before it calls Core.Do.
const RequestBytes = 12 << 10

// Request is a client's request as a front passes it on. Times are in ms of the core's clock.
type Request struct {
	ID             string
	Class          int // see Core.ClassIndex
	Object         string
	Part           int
	Group          int     // the object's purge group; -1: unknown
	SizeKB         float64 // 0: unknown
	ClientRetry    bool    // the client has marked it as a retry
	CachedTag      string  // version of the client's own copy; empty: the client has none
	IdempotencyKey string  // sent with all attempts; empty: none
	FrontKey       bool    // the front made IdempotencyKey: retries by the client have another key, otherwise the same
	Body           []byte  // of a write
	Deadline       float64 // when the client gives up
	SendBy         float64 // no attempt is written after this time; 0: no bound
	// ClientGone reports whether the client has closed its connection. It detects a close that the front has not read yet. If it is
	// nil, only the context passed to Do shows that the client has left.
	ClientGone func() bool
}

// keyIssuer returns who chose the request's idempotency key.
func (r *Request) keyIssuer() policy.KeyIssuer {
	switch {
	case r.IdempotencyKey == "":
		return policy.NoKey
	case r.FrontKey:
		return policy.FrontKey
	}
	return policy.ClientKey
}

func (r *Request) clientGone() bool { return r.ClientGone != nil && r.ClientGone() }

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Served    Verdict = iota
	Rejected          // the client may safely retry
	Failed            // the request may or may not have been executed
	Abandoned         // the client has left
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict     Verdict
	Body        []byte
	Tag         string  // version of the copy
	NotModified bool    // the client's copy is current; there is no body
	RetryAfter  float64 // ms after which the client may retry; 0: none
	// Memory is reserved for Body. The front releases it once the answer is written or dropped.
	Memory *memory.Reservation
}

// Attempt is an attempt of a request at a cache server. Times are in ms of the core's clock.
type Attempt struct {
	ID             string // the request's id
	Class          string
	Object         string
	Part           int
	CachedTag      string
	IdempotencyKey string
	Body           []byte
	Server         policy.ServerID
	Source         policy.ServerID // equal to Server: no fill
	Deadline       float64         // the time left is computed from it when the first byte is written
	MaxAge         float64         // oldest copy that may be served, in ms; 0: the class's limit
	RetainRank     int             // see policy.Fetch
	Options        policy.FillOptions
	SendBy         float64     // the attempt must not be written after this time, since its decision is then outdated
	ClientGone     func() bool // see Request
	Carriers       *Carriers   // the connections of the request's earlier attempts
	NonIdempotent  bool        // if its connection breaks, the request fails: the attempt must not be repeated
}

// Carriers are the connections that have carried attempts of one request. A second answer to an earlier attempt must not be taken
// for the answer to a later one.
type Carriers struct{ connections []uint64 }

// Add adds a connection, and reports whether it was not among them. A nil Carriers has none.
func (c *Carriers) Add(connection uint64) (added bool) {
	if c == nil {
		return true
	}
	if slices.Contains(c.connections, connection) {
		return false
	}
	c.connections = append(c.connections, connection)
	return true
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result      policy.Result
	Note        policy.Note
	SourceWait  float64 // ms until the source's first byte or failure; 0: unknown
	Tag         string
	Body        []byte
	NotModified bool // the client's copy, whose version is Tag, is current
	// Written reports that the first byte of the attempt was written and that its connection did not break before the last byte
	// was. If it is false, no cache server has executed the attempt.
	Written bool
	Load    policy.LoadReport
	// Memory is reserved for Body. The receiver of the outcome releases it.
	Memory *memory.Reservation
}

// Upstream carries attempts to cache servers.
type Upstream interface {
	// Send starts an attempt. It calls end exactly once, from any goroutine, unless abort is called first. abort ends the attempt
	// without a call of end and returns the value that Outcome.Written would have.
	Send(a Attempt, end func(Outcome)) (abort func() (written bool))
	// UpdateMembers updates the servers and their addresses. list has all servers if full is true, and otherwise those that have
	// changed.
	UpdateMembers(list []Member, full bool)
}

// Reject returns the answer to a request that the front does not pass to Do because the proxy is draining. The request was not
// executed.
func (c *Core) Reject() Answer {
	c.Counters.Requests.Add(1)
	return c.refuseUnsent()
}

// rejection returns the answer to a request that is rejected without consulting the router. Its Retry-After is always the maximum;
// the router's rejections have a random one.
func (c *Core) rejection() Answer {
	if !c.settings.SendsRetryAfter {
		return Answer{Verdict: Rejected}
	}
	return Answer{Verdict: Rejected, RetryAfter: clock.Ms(c.settings.MaxRetryAfter)}
}
