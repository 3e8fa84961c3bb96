package core

import (
	"context"

	"ravenwheel/internal/atmostonce"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/invariant"
	"ravenwheel/policy"
)

// timerTolerance, in ms, is how far apart two timers may be due and still fire in either order.
const timerTolerance = 5

// openRequest is a request without a final answer. The fields after inbox belong to the goroutine that runs Do for it.
type openRequest struct {
	request   Request
	inbox     chan any // policy.Action and attemptEnded, in the order of their arrival
	unhandled any      // message received from inbox and not handled yet; nil: none
	attempts  []*attempt
	verdict   Verdict
	written   bool // an attempt was written to a cache server
	once      bool // see Core.runsOnce
	ran       bool // an attempt may have been executed
	carriers  Carriers
}

type attempt struct {
	server     policy.ServerID
	sentAt     float64 // ms of the clock
	deadline   float64 // ms of the clock
	open       bool    // it has no outcome yet
	mayHaveRun bool    // it has ended and may have been executed
	abort      func() (written bool)
}

// attemptEnded reports the outcome of the request's attempt with the given index.
type attemptEnded struct {
	index int
	Outcome
}

// inboxSize is the number of messages that one request can receive: for each attempt its start, its cancellation and its end, and
// in addition the final answer. A larger inbox would cost garbage collection time at thousands of requests a second.
func (c *Core) inboxSize() int { return 3*c.settings.MaxAttempts + 2 }

// Do runs one request to its final answer. When ctx is done, the client has left. Do first waits until the events that discovery
// has already sent are applied, so that the first decision takes them into account.
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
		KeyIssuer: request.keyIssuer(), Object: canonicalObject(request.Object), Part: request.Part, Group: request.Group, SizeKB: request.SizeKB,
		ClientRetry: request.ClientRetry, Write: c.settings.Classes[request.Class].Uncached,
	})
	for {
		var message any
		select {
		case <-ctx.Done():
		case message = <-o.inbox:
		}
		// The context is checked again: if both cases are ready, select may choose the message although the client has left.
		if ctx.Err() != nil || startsAttempt(message) && request.clientGone() {
			o.unhandled = message
			c.notify(policy.ClientLeft{ID: request.ID})
			return c.conclude(o, Answer{Verdict: Abandoned})
		}
		if startsAttempt(message) && c.catchUpWithDiscovery() {
			c.skipAttempt(o, serverOf(message)) // the router decides again with the new events
			continue
		}
		if answer, final := c.handle(o, message); final {
			return c.conclude(o, answer)
		}
	}
}

