package sim

import "ravenwheel/policy"

// attempt is one attempt of a proxy at a server.
type attempt struct {
	request        *request
	number         int // index among the request's attempts
	target, source *server
	sent           float64 // ms
	open           bool    // the proxy has not received the outcome
	mayHaveRun     bool    // the target or the origin has executed the request, or may have
	holdsSlot      bool    // counted in the target's inFlight
	epoch          int     // of the target's process when the attempt arrived
	transfers      []*transfer
	pending        int           // transfers that have not ended
	fill           *fill         // that the attempt waits or waited for; nil if there is none
	sourceWait     float64       // ms that the target waited for the source
	created        float64       // ms at which the origin served the copy
	note           policy.Note   // how the target produced the answer
	result         policy.Result // valid once open is false
}

// arrive handles the attempt when it reaches its target. Copies created before oldest, in ms, are not served.
func (a *attempt) arrive(fetch policy.Fetch, oldest float64) {
	target, s := a.target, a.request.proxy.sim
	if !a.open {
		return
	}
	a.epoch = target.epoch
	switch {
	case target.state == serverKilled:
		a.respond(policy.ConnectFailed, policy.NoteNone)
		return
	case target.state == serverHung:
		a.mayHaveRun = true
		return // there is no answer: the attempt times out
	case target.kind != kindOrigin && target.inFlight >= target.slots:
		a.respond(policy.Overloaded, policy.NoteNone)
		return
	}
	target.inFlight++
	a.holdsSlot = true
	client := a.request.client
	class := s.scenario.Traffic.Classes[client.class]
	target.addLoad(class.MeanKB)
	if class.Write {
		a.write()
		return
	}
	if target.kind == kindOrigin {
		a.fetchFromOrigin()
		return
	}
	if cached := target.store.get(client.key, oldest, fetch.RetainRank); cached != nil {
		a.created = cached.created
		a.serve(policy.NoteHit)
		return
	}
	if a.source == a.target {
		a.respond(policy.Miss, policy.NoteNone)
		return
	}
	a.startFill(fetch, oldest)
}

// latency returns the one-way latency, in ms, between the proxy and the target.
func (a *attempt) latency() float64 {
	s := a.request.proxy.sim
	if a.target.kind == kindCache {
		return s.scenario.Fleet.BranchLatency
	}
	return s.hubLatency(a.request.proxy.branch, a.target.zone)
}

// write forwards a write to the origin, which drops repeats with the same idempotency key.
func (a *attempt) write() {
	s := a.request.proxy.sim
	a.mayHaveRun = true
	toOrigin := 2 * s.hubLatency(a.request.proxy.branch, 0)
	if a.target == s.origin {
		toOrigin = 0
	}
	s.after(toOrigin, func() {
		s.originServer.submit(func(ok bool) {
			if ok && s.originRunsWrite(a.request.client) {
				s.checker.writeRan(a.request)
			}
			switch {
			case !a.inProgress():
			case !ok:
				a.mayHaveRun = false
				a.respond(policy.Miss, policy.NoteSourceRejected)
			default:
				a.serve(policy.NoteFilledOrigin)
			}
		})
	})
}

// originRunsWrite reports whether the origin runs a write that reaches it, and records when. It drops a repeat with the same
// idempotency key within the deduplication window.
func (s *simulation) originRunsWrite(r *clientRequest) bool {
	class := s.scenario.Traffic.Classes[r.class]
	if class.idempotency() != policy.IdempotentByKey {
		return true
	}
	if at, before := s.lastKeyedRun[r.number]; before && s.now < at+class.DedupWindow {
		return false
	}
	s.lastKeyedRun[r.number] = s.now
	return true
}

// fetchFromOrigin serves an attempt whose target is the origin.
func (a *attempt) fetchFromOrigin() {
	s := a.request.proxy.sim
	s.originServer.submit(func(ok bool) {
		switch {
		case !a.inProgress():
		case !ok:
			a.respond(policy.Overloaded, policy.NoteNone)
		default:
			a.created = s.now
			s.result.countOriginFill(s.now)
			a.serve(policy.NoteFilledOrigin)
		}
	})
}

// inProgress reports whether the attempt is open and the target's process that received the attempt still runs.
func (a *attempt) inProgress() bool { return a.open && a.epoch == a.target.epoch }

// serve transfers the answer over the target's link and, unless the target is a cache, over the branch's link too.
func (a *attempt) serve(note policy.Note) {
	a.note, a.mayHaveRun = note, true
	links := []*link{a.target.outbound}
	if a.target.kind != kindCache {
		links = append(links, a.request.proxy.branch.inbound)
	}
	for _, l := range links {
		a.pending++
		a.transfers = append(a.transfers, l.start(a.request.client.kb, func() {
			a.pending--
			a.completeIfTransferred()
		}))
	}
}

// completeIfTransferred completes the attempt if all of its transfers and those of its fill have ended.
func (a *attempt) completeIfTransferred() {
	if a.pending > 0 || a.fill != nil && a.fill.pending > 0 || !a.inProgress() {
		return
	}
	a.request.proxy.sim.after(a.latency(), func() { a.end(policy.OK, a.note) })
}

// respond sends the proxy an answer without content.
func (a *attempt) respond(result policy.Result, note policy.Note) {
	a.request.proxy.sim.after(a.latency(), func() { a.end(result, note) })
}

// end handles the result of the attempt when it reaches the proxy.
func (a *attempt) end(result policy.Result, note policy.Note) {
	if !a.open {
		return
	}
	a.note = note
	a.release()
	p := a.request.proxy
	if result != policy.OK || a.request.answered {
		p.attemptEnded(a, result, result == policy.OK)
		return
	}
	p.sim.checker.copyServed(a)
	p.sim.result.countAnswer(p.sim.now, note)
	p.attemptEnded(a, policy.OK, true)
	p.answer(a.request.id, outcomeServed, 0)
}

// release stops the attempt's transfers, removes the attempt from its fill, and frees its slot at the target.
func (a *attempt) release() {
	for _, t := range a.transfers {
		t.stop()
	}
	a.transfers = nil
	if a.fill != nil {
		a.fill.leave(a)
	}
	if a.holdsSlot && a.epoch == a.target.epoch {
		a.target.inFlight--
	}
	a.holdsSlot = false
}

// resetAttempts ends the attempts in flight at a killed server with a connection reset.
func (s *simulation) resetAttempts(target *server) {
	for _, p := range s.proxies {
		if target.branch != nil && p.branch != target.branch {
			continue
		}
		for _, a := range p.openAttempts(func(a *attempt) bool { return a.target == target && a.holdsSlot }) {
			a.release()
			p.attemptEnded(a, policy.Reset, false)
		}
	}
}
