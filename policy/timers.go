package policy

import "time"

// abandonedRequestTimeout is how long after its deadline a request is forgotten whose attempts have no
// outcome.
const abandonedRequestTimeout = time.Minute

type timerKind int

const (
	deadlineTimer  timerKind = iota // the request's deadline
	objectiveTimer                  // the attempt's latency objective
	retryTimer                      // the end of a pause before a retry
	watchTimer                      // discovery is to be watched again
	forgetTimer                     // the request is to be forgotten
)

// timer is what a token of SetTimer stands for.
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
			r.setTimer(abandonedRequestTimeout, timer{kind: forgetTimer, request: t.request})
		}
	case forgetTimer:
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