// handle processes one message from the inbox of a request. final reports whether the request now has its final answer.
func (c *Core) handle(o *openRequest, message any) (answer Answer, final bool) {
	switch m := message.(type) {
	case policy.Lookup:
		c.send(o, policy.Fetch{ID: m.ID, Server: m.Server, Source: m.Server, Timeout: m.Timeout})
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

// handleEnd processes the outcome of an attempt. A "not modified" answer for a version that is not the client's counts as an error:
// the client would otherwise go on using a copy that no cache server has validated.
func (c *Core) handleEnd(o *openRequest, ended attemptEnded) (answer Answer, final bool) {
	if a := o.attempt(ended.index); a == nil || !a.open {
		ended.Memory.Release()
		return Answer{}, false // it was cancelled before its outcome was received
	}
	if tag := o.request.CachedTag; ended.NotModified && (tag == "" || ended.Tag != tag) {
		c.Counters.WrongTags.Add(1)
		ended.Memory.Release()
		ended.Outcome = Outcome{Result: policy.Failed, Written: true}
	}
	c.endAttempt(o, ended)
	if ended.Result != policy.OK {
		ended.Memory.Release()
		return Answer{}, false
	}
	return Answer{Verdict: Served, Body: ended.Body, Tag: ended.Tag, NotModified: ended.NotModified, Memory: ended.Memory}, true
}

// catchUpWithDiscovery calls CatchUp if it is set.
func (c *Core) catchUpWithDiscovery() (behind bool) { return c.CatchUp != nil && c.CatchUp() }

// serverOf returns the server of an action that starts an attempt.
func serverOf(message any) policy.ServerID {
	switch m := message.(type) {
	case policy.Lookup:
		return m.Server
	case policy.Fetch:
		return m.Server
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

// admit registers a request. If the request has an unknown class, has an id that is in use, or exceeds the number of requests that
// may be open, admit returns nil and the final answer.
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
		return nil, c.refuseUnsent()
	}
	once := c.runsOnce(&request)
	if once {
		switch c.AtMostOnce.Begin(request.ID) {
		case atmostonce.Repeated:
			c.Counters.Failed.Add(1)
			c.Counters.NeverSent.Add(1)
			c.Counters.RepeatedIDs.Add(1)
			return nil, Answer{Verdict: Failed}
		case atmostonce.Full:
			return nil, c.refuseUnsent()
		}
	}
	o := &openRequest{request: request, once: once, inbox: make(chan any, c.inboxSize())}
	c.requests[request.ID] = o
	c.Counters.InFlight.Add(1)
	return o, Answer{}
}

// runsOnce reports whether a request must not run again when its id comes again: no server would discard the second run, or not for
// long.
func (c *Core) runsOnce(request *Request) bool {
	return c.settings.Classes[request.Class].EffectiveIdempotency(request.keyIssuer()) != policy.Idempotent
}

// refuseUnsent counts and returns the rejection of a request that reaches neither the router nor a server.
func (c *Core) refuseUnsent() Answer {
	c.Counters.Rejected.Add(1)
	c.Counters.NeverSent.Add(1)
	return c.rejection()
}

// release ends a request. It aborts the open attempts and reports to the router every outcome that the router has not received yet,
// including those of attempts that were decided on but not sent: the router would otherwise count these as in flight until long
// after the deadline.
func (c *Core) release(o *openRequest) {
	for message := o.nextPending(); message != nil; message = o.nextPending() {
		if startsAttempt(message) {
			c.skipAttempt(o, serverOf(message))
		}
		if ended, ok := message.(attemptEnded); ok {
			ended.Memory.Release()
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
	o.dropLateOutcomes()
	if !o.written && (o.verdict == Rejected || o.verdict == Failed) {
		c.Counters.NeverSent.Add(1)
	}
	if o.once && !o.ran {
		c.AtMostOnce.Cancel(o.request.ID)
	}
	c.mu.Lock()
	delete(c.requests, o.request.ID)
	c.mu.Unlock()
	c.Counters.InFlight.Add(-1)
}

// dropLateOutcomes releases the memory of the outcomes that arrived while their attempts were aborted. No outcome arrives after that.
func (o *openRequest) dropLateOutcomes() {
	for {
		select {
		case message := <-o.inbox:
			if ended, ok := message.(attemptEnded); ok {
				ended.Memory.Release()
			}
		default:
			return
		}
	}
}

// abortAttempt ends an open attempt of a request that has its final answer. If the attempt has reached its deadline, it counts as
// timed out: the deadline timers of the router and of the attempt are due at the same time and fire in either order.
func (c *Core) abortAttempt(o *openRequest, index int) {
	a := o.attempts[index]
	written, result := a.abort(), policy.Cancelled
	if c.clock.Now() >= a.deadline-timerTolerance {
		result = policy.TimedOut
	}
	c.endAttempt(o, attemptEnded{index, Outcome{Result: result, Written: written}})
}

// nextPending returns the next message that was not handled, or nil if there is none.
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

// skipAttempt reports to the router that an attempt on which it has decided is not sent.
func (c *Core) skipAttempt(o *openRequest, server policy.ServerID) {
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

// send passes an attempt to the upstream. The attempt must be written within decisionLifetime, not after the request's SendBy and,
// if it is a retry with an idempotency key, only while servers discard duplicates.
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
	a := &attempt{server: fetch.Server, sentAt: now, deadline: now + timeLeft, open: true}
	o.attempts = append(o.attempts, a)
	c.Counters.Attempts.Add(1)
	if c.LoadCounter != nil {
		c.LoadCounter.recordAttempt(fetch.Server)
	}
	a.abort = c.upstream.Send(Attempt{
		ID: request.ID, Class: c.classes[request.Class], Object: request.Object, Part: request.Part,
		CachedTag: request.CachedTag, IdempotencyKey: request.IdempotencyKey, Body: request.Body,
		Server: fetch.Server, Source: fetch.Source, Deadline: now + timeLeft, MaxAge: clock.Ms(fetch.MaxAge),
		RetainRank: fetch.RetainRank, Options: fetch.Options, SendBy: sendBy, ClientGone: request.ClientGone,
		Carriers:      &o.carriers,
		NonIdempotent: class.EffectiveIdempotency(request.keyIssuer()) == policy.NotIdempotent,
	}, func(outcome Outcome) { o.inbox <- attemptEnded{index, outcome} })
}

// endAttempt records the outcome of an attempt and reports it to the router.
func (c *Core) endAttempt(o *openRequest, ended attemptEnded) {
	a := o.attempts[ended.index]
	invariant.Check(a.open, "an attempt has exactly one outcome")
	a.open = false
	a.mayHaveRun = ended.Result.MayHaveExecuted()
	o.written = o.written || ended.Written
	o.ran = o.ran || ended.Written && a.mayHaveRun
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
		ID: o.request.ID, Attempt: ended.index, Server: a.server, Result: ended.Result, Note: ended.Note,
		Final: ended.Result == policy.OK, Latency: clock.Duration(c.clock.Now() - a.sentAt),
		SourceWait: clock.Duration(ended.SourceWait), Load: ended.Load,
	})
}

// latencyObjective returns the latency objective of a class in ms.
func (c *Core) latencyObjective(class int) float64 {
	return clock.Ms(c.settings.Classes[class].LatencyObjective)
}

// deliver puts an action into the inbox of its request. The caller must hold mu.
func (c *Core) deliver(id string, action policy.Action) {
	o := c.requests[id]
	if o == nil {
		return // the request ended while the router decided
	}
	select {
	case o.inbox <- action:
	default:
		invariant.Check(false, "the inbox of a request has room for all its messages")
	}
}
