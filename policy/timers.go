package policy

import "time"

// abandonedRequestTimeout is the time after its deadline at which a request is removed although some of its
// attempts have no outcome.
const abandonedRequestTimeout = time.Minute

// timerKind says what happens when a timer is due.
type timerKind int

const (
	deadlineTimer  timerKind = iota // the request's deadline has passed
	objectiveTimer                  // the attempt's latency objective has passed
	retryTimer                      // the pause before the request's retry is over
	watchTimer                      // a new Watch of discovery is due after a failure
	abandonedTimer                  // the request is removed; see abandonedRequestTimeout
)

// timer is a timer that was requested with SetTimer.
type timer struct {
	kind    timerKind
	request *openRequest
	attempt *attempt
}

// owner returns the request that needs the timer; nil: none.
func (t *timer) owner() *openRequest {
	if t.attempt != nil {
		return t.attempt.request
	}
	return t.request
}

func (r *Router) setTimer(after time.Duration, t timer) {
	r.lastToken++
	r.timers[r.lastToken] = t
	if owner := t.owner(); owner != nil {
		owner.timers = append(owner.timers, r.lastToken)
	}
	r.emit(SetTimer{Token: r.lastToken, After: max(0, after)})
}

// remove forgets a request that is done and has no open attempt. Its timers are stopped, so that what is
// kept depends on the requests that are open, and not on those that have come lately.
func (r *Router) remove(req *openRequest) {
	delete(r.requests, req.ID)
	for _, token := range req.timers {
		if _, pending := r.timers[token]; pending {
			delete(r.timers, token)
			r.emit(StopTimer{Token: token})
		}
	}
	req.timers = nil
}

func (r *Router) handleTimer(token uint64) {
	t, found := r.timers[token]
	if !found {
		return
	}
	delete(r.timers, token)
	switch t.kind {
	case deadlineTimer:
		if !t.request.done && !t.request.streaming {
			r.giveUp(t.request)
		}
		if t.request.openAttempts > 0 && !t.request.streaming {
			r.setTimer(abandonedRequestTimeout, timer{kind: abandonedTimer, request: t.request})
		}
	case abandonedTimer:
		for _, attempt := range t.request.attempts {
			r.closeAttempt(attempt)
		}
		r.remove(t.request)
	case objectiveTimer:
		if t.attempt.open {
			r.objectiveMissed(t.attempt)
		}
	case retryTimer:
		t.request.awaitingRetry = false
		r.dispatch(t.request)
	case watchTimer:
		r.emit(Watch{On: true})
	}
}
