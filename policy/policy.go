// Package policy decides for a request router in front of caches that fill from parent caches and an
// origin. The types it is spoken to with (Settings, events, actions) are in api.go, what it holds is in
// state.go; the tuned values are in this file, and the decisions in files by concern: request, pick, limit,
// chain, health, learn, cold, members, purge and repeat.
//
// The caller owns clock, timers and network. It calls Handle for each event with the time of its clock, and
// carries out the returned actions in order. A Router is a state machine that starts no goroutine and gives
// equal actions for equal events; it must not be called from two goroutines at once, and keeps no slices.
package policy

import (
	"fmt"
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
	case Overdue:
		r.overdueDiscovery(e)
	}
	acts, r.out = r.out, nil
	return acts
}
