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
	ID       string
	Class    int
	Object   string
	Part     int
	Group    int
	SizeKB   float64
	Repeat   bool
	Holds    string  // the tag of the copy that the client has
	Key      string  // the client's idempotency key, the same over its retries; empty: none
	Body     []byte  // of a write
	Deadline float64 // Unix ms at which the client gives up
	SendBy   float64 // no attempt starts later; 0: no such bound
	// Left tells whether the client has gone, though its front may not have read that yet; nil: what ctx says is all there is.
	Left func() bool
}

func (q *Request) left() bool { return q.Left != nil && q.Left() }

// Verdict is the kind of a final answer.
type Verdict int

// The verdicts. Refused: trying again is harmless. Failed: it may have run. Gone: no answer is owed.
const (
	Served Verdict = iota
	Refused
	Failed
	Gone
)

// Answer is the one final answer to a request.
type Answer struct {
	Verdict Verdict
	Body    []byte
	Tag     string
	Same    bool    // the client's copy is the one
	Backoff float64 // ms to stay away; 0: no advice
}

// Attempt is one try at a cache server.
type Attempt struct {
	ID     string
	Class  string
	Object string
	Part   int
	Holds  string
	Key    string
	Body   []byte
	To     policy.CacheID
	Source policy.CacheID // To itself: no fill
	Until  float64        // ms on the clock: its time is up then. What is left is computed as its first byte goes out
	Age    float64        // ms; 0: the class's fresh time
	Keep   int
	How    policy.FillOptions
	SendBy float64     // ms on the clock: past it the decision is too old, and the attempt must not be written
	Left   func() bool // whether the client has gone; nil: not known
	Once   bool        // it may not be repeated: what breaks off under it is lost
}

// End is how an attempt ended.
type End struct {
	Result policy.Result
	Note   policy.Note
	Waited float64 // ms
	Tag    string
	Body   []byte
	Same   bool // the client's copy, which Tag names, is the one
	Sent   bool // it was written whole: else it never came to a cache server
	Load   policy.LoadReport
}

// Upstream carries attempts to cache servers.
type Upstream interface {
	// Send starts an attempt and calls end exactly once, from any goroutine, unless abort came first. abort tells
	// whether the attempt was written whole.
	Send(a Attempt, end func(End)) (abort func() (sent bool))
	// Members tells where cache servers are.
	Members(list []Member, whole bool)
}

// Member is a cache server, with its address.
type Member = membership.Member

// StampUnit is the unit of stamps in ms: a copy that is stamped with the millisecond of a purge may be from before it.
const StampUnit = 1

// Purge is a purge of an object or, with none named, of a group.
type Purge struct {
	Object string
	Group  int
	At     float64 // ms on the clock: copies from before are void. One to come counts as now
}

// Counters are what operators may read. They only rise, but for Open.
type Counters struct {
	Requests, Served, Refused, Failed, Gone, Attempts, Timeouts, Stale, Notices, Open atomic.Int64
	Unsent                                                                            atomic.Int64 // of Refused and Failed: requests of which no attempt was ever written to a cache server
	Unanswered                                                                        atomic.Int64 // connections that a front closed before they had any answer
	Misnamed                                                                          atomic.Int64 // answers that called a copy current which the client had not named
}

// Core is one steering proxy.
type Core struct {
	clock    *clock.Clock
	up       Upstream
	set      policy.Settings
	classes  []string
	settings [sha256.Size]byte // digest of set
	mostHeld atomic.Int64
	goodFor  float64 // ms for which a decision may wait for its first byte
	Counters Counters
	Log      func(text string) // takes the module's lines, if set before the first event
	Tally    *Tally            // counts for the view in common, if set before the first event; nil: off
	// CatchUp waits for what discovery has told and is not in force, and tells whether there was something; set before the first
	// request, or nil.
	CatchUp func() (behind bool)

	mu     sync.Mutex
	router *policy.Router
	acts   []policy.Action
	lives  map[string]*life
	lines  int
}

// life is one request under way. Only its own goroutine touches what is below in.
type life struct {
	q        Request
	in       chan any // policy.Action or ended, in the order in which they came
	unread   any      // taken from in and not heeded
	attempts []*attempt
	verdict  Verdict
	sent     bool // an attempt was written to a cache server
}

