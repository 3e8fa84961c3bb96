// Package policy decides for a request router in front of caches that fill from parent caches and an
// origin. The types it is spoken to with (Settings, events, actions) are in api.go, what it holds is in
// state.go; every decision, table and tuned value is in this file.
//
// The caller owns clock, timers and network. It calls Handle for each event with the time of its clock, and
// carries out the returned actions in order. A Router is a state machine that starts no goroutine and gives
// equal actions for equal events; it must not be called from two goroutines at once, and keeps no slices.
package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// The tuned values. Each has its unit, its reason, and what it trades off.
const (
	// memoryAge: how long a hit holder is worth asking. Longer finds more, and asks more in vain.
	memoryAge = 10 * time.Second
	// memorySize bounds the memory of hit holders, in objects (or parts).
	memorySize = 1 << 14
	// unansweredCount: this many attempts in a row past their aim mark the one who owes the answer down, or
	// silentCount, met seldom, in silentFor. Fewer notices silence sooner, and takes a jam for it more often.
	unansweredCount, silentCount, silentFor = 20, 3, 5 * time.Second
	// failShareDown: share of late attempts that failed at which a cache or parent counts as down, with
	// failGain the weight of the newest one.
	failShareDown, failGain = 0.5, 1.0 / 8
	// oneBreak: failures of one cache this close together are one, as a connection that breaks off ends all
	// that is open on it. Longer takes a cache that breaks off again and again for a better one.
	oneBreak = 50 * time.Millisecond
	// mostCrashed: a request that so many attempts ran into an error with is given up: it is the request that
	// can't be used. Lower fails more that another cache would have served.
	mostCrashed = 2
	// trialEvery: between trials of one that is down. Shorter returns it sooner; a trial may cost a wait.
	trialEvery = 5 * time.Second
	// rampFrom and rampPart: a cache or parent that is new or back gets this share of its objects at first,
	// and all of them after this part of the time in which it is warm at the latest. A shorter ramp fills
	// it sooner and spares the others; a longer one spares it. rampElse: where no warming time is told.
	rampFrom, rampPart, rampElse = 0.1, 0.6, 10 * time.Second
	// limitStart, limitLeast: attempts that all routers of the location have out at a cache, or fills on its
	// link, at first and at least; each has its part. sourceStart, sourceLeast: fills of one router at a
	// parent or the origin; it starts with sourcePart of its part of its caches' links, lest eighty have room
	// for a jam, and rises while less than spareSource is free beyond twice what is out. limitShrink is what
	// a late answer leaves of a limit; one in time adds limitRaise of it, or limitStep for all places. It
	// speaks for the time since the last, in limitEvery, limitSpeaks times at most. Lower serves less.
	limitStart, limitLeast                            = 16.0, 9.0
	sourceStart, sourceLeast, sourcePart, spareSource = 16.0, 0.2, 0.25, 0.5
	limitShrink, limitRaise, limitStep                = 0.9, 0.1, 2.0
	// usualLink: the limits above are in places of caches whose links hold so many transfers. Where those
	// told hold more, a place stands for as many more, and one answer speaks for that much less of a limit.
	usualLink               = 8.0
	limitEvery, limitSpeaks = 100 * time.Millisecond, 8.0
	// lowStanding: the part of a limit open to what earns littleEarned times less for its sending time than
	// the best class, its square to leastEarned times less. Lower serves more small answers, fewer large.
	lowStanding, littleEarned, leastEarned = 0.75, 2.0, 8.0
	// yieldRoom: a crowded cache yields to one with no more than one in so many of its places taken.
	yieldRoom = 2
	// mostTurned: a request turned away as full so often is given up: more tries only add to a jam.
	mostTurned = 2
	// fullPause: how long one that said it was full, or whose place was refused, is passed over.
	fullPause = 100 * time.Millisecond
	// budgetSafety: the part of a cold one's budget that is used; the rest is for chance and rough weights.
	budgetSafety = 0.6
	// meanSendGuess: sending time of a class before any was seen, as a share of its deadline.
	meanSendGuess, meanGain = 1.0 / 20, 1.0 / 64
	// meanDrift: how fast, in shares a second, the mean sending time follows answers that take longer. A jam
	// stretches them all: taken for large objects it would never be relieved.
	meanDrift = 0.005
	// budgetBurst: the part of a window's budget that may be saved up; with budgetSafety it stays below all.
	budgetBurst = 0.5
	// typicalSize: an untold size for judging an answer late, as a part of its class's mean, which few large
	// objects pull up. Smaller notices a jam sooner, and takes large objects for late more often.
	typicalSize = 0.7
	// loadSpan: span over which what a role serves is averaged. Shorter takes chance for capacity, where a
	// router sees an answer in seconds; longer knows little after a restart.
	loadSpan = 15 * time.Second
	// retryPause: wait before a request whose sources all failed tries again, times the attempts made.
	retryPause = 50 * time.Millisecond
	// watchPause: wait before asking discovery again after it failed.
	watchPause = time.Second
	// forgetAfter: an over request whose outcomes never came is dropped so long after its deadline.
	forgetAfter = time.Minute
)

