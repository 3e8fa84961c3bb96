package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// What a Router holds, and the bookkeeping that decides nothing.

type role int

const (
	edge role = iota
	parent
	origin
	foreign // a cache of another location
)

// target is a cache, a parent or the origin: one judgement for all.
type target struct {
	Member
	Judged
	role   role
	listed bool
	hashed uint64  // of its id
	score  float64 // in the order asked for last

	trialOut  bool
	fullUntil Time
	noFills   Time // until then it is asked only for what it holds
	fills     int  // open attempts that name it as their source
	deep      int  // open fills at parents that may ask it, the origin
	through   int  // open attempts that only pass through it

	out []*attempt // attempts sent here, oldest first
}

type attempt struct {
	q       *request
	no      int
	to      *target
	source  *target // nil: none beyond to itself
	sent    Time
	open    bool
	ran     bool // may have run
	fill    float64
	trial   *target // whose trial this is
	late    bool    // its aim has passed
	through bool    // takes no place where it was sent
	crashed bool    // it met an error, its own or the request's
	deep    *target // the origin, where its parent may ask it
}

type request struct {
	Request
	class    *Class
	home     uint64 // hash of the object: its order of parents
	spot     uint64 // hash of what a cache keeps, the object or the part: its order of caches
	due      Time
	attempts []*attempt
	open     int
	over     bool
	stream   bool
	waiting  bool
	luck     float64   // drawn once, to keep limits by chance
	crashes  int       // attempts that met an error
	turned   int       // times it was turned away as full
	tried    []*target // caches that failed this request
	bad      []*target // sources that failed this request
}

type timerKind int

const (
	atDeadline timerKind = iota
	atAim
	atRetry
	atWatch
	atForget
)

type timer struct {
	kind timerKind
	q    *request
	a    *attempt
}

type place struct {
	object string
	part   int
}

type holder struct {
	t  *target
	at Time
}

// Router decides for one router instance.
type Router struct {
	set    Settings
	rng    uint64
	now    Time
	out    []Action
	reqs   map[string]*request
	timers map[uint64]timer
	token  uint64

	known   map[CacheID]*target
	order   []*target // all known, by id
	caches  []*target // this location's, listed, by id
	parents []*target // all listed, by id
	origin  *target
	link    *target // the location's link in, which all its fills share
	watched bool
	scale   float64 // how many places one of a limit stands for

	memory       *bounded[place, holder]
	objectPurged *bounded[string, Time]
	groupPurged  *bounded[int, Time]
	unheard      bool // discovery is overdue:
	unheardUntil Time // what was purged until then may bind

	meanSend    []float64 // seconds, by class: the least that answers took on average
	meanTook    []float64 // seconds, by class: what they took lately
	learned     []Time    // when, by class
	fillShare   share     // of answers that took a fill
	originShare share     // and of those that the origin had to give
	load        [foreign + 1]rate
	linkSeen    [foreign + 1]float64 // the most that one of a role served this router, transfers
}

// Inherit starts from what was learned by the router before, of those that were not started since.
func (r *Router) Inherit(l Learned) {
	for id, j := range l.Targets {
		if t := r.known[id]; t != nil && t.Started <= j.Cold {
			t.Judged = j
		}
	}
	r.link.Judged, r.meanSend, r.meanTook = l.Link, l.MeanSend, l.MeanTook
	r.fillShare, r.originShare, r.linkSeen = l.FillShare, l.OriginShare, l.LinkSeen
}

// Shifted is what was learned with all its times moved by so much, as on another clock.
func (l Learned) Shifted(by time.Duration) Learned {
	targets := make(map[CacheID]Judged, len(l.Targets))
	for id, j := range l.Targets {
		targets[id] = j.shifted(by)
	}
	l.Targets, l.Link = targets, l.Link.shifted(by)
	return l
}

func (j Judged) shifted(by time.Duration) Judged {
	for _, t := range []*Time{&j.FailedAt, &j.LastAnswer, &j.TrialAt, &j.Heard, &j.Ramped, &j.Cold, &j.CreditAt} {
		if *t > 0 {
			*t = max(0, *t+by)
		}
	}
	return j
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

func (r *Router) after(d time.Duration, t timer) {
	r.token++
	r.timers[r.token] = t
	r.do(SetTimer{Token: r.token, After: max(0, d)})
}

// end marks a request over; it is forgotten once its last attempt has its outcome.
func (r *Router) end(q *request) {
	if q == nil {
		return
	}
	q.over = true
	if q.open == 0 {
		delete(r.reqs, q.ID)
	}
}

func (q *request) attempt(no int) *attempt {
	if q == nil || no < 0 || no >= len(q.attempts) {
		return nil
	}
	return q.attempts[no]
}

// through books an open attempt as one that takes no place where it was sent.
func (r *Router) through(a *attempt, so bool) {
	if so && !a.through && a.open {
		a.through = true
		a.to.through++
	}
}

// close takes an attempt off the books.
func (r *Router) close(a *attempt) {
	if !a.open {
		return
	}
	a.open = false
	a.q.open--
	if a.through {
		a.to.through--
	}
	if a.source != nil && a.source != a.to {
		a.source.fills--
		r.link.fills--
		if a.deep != nil {
			a.deep.deep--
		}
	}
	a.to.out = without(a.to.out, a)
}

// relist sorts what is listed by role and id, so that nothing depends on the order of a map. All but
// newcomers are in order already: to sort a large fleet for each change would hold up the requests.
func (r *Router) relist() {
	slices.SortFunc(r.order, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	r.caches, r.parents, r.origin = make([]*target, 0, len(r.caches)+1), nil, nil
	r.order = slices.DeleteFunc(r.order, func(t *target) bool {
		switch {
		case !t.listed && len(t.out) == 0 && t.fills+t.deep == 0:
			delete(r.known, t.ID) // or a fleet that replaces its machines would fill the memory
			return true
		case !t.listed:
		case t.role == edge:
			r.caches = append(r.caches, t)
		case t.role == parent:
			r.parents = append(r.parents, t)
		case t.role == origin && r.origin == nil:
			r.origin = t
		}
		return false
	})
}

// timer hands a due timer to what it was set for.
func (r *Router) timer(token uint64) {
	t, ok := r.timers[token]
	if !ok {
		return
	}
	delete(r.timers, token)
	switch t.kind {
	case atDeadline:
		if !t.q.over && !t.q.stream {
			r.giveUp(t.q)
		}
		if t.q.open > 0 && !t.q.stream {
			r.after(forgetAfter, timer{kind: atForget, q: t.q})
		}
	case atForget:
		for _, a := range t.q.attempts {
			r.close(a)
		}
		delete(r.reqs, t.q.ID)
	case atAim:
		if t.a.open {
			r.overdue(t.a)
		}
	case atRetry:
		t.q.waiting = false
		r.dispatch(t.q)
	case atWatch:
		r.do(Watch{On: true})
	}
}

// rendezvous sorts targets by their score for a key, highest first, by weight if asked.
func rendezvous(ts []*target, key uint64, weighted bool) []*target {
	out := append(make([]*target, 0, len(ts)), ts...)
	for _, t := range out {
		// Without weights the hash itself sorts as its logarithm would.
		if t.score = unit(mix(key ^ t.hashed)); weighted {
			t.score = -cmp.Or(max(0, t.Weight), 1) / math.Log(t.score)
		}
	}
	slices.SortStableFunc(out, func(a, b *target) int { return cmp.Compare(b.score, a.score) })
	return out
}
