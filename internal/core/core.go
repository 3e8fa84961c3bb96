// Package core lives the requests of one steering proxy: their attempts, outcomes and final answers. It
// knows no wire. The fronts hand it requests through Do, and an Upstream carries its attempts.
package core

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"sync/atomic"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/invariant"
	"ravenwheel/policy"
)

// Request is what a front asks for.
type Request struct {
	ID             string
	Class          int
	Object         string
	Part           int
	Group          int
	SizeKB         float64
	ClientRetry    bool
	CachedTag      string  // the tag of the copy that the client has
	IdempotencyKey string  // the client's idempotency key, the same over its retries; empty: none
	Body           []byte  // of a write
	Deadline       float64 // Unix ms at which the client gives up
	SendBy         float64 // no attempt starts later; 0: no such bound
	// Left tells whether the client has gone, though its front may not have read that yet; nil: what ctx says is all there is.
	ClientGone func() bool
}

func (q *Request) clientGone() bool { return q.ClientGone != nil && q.ClientGone() }

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts. Refused: trying again is harmless. Failed: it may have run. Gone: no answer is owed.
const (
	Served Verdict = iota
	Rejected
	Failed
	Abandoned
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict     Verdict
	Body        []byte
	Tag         string
	NotModified bool    // the client's copy is the one
	RetryAfter  float64 // ms to stay away; 0: no advice
}

// Attempt is one try at a cache server.
type Attempt struct {
	ID             string
	Class          string
	Object         string
	Part           int
	CachedTag      string
	IdempotencyKey string
	Body           []byte
	Server         policy.CacheID
	Source         policy.CacheID // To itself: no fill
	Deadline       float64        // ms on the clock: its time is up then. What is left is computed as its first byte goes out
	MaxAge         float64        // ms; 0: the class's fresh time
	RetainRank     int
	Options        policy.FillOptions
	SendBy         float64     // ms on the clock: past it the decision is too old, and the attempt must not be written
	ClientGone     func() bool // whether the client has gone; nil: not known
	NonIdempotent  bool        // it may not be repeated: what breaks off under it is lost
}

// End is how an attempt ended.
type Outcome struct {
	Result      policy.Result
	Note        policy.Note
	SourceWait  float64 // ms
	Tag         string
	Body        []byte
	NotModified bool // the client's copy, which Tag names, is the one
	Written     bool // it was written whole: else it never came to a cache server
	Load        policy.LoadReport
}

// Upstream carries attempts to cache servers.
type Upstream interface {
	// Send starts an attempt and calls end exactly once, from any goroutine, unless abort came first. abort tells
	// whether the attempt was written whole.
	Send(a Attempt, end func(Outcome)) (abort func() (sent bool))
	// Members tells where cache servers are.
	UpdateMembers(list []Member, whole bool)
}

// Member is a cache server, with its address.
type Member = membership.Member

// StampUnit is the unit of stamps in ms: a copy that is stamped with the millisecond of a purge may be from before it.
const TimestampResolution = 1

// Purge is a purge of an object or, with none named, of a group.
type Purge struct {
	Object string
	Group  int
	At     float64 // ms on the clock: copies from before are void. One to come counts as now
}

// Counters are what operators may read. They only rise, but for Open.
type Counters struct {
	Requests, Served, Rejected, Failed, Abandoned, Attempts, Timeouts, Skipped, Notifications, InFlight atomic.Int64
	NeverSent                                                                                           atomic.Int64 // of Refused and Failed: requests of which no attempt was ever written to a cache server
	UnansweredConns                                                                                     atomic.Int64 // connections that a front closed before they had any answer
	WrongTags                                                                                           atomic.Int64 // answers that called a copy current which the client had not named
}

