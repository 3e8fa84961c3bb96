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

func (r *Router) setTimer(after time.Duration, t timer) {
	r.lastToken++
	r.timers[r.lastToken] = t
	r.emit(SetTimer{Token: r.lastToken, After: max(0, after)})
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
		delete(r.requests, t.request.ID)
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