// New returns a router for these settings, or an error that names the field it cannot work from.
func New(s Settings, seed uint64) (*Router, error) {
	if len(s.Classes) == 0 {
		return nil, fmt.Errorf("policy: Settings.Classes is empty")
	}
	r := &Router{
		set: s, rng: mix(seed), reqs: map[string]*request{}, timers: map[uint64]timer{},
		known: map[CacheID]*target{}, memory: newBounded[place, holder](memorySize),
		objectPurged: newBounded[string, Time](memorySize), groupPurged: newBounded[int, Time](memorySize),
		fillShare: 0.5, originShare: 0.1, scale: 1,
	}
	r.set.Routers = max(1, s.Routers)
	r.set.Classes = append([]Class(nil), s.Classes...)
	r.set.ZoneRouters = append([]int(nil), s.ZoneRouters...)
	for i, c := range s.Classes {
		if c.Effect < Safe || c.Effect > Unsafe {
			return nil, fmt.Errorf("policy: Settings.Classes[%d].Effect: unknown effect %d", i, c.Effect)
		}
		if c.Deadline <= 0 {
			return nil, fmt.Errorf("policy: Settings.Classes[%d].Deadline must be above 0", i)
		}
		r.meanSend = append(r.meanSend, c.Deadline.Seconds()*meanSendGuess)
	}
	r.learned, r.meanTook = make([]Time, len(s.Classes)), append([]float64(nil), r.meanSend...)
	r.link = &target{Member: Member{Zone: s.Zone}}
	r.link.Limit = limitStart / float64(r.sharers(r.link))
	return r, nil
}

// Handle takes one event at the given time and appends the actions that answer it to acts.
func (r *Router) Handle(now Time, e Event, acts []Action) []Action {
	r.now, r.out = max(now, r.now), acts
	switch e := e.(type) {
	case Members:
		r.members(e)
	case Request:
		r.request(e)
	case First:
		r.first(e)
	case Outcome:
		r.outcome(e)
	case ClientLeft:
		r.end(r.reqs[e.ID])
	case Timer:
		r.timer(e.Token)
	case Purged:
		r.purged(e)
	}
	acts, r.out = r.out, nil
	return acts
}

// ---- Request life and deadlines ----

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

// ---- Cache pick: a rendezvous hash over the location's ready caches ----

// pick returns the cache for a request and, if it goes there as a trial, whose.
func (r *Router) pick(q *request) (*target, *target) {
	order := rendezvous(r.caches, q.spot, r.set.WeightsTold)
	for pass := range 2 {
		yielded := false
		for _, c := range order {
			if c.State != Ready || !q.maySend(r.now, c) || !r.affords(c) {
				continue
			}
			if c.Down {
				if pass == 0 && r.trialDue(c, q) {
					return c, c
				}
				continue
			}
			// A crowded one is passed over even when all are, and yields only to one with room to spare.
			room := r.places(c)
			if yielded {
				room *= yieldRoom
			}
			if r.crowded(q, c, room) && !(pass > 0 && q.class.Uncached) {
				yielded = true
				continue
			}
			if pass == 0 && (has(q.tried, c) || !r.inRamp(c, q.spot)) {
				continue
			}
			return c, nil
		}
	}
	return nil, nil
}