type attempt struct {
	to    policy.CacheID
	sent  float64
	until float64
	open  bool
	ran   bool // it ended, and may have run
	abort func() bool
}

type ended struct {
	no int
	End
}

const (
	mostTries = 64  // of a request, where the settings set no limit or a higher one: there is room in memory for so many
	mostLines = 500 // log lines from the module
)

// mailbox is room for all that one request's life can be told: its tries, their cancels, their ends and
// the final answer. It is kept small: at thousands of requests a second the collector feels it.
func (c *Core) mailbox() int { return 3*c.set.MaxAttempts + 2 }

// New returns a core around a new Router. classes are the names of the classes, and mostHeld bounds how
// many requests are open at once (0: 4096).
func New(set policy.Settings, classes []string, mostHeld int, seed uint64, c *clock.Clock, up Upstream) (*Core, error) {
	if len(classes) != len(set.Classes) {
		return nil, fmt.Errorf("core: %d names for %d classes", len(classes), len(set.Classes))
	}
	if set.MaxAttempts <= 0 || set.MaxAttempts > mostTries {
		set.MaxAttempts = mostTries
	}
	router, err := policy.New(set, seed)
	if err != nil {
		return nil, err
	}
	sum, err := digest(set)
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
		clock: c, up: up, set: set, settings: sum, classes: classes, goodFor: good, router: router, lives: map[string]*life{},
	}
	core.mostHeld.Store(int64(mostHeld))
	return core, nil
}

// SetMostHeld changes how many requests are open at once. Those that are open stay.
func (c *Core) SetMostHeld(n int) { c.mostHeld.Store(int64(n)) }

// Settings are the facts that the core was started with.
func (c *Core) Settings() policy.Settings { return c.set }

// Unanswered books a connection that a front closed before it had any answer.
func (c *Core) Unanswered() { c.Counters.Unanswered.Add(1) }

// ClassOf finds a class by its name; -1 if there is none.
func (c *Core) ClassOf(name string) int {
	for i, n := range c.classes {
		if n == name {
			return i
		}
	}
	return -1
}

// Do lives one request from its arrival to its one final answer. When ctx ends, the client has left.
func (c *Core) Do(ctx context.Context, q Request) Answer {
	l, refused := c.open(q)
	if l == nil {
		return refused
	}
	defer c.close(l)
	if c.Tally != nil {
		c.Tally.asked(q.Object)
	}
	c.catchUp()
	c.tell(policy.Request{
		ID: q.ID, TimeLeft: clock.Duration(q.Deadline - c.clock.Now()), Class: q.Class, Object: q.Object, Part: q.Part,
		Group: q.Group, SizeKB: q.SizeKB, ClientRetry: q.Repeat, Write: c.set.Classes[q.Class].Uncached,
	})
	for {
		var e any
		select {
		case <-ctx.Done():
		case e = <-l.in:
		}
		// Looked at again: with both there, an attempt would begin for a client that has left.
		if ctx.Err() != nil || begins(e) && q.left() {
			l.unread = e
			c.tell(policy.ClientLeft{ID: q.ID})
			return c.final(l, Answer{Verdict: Gone})
		}
		if begins(e) && c.catchUp() {
			c.unsent(l, target(e)) // the module decides anew, from what has been told meanwhile
			continue
		}
		switch x := e.(type) {
		case policy.Lookup:
			c.send(l, policy.Fetch{ID: x.ID, Cache: x.Cache, Source: x.Cache, Timeout: x.Timeout})
		case policy.Fetch:
			c.send(l, x)
		case policy.Cancel:
			if a := l.at(x.Attempt); a != nil && a.open {
				c.outcome(l, ended{x.Attempt, End{Result: policy.Cancelled, Sent: a.abort()}})
			}
		case policy.Reject:
			return c.final(l, Answer{Verdict: Refused, Backoff: clock.Ms(x.RetryAfter)})
		case policy.Fail:
			return c.final(l, Answer{Verdict: Failed})
		case ended:
			if a := l.at(x.no); a == nil || !a.open {
				break // called off before its end was read
			}
			// Guards against an answer that calls another copy current, or any where the client has none: the
			// client would keep what no cache server has vouched for.
			if x.Same && (l.q.Holds == "" || x.Tag != l.q.Holds) {
				c.Counters.Misnamed.Add(1)
				x.End = End{Result: policy.Failed, Sent: true}
			}
			c.outcome(l, x)
			if x.Result == policy.OK {
				return c.final(l, Answer{Verdict: Served, Body: x.Body, Tag: x.Tag, Same: x.Same})
			}
		}
	}
}