// Core is one steering proxy.
type Core struct {
	clock            *clock.Clock
	upstream         Upstream
	settings         policy.Settings
	classes          []string
	settingsDigest   [sha256.Size]byte // digest of set
	maxRequests      atomic.Int64
	decisionLifetime float64 // ms for which a decision may wait for its first byte
	Counters         Counters
	Log              func(text string) // takes the module's lines, if set before the first event
	LoadCounter      *LoadCounter      // counts for the view in common, if set before the first event; nil: off
	// CatchUp waits for what discovery has told and is not in force, and tells whether there was something; set before the first
	// request, or nil.
	CatchUp func() (behind bool)

	mu          sync.Mutex
	router      *policy.Router
	actions     []policy.Action
	requests    map[string]*openRequest
	loggedLines int
}

// life is one request under way. Only its own goroutine touches what is below in.
type openRequest struct {
	request  Request
	inbox    chan any // policy.Action or ended, in the order in which they came
	deferred any      // taken from in and not heeded
	attempts []*attempt
	verdict  Verdict
	written  bool // an attempt was written to a cache server
}

type attempt struct {
	server     policy.CacheID
	sentAt     float64
	deadline   float64
	open       bool
	mayHaveRun bool // it ended, and may have run
	abort      func() bool
}

type attemptEnded struct {
	attempt int
	Outcome
}

const (
	maxAttempts       = 64  // of a request, where the settings set no limit or a higher one: there is room in memory for so many
	maxModuleLogLines = 500 // log lines from the module
)

// mailbox is room for all that one request's life can be told: its tries, their cancels, their ends and
// the final answer. It is kept small: at thousands of requests a second the collector feels it.
func (c *Core) inboxSize() int { return 3*c.settings.MaxAttempts + 2 }

// New returns a core around a new Router. classes are the names of the classes, and mostHeld bounds how
// many requests are open at once (0: 4096).
func New(set policy.Settings, classes []string, mostHeld int, seed uint64, c *clock.Clock, up Upstream) (*Core, error) {
	if len(classes) != len(set.Classes) {
		return nil, fmt.Errorf("core: %d names for %d classes", len(classes), len(set.Classes))
	}
	if set.MaxAttempts <= 0 || set.MaxAttempts > maxAttempts {
		set.MaxAttempts = maxAttempts
	}
	router, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	sum, err := settingsDigest(set)
	if err != nil {
		return nil, err
	}
	if mostHeld <= 0 {
		mostHeld = 4096
	}
	// News heard after a decision binds only after its grace: a decision written within half the shorter
	// grace can break neither the rule on drains nor the one on purges, which count from the first byte.
	good := 500.0
	for _, grace := range []float64{clock.Ms(set.DrainGrace), clock.Ms(set.PurgeGrace)} {
		if grace > 0 {
			good = min(good, grace/2)
		}
	}
	core := &Core{
		clock: c, upstream: up, settings: set, settingsDigest: sum, classes: classes, decisionLifetime: good, router: router, requests: map[string]*openRequest{},
	}
	core.maxRequests.Store(int64(mostHeld))
	return core, nil
}

// SetMostHeld changes how many requests are open at once. Those that are open stay.
func (c *Core) SetMaxRequests(n int) { c.maxRequests.Store(int64(n)) }

// Settings are the facts that the core was started with.
func (c *Core) Settings() policy.Settings { return c.settings }

// Unanswered books a connection that a front closed before it had any answer.
func (c *Core) CountUnansweredConn() { c.Counters.UnansweredConns.Add(1) }

// ClassOf finds a class by its name; -1 if there is none.
func (c *Core) ClassIndex(name string) int {
	for i, n := range c.classes {
		if n == name {
			return i
		}
	}
	return -1
}