// crowded tells whether a cache or source is passed over for now: as much is out there as is answered in
// time, or it said that it was full. A limit is kept by chance, so that one below a single attempt works.
func (r *Router) crowded(q *request, t *target, taken float64) bool {
	return r.now < t.fullUntil || taken/r.standing(q)+q.luck > t.Limit*r.scale
}

// standing is the part of a limit that a request may use. In a jam a place is best given to whoever earns
// most for its sending time: what earns far less than the best class does on average is turned away a little
// sooner, and so is a client's repeat, since its time counts from the first try.
func (r *Router) standing(q *request) float64 {
	best := 0.0
	for i, c := range r.set.Classes {
		if !c.Uncached { // it takes no place where there are limits
			best = max(best, c.Worth/r.meanSend[i])
		}
	}
	earns, part := q.class.Worth/cmp.Or(r.ownTime(q), r.sendingTime(q)), 1.0
	for _, low := range []bool{littleEarned*earns < best, leastEarned*earns < best, q.Repeat} {
		if low {
			part *= lowStanding
		}
	}
	return part
}

// places is what this router has out at a target: attempts, and of those that name it as their source the
// share that will need it. Counting them all would shut a parent for hits it never sees.
func (r *Router) places(t *target) float64 {
	fills := float64(r.fillShare)*float64(t.fills) + float64(r.originShare)*float64(t.deep)
	if t.role == origin {
		return float64(len(t.out)) + fills
	}
	return float64(len(t.out)-t.through) + fills
}

// adapt moves the limit of the one that decided how long an answer took: up if in time, down if late. With
// less than half its places taken it stays, as large objects are late now and then. A source's rises only
// where more are out: eighty with room for two fills each are a jam for the origin.
func (r *Router) adapt(t *target, late bool) {
	least, sharers := sourceLeast, 1.0
	if t.role == edge { // its neighbours raise theirs: all together it grows as one router's would
		sharers = float64(r.sharers(t))
		least = limitLeast / sharers
	}
	speaks := min(limitSpeaks, max(1, float64(r.now-t.Heard)/float64(limitEvery)))
	switch {
	case t.role != edge && !late && 2*r.places(t)+spareSource < t.Limit*r.scale:
	case 2*(r.places(t)+1) < t.Limit*r.scale:
	case late:
		t.Limit *= math.Pow(limitShrink, speaks/r.scale)
	default:
		t.Limit += min(limitStep/sharers/t.Limit, limitRaise*speaks*t.Limit) / r.scale
	}
	t.Limit, t.Heard = max(t.Limit, least), r.now
}

// passBy is for a location with no cache up: past crowded ones it would bring the jam to the parents.
func (r *Router) passBy(q *request) (to, trial *target) {
	for _, c := range r.caches {
		if c.State == Ready && !c.Down {
			return nil, nil
		}
	}
	if to, _, trial = r.walk(q, nil); r.set.MayPassBy && to != nil && q.maySend(r.now, to) {
		return to, trial
	}
	return nil, nil
}

// ---- Chain walk: recent hit holder, default parent, next parent up, origin ----

func (r *Router) walk(q *request, to *target) (*target, How, *target) {
	if q.class.Uncached || to != nil && to.role == parent {
		if r.origin.usable() && !has(q.bad, r.origin) {
			return r.origin, 0, nil
		}
		return nil, 0, nil
	}
	if h := r.holder(q, to); h != nil {
		if h.role == parent {
			return h, 0, nil
		}
		return h, HeldOnly, nil
	}
	jammed := r.origin != nil && r.crowded(q, r.origin, r.places(r.origin))
	for _, p := range rendezvous(r.parents, q.home, r.set.WeightsTold) {
		if p.State != Ready || has(q.bad, p) || r.crowded(q, p, r.places(p)) || !r.affords(p) {
			continue
		}
		if p.Down {
			if r.trialDue(p, q) {
				return p, 0, p
			}
			continue
		}
		if r.inRamp(p, q.home) && jammed {
			return p, HeldOnly, nil // what it lacks would wait at the origin, and be given up there
		} else if r.inRamp(p, q.home) {
			return p, 0, nil
		}
	}
	if r.origin.usable() && !has(q.bad, r.origin) && !jammed {
		return r.origin, 0, nil
	}
	return nil, 0, nil
}