// catchUp has what discovery told come into force, and tells whether there was something.
func (c *Core) catchUp() (behind bool) { return c.CatchUp != nil && c.CatchUp() }

// target is the server that an action which begins an attempt is for.
func target(e any) policy.CacheID {
	switch x := e.(type) {
	case policy.Lookup:
		return x.Cache
	case policy.Fetch:
		return x.Cache
	}
	return 0
}

// begins tells whether an action of the module's begins an attempt.
func begins(e any) bool {
	switch e.(type) {
	case policy.Lookup, policy.Fetch:
		return true
	}
	return false
}

func (l *life) at(no int) *attempt {
	if no < 0 || no >= len(l.attempts) {
		return nil
	}
	return l.attempts[no]
}

// open books a request, or says how one is turned away that can't be lived.
func (c *Core) open(q Request) (*life, Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Counters.Requests.Add(1)
	switch {
	case q.Class < 0 || q.Class >= len(c.classes) || c.lives[q.ID] != nil:
		c.Counters.Failed.Add(1)
		c.Counters.Unsent.Add(1)
		return nil, Answer{Verdict: Failed}
	case len(c.lives) >= int(c.mostHeld.Load()):
		c.Counters.Refused.Add(1)
		c.Counters.Unsent.Add(1)
		return nil, c.turnAway()
	}
	l := &life{q: q, in: make(chan any, c.mailbox())}
	c.lives[q.ID] = l
	c.Counters.Open.Add(1)
	return l, Answer{}
}

// close is where a request ends: it calls off what is still out, tells the module of all that it does not know yet, and
// forgets the request. An attempt whose own time is up counts as timed out: the module's deadline timer and the attempt's
// come at the same moment, in either order. Guards against an attempt that was decided on as the client left, and never
// sent: the module would have it out, and the place it takes, until a minute after the deadline.
func (c *Core) close(l *life) {
	for e := l.next(); e != nil; e = l.next() {
		if begins(e) {
			c.unsent(l, target(e))
		}
		if x, is := e.(ended); is {
			if a := l.at(x.no); a != nil && a.open {
				c.outcome(l, x)
			}
		}
	}
	for no, a := range l.attempts {
		if !a.open {
			continue
		}
		sent, result := a.abort(), policy.Cancelled
		if c.clock.Now() >= a.until-atOnce {
			result = policy.TimedOut
		}
		c.outcome(l, ended{no, End{Result: result, Sent: sent}})
	}
	if !l.sent && (l.verdict == Refused || l.verdict == Failed) {
		c.Counters.Unsent.Add(1)
	}
	c.mu.Lock()
	delete(c.lives, l.q.ID)
	c.mu.Unlock()
	c.Counters.Open.Add(-1)
}

// next is what the request was told and has not heeded, in order; nil: no more.
func (l *life) next() any {
	if e := l.unread; e != nil {
		l.unread = nil
		return e
	}
	select {
	case e := <-l.in:
		return e
	default:
		return nil
	}
}

// unsent ends an attempt that was decided on and will not be made.
func (c *Core) unsent(l *life, to policy.CacheID) {
	now := c.clock.Now()
	l.attempts = append(l.attempts, &attempt{to: to, sent: now, until: now, open: true})
	if c.Tally != nil {
		c.Tally.sent(to)
	}
	c.outcome(l, ended{len(l.attempts) - 1, End{Result: policy.Skipped}})
}

// atOnce: timers that are due within so many milliseconds of one another are due together.
const atOnce = 5

func (c *Core) final(l *life, a Answer) Answer {
	n := &c.Counters
	l.verdict = a.Verdict
	[]*atomic.Int64{Served: &n.Served, Refused: &n.Refused, Failed: &n.Failed, Gone: &n.Gone}[a.Verdict].Add(1)
	return a
}

