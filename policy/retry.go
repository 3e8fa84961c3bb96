package policy

import "time"

const (
	maxRequestErrors     = 2                     // after this many errors the request counts as their cause
	maxRequestRejections = 2                     // after this many rejections a retry would add to overload
	retryPause           = 50 * time.Millisecond // before a retry; multiplied by 1 + the number of attempts
)

// handleOutcome closes an attempt, updates what the router has learned with its outcome, and then finishes
// the request, retries it or gives it up.
func (r *Router) handleOutcome(outcome Outcome) {
	req := r.requests[outcome.ID]
	attempt := req.attempt(outcome.Attempt)
	if attempt == nil || !attempt.open {
		return
	}
	r.closeAttempt(attempt)
	attempt.mayHaveExecuted = outcome.Result.MayHaveExecuted()
	r.updateServerHealth(attempt, outcome)
	if attempt.hasSource() {
		r.updateSourceHealth(attempt, outcome)
	}
	r.updateEstimates(attempt, outcome)
	if outcome.Result == OK {
		r.recordEarlierErrors(req, attempt.server)
	}
	if req.done = req.done || outcome.Final || outcome.Result == OK; req.done {
		r.finish(req)
		return
	}
	noFill := attempt.fillImpossible(outcome)
	if noFill || outcome.overloaded() {
		req.rejections++
	}
	if req.errors >= maxRequestErrors || req.rejections >= maxRequestRejections {
		r.giveUp(req)
		return
	}
	r.excludeFailed(req, attempt, outcome)
	if noFill {
		r.retryLater(req) // another parent would have no copy either, another cache no slot for a fill
		return
	}
	r.dispatch(req)
}

// fillImpossible reports whether an attempt failed because a fill was not possible: the cache had no slot for
// one, or the parent had no copy. A parent reports that it has no copy only for a CachedOnly fill, which is
// requested while the origin is over its limit.
func (a *attempt) fillImpossible(outcome Outcome) bool {
	parentMiss := outcome.Note == NoteSourceMiss && a.source != nil && a.source.role == roleParent
	return outcome.Note == NoteNoFillSlot || parentMiss
}

// excludeFailed excludes from the next attempts, until retryLater, what has failed: the source, the source
// and the origin, or the server of the attempt.
func (r *Router) excludeFailed(req *openRequest, attempt *attempt, outcome Outcome) {
	switch {
	case attempt.source != nil && outcome.sourceFailed():
		req.failedSources = append(req.failedSources, attempt.source)
	case attempt.source != nil && outcome.Note == NoteOriginFailed:
		req.failedSources = append(req.failedSources, attempt.source, r.origin)
	default:
		req.failedServers = append(req.failedServers, attempt.server)
		if attempt.server.role != roleCache {
			req.failedSources = append(req.failedSources, attempt.server)
		}
	}
}

// retryLater schedules a retry after a pause. No server or source is excluded from that retry. A request that
// would miss the latency objective of its class by then, or that had no attempt yet, is given up instead.
func (r *Router) retryLater(req *openRequest) {
	wait := retryPause * time.Duration(1+len(req.attempts))
	arrival := req.deadline - req.TimeLeft
	if r.now+wait >= arrival+req.class.LatencyObjective || len(req.attempts) == 0 {
		r.giveUp(req)
		return
	}
	req.failedSources, req.failedServers, req.awaitingRetry = nil, nil, true
	r.setTimer(wait, timer{kind: retryTimer, request: req})
}