// holder is the sibling or parent that lately answered a hit for the object, if it may be named.
func (r *Router) holder(q *request, to *target) *target {
	h, _ := r.memory.get(place{q.Object, q.Part})
	if to == nil || h.t == nil || r.now-h.at > memoryAge || h.t == to || has(q.bad, h.t) {
		return nil
	}
	t := h.t
	if !t.usable() || t.Down || t.Colds && h.at < t.Cold || r.now < t.fullUntil {
		return nil
	}
	near := r.set.Siblings != ReachNone && t.role == edge || r.set.Siblings == ReachAny
	if t.role != parent && !near || !r.affords(t) {
		return nil
	}
	return t
}

// ---- Up, down and trials: one judgement for caches, parents and the origin ----

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

// learn takes from an answer what it tells of sending times, fills and holders.
func (r *Router) learn(a *attempt, o Outcome) {
	q, filled := a.q, o.Note == NoteFilled || o.Note == NoteFilledOrigin
	// A fill is booked in full when it is sent: booked by its chance, a cold parent whose answers took
	// seconds was pushed over. It is given back where none was made; a look in vain reached the source.
	if a.fill > 0 && (o.Result == OK && !filled || o.Result == ConnectFailed || o.Note == NoteNoPlace) {
		a.source.Credit += a.fill
	}
	// A late fill is its source's doing where the first byte was what took long, else that of a link: its
	// source's, where fills from others come in time, or the location's, whose jams feed themselves.
	decided, soon := a.to, o.Waited <= q.class.Target/2
	if filled && a.source != nil {
		decided = a.source
		if r.link.LateShare.learn(a.late && soon, failGain); !a.late {
			a.source.LateShare.learn(false, failGain)
			r.adapt(r.link, false)
		} else if soon && r.link.LateShare >= a.source.LateShare {
			decided = r.link
		}
	}
	if o.Note == NoteFilledOrigin && a.deep != nil {
		if a.deep.LateShare.learn(a.late && !soon, failGain); a.late && !soon {
			decided = a.deep
		} else {
			r.adapt(a.deep, false)
		}
	}
	switch turned := o.Note == NoteSourceRefused || o.Note == NoteOriginFailed; {
	case o.Note == NoteNoPlace:
		r.adapt(r.link, true)
	case o.Result == OK && q.class.Uncached && !a.late: // it is sent past every limit, and raises none
	case o.Result == OK:
		a.to.LateShare.learn(a.late, failGain)
		r.adapt(decided, a.late)
	case turned && a.source != nil:
		r.adapt(a.source, true) // whoever is full is over its limit, and so may the origin behind it be
		if a.deep != nil {
			r.adapt(a.deep, true)
		}
	case a.to.fullUntil > r.now:
		r.adapt(a.to, true)
	}
	if o.Note == NoteSourceLacks {
		r.memory.put(place{q.Object, q.Part}, holder{})
	}
	if o.Result != OK {
		return
	}
	r.served(a.to, r.sendingTime(q))
	if filled && a.source != nil {
		r.served(a.source, r.sendingTime(q))
	}
	took := r.ownTime(q)
	if took == 0 && !filled {
		took = o.Latency.Seconds()
	}
	if took > 0 {
		r.meanTook[q.Class] += meanGain * (took - r.meanTook[q.Class])
		drift := 1 + meanDrift*min(1, (r.now-r.learned[q.Class]).Seconds())
		r.meanSend[q.Class] = min(r.meanTook[q.Class], r.meanSend[q.Class]*drift)
		r.learned[q.Class] = r.now
	}
	if q.class.Uncached {
		return
	}
	r.originShare.learn(o.Note == NoteFilledOrigin, meanGain)
	r.fillShare.learn(filled, meanGain)
	switch {
	case o.Note == NoteHit || o.Note == NoteNone && r.set.Details == DetailNone:
		r.memory.put(place{q.Object, q.Part}, holder{a.to, r.now})
	case o.Note == NoteFilled && a.source != nil && a.source.role == parent && r.set.Details == DetailAll:
		r.memory.put(place{q.Object, q.Part}, holder{a.source, r.now})
	}
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

// ---- Ramp and cold budget ----

// inRamp tells whether an object is in the share that a new or returned target gets by now.
func (r *Router) inRamp(t *target, key uint64) bool {
	if !t.Ramps {
		return true
	}
	length := cmp.Or(time.Duration(rampPart*float64(r.fall(t).WarmWithin)), rampElse)
	share := rampFrom + (1-rampFrom)*float64(r.now-t.Ramped)/float64(length)
	if share >= 1 {
		t.Ramps = false
		return true
	}
	return unit(mix(mix(key)+uint64(t.ID))) < share
}

func (r *Router) fall(t *target) Fall {
	if t.role == parent {
		return r.set.ParentFall
	}
	return r.set.CacheFall
}

// affords tells whether a cold target can take another attempt without being pushed over. The budget holds
// for any window and all routers together; this one keeps to its part of it as a credit that accrues with
// time and may be overdrawn by one attempt. Where a part is far below one attempt routers take turns, lest
// all send theirs at once: they start in debt by chance, and a turn not used passes.
func (r *Router) affords(t *target) bool {
	if !t.Colds || t.role == origin {
		return true
	}
	f := r.fall(t)
	if f.Multiple <= 0 || f.Within <= 0 || f.WarmWithin <= 0 || r.now-t.Cold > f.WarmWithin+f.Within {
		t.Colds = false
		return true
	}
	warmth := float64(max(0, r.now-t.Cold-f.Within)) / float64(f.WarmWithin)
	capacity := f.ColdFrom + (1-f.ColdFrom)*min(1, warmth)
	// At least one attempt of the longest class a window for all routers, where there is no history.
	least := slices.Max(r.meanSend) / float64(r.sharers(t)) / f.Within.Seconds()
	part := max(budgetSafety*f.Multiple*capacity*r.linkPart(t), least)
	most := part * f.Within.Seconds() * budgetBurst
	t.Credit, t.CreditAt = t.Credit+part*(r.now-t.CreditAt).Seconds(), r.now
	if turn := slices.Max(r.meanSend); most < turn && t.Credit > most {
		t.Credit -= turn * math.Ceil((t.Credit-most)/turn)
	}
	t.Credit = min(t.Credit, most)
	return t.Credit >= 0
}

// chill starts the budget of one that is taken as cold from a time on.
func (r *Router) chill(t *target, from Time) {
	r.rng = mix(r.rng)
	t.Cold, t.Colds, t.Credit, t.CreditAt = from, true, -unit(r.rng)*slices.Max(r.meanSend), r.now
}

// linkPart is this router's part of a target's link, in transfers: as told, else the most its role served.
func (r *Router) linkPart(t *target) float64 {
	if r.set.WeightsTold && t.Weight > 0 {
		return t.Weight / float64(r.sharers(t))
	}
	return r.linkSeen[t.role]
}

// served books an answer on what each of a role, ready or cold, serves this router. If what was sent counted,
// a jam would pass for a large link, and those that start into it be pushed over.
func (r *Router) served(t *target, cost float64) {
	peers := r.caches
	if t.role == parent {
		peers = r.parents
	}
	r.load[t.role].add(r.now, loadSpan, cost)
	seen := r.load[t.role].perSecond(r.now, loadSpan) / float64(max(1, len(peers)))
	r.linkSeen[t.role] = max(r.linkSeen[t.role], seen)
}

// sharers is the number of routers that send to a target: those of its location, or all.
func (r *Router) sharers(t *target) int {
	if z := t.Zone; t.role == edge && z >= 0 && z < len(r.set.ZoneRouters) && r.set.ZoneRouters[z] > 0 {
		return r.set.ZoneRouters[z]
	}
	return r.set.Routers
}

// ---- Members ----

func (r *Router) members(e Members) {
	if r.set.AskDiscovery && !r.watched {
		r.watched = true
		r.do(Watch{On: true})
	}
	if e.Kind == ListFailed {
		if r.set.AskDiscovery {
			r.after(watchPause, timer{kind: atWatch})
		}
		return
	}
	if e.Kind != ListChanges {
		for _, t := range r.known {
			t.listed = false
		}
	}
	for _, m := range e.Entries {
		t, known := r.known[m.ID]
		if !known {
			t = &target{Judged: Judged{Limit: sourceStart}, hashed: mix(uint64(m.ID))}
			r.known[m.ID], r.order = t, append(r.order, t)
		}
		started := m.Started > 0 && m.Started != t.Started
		t.Member, t.listed = m, m.State != Gone
		switch {
		case m.Kind == r.set.OriginKind:
			t.role = origin
		case m.Kind == r.set.ParentKind:
			t.role = parent
		case m.Zone != r.set.Zone:
			t.role = foreign
		default:
			t.role = edge
			if !known { // the limit starts at this router's part: its neighbours fill the same caches
				t.Limit = limitStart / float64(r.sharers(t))
			}
		}
		if started && t.role != origin {
			from := min(m.Started, r.now) // of a clock that runs ahead
			r.chill(t, from)
			t.Ramped, t.Ramps = from, true
			t.Down, t.Unanswered, t.FailShare, t.trialOut = false, 0, 0, false
		}
	}
	r.relist()
	if total := 0.0; r.set.WeightsTold && len(r.caches) > 0 {
		for _, c := range r.caches {
			total += c.Weight
		}
		r.scale = max(1, total/float64(len(r.caches))/usualLink)
		for _, t := range r.order {
			if t.Heard == 0 && t.role != edge {
				t.Limit = min(sourceStart, sourcePart*total/float64(r.sharers(r.caches[0])))
			}
		}
	}
}

// ---- Purge ages ----

func (r *Router) purged(e Purged) {
	at := r.now - e.Age
	if e.Object != "" {
		old, _ := r.objectPurged.get(e.Object)
		r.objectPurged.put(e.Object, max(at, old))
		return
	}
	old, _ := r.groupPurged.get(e.Group)
	r.groupPurged.put(e.Group, max(at, old))
}

// age is the oldest copy that will do, 0 for the class's own fresh time, and whether a purge set it.
// Counted from the purge, it shuts out every copy from before, at the cache and at its source.
func (r *Router) age(q *request) (time.Duration, bool) {
	at, ok := r.objectPurged.get(q.Object)
	if g, also := r.groupPurged.get(q.Group); also && (!ok || g > at) {
		at, ok = g, true
	}
	// Twice the time in which copies are dropped: a copy may have been on its way when its source's went.
	if !ok || r.now-at > 2*r.set.PurgeTakes {
		return 0, false
	}
	age := max(r.now-at, time.Microsecond)
	if q.class.Fresh > 0 {
		age = min(age, q.class.Fresh)
	}
	return age, true
}

// ---- Retries and refusals ----

// history is what the attempts made so far leave open: none may have run; or the first that may have.
func (q *request) history() *attempt {
	for _, a := range q.attempts {
		if a.open || a.ran {
			return a
		}
	}
	return nil
}

// maySend tells whether a further attempt at t can have no second effect.
func (q *request) maySend(now Time, t *target) bool {
	first := q.history()
	if first == nil || q.class.Effect == Safe {
		return true
	} else if q.class.Effect == Unsafe || now-first.sent >= q.class.Window {
		return false
	}
	switch q.class.Group {
	case GroupZone:
		return t.Zone == first.to.Zone
	case GroupCell:
		return t.Cell == first.to.Cell
	}
	return true
}

// mayRefuse tells whether the client may be told that a retry is harmless.
func (q *request) mayRefuse() bool {
	c := q.class
	return c.Effect == Safe || c.Effect == Keyed && c.Group == GroupAll || q.history() == nil
}