func (c *Core) send(l *life, g policy.Fetch) {
	now := c.clock.Now()
	ttl := l.q.Deadline - now
	if g.Timeout > 0 {
		ttl = min(ttl, clock.Ms(g.Timeout))
	}
	sendBy := now + c.goodFor
	if l.q.SendBy > 0 {
		sendBy = min(sendBy, l.q.SendBy)
	}
	class := &c.set.Classes[l.q.Class]
	if class.Idempotency == policy.IdempotentByKey {
		sendBy = min(sendBy, l.repeatBy(clock.Ms(class.DedupWindow)))
	}
	no := len(l.attempts)
	a := &attempt{to: g.Cache, sent: now, until: now + ttl, open: true}
	l.attempts = append(l.attempts, a)
	c.Counters.Attempts.Add(1)
	if c.Tally != nil {
		c.Tally.sent(g.Cache)
	}
	a.abort = c.up.Send(Attempt{
		ID: l.q.ID, Class: c.classes[l.q.Class], Object: l.q.Object, Part: l.q.Part, Holds: l.q.Holds, Key: l.q.Key,
		Body: l.q.Body, To: g.Cache, Source: g.Source, Until: now + ttl, Age: clock.Ms(g.MaxAge), Keep: g.RetainRank, How: g.Options,
		SendBy: sendBy, Left: l.q.Left, Once: class.Idempotency == policy.NotIdempotent,
	}, func(e End) { l.in <- ended{no, e} })
}

// outcome tells the module how an attempt ended.
func (c *Core) outcome(l *life, e ended) {
	a := l.attempts[e.no]
	invariant.Check(a.open, "an attempt ends once")
	a.open = false
	a.ran = mayHaveRun(e.Result)
	l.sent = l.sent || e.Sent
	if c.Tally != nil {
		c.Tally.ended(a.to, e.End, c.clock.Now()-a.sent, c.target(l.q.Class))
	}
	switch e.Result {
	case policy.TimedOut:
		c.Counters.Timeouts.Add(1)
	case policy.Skipped:
		c.Counters.Stale.Add(1)
	}
	c.tell(policy.Outcome{
		ID: l.q.ID, Attempt: e.no, Cache: a.to, Result: e.Result, Note: e.Note, Final: e.Result == policy.OK,
		Latency: clock.Duration(c.clock.Now() - a.sent), SourceWait: clock.Duration(e.Waited), Load: e.Load,
	})
}

// Purged takes in a purge that was told.
func (c *Core) Purged(p Purge) {
	c.Counters.Notices.Add(1)
	now := c.clock.Now()
	c.tell(policy.Purged{Object: p.Object, Group: p.Group, Age: clock.Duration(now - min(now+StampUnit, p.At))})
}

// Overdue takes in that discovery has not spoken for too long, and that what was made until so many ms of the clock counts as told;
// on false: that all has been told.
func (c *Core) Overdue(on bool, until float64) {
	now := c.clock.Now()
	c.tell(policy.DiscoveryOverdue{Overdue: on, Age: clock.Duration(max(0, now-until))})
}

// Members takes in what the ledger publishes: first those who carry attempts, so that none is decided on for a server
// that they don't know.
func (c *Core) Members(p membership.Publish) {
	c.Counters.Notices.Add(1)
	e := policy.Members{Version: int64(p.Version)}
	if p.Complete {
		e.Kind = policy.ListFull
	}
	for _, m := range p.Members {
		e.Entries = append(e.Entries, m.Member)
	}
	if c.Tally != nil {
		c.Tally.members(p.Members, p.Complete)
	}
	c.up.Members(p.Members, p.Complete)
	c.tell(e)
}

// tell hands one event to the module and its actions, in order, to those they are for.
func (c *Core) tell(e policy.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acts = c.router.Handle(clock.Duration(c.clock.Now()), e, c.acts[:0])
	for _, act := range c.acts {
		switch x := act.(type) {
		case policy.Lookup:
			c.post(x.ID, act)
		case policy.Fetch:
			c.post(x.ID, act)
		case policy.Cancel:
			c.post(x.ID, act)
		case policy.Reject:
			c.post(x.ID, act)
		case policy.Fail:
			c.post(x.ID, act)
		case policy.SetTimer:
			c.clock.After(clock.Ms(x.After), func() { c.tell(policy.Timer{Token: x.Token}) })
		case policy.Log:
			if c.lines++; c.lines <= mostLines && c.Log != nil {
				c.Log(x.Text)
			}
		}
	}
}

func (c *Core) post(id string, act policy.Action) {
	l := c.lives[id]
	if l == nil {
		return // it ended while the module decided
	}
	select {
	case l.in <- act:
	default:
		invariant.Check(false, "a request's mailbox has room")
	}
}
