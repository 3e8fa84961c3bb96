package policy

import (
	"fmt"
	"slices"
	"time"
)

const (
	maxFailureRate = 0.5             // a server with a higher failure rate is marked down
	outcomeGain    = 1.0 / 8         // weight of the newest outcome in a failure rate or late rate
	probeInterval  = 5 * time.Second // time between two probes of a server that is down
	// A server is marked down after maxConsecutiveUnanswered attempts past their objectives without an answer
	// in between. For a server that has not answered for unresponsivePeriod, rarelyUsedMaxUnanswered such
	// attempts are enough, because it may be rarely used.
	maxConsecutiveUnanswered, rarelyUsedMaxUnanswered, unresponsivePeriod = 20, 3, 5 * time.Second
	// Failures within connectionBreakWindow count once, as a broken connection ends all attempts on it.
	connectionBreakWindow = 50 * time.Millisecond
	// overloadPause is the time for which an overloaded server gets no attempt, and for which a cache that
	// had no slot for a fill gets no attempt that may need one.
	overloadPause = 100 * time.Millisecond
)

// probeDue reports whether a request may probe a server that is down. Only the first attempt of an idempotent
// request may, as a probe can end in a timeout, and only if no probe is in flight and the last one was sent
// at least probeInterval ago.
func (r *Router) probeDue(server *server, req *openRequest) bool {
	firstAttempt := req.class.Idempotency == Idempotent && len(req.attempts) == 0
	return !server.probing && r.now >= server.NextProbe && firstAttempt
}

// objectiveMissed records that an attempt is past its latency objective. It lowers the limit of the server
// with the highest late rate among the attempt's server, its source and the origin, since no answer shows
// which of them is slow. The attempt counts as unanswered for its server if that has answered nothing since
// the attempt was sent, and otherwise for its source if that has answered nothing since.
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
		// An attempt that waits for its source must not occupy slots at the cache that hits need.
		r.exemptFromLimit(attempt)
		r.recordUnanswered(attempt.source)
	}
}

// recordUnanswered counts an attempt that a server has not answered within the latency objective, and marks
// the server down if there are too many of them.
func (r *Router) recordUnanswered(server *server) {
	server.ConsecutiveUnanswered++
	unresponsive := server.ConsecutiveUnanswered >= rarelyUsedMaxUnanswered &&
		r.now-server.LastAnswer >= unresponsivePeriod
	if server.ConsecutiveUnanswered >= maxConsecutiveUnanswered || unresponsive {
		r.markDown(server, "silent")
	}
}

// recordFailure counts a broken connection, or an error for a request that another server has served, and
// marks the server down if its failure rate is too high.
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

// recordEarlierErrors counts the errors of a request as failures of the servers that returned them, once
// another server has served it. Until then the request itself may have caused them.
func (r *Router) recordEarlierErrors(req *openRequest, servedBy *server) {
	for _, earlier := range req.attempts {
		if earlier.failed && earlier.server != servedBy {
			r.recordFailure(earlier.server)
		}
	}
}

// recordAnswer records that a server has answered, with whatever result.
func (r *Router) recordAnswer(server *server) {
	server.ConsecutiveUnanswered, server.LastAnswer = 0, r.now
	server.FailureRate.add(false, outcomeGain)
}

// markDown takes a server out of use until a probe succeeds, logs the cause (silent: attempts not answered in
// time; failing: failure rate too high; connection failed), and cancels the attempts of idempotent requests
// that wait for it, so that they are sent to other servers. The origin is never marked down, as no other
// server can take its place.
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
	r.emit(Log{Text: fmt.Sprintf("server %d marked down: %s", target.ID, cause)})
}

// markUp puts a server back into use with a slow start. A server that was unreachable may have restarted with
// an empty cache, even if discovery has not reported that yet, so its warm-up begins too.
func (r *Router) markUp(server *server) {
	server.Down, server.ConsecutiveUnanswered, server.FailureRate = false, 0, 0
	server.RampStart, server.Ramping = r.now, true
	if server.Unreachable {
		server.Unreachable = false
		r.startWarmUp(server, r.now)
	}
	r.emit(Log{Text: fmt.Sprintf("server %d marked up", server.ID)})
}

// updateServerHealth updates the state of an attempt's server with its outcome.
func (r *Router) updateServerHealth(attempt *attempt, outcome Outcome) {
	server := attempt.server
	sourceFaults := []Note{NoteSourceRejected, NoteSourceLost, NoteOriginFailed}
	sourceFault := attempt.hasSource() && slices.Contains(sourceFaults, outcome.Note)
	alive := sourceFault || slices.Contains([]Result{OK, Miss, Overloaded}, outcome.Result)
	switch {
	case alive:
		r.recordAnswer(server)
		if outcome.Note == NoteNoFillSlot {
			server.noFillsUntil = r.now + overloadPause // hits need no slot, so the cache still serves them
		} else if outcome.Result == Overloaded && !sourceFault {
			server.overloadedUntil = r.now + overloadPause
		}
	case outcome.Result == ConnectFailed:
		server.Unreachable = true
		r.markDown(server, "connection failed")
	case outcome.Result == Reset: // one connection broke; if the process has died, the next one is refused
		r.recordFailure(server)
	case outcome.Result == Failed || outcome.Result == Unknown:
		// The request itself may be the cause; see recordEarlierErrors.
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

// updateSourceHealth updates the state of the source of a fill with the attempt's outcome.
func (r *Router) updateSourceHealth(attempt *attempt, outcome Outcome) {
	source := attempt.source
	// Without DetailAll, every success without a note may have involved the source.
	alive := outcome.Result == OK && r.settings.OutcomeDetail != DetailAll && outcome.Note == NoteNone
	switch outcome.Note {
	case NoteFilled, NoteFilledOrigin, NoteOriginFailed, NoteSourceMiss:
		alive = true
	case NoteSourceRejected:
		source.overloadedUntil = r.now + overloadPause
	case NoteSourceLost:
		// A rejection within ConnectTimeout (or after an unknown time, which is 0) is taken to mean that the
		// cache could not connect to the source.
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
		source.NextProbe = r.now // the attempt did not probe the source, so the next request may
	}
}
