package core

import (
	"ravenwheel/internal/clock"
	"ravenwheel/policy"
)

// Request is a client's request as a front passes it on. Times are in ms of the core's clock.
type Request struct {
	ID             string
	Class          int // see Core.ClassIndex
	Object         string
	Part           int
	Group          int     // the object's purge group; -1: unknown
	SizeKB         float64 // 0: unknown
	ClientRetry    bool    // the client has marked it as a retry
	CachedTag      string  // version of the copy that the client has; empty: none
	IdempotencyKey string  // the same over the client's retries; empty: none
	Body           []byte  // of a write
	Deadline       float64 // when the client gives up
	SendBy         float64 // no attempt is written later; 0: no such bound
	// ClientGone reports whether the client has closed its connection, which the front may not have read yet. If it is
	// nil, only the context of Do tells.
	ClientGone func() bool
}

func (r *Request) clientGone() bool { return r.ClientGone != nil && r.ClientGone() }

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts.
const (
	Served    Verdict = iota
	Rejected          // a retry is harmless
	Failed            // the request may or may not have been executed
	Abandoned         // the client has left
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict     Verdict
	Body        []byte
	Tag         string  // version of the copy
	NotModified bool    // the client's copy is current; there is no body
	RetryAfter  float64 // ms; 0: none
}

// Attempt is an attempt of a request at a cache server. Times are in ms of the core's clock.
type Attempt struct {
	ID             string // of the request
	Class          string
	Object         string
	Part           int
	CachedTag      string
	IdempotencyKey string
	Body           []byte
	Server         policy.CacheID
	Source         policy.CacheID // equal to Server: no fill
	Deadline       float64        // the time left is computed when the first byte is written
	MaxAge         float64        // of a copy, in ms; 0: the class's
	RetainRank     int            // see policy.Fetch
	Options        policy.FillOptions
	SendBy         float64     // the decision is outdated afterwards, and the attempt must not be written
	ClientGone     func() bool // see Request
	NonIdempotent  bool        // it is lost if its connection breaks
}

// Outcome is how an attempt ended.
type Outcome struct {
	Result      policy.Result
	Note        policy.Note
	SourceWait  float64 // ms until the source's first byte or failure; 0: unknown
	Tag         string
	Body        []byte
	NotModified bool // the client's copy, which Tag names, is current
	// Written: its first byte was written, and its connection did not break before its last. Otherwise no cache server has
	// executed it.
	Written bool
	Load    policy.LoadReport
}

// Upstream carries attempts to cache servers.
type Upstream interface {
	// Send starts an attempt. It calls end exactly once, from any goroutine, unless abort is called first. abort ends the
	// attempt without a call of end and returns what Outcome.Written would be.
	Send(a Attempt, end func(Outcome)) (abort func() (written bool))
	// UpdateMembers passes on the servers' addresses: all servers if full, otherwise those that have changed.
	UpdateMembers(list []Member, full bool)
}

// Reject answers a request that the front does not pass on because the proxy is draining: it was not executed.
func (c *Core) Reject() Answer {
	c.Counters.Requests.Add(1)
	c.Counters.Rejected.Add(1)
	c.Counters.NeverSent.Add(1)
	return c.rejection()
}

// rejection is the answer to a request that the router has not seen.
func (c *Core) rejection() Answer {
	if !c.settings.SendsRetryAfter {
		return Answer{Verdict: Rejected}
	}
	return Answer{Verdict: Rejected, RetryAfter: clock.Ms(c.settings.MaxRetryAfter)}
}
