package core

import (
	"context"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/invariant"
	"ravenwheel/policy"
)

// timerTolerance, in ms: timers that are due this close together may fire in either order.
const timerTolerance = 5

// openRequest is a request without a final answer. Only the goroutine of its Do touches what follows inbox.
type openRequest struct {
	request   Request
	inbox     chan any // of policy.Action and attemptEnded, in the order in which they came
	unhandled any      // received from inbox and not handled; nil: none
	attempts  []*attempt
	verdict   Verdict
	written   bool // an attempt was written to a cache server
}

type attempt struct {
	server     policy.CacheID
	sentAt     float64 // ms of the clock
	deadline   float64 // ms of the clock
	open       bool    // it has no outcome yet
	mayHaveRun bool    // its outcome leaves open whether it was executed
	abort      func() (written bool)
}

// attemptEnded is the outcome of the attempt with this index.
type attemptEnded struct {
	index int
	Outcome
}

// inboxSize has room for all messages of one request: for each attempt its start, its cancellation and its end, and the
// final answer. A larger inbox would cost the garbage collector time at thousands of requests a second.
func (c *Core) inboxSize() int { return 3*c.settings.MaxAttempts + 2 }

// Do runs one request to its final answer. The end of ctx means that the client has left. What discovery has sent by
// then is applied first, so that the first decision is made with it.
func (c *Core) Do(ctx context.Context, request Request) Answer {
	o, rejected := c.admit(request)
	if o == nil {
		return rejected
	}
	defer c.release(o)
	if c.LoadCounter != nil {
		c.LoadCounter.recordRequest(request.Object)
	}
	c.catchUpWithDiscovery()
	c.notify(policy.Request{
		ID: request.ID, TimeLeft: clock.Duration(request.Deadline - c.clock.Now()), Class: request.Class,
		Object: request.Object, Part: request.Part, Group: request.Group, SizeKB: request.SizeKB,
		ClientRetry: request.ClientRetry, Write: c.settings.Classes[request.Class].Uncached,
	})
	for {
		var message any
		select {
		case <-ctx.Done():
		case message = <-o.inbox:
		}
		// The context is checked again: with both ready, select may choose an attempt for a client that has left.
		if ctx.Err() != nil || startsAttempt(message) && request.clientGone() {
			o.unhandled = message
			c.notify(policy.ClientLeft{ID: request.ID})
			return c.conclude(o, Answer{Verdict: Abandoned})
		}
		if startsAttempt(message) && c.catchUpWithDiscovery() {
			c.skipAttempt(o, serverOf(message)) // the router decides again with the events since
			continue
		}
		if answer, final := c.handle(o, message); final {
			return c.conclude(o, answer)
		}
	}
}

// handle carries out one message of a request's inbox and returns the final answer if there is one now.
func (c *Core) handle(o *openRequest, message any) (answer Answer, final bool) {
	switch m := message.(type) {
	case policy.Lookup:
		c.send(o, policy.Fetch{ID: m.ID, Cache: m.Cache, Source: m.Cache, Timeout: m.Timeout})
	case policy.Fetch:
		c.send(o, m)
	case policy.Cancel:
		if a := o.attempt(m.Attempt); a != nil && a.open {
			c.endAttempt(o, attemptEnded{m.Attempt, Outcome{Result: policy.Cancelled, Written: a.abort()}})
		}
	case policy.Reject:
		return Answer{Verdict: Rejected, RetryAfter: clock.Ms(m.RetryAfter)}, true
	case policy.Fail:
		return Answer{Verdict: Failed}, true
	case attemptEnded:
		return c.handleEnd(o, m)
	}
	return Answer{}, false
}

