package sim

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ravenwheel/policy"
)

// proxy is one proxy, over all its starts.
type proxy struct {
	sim     *simulation
	number  int // among all
	branch  *branch
	decider Decider
	starts  int
	down    bool
	members []policy.Member     // as notified last; a process that restarts begins with them
	live    map[string]*request // by id; iterated only where the result is sorted

	inbox    []policy.Event
	handling bool
	actions  []policy.Action

	// For the checker: when the proxy was notified of drains, and of purges by object.
	drains map[policy.ServerID]float64
	purges map[int32]purgeNotification
}

// request is one attempt of a client at a proxy.
type request struct {
	id       string
	client   *clientRequest
	proxy    *proxy
	due      float64 // ms
	attempts []*attempt
	answered bool
	dead     bool // the proxy's process ended, so no answer is due
}

// outcome is the final answer to a client's attempt, or that there was none.
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
	p.decider, err = s.player.New(s.scenario.Settings(p.branch.number, p.number), stream(s.seed, name).Uint64(), view)
	p.starts++
	return err
}

// rememberMembers keeps the members for the next start of the process.
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

// restart ends the proxy's process, with all it has in flight, and starts it after a downtime in ms with the last members.
func (p *proxy) restart(downtime float64) {
	s := p.sim
	for _, a := range p.openAttempts(func(*attempt) bool { return true }) {
		a.release()
		a.open = false
	}
	for _, r := range p.liveRequests() {
		if !r.answered {
			r.dead = true
			p.closeConnection(r)
		}
	}
	p.live, p.inbox, p.down, p.purges = map[string]*request{}, nil, true, nil
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

// closeConnection has the client of a request notice that its connection ended.
func (p *proxy) closeConnection(r *request) {
	p.sim.after(p.sim.scenario.Fleet.BranchLatency, func() { r.client.attemptEnded(r, outcomeUnanswered, 0) })
}

// liveRequests returns the requests in flight, ordered by when they arrived.
func (p *proxy) liveRequests() (requests []*request) {
	for _, r := range p.live {
		requests = append(requests, r)
	}
	slices.SortFunc(requests, compareIDs)
	return requests
}

// compareIDs orders requests by when they arrived: ids are increasing numbers.
func compareIDs(a, b *request) int {
	return cmp.Or(len(a.id)-len(b.id), strings.Compare(a.id, b.id))
}

// openAttempts returns the attempts in flight that are selected, ordered by when they were sent.
func (p *proxy) openAttempts(selected func(*attempt) bool) (attempts []*attempt) {
	for _, r := range p.live {
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

// handle gives the decider an event. Events that its actions cause are handled after it.
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

// receive receives an attempt of a client. A proxy that is down does not listen.
func (p *proxy) receive(client *clientRequest) {
	s := p.sim
	s.requestIDs++
	r := &request{
		id: strconv.FormatUint(s.requestIDs, 36), client: client, proxy: p, due: s.now + client.attemptTimeout,
	}
	client.current = r
	if p.down {
		r.dead = true
		p.closeConnection(r)
		return
	}
	p.live[r.id] = r
	s.checker.received(r)
	p.handle(policy.Request{
		ID: r.id, TimeLeft: duration(client.attemptTimeout), Class: client.class, Object: s.objectName(client.key.object),
		Part: int(client.key.part), Group: -1, SizeKB: client.kb, ClientRetry: client.attempts > 1,
		Write: s.scenario.Traffic.Classes[client.class].Write,
	})
}

// objectName returns an object in the form that proxies know.
func (s *simulation) objectName(object int32) string {
	if int(object) < len(s.objectNames) {
		return s.objectNames[object]
	}
	return strconv.FormatInt(int64(object), 16)
}

// send sends an attempt for a request to a server.
func (p *proxy) send(id string, fetch policy.Fetch) {
	s := p.sim
	r := p.live[id]
	if r == nil || r.answered {
		s.checker.violation("an attempt for a request that is over", id)
		return
	}
	a := &attempt{request: r, number: len(r.attempts), target: s.server(fetch.Server), source: s.server(fetch.Source), sent: s.now, open: true}
	r.attempts = append(r.attempts, a)
	s.result.upstreamAttempt(r.client.first)
	s.checker.sent(a)
	timeout := r.due - s.now
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
	r := p.live[c.ID]
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
	p.forget(a.request)
}

// forget drops a request that is answered and has no attempt in flight.
func (p *proxy) forget(r *request) {
	if !r.answered {
		return
	}
	for _, a := range r.attempts {
		if a.open {
			return
		}
	}
	delete(p.live, r.id)
}

// answer sends the final answer of a request.
func (p *proxy) answer(id string, o outcome, retryAfter float64) {
	s := p.sim
	r := p.live[id]
	if r == nil {
		s.checker.violation("an answer to nothing", id)
		return
	}
	s.checker.answered(r, o)
	r.answered = true
	p.forget(r)
	s.after(s.scenario.Fleet.BranchLatency, func() { r.client.attemptEnded(r, o, retryAfter) })
}
