package policy

import (
	"fmt"
	"slices"
	"time"
)

const (
	maxFailureRate = 0.5             // fraction of recent attempts that failed above which a server is down
	outcomeGain    = 1.0 / 8         // weight of the newest outcome in a failure rate or late rate
	probeInterval  = 5 * time.Second // between two probes of a server that is down
	// maxConsecutiveUnanswered attempts past their objective, with no answer between, mark a server down. For
	// rarely used servers rarelyUsedMaxUnanswered are enough, if they have not answered for
	// unresponsivePeriod.
	maxConsecutiveUnanswered, rarelyUsedMaxUnanswered, unresponsivePeriod = 20, 3, 5 * time.Second
	// Failures within connectionBreakWindow count once, as a broken connection ends all attempts on it.
	connectionBreakWindow = 50 * time.Millisecond
	// overloadPause is how long a server that was overloaded gets no attempt, and a cache without a slot none
	// that may need a fill.
	overloadPause = 100 * time.Millisecond
)

// probeDue reports whether a request may probe a server that is down: the first attempt of an idempotent
// request may, as a probe can end in a timeout, if none is in flight and the last one is probeInterval ago.
func (r *Router) probeDue(server *server, req *openRequest) bool {
	firstAttempt := req.class.Idempotency == Idempotent && len(req.attempts) == 0
	return !server.probing && r.now >= server.NextProbe && firstAttempt
}

// objectiveMissed records an attempt past its latency objective. The server involved that is late most often
// has its limit lowered. The attempt counts as unanswered for its server, if that has answered nothing since
// it was sent, otherwise for its source.
func (r *Router) objectiveMissed(attempt *attempt) {
	attempt.late = true
	mostOftenLate := attempt.server
	for _, server := range []*server{attempt.server, attempt.source, attempt.origin} {
		if server != nil {
			server.LateRate.add(true, outcomeGain)
			if server.LateRate > mostOftenLate.LateRate {
				mostOftenLate = server
			}
		}
	}
	r.adjustLimit(mostOftenLate, true)
	if attempt.server.LastAnswer < attempt.sentAt {
		r.recordUnanswered(attempt.server)
	} else if attempt.hasSource() && attempt.source.LastAnswer < attempt.sentAt {
		// An attempt that waits for its source must not take up the slots that hits need at the cache.
		r.exemptFromLimit(attempt)
		r.recordUnanswered(attempt.source)
	}
}

// recordUnanswered counts an attempt that a server has not answered within its objective, and marks the
// server down if there are too many.
func (r *Router) recordUnanswered(server *server) {
	server.ConsecutiveUnanswered++
	unresponsive := server.ConsecutiveUnanswered >= rarelyUsedMaxUnanswered && r.now-server.LastAnswer >= unresponsivePeriod
	if server.ConsecutiveUnanswered >= maxConsecutiveUnanswered || unresponsive {
		r.markDown(server, "silent")
	}
}

// recordFailure counts a broken connection, or an error with a request that another server could serve.
func (r *Router) recordFailure(server *server) {
	if server.LastFailure > 0 && r.now-server.LastFailure < connectionBreakWindow {
		return
	}
	server.LastFailure = r.now
	server.FailureRate.add(true, outcomeGain)
	if server.FailureRate > maxFailureRate {
		r.markDown(server, "failing")
	}
}

// recordEarlierErrors counts the errors of a request against the servers that returned them once another
// server has served it: until then the request may be at fault.
func (r *Router) recordEarlierErrors(req *openRequest, servedBy *server) {
	for _, earlier := range req.attempts {
		if earlier.failed && earlier.server != servedBy {
			r.recordFailure(earlier.server)
		}
	}
}

// recordAnswer notes that a server has answered, whatever it said.
func (r *Router) recordAnswer(server *server) {
	server.ConsecutiveUnanswered, server.LastAnswer = 0, r.now
	server.FailureRate.add(false, outcomeGain)
}

