// Who is up, down or tried: one judgement for caches, parents and the origin.

package policy

import "fmt"

// usable: known, listed and not draining. Naming anything else breaks the drain rule.
func (t *target) usable() bool { return t != nil && t.listed && t.State == Ready }

func (r *Router) trialDue(t *target, q *request) bool {
	return !t.trialOut && r.now >= t.TrialAt && q.class.Effect == Safe && len(q.attempts) == 0
}

// overdue books an attempt whose aim has passed on the one who owes the answer: the cache, if it has
// answered nothing since, else the source.
func (r *Router) overdue(a *attempt) {
	a.late = true
	worst := a.to // whose doing it is: of cache, parent and origin the one that has most overdue
	for _, t := range []*target{a.to, a.source, a.deep} {
		if t != nil {
			t.LateShare.learn(true, failGain)
			if t.LateShare > worst.LateShare {
				worst = t
			}
		}
	}
	r.adapt(worst, true)
	if a.to.LastAnswer < a.sent {
		r.unanswered(a.to)
	} else if a.source != nil && a.source != a.to && a.source.LastAnswer < a.sent {
		// It waits for its source, not for the cache: counted there, waits would shut out the hits.
		r.through(a, true)
		r.unanswered(a.source)
	}
}

func (r *Router) unanswered(t *target) {
	t.Unanswered++
	if t.Unanswered >= unansweredCount || t.Unanswered >= silentCount && r.now-t.LastAnswer >= silentFor {
		r.markDown(t, "silent")
	}
}

// failed books a failure on one that broke off, or that met an error with what another could serve.
func (r *Router) failed(t *target) {
	if t.FailedAt > 0 && r.now-t.FailedAt < oneBreak {
		return
	}
	t.FailedAt = r.now
	t.FailShare.learn(true, failGain)
	if t.FailShare > failShareDown {
		r.markDown(t, "failing")
	}
}

// answered is an answer: the silence is broken, and a trial has succeeded.
func (r *Router) answered(t *target) {
	t.Unanswered, t.LastAnswer = 0, r.now
	t.FailShare.learn(false, failGain)
}

func (r *Router) markDown(t *target, why string) {
	if t.Down || t == r.origin {
		return
	}
	t.Down, t.TrialAt = true, r.now+trialEvery
	// What waits on a silent one would wait until its client leaves: it is called off and sent elsewhere.
	for _, c := range r.caches {
		for _, a := range c.out {
			waits := r.set.Cancel && (c == t || a.source == t && a.late)
			if waits && a.q.class.Effect == Safe && !a.q.over && !a.q.stream {
				r.do(Cancel{ID: a.q.ID, Attempt: a.no})
			}
		}
	}
	r.do(Log{Text: fmt.Sprintf("%d down: %s", t.ID, why)})
}

func (r *Router) markUp(t *target) {
	t.Down, t.Unanswered, t.FailShare = false, 0, 0
	t.Ramped, t.Ramps = r.now, true
	// One that could not be reached may have restarted before the list says so: taken as cold until the
	// list tells its start. One that was only silent has kept what it holds.
	if t.Lost {
		t.Lost = false
		r.chill(t, r.now)
	}
	r.do(Log{Text: fmt.Sprintf("%d up", t.ID)})
}

// judge reads one outcome for what it says of the cache and of the source.
func (r *Router) judge(a *attempt, o Outcome) {
	t, s := a.to, a.source
	if s == t {
		s = nil
	}
	sourceFault := s != nil && has([]Note{NoteSourceRefused, NoteSourceLost, NoteOriginFailed}, o.Note)
	alive := o.Result == OK || o.Result == Miss || o.Result == Full || sourceFault
	switch {
	case alive:
		r.answered(t)
		if o.Note == NoteNoPlace {
			t.noFills = r.now + fullPause // its places for fills are taken, and hits need none
		} else if o.Result == Full && !sourceFault {
			t.fullUntil = r.now + fullPause
		}
	case o.Result == ConnectFailed:
		t.Lost = true
		r.markDown(t, "connection failed")
	case o.Result == Reset: // of one connection: a process that died refuses the next
		r.failed(t)
	case o.Result == Failed || o.Result == Unknown:
		// Whose error it is shows once another has served the request. Until then it may be the client's,
		// who asks for what can't be used: eight tries with one such request would mark any cache down.
		a.crashed = true
		a.q.crashes++
	case o.Result == TimedOut && !a.late:
		r.overdue(a)
	}
	if a.trial == t {
		t.trialOut = false
		if alive && t.Down {
			r.markUp(t)
		}
	}
	if s == nil {
		return
	}
	sourceAlive := o.Result == OK && r.set.Details != DetailAll && o.Note == NoteNone
	switch o.Note {
	case NoteFilled, NoteFilledOrigin, NoteOriginFailed, NoteSourceLacks:
		sourceAlive = true
	case NoteSourceRefused:
		s.fullUntil = r.now + fullPause
	case NoteSourceLost:
		if o.Result == Full && o.Waited <= r.set.ConnectWithin {
			s.Lost = true
			r.markDown(s, "connection failed")
		} else {
			r.unanswered(s)
		}
	}
	if sourceAlive {
		r.answered(s)
	}
	if a.trial == s {
		s.trialOut = false
		if sourceAlive && s.Down {
			r.markUp(s)
		} else if o.Note != NoteSourceLost {
			s.TrialAt = r.now // a hit told nothing of the source: the next request tries
		}
	}
}
