package sim

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ravenwheel/policy"
)

// proxy is one proxy. Its process may be restarted, each time with a new decider.
type proxy struct {
	sim      *simulation
	number   int // index among all proxies
	branch   *branch
	decider  Decider
	starts   int // of the process, so far
	down     bool
	members  []policy.Member     // last known state; the process gets them when it restarts
	requests map[string]*request // in flight, by id; wherever they are iterated, the result is sorted

	inbox    []policy.Event  // for the decider
	handling bool            // handle is taking events from the inbox
	actions  []policy.Action // buffer that is reused for each event

	// For the checker: when the proxy was notified of drains, and of purges by object.
	drains map[policy.ServerID]float64
	purges map[int32]purgeNotification
}

// request is one attempt of a client, as the proxy sees it.
type request struct {
	id       string
	client   *clientRequest
	proxy    *proxy
	deadline float64 // ms
	attempts []*attempt
	answered bool
	aborted  bool // the proxy was down or its process ended, so no answer is required
}

// outcome is how a client's attempt ended.
type outcome int

const (
	outcomeServed outcome = iota
	outcomeRejected
	outcomeFailed
	outcomeUnanswered
)

// start starts the proxy's process with a new decider.
func (p *proxy) start() (err error) {
	s := p.sim
	name := fmt.Sprint("proxy ", p.number)
	if p.starts > 0 {
		name += fmt.Sprint(" again ", p.starts)
	}
	var view View
	if s.view != nil {
		view = s.view
	}
	p.decider, err = s.strategy.New(s.scenario.Settings(p.branch.number, p.number), stream(s.seed, name).Uint64(), view)
	p.starts++
	return err
}

// rememberMembers records changed members for the next start of the process.
func (p *proxy) rememberMembers(changes []policy.Member) {
	for _, m := range changes {
		i := slices.IndexFunc(p.members, func(known policy.Member) bool { return known.ID == m.ID })
		if i < 0 {
			p.members = append(p.members, m)
		} else {
			p.members[i] = m
		}
	}
}

// restart ends the proxy's process and all it has in flight. After a downtime, in ms, it starts the process with the last known
// members.
func (p *proxy) restart(downtime float64) {
	s := p.sim
	for _, a := range p.openAttempts(func(*attempt) bool { return true }) {
		a.release()
		a.open = false
	}
	for _, r := range p.sortedRequests() {
		if !r.answered {
			r.aborted = true
			p.closeConnection(r)
		}
	}
	p.requests, p.inbox, p.down, p.purges = map[string]*request{}, nil, true, nil
	s.after(downtime, func() {
		if err := p.start(); err != nil {
			s.checker.violation("restart", err.Error())
			return
		}
		p.down = false
		present := slices.DeleteFunc(slices.Clone(p.members), func(m policy.Member) bool { return m.State == policy.Gone })
		p.handle(policy.Members{Kind: policy.ListFull, Version: int64(s.sequence), Entries: present})
	})
}

// closeConnection closes the connection of a request, which its client notices after the latency of the branch.
func (p *proxy) closeConnection(r *request) {
	p.sim.after(p.sim.scenario.Fleet.BranchLatency, func() { r.client.attemptEnded(r, outcomeUnanswered, 0) })
}

// sortedRequests returns the requests in flight in the order of their arrival.
func (p *proxy) sortedRequests() (requests []*request) {
	for _, r := range p.requests {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, compareIDs)
	return requests
}

// compareIDs orders requests by their arrival: ids are increasing numbers in base 36, so a shorter one is lower.
func compareIDs(a, b *request) int {
	return cmp.Or(len(a.id)-len(b.id), strings.Compare(a.id, b.id))
}

// openAttempts returns the selected attempts in flight in the order in which they were sent.
func (p *proxy) openAttempts(selected func(*attempt) bool) (attempts []*attempt) {
	for _, r := range p.requests {
		for _, a := range r.attempts {
			if a.open && selected(a) {
				attempts = append(attempts, a)
			}
		}
	}
	slices.SortFunc(attempts, func(a, b *attempt) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), compareIDs(a.request, b.request), a.number-b.number)
	})
	return attempts
}

// handle passes an event to the decider and executes its actions. Events that the actions cause are handled afterwards.
func (p *proxy) handle(e policy.Event) {
	if p.down {
		return
	}
	p.inbox = append(p.inbox, e)
	if p.handling {
		return
	}
	p.handling = true
	for i := 0; i < len(p.inbox); i++ {
		p.actions = p.decider.Handle(duration(p.sim.now), p.inbox[i], p.actions[:0])
		for _, action := range p.actions {
			p.execute(action)
		}
	}
	p.inbox, p.handling = p.inbox[:0], false
}