// Do lives one request from its arrival to its one final answer. When ctx ends, the client has left.
func (c *Core) Do(ctx context.Context, q Request) Answer {
	l, refused := c.openRequest(q)
	if l == nil {
		return refused
	}
	defer c.closeRequest(l)
	if c.LoadCounter != nil {
		c.LoadCounter.recordRequest(q.Object)
	}
	c.catchUpWithDiscovery()
	c.notify(policy.Request{
		ID: q.ID, TimeLeft: clock.Duration(q.Deadline - c.clock.Now()), Class: q.Class, Object: q.Object, Part: q.Part,
		Group: q.Group, SizeKB: q.SizeKB, ClientRetry: q.ClientRetry, Write: c.settings.Classes[q.Class].Uncached,
	})
	for {
		var e any
		select {
		case <-ctx.Done():
		case e = <-l.inbox:
		}
		// Looked at again: with both there, an attempt would begin for a client that has left.
		if ctx.Err() != nil || startsAttempt(e) && q.clientGone() {
			l.deferred = e
			c.notify(policy.ClientLeft{ID: q.ID})
			return c.answer(l, Answer{Verdict: Abandoned})
		}
		if startsAttempt(e) && c.catchUpWithDiscovery() {
			c.skipAttempt(l, serverOf(e)) // the module decides anew, from what has been told meanwhile
			continue
		}
		switch x := e.(type) {
		case policy.Lookup:
			c.send(l, policy.Fetch{ID: x.ID, Cache: x.Cache, Source: x.Cache, Timeout: x.Timeout})
		case policy.Fetch:
			c.send(l, x)
		case policy.Cancel:
			if a := l.attempt(x.Attempt); a != nil && a.open {
				c.outcome(l, attemptEnded{x.Attempt, Outcome{Result: policy.Cancelled, Written: a.abort()}})
			}
		case policy.Reject:
			return c.answer(l, Answer{Verdict: Rejected, RetryAfter: clock.Ms(x.RetryAfter)})
		case policy.Fail:
			return c.answer(l, Answer{Verdict: Failed})
		case attemptEnded:
			if a := l.attempt(x.attempt); a == nil || !a.open {
				break // called off before its end was read
			}
			// Guards against an answer that calls another copy current, or any where the client has none: the
			// client would keep what no cache server has vouched for.
			if x.NotModified && (l.request.CachedTag == "" || x.Tag != l.request.CachedTag) {
				c.Counters.WrongTags.Add(1)
				x.Outcome = Outcome{Result: policy.Failed, Written: true}
			}
			c.outcome(l, x)
			if x.Result == policy.OK {
				return c.answer(l, Answer{Verdict: Served, Body: x.Body, Tag: x.Tag, NotModified: x.NotModified})
			}
		}
	}
}

// catchUp has what discovery told come into force, and tells whether there was something.
func (c *Core) catchUpWithDiscovery() (behind bool) { return c.CatchUp != nil && c.CatchUp() }

// target is the server that an action which begins an attempt is for.
func serverOf(e any) policy.CacheID {
	switch x := e.(type) {
	case policy.Lookup:
		return x.Cache
	case policy.Fetch:
		return x.Cache
	}
	return 0
}

// begins tells whether an action of the module's begins an attempt.
func startsAttempt(e any) bool {
	switch e.(type) {
	case policy.Lookup, policy.Fetch:
		return true
	}
	return false
}

func (l *openRequest) attempt(no int) *attempt {
	if no < 0 || no >= len(l.attempts) {
		return nil
	}
	return l.attempts[no]
}

// open books a request, or says how one is turned away that can't be lived.
func (c *Core) openRequest(q Request) (*openRequest, Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Counters.Requests.Add(1)
	switch {
	case q.Class < 0 || q.Class >= len(c.classes) || c.requests[q.ID] != nil:
		c.Counters.Failed.Add(1)
		c.Counters.NeverSent.Add(1)
		return nil, Answer{Verdict: Failed}
	case len(c.requests) >= int(c.maxRequests.Load()):
		c.Counters.Rejected.Add(1)
		c.Counters.NeverSent.Add(1)
		return nil, c.rejection()
	}
	l := &openRequest{request: q, inbox: make(chan any, c.inboxSize())}
	c.requests[q.ID] = l
	c.Counters.InFlight.Add(1)
	return l, Answer{}
}