// markDown takes a server out of use until a probe succeeds, and cancels the idempotent attempts that wait
// for it, so that they are made elsewhere.
func (r *Router) markDown(target *server, cause string) {
	if target.Down || target == r.origin {
		return
	}
	target.Down, target.NextProbe = true, r.now+probeInterval
	for _, cache := range r.caches {
		for _, attempt := range cache.inFlight {
			waitsForServer := cache == target || attempt.source == target && attempt.late
			req := attempt.request
			mayCancel := r.settings.CanCancel && req.class.Idempotency == Idempotent
			if waitsForServer && mayCancel && !req.done && !req.streaming {
				r.emit(Cancel{ID: req.ID, Attempt: attempt.index})
			}
		}
	}
	r.emit(Log{Text: fmt.Sprintf("%d down: %s", target.ID, cause)})
}

// markUp puts a server back into use with a slow start. One that was unreachable may have restarted with an
// empty cache, even if discovery has not reported it yet, so its warm-up begins too.
func (r *Router) markUp(server *server) {
	server.Down, server.ConsecutiveUnanswered, server.FailureRate = false, 0, 0
	server.RampStart, server.Ramping = r.now, true
	if server.Unreachable {
		server.Unreachable = false
		r.startWarmUp(server, r.now)
	}
	r.emit(Log{Text: fmt.Sprintf("%d up", server.ID)})
}

// updateServerHealth evaluates an outcome for what it says about the server of the attempt.
func (r *Router) updateServerHealth(attempt *attempt, outcome Outcome) {
	server := attempt.server
	sourceFaults := []Note{NoteSourceRejected, NoteSourceLost, NoteOriginFailed}
	sourceFault := attempt.hasSource() && slices.Contains(sourceFaults, outcome.Note)
	alive := sourceFault || slices.Contains([]Result{OK, Miss, Overloaded}, outcome.Result)
	switch {
	case alive:
		r.recordAnswer(server)
		if outcome.Note == NoteNoFillSlot {
			server.noFillsUntil = r.now + overloadPause // hits need no slot and go on
		} else if outcome.Result == Overloaded && !sourceFault {
			server.overloadedUntil = r.now + overloadPause
		}
	case outcome.Result == ConnectFailed:
		server.Unreachable = true
		r.markDown(server, "connection failed")
	case outcome.Result == Reset: // one connection broke; a process that has died refuses the next one
		r.recordFailure(server)
	case outcome.Result == Failed || outcome.Result == Unknown:
		// The request may be at fault itself: see recordEarlierErrors.
		attempt.failed = true
		attempt.request.errors++
	case outcome.Result == TimedOut && !attempt.late:
		r.objectiveMissed(attempt)
	}
	if attempt.probed == server {
		server.probing = false
		if alive && server.Down {
			r.markUp(server)
		}
	}
}

// updateSourceHealth evaluates an outcome for what it says about the source of the fill.
func (r *Router) updateSourceHealth(attempt *attempt, outcome Outcome) {
	source := attempt.source
	// Without detailed outcomes, every success may have involved the source.
	alive := outcome.Result == OK && r.settings.OutcomeDetail != DetailAll && outcome.Note == NoteNone
	switch outcome.Note {
	case NoteFilled, NoteFilledOrigin, NoteOriginFailed, NoteSourceMiss:
		alive = true
	case NoteSourceRejected:
		source.overloadedUntil = r.now + overloadPause
	case NoteSourceLost:
		if outcome.Result == Overloaded && outcome.SourceWait <= r.settings.ConnectTimeout {
			source.Unreachable = true
			r.markDown(source, "connection failed")
		} else {
			r.recordUnanswered(source)
		}
	}
	if alive {
		r.recordAnswer(source)
	}
	if attempt.probed != source {
		return
	}
	source.probing = false
	if alive && source.Down {
		r.markUp(source)
	} else if outcome.Note != NoteSourceLost {
		source.NextProbe = r.now // a hit did not reach the source: the next request probes it
	}
}