// execute carries out an action of the decider.
func (p *proxy) execute(action policy.Action) {
	switch x := action.(type) {
	case policy.Lookup:
		p.send(x.ID, policy.Fetch{ID: x.ID, Server: x.Server, Source: x.Server, Timeout: x.Timeout})
	case policy.Fetch:
		p.send(x.ID, x)
	case policy.Cancel:
		p.cancel(x)
	case policy.Reject:
		p.answer(x.ID, outcomeRejected, float64(x.RetryAfter)/1e6)
	case policy.Fail:
		p.answer(x.ID, outcomeFailed, 0)
	case policy.SetTimer:
		start := p.starts
		p.sim.after(float64(x.After)/1e6, func() {
			if start == p.starts {
				p.handle(policy.Timer{Token: x.Token})
			}
		})
	}
}

// receive receives an attempt of a client. If the proxy is down, the client finds its connection closed.
func (p *proxy) receive(client *clientRequest) {
	s := p.sim
	s.lastRequestID++
	r := &request{
		id: strconv.FormatUint(s.lastRequestID, 36), client: client, proxy: p, deadline: s.now + client.attemptTimeout,
	}
	client.current = r
	if p.down {
		r.aborted = true
		p.closeConnection(r)
		return
	}
	p.requests[r.id] = r
	s.checker.requestReceived(r)
	p.handle(policy.Request{
		ID: r.id, TimeLeft: duration(client.attemptTimeout), Class: client.class,
		KeyIssuer: policy.ClientKey, Object: s.objectName(client.key.object),
		Part: int(client.key.part), Group: -1, SizeKB: client.kb, ClientRetry: client.attempts > 1,
		Write: s.scenario.Traffic.Classes[client.class].Write,
	})
}

// objectName returns the hexadecimal name by which proxies know an object.
func (s *simulation) objectName(object int32) string {
	if int(object) < len(s.objectNames) {
		return s.objectNames[object]
	}
	return strconv.FormatInt(int64(object), 16)
}

// send sends an attempt for a request to a server.
func (p *proxy) send(id string, fetch policy.Fetch) {
	s := p.sim
	r := p.requests[id]
	if r == nil || r.answered {
		s.checker.violation("attempt for a request that has ended", id)
		return
	}
	a := &attempt{request: r, number: len(r.attempts), target: s.serverByID(fetch.Server), source: s.serverByID(fetch.Source), sent: s.now, open: true}
	r.attempts = append(r.attempts, a)
	s.result.countUpstreamAttempt(r.client.madeAt)
	s.checker.attemptSent(a)
	timeout := r.deadline - s.now
	if fetch.Timeout > 0 {
		timeout = min(timeout, float64(fetch.Timeout)/1e6)
	}
	s.after(timeout, func() {
		if a.open {
			a.release()
			p.attemptEnded(a, policy.TimedOut, false)
		}
	})
	oldest := 0.0
	if fetch.MaxAge > 0 {
		oldest = s.now - float64(fetch.MaxAge)/1e6
	}
	s.after(a.latency(), func() { a.arrive(fetch, oldest) })
}

// cancel cancels an attempt that is in flight.
func (p *proxy) cancel(c policy.Cancel) {
	r := p.requests[c.ID]
	if r == nil || c.Attempt >= len(r.attempts) {
		return
	}
	if a := r.attempts[c.Attempt]; a.open {
		a.release()
		p.attemptEnded(a, policy.Cancelled, false)
	}
}

// attemptEnded notifies the decider of the outcome of an attempt.
func (p *proxy) attemptEnded(a *attempt, result policy.Result, final bool) {
	a.open, a.result = false, result
	p.handle(policy.Outcome{
		ID: a.request.id, Attempt: a.number, Server: a.target.id, Result: result, Note: a.note, Final: final,
		Latency: duration(p.sim.now - a.sent), SourceWait: duration(a.sourceWait),
	})
	p.dropIfDone(a.request)
}

// dropIfDone removes a request that is answered and has no attempt in flight.
func (p *proxy) dropIfDone(r *request) {
	if !r.answered {
		return
	}
	for _, a := range r.attempts {
		if a.open {
			return
		}
	}
	delete(p.requests, r.id)
}

// answer sends a request's final answer to the client. retryAfter is in ms; 0 for none.
func (p *proxy) answer(id string, o outcome, retryAfter float64) {
	s := p.sim
	r := p.requests[id]
	if r == nil {
		s.checker.violation("answer to a request that is not in flight", id)
		return
	}
	s.checker.requestAnswered(r, o)
	r.answered = true
	p.dropIfDone(r)
	s.after(s.scenario.Fleet.BranchLatency, func() { r.client.attemptEnded(r, o, retryAfter) })
}
