// What becomes of one request: its attempts, its outcomes and its one final answer.

package policy

import (
	"cmp"
	"math"
	"time"
)

func (r *Router) request(e Request) {
	if r.reqs[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(r.set.Classes) || e.Left <= 0 {
		r.do(Refuse{ID: e.ID})
		return
	}
	q := &request{Request: e, class: &r.set.Classes[e.Class], due: r.now + e.Left}
	q.home = hash(e.Object)
	r.rng = mix(r.rng)
	q.luck = unit(r.rng)
	if q.spot = q.home; q.class.InParts {
		// Caches keep each part by itself: a much asked object of many parts would crowd one of them.
		q.spot = mix(q.home + uint64(e.Part))
	}
	r.reqs[e.ID] = q
	// Every request ends by its own deadline, whatever does or does not come back.
	r.after(e.Left, timer{kind: atDeadline, q: q})
	r.dispatch(q)
}

func (r *Router) first(e First) {
	if a := r.reqs[e.ID].attempt(e.Attempt); a != nil && a.q.class.Stream && !a.q.over {
		a.q.stream = true
		r.answered(a.to)
	}
}

// giveUp is the one final answer that a router gives of itself, at once: a refusal where it is harmless,
// with advice on when to come back, else a failure.
func (r *Router) giveUp(q *request) {
	if q.over {
		return
	}
	if q.mayRefuse() {
		a := Refuse{ID: q.ID}
		if r.set.RetryAfter {
			r.rng = mix(r.rng)
			a.RetryAfter = time.Duration(float64(r.set.MaxRetryAfter) * (0.5 + unit(r.rng)/2))
		}
		r.do(a)
	} else {
		r.do(Fail{ID: q.ID})
	}
	r.end(q)
}

// dispatch sends a request on its next attempt, or gives it up.
func (r *Router) dispatch(q *request) {
	if q.over || q.stream || q.open > 0 || q.waiting {
		return
	}
	hopeless := r.ownTime(q) > (q.due - r.now).Seconds()
	if hopeless || r.now >= q.due || r.set.MaxTries > 0 && len(q.attempts) >= r.set.MaxTries {
		r.giveUp(q)
		return
	}
	var to, trial *target
	passes := q.class.Uncached && r.set.MayPassBy && !has(q.bad, r.origin) // untouched
	if passes && r.origin.usable() && q.maySend(r.now, r.origin) {
		to = r.origin
	} else if to, trial = r.pick(q); to == nil {
		to, trial = r.passBy(q)
	}
	if to == nil {
		r.giveUp(q)
		return
	}
	if to == r.origin {
		r.send(q, to, nil, 0, nil)
		return
	}
	source, how, trialled := r.walk(q, to)
	full := r.now < to.noFills || r.crowded(q, r.link, r.places(r.link))
	if source == nil || full && !q.class.Uncached {
		if q.class.Uncached || to.role != edge || len(q.attempts) > 0 {
			r.hold(q)
			return
		}
		source = to // no source will take more: what the cache holds can still be served
	}
	if trial == nil {
		trial = trialled
	}
	r.send(q, to, source, how, trial)
}

// hold waits a little before a request whose sources all failed tries the chain again from its start.
func (r *Router) hold(q *request) {
	wait := retryPause * time.Duration(1+len(q.attempts))
	if r.now+wait >= q.due-q.Left+q.class.Target || len(q.attempts) == 0 {
		r.giveUp(q)
		return
	}
	q.bad, q.tried, q.waiting = nil, nil, true
	r.after(wait, timer{kind: atRetry, q: q})
}

func (r *Router) send(q *request, to, source *target, how How, trial *target) {
	a := &attempt{q: q, no: len(q.attempts), to: to, source: source, sent: r.now, open: true, trial: trial}
	q.attempts = append(q.attempts, a)
	q.open++
	to.out = append(to.out, a)
	to.Credit -= r.sendingTime(q)
	r.through(a, q.class.Uncached)
	if source != nil && source != to {
		a.fill = r.sendingTime(q)
		source.Credit -= a.fill
		source.fills++
		r.link.fills++
		if source.role == parent && how&HeldOnly == 0 && r.origin != nil {
			a.deep = r.origin
			a.deep.deep++
		}
	}
	own := cmp.Or(r.ownTime(q), typicalSize*r.sendingTime(q))
	aim := q.class.Target + time.Duration(q.class.AimStretch*own*float64(time.Second))
	left, timeout := q.due-r.now, q.due-r.now
	if trial != nil {
		timeout = min(left/2, aim)
		trial.trialOut, trial.TrialAt = true, r.now+trialEvery
	}
	if aim < left {
		r.after(min(aim, timeout), timer{kind: atAim, a: a})
	}
	if source == nil {
		r.do(Ask{ID: q.ID, Cache: to.ID, Timeout: timeout})
		return
	}
	g := Get{ID: q.ID, Cache: to.ID, Source: source.ID, Timeout: timeout, How: how, Keep: 1}
	if _, again := r.memory.get(place{q.Object, q.Part}); again {
		g.Keep = 2 // what was a hit before outlives what is asked for once
	}
	if q.class.Uncached || to.role != edge { // parents know no ranks
		g.Keep = 0
	}
	switch age, purged := r.age(q); {
	case q.class.Uncached:
	case purged:
		g.Age = age // and no joining of a fill begun before the purge, nor an ageing copy
	case how&HeldOnly == 0:
		if r.set.SharesFills {
			g.How |= Join
		}
		if q.class.Fresh > 0 {
			g.How |= Renew
		}
	}
	r.do(g)
}

// sendingTime is the class's mean sending time in seconds.
func (r *Router) sendingTime(q *request) float64 { return r.meanSend[q.Class] }

// ownTime is the sending time in seconds of the request's own bytes, 0 where size or pace is not told.
func (r *Router) ownTime(q *request) float64 {
	return q.SizeKB / cmp.Or(max(0, r.set.FlowKBPerS), math.Inf(1))
}

func (r *Router) outcome(o Outcome) {
	q := r.reqs[o.ID]
	a := q.attempt(o.Attempt)
	if a == nil || !a.open {
		return
	}
	r.close(a)
	a.ran = !has([]Result{Full, ConnectFailed, Moot, Miss}, o.Result)
	r.judge(a, o)
	r.learn(a, o)
	if o.Result == OK {
		for _, b := range q.attempts {
			if b.crashed && b.to != a.to {
				r.failed(b.to)
			}
		}
	}
	if q.over = q.over || o.Closed || o.Result == OK; q.over {
		r.end(q)
		return
	}
	later := o.Note == NoteNoPlace || o.Note == NoteSourceLacks && a.source != nil && a.source.role == parent
	if later || o.Result == Full && (o.Note == NoteNone || o.Note == NoteSourceRefused) {
		q.turned++
	}
	if q.crashes >= mostCrashed || q.turned >= mostTurned {
		r.giveUp(q)
		return
	}
	switch {
	case a.source != nil && o.Note >= NoteSourceRefused && o.Note <= NoteSourceLacks:
		q.bad = append(q.bad, a.source)
	case a.source != nil && o.Note == NoteOriginFailed:
		q.bad = append(q.bad, a.source, r.origin)
	default:
		q.tried = append(q.tried, a.to)
		if a.to.role != edge {
			q.bad = append(q.bad, a.to)
		}
	}
	if later {
		r.hold(q) // the origin is jammed: the next parent would lack it, the next cache have no place
		return
	}
	r.dispatch(q)
}