// close is where a request ends: it calls off what is still out, tells the module of all that it does not know yet, and
// forgets the request. An attempt whose own time is up counts as timed out: the module's deadline timer and the attempt's
// come at the same moment, in either order. Guards against an attempt that was decided on as the client left, and never
// sent: the module would have it out, and the place it takes, until a minute after the deadline.
func (c *Core) closeRequest(l *openRequest) {
	for e := l.nextPending(); e != nil; e = l.nextPending() {
		if startsAttempt(e) {
			c.skipAttempt(l, serverOf(e))
		}
		if x, is := e.(attemptEnded); is {
			if a := l.attempt(x.attempt); a != nil && a.open {
				c.outcome(l, x)
			}
		}
	}
	for no, a := range l.attempts {
		if !a.open {
			continue
		}
		sent, result := a.abort(), policy.Cancelled
		if c.clock.Now() >= a.deadline-timerTolerance {
			result = policy.TimedOut
		}
		c.outcome(l, attemptEnded{no, Outcome{Result: result, Written: sent}})
	}
	if !l.written && (l.verdict == Rejected || l.verdict == Failed) {
		c.Counters.NeverSent.Add(1)
	}
	c.mu.Lock()
	delete(c.requests, l.request.ID)
	c.mu.Unlock()
	c.Counters.InFlight.Add(-1)
}

// next is what the request was told and has not heeded, in order; nil: no more.
func (l *openRequest) nextPending() any {
	if e := l.deferred; e != nil {
		l.deferred = nil
		return e
	}
	select {
	case e := <-l.inbox:
		return e
	default:
		return nil
	}
}

// unsent ends an attempt that was decided on and will not be made.
func (c *Core) skipAttempt(l *openRequest, to policy.CacheID) {
	now := c.clock.Now()
	l.attempts = append(l.attempts, &attempt{server: to, sentAt: now, deadline: now, open: true})
	if c.LoadCounter != nil {
		c.LoadCounter.recordAttempt(to)
	}
	c.outcome(l, attemptEnded{len(l.attempts) - 1, Outcome{Result: policy.Skipped}})
}

// atOnce: timers that are due within so many milliseconds of one another are due together.
const timerTolerance = 5

func (c *Core) answer(l *openRequest, a Answer) Answer {
	n := &c.Counters
	l.verdict = a.Verdict
	[]*atomic.Int64{Served: &n.Served, Rejected: &n.Rejected, Failed: &n.Failed, Abandoned: &n.Abandoned}[a.Verdict].Add(1)
	return a
}

func (c *Core) send(l *openRequest, g policy.Fetch) {
	now := c.clock.Now()
	ttl := l.request.Deadline - now
	if g.Timeout > 0 {
		ttl = min(ttl, clock.Ms(g.Timeout))
	}
	sendBy := now + c.decisionLifetime
	if l.request.SendBy > 0 {
		sendBy = min(sendBy, l.request.SendBy)
	}
	class := &c.settings.Classes[l.request.Class]
	if class.Idempotency == policy.IdempotentByKey {
		sendBy = min(sendBy, l.retryDeadline(clock.Ms(class.DedupWindow)))
	}
	no := len(l.attempts)
	a := &attempt{server: g.Cache, sentAt: now, deadline: now + ttl, open: true}
	l.attempts = append(l.attempts, a)
	c.Counters.Attempts.Add(1)
	if c.LoadCounter != nil {
		c.LoadCounter.recordAttempt(g.Cache)
	}
	a.abort = c.upstream.Send(Attempt{
		ID: l.request.ID, Class: c.classes[l.request.Class], Object: l.request.Object, Part: l.request.Part, CachedTag: l.request.CachedTag, IdempotencyKey: l.request.IdempotencyKey,
		Body: l.request.Body, Server: g.Cache, Source: g.Source, Deadline: now + ttl, MaxAge: clock.Ms(g.MaxAge), RetainRank: g.RetainRank, Options: g.Options,
		SendBy: sendBy, ClientGone: l.request.ClientGone, NonIdempotent: class.Idempotency == policy.NotIdempotent,
	}, func(e Outcome) { l.inbox <- attemptEnded{no, e} })
}