// handleEnd processes the outcome of an attempt. An answer that calls a copy current which is not the client's counts as
// an error: the client would go on using a copy that no cache server has validated.
func (c *Core) handleEnd(o *openRequest, ended attemptEnded) (answer Answer, final bool) {
	if a := o.attempt(ended.index); a == nil || !a.open {
		return Answer{}, false // cancelled before its outcome was received
	}
	if tag := o.request.CachedTag; ended.NotModified && (tag == "" || ended.Tag != tag) {
		c.Counters.WrongTags.Add(1)
		ended.Outcome = Outcome{Result: policy.Failed, Written: true}
	}
	c.endAttempt(o, ended)
	if ended.Result != policy.OK {
		return Answer{}, false
	}
	return Answer{Verdict: Served, Body: ended.Body, Tag: ended.Tag, NotModified: ended.NotModified}, true
}

// catchUpWithDiscovery waits until the events that discovery has sent are processed, and reports whether there were any.
func (c *Core) catchUpWithDiscovery() (behind bool) { return c.CatchUp != nil && c.CatchUp() }

// serverOf is the server of an action that starts an attempt.
func serverOf(message any) policy.CacheID {
	switch m := message.(type) {
	case policy.Lookup:
		return m.Cache
	case policy.Fetch:
		return m.Cache
	}
	return 0
}

func startsAttempt(message any) bool {
	switch message.(type) {
	case policy.Lookup, policy.Fetch:
		return true
	}
	return false
}

func (o *openRequest) attempt(index int) *attempt {
	if index < 0 || index >= len(o.attempts) {
		return nil
	}
	return o.attempts[index]
}

// admit registers a request. It returns nil and the final answer for one of unknown class, with an id that is in use, or
// beyond the number of requests that may be open.
func (c *Core) admit(request Request) (*openRequest, Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Counters.Requests.Add(1)
	switch {
	case request.Class < 0 || request.Class >= len(c.classes) || c.requests[request.ID] != nil:
		c.Counters.Failed.Add(1)
		c.Counters.NeverSent.Add(1)
		return nil, Answer{Verdict: Failed}
	case len(c.requests) >= int(c.maxRequests.Load()):
		c.Counters.Rejected.Add(1)
		c.Counters.NeverSent.Add(1)
		return nil, c.rejection()
	}
	o := &openRequest{request: request, inbox: make(chan any, c.inboxSize())}
	c.requests[request.ID] = o
	c.Counters.InFlight.Add(1)
	return o, Answer{}
}

// release ends a request. It aborts open attempts and reports to the router every outcome that it does not know yet,
// also of attempts that were decided on and not sent: the router would count them as in flight until long after the
// deadline.
func (c *Core) release(o *openRequest) {
	for message := o.nextPending(); message != nil; message = o.nextPending() {
		if startsAttempt(message) {
			c.skipAttempt(o, serverOf(message))
		}
		if ended, ok := message.(attemptEnded); ok {
			if a := o.attempt(ended.index); a != nil && a.open {
				c.endAttempt(o, ended)
			}
		}
	}
	for index, a := range o.attempts {
		if a.open {
			c.abortAttempt(o, index)
		}
	}
	if !o.written && (o.verdict == Rejected || o.verdict == Failed) {
		c.Counters.NeverSent.Add(1)
	}
	c.mu.Lock()
	delete(c.requests, o.request.ID)
	c.mu.Unlock()
	c.Counters.InFlight.Add(-1)
}

// abortAttempt ends an open attempt of a request that is over. At the attempt's deadline it counts as timed out: the
// router's deadline timer and the attempt's are due at the same time, in either order.
func (c *Core) abortAttempt(o *openRequest, index int) {
	a := o.attempts[index]
	written, result := a.abort(), policy.Cancelled
	if c.clock.Now() >= a.deadline-timerTolerance {
		result = policy.TimedOut
	}
	c.endAttempt(o, attemptEnded{index, Outcome{Result: result, Written: written}})
}

// nextPending returns the next message that was not handled; nil if there is none.
func (o *openRequest) nextPending() any {
	if message := o.unhandled; message != nil {
		o.unhandled = nil
		return message
	}
	select {
	case message := <-o.inbox:
		return message
	default:
		return nil
	}
}

