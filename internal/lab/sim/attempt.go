package sim

import "ravenwheel/policy"

// attempt is one attempt of a proxy at a server.
type attempt struct {
	request        *request
	number         int // among those of the request
	target, source *server
	sent           float64 // ms
	open           bool    // the proxy has no outcome yet
	ran            bool    // or may have run
	placed         bool    // it takes a slot at the target
	epoch          int     // of the target's process
	transfers      []*transfer
	pending        int   // transfers that have not ended
	fill           *fill // that it waits for, or waited
	sourceWait     float64
	created        float64       // ms at which the origin served the copy
	note           policy.Note   // how the answer came about
	result         policy.Result // once it is not open
}

// arrive handles the attempt when it reaches its target.
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
		a.ran = true
		return // it times out
	case target.kind != kindOrigin && target.inFlight >= target.slots:
		a.respond(policy.Overloaded, policy.NoteNone)
		return
	}
	target.inFlight++
	a.placed = true
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

// latency returns the latency between proxy and target, one way.
func (a *attempt) latency() float64 {
	s := a.request.proxy.sim
	if a.target.kind == kindCache {
		return s.scenario.Fleet.BranchLatency
	}
	return s.hubLatency(a.request.proxy.branch, a.target.zone)
}

// write runs a write at the origin, which drops repeats with the same idempotency key.
func (a *attempt) write() {
	s := a.request.proxy.sim
	a.ran = true
	toOrigin := 2 * s.hubLatency(a.request.proxy.branch, 0)
	if a.target == s.origin {
		toOrigin = 0
	}
	s.after(toOrigin, func() {
		s.originServer.request(func(ok bool) {
			if ok && s.runWrite(a.request.client) {
				s.checker.ran(a.request)
			}
			switch {
			case !a.alive():
			case !ok:
				a.ran = false
				a.respond(policy.Miss, policy.NoteSourceRejected)
			default:
				a.serve(policy.NoteFilledOrigin)
			}
		})
	})
}

// runWrite reports whether a write that reaches the origin runs there, or is a repeat within the deduplication window.
func (s *simulation) runWrite(r *clientRequest) bool {
	class := s.scenario.Traffic.Classes[r.class]
	if class.idempotency() != policy.IdempotentByKey {
		return true
	}
	if at, before := s.keyedRuns[r.number]; before && s.now < at+class.DedupWindow {
		return false
	}
	s.keyedRuns[r.number] = s.now
	return true
}

// fetchFromOrigin serves an attempt whose target is the origin.
func (a *attempt) fetchFromOrigin() {
	s := a.request.proxy.sim
	s.originServer.request(func(ok bool) {
		switch {
		case !a.alive():
		case !ok:
			a.respond(policy.Overloaded, policy.NoteNone)
		default:
			a.created = s.now
			s.result.originFill(s.now)
			a.serve(policy.NoteFilledOrigin)
		}
	})
}

// alive reports whether the attempt is in flight at a process that still runs.
func (a *attempt) alive() bool { return a.open && a.epoch == a.target.epoch }

// serve transfers the answer over the target's link and, unless the target is a cache, over the branch's.
func (a *attempt) serve(note policy.Note) {
	a.note, a.ran = note, true
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

// completeIfTransferred completes the attempt if its transfers have ended, and those of its fill.
func (a *attempt) completeIfTransferred() {
	if a.pending > 0 || a.fill != nil && a.fill.pending > 0 || !a.alive() {
		return
	}
	a.request.proxy.sim.after(a.latency(), func() { a.end(policy.OK, a.note) })
}

// respond has the target's answer without content reach the proxy.
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
	p.sim.checker.servedCopy(a)
	p.sim.result.answered(p.sim.now, note)
	p.attemptEnded(a, policy.OK, true)
	p.answer(a.request.id, outcomeServed, 0)
}

// release stops what the attempt has in progress at its target, and frees its slot.
func (a *attempt) release() {
	for _, t := range a.transfers {
		t.stop()
	}
	a.transfers = nil
	if a.fill != nil {
		a.fill.leave(a)
	}
	if a.placed && a.epoch == a.target.epoch {
		a.target.inFlight--
	}
	a.placed = false
}

// resetAttempts ends the attempts in flight at a server that died.
func (s *simulation) resetAttempts(target *server) {
	for _, p := range s.proxies {
		if target.branch != nil && p.branch != target.branch {
			continue
		}
		for _, a := range p.openAttempts(func(a *attempt) bool { return a.target == target && a.placed }) {
			a.release()
			p.attemptEnded(a, policy.Reset, false)
		}
	}
}