// outcome tells the module how an attempt ended.
func (c *Core) outcome(l *openRequest, e attemptEnded) {
	a := l.attempts[e.attempt]
	invariant.Check(a.open, "an attempt ends once")
	a.open = false
	a.mayHaveRun = mayHaveRun(e.Result)
	l.written = l.written || e.Written
	if c.LoadCounter != nil {
		c.LoadCounter.recordOutcome(a.server, e.Outcome, c.clock.Now()-a.sentAt, c.latencyObjective(l.request.Class))
	}
	switch e.Result {
	case policy.TimedOut:
		c.Counters.Timeouts.Add(1)
	case policy.Skipped:
		c.Counters.Skipped.Add(1)
	}
	c.notify(policy.Outcome{
		ID: l.request.ID, Attempt: e.attempt, Cache: a.server, Result: e.Result, Note: e.Note, Final: e.Result == policy.OK,
		Latency: clock.Duration(c.clock.Now() - a.sentAt), SourceWait: clock.Duration(e.SourceWait), Load: e.Load,
	})
}

// Purged takes in a purge that was told.
func (c *Core) Purged(p Purge) {
	c.Counters.Notifications.Add(1)
	now := c.clock.Now()
	c.notify(policy.Purged{Object: p.Object, Group: p.Group, Age: clock.Duration(now - min(now+TimestampResolution, p.At))})
}

// Overdue takes in that discovery has not spoken for too long, and that what was made until so many ms of the clock counts as told;
// on false: that all has been told.
func (c *Core) DiscoveryOverdue(on bool, until float64) {
	now := c.clock.Now()
	c.notify(policy.DiscoveryOverdue{Overdue: on, Age: clock.Duration(max(0, now-until))})
}

// Members takes in what the ledger publishes: first those who carry attempts, so that none is decided on for a server
// that they don't know.
func (c *Core) UpdateMembers(p membership.Publish) {
	c.Counters.Notifications.Add(1)
	e := policy.Members{Version: int64(p.Version)}
	if p.Complete {
		e.Kind = policy.ListFull
	}
	for _, m := range p.Members {
		e.Entries = append(e.Entries, m.Member)
	}
	if c.LoadCounter != nil {
		c.LoadCounter.updateServers(p.Members, p.Complete)
	}
	c.upstream.UpdateMembers(p.Members, p.Complete)
	c.notify(e)
}

// tell hands one event to the module and its actions, in order, to those they are for.
func (c *Core) notify(e policy.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.actions = c.router.Handle(clock.Duration(c.clock.Now()), e, c.actions[:0])
	for _, act := range c.actions {
		switch x := act.(type) {
		case policy.Lookup:
			c.deliver(x.ID, act)
		case policy.Fetch:
			c.deliver(x.ID, act)
		case policy.Cancel:
			c.deliver(x.ID, act)
		case policy.Reject:
			c.deliver(x.ID, act)
		case policy.Fail:
			c.deliver(x.ID, act)
		case policy.SetTimer:
			c.clock.After(clock.Ms(x.After), func() { c.notify(policy.Timer{Token: x.Token}) })
		case policy.Log:
			if c.loggedLines++; c.loggedLines <= maxModuleLogLines && c.Log != nil {
				c.Log(x.Text)
			}
		}
	}
}

func (c *Core) deliver(id string, act policy.Action) {
	l := c.requests[id]
	if l == nil {
		return // it ended while the module decided
	}
	select {
	case l.inbox <- act:
	default:
		invariant.Check(false, "a request's mailbox has room")
	}
}