// skipAttempt ends an attempt that was decided on and is not made.
func (c *Core) skipAttempt(o *openRequest, server policy.CacheID) {
	now := c.clock.Now()
	o.attempts = append(o.attempts, &attempt{server: server, sentAt: now, deadline: now, open: true})
	if c.LoadCounter != nil {
		c.LoadCounter.recordAttempt(server)
	}
	c.endAttempt(o, attemptEnded{len(o.attempts) - 1, Outcome{Result: policy.Skipped}})
}

// conclude records the final answer of a request and returns it.
func (c *Core) conclude(o *openRequest, answer Answer) Answer {
	o.verdict = answer.Verdict
	c.Counters.countAnswer(answer.Verdict)
	return answer
}

// send passes an attempt to the upstream. Its decision is valid for decisionLifetime, no longer than the request allows,
// and for a retry with an idempotency key no longer than servers discard duplicates.
func (c *Core) send(o *openRequest, fetch policy.Fetch) {
	now := c.clock.Now()
	request, class := &o.request, &c.settings.Classes[o.request.Class]
	timeLeft := request.Deadline - now
	if fetch.Timeout > 0 {
		timeLeft = min(timeLeft, clock.Ms(fetch.Timeout))
	}
	sendBy := now + c.decisionLifetime
	if request.SendBy > 0 {
		sendBy = min(sendBy, request.SendBy)
	}
	if class.Idempotency == policy.IdempotentByKey {
		sendBy = min(sendBy, o.retryDeadline(clock.Ms(class.DedupWindow)))
	}
	index := len(o.attempts)
	a := &attempt{server: fetch.Cache, sentAt: now, deadline: now + timeLeft, open: true}
	o.attempts = append(o.attempts, a)
	c.Counters.Attempts.Add(1)
	if c.LoadCounter != nil {
		c.LoadCounter.recordAttempt(fetch.Cache)
	}
	a.abort = c.upstream.Send(Attempt{
		ID: request.ID, Class: c.classes[request.Class], Object: request.Object, Part: request.Part,
		CachedTag: request.CachedTag, IdempotencyKey: request.IdempotencyKey, Body: request.Body,
		Server: fetch.Cache, Source: fetch.Source, Deadline: now + timeLeft, MaxAge: clock.Ms(fetch.MaxAge),
		RetainRank: fetch.RetainRank, Options: fetch.Options, SendBy: sendBy, ClientGone: request.ClientGone,
		NonIdempotent: class.Idempotency == policy.NotIdempotent,
	}, func(outcome Outcome) { o.inbox <- attemptEnded{index, outcome} })
}

// endAttempt records the outcome of an attempt and reports it to the router.
func (c *Core) endAttempt(o *openRequest, ended attemptEnded) {
	a := o.attempts[ended.index]
	invariant.Check(a.open, "an attempt ends once")
	a.open = false
	a.mayHaveRun = mayHaveRun(ended.Result)
	o.written = o.written || ended.Written
	if c.LoadCounter != nil {
		c.LoadCounter.recordOutcome(a.server, ended.Outcome, c.clock.Now()-a.sentAt, c.latencyObjective(o.request.Class))
	}
	switch ended.Result {
	case policy.TimedOut:
		c.Counters.Timeouts.Add(1)
	case policy.Skipped:
		c.Counters.Skipped.Add(1)
	}
	c.notify(policy.Outcome{
		ID: o.request.ID, Attempt: ended.index, Cache: a.server, Result: ended.Result, Note: ended.Note,
		Final: ended.Result == policy.OK, Latency: clock.Duration(c.clock.Now() - a.sentAt),
		SourceWait: clock.Duration(ended.SourceWait), Load: ended.Load,
	})
}

// latencyObjective is a class's latency objective in ms.
func (c *Core) latencyObjective(class int) float64 {
	return clock.Ms(c.settings.Classes[class].LatencyObjective)
}

// deliver puts an action into the inbox of its request. The caller holds the lock.
func (c *Core) deliver(id string, action policy.Action) {
	o := c.requests[id]
	if o == nil {
		return // it ended while the router decided
	}
	select {
	case o.inbox <- action:
	default:
		invariant.Check(false, "a request's inbox has room")
	}
}
