package sim

import (
	"math"
	"math/rand/v2"

	"ravenwheel/policy"
)

// arrive is an attempt as it reaches its server.
func (a *attempt) arrive(g policy.Fetch, oldest float64) {
	s, w := a.to, a.r.p.w
	if !a.open {
		return // given up on its way
	}
	a.epoch = s.epoch
	switch {
	case s.state == lost:
		w.after(a.way(), func() { a.end(policy.ConnectFailed, policy.NoteNone) })
		return
	case s.state == hung:
		a.ran = true
		return // its time-out ends it
	case s.role != w.kinds.origin && s.open >= s.slots:
		w.after(a.way(), func() { a.end(policy.Overloaded, policy.NoteNone) })
		return
	}
	s.open++
	a.placed = true
	x := a.r.want
	s.load(w.spec.Traffic.Classes[x.class].KB)
	if w.spec.Traffic.Classes[x.class].Write {
		a.write()
		return
	}
	if s.role == w.kinds.origin {
		a.fetch()
		return
	}
	if h := s.store.get(x.key, oldest, g.RetainRank); h != nil {
		a.made = h.made
		a.serve(policy.NoteHit)
		return
	}
	if a.src == a.to {
		a.miss(policy.NoteNone)
		return
	}
	a.fill(g, oldest)
}

// way is how far an attempt's server is, one way.
func (a *attempt) way() float64 {
	w := a.r.p.w
	if a.to.role == w.kinds.cache {
		return w.spec.Fleet.Near
	}
	return w.far(a.r.p.branch, a.to.zone)
}

// write runs at the origin, which drops the repeat of a keyed one.
func (a *attempt) write() {
	w := a.r.p.w
	a.ran = true
	way := 2 * w.far(a.r.p.branch, 0)
	if a.to == w.origin {
		way = 0 // it is there
	}
	w.after(way, func() {
		w.line.ask(func(ok bool) {
			if ok && w.runs(a.r.want) {
				w.check.ran(a.r)
			}
			switch {
			case !a.alive():
			case !ok:
				a.ran = false
				a.miss(policy.NoteSourceRejected)
			default:
				a.serve(policy.NoteFilledOrigin)
			}
		})
	})
}

// runs tells whether a write that reaches the origin runs there.
func (w *world) runs(x *want) bool {
	c := w.spec.Traffic.Classes[x.class]
	if c.repeats() != policy.IdempotentByKey {
		return true
	}
	if at, before := w.keyed[x.no]; before && w.now < at+c.Window {
		return false
	}
	w.keyed[x.no] = w.now
	return true
}

// fetch is a request that came to the origin itself.
func (a *attempt) fetch() {
	w := a.r.p.w
	w.line.ask(func(ok bool) {
		switch {
		case !a.alive():
		case !ok:
			w.after(a.way(), func() { a.end(policy.Overloaded, policy.NoteNone) })
		default:
			a.made = w.now
			w.out.filled(w.kinds.origin, a.r.want.kb)
			a.serve(policy.NoteFilledOrigin)
		}
	})
}

// alive: still wanted, at a process that is still the same.
func (a *attempt) alive() bool { return a.open && a.epoch == a.to.epoch }

// serve sends the answer over the cache's link or, from further off, over its server's and the branch's.
func (a *attempt) serve(note policy.Note) {
	a.note, a.ran = note, true
	links := []*link{a.to.out}
	if a.to.role != a.r.p.w.kinds.cache {
		links = append(links, a.r.p.branch.in)
	}
	for _, l := range links {
		a.left++
		a.on = append(a.on, l.start(a.r.want.kb, func() {
			a.left--
			a.over()
		}))
	}
}

// over ends an attempt whose transfers are all over, its fill's too.
func (a *attempt) over() {
	if a.left > 0 || a.from != nil && a.from.left > 0 || !a.alive() {
		return
	}
	a.r.p.w.after(a.way(), func() { a.end(policy.OK, a.note) })
}

func (a *attempt) miss(note policy.Note) {
	a.r.p.w.after(a.way(), func() { a.end(policy.Miss, note) })
}

// end brings an attempt's end to its proxy.
func (a *attempt) end(result policy.Result, note policy.Note) {
	if !a.open {
		return
	}
	a.note = note
	a.leave()
	p := a.r.p
	if result != policy.OK || a.r.answered {
		p.outcome(a, result, result == policy.OK)
		return
	}
	p.w.check.servedCopy(a)
	p.w.out.note(a.to.role, note)
	p.outcome(a, policy.OK, true)
	p.final(a.r.id, served, 0)
}

// abort calls an attempt off: work stops when its request is cancelled.
func (a *attempt) abort() { a.leave() }

func (a *attempt) leave() {
	for _, t := range a.on {
		t.stop()
	}
	a.on = nil
	if a.from != nil {
		a.from.drop(a)
	}
	if a.placed && a.epoch == a.to.epoch {
		a.to.open--
	}
	a.placed = false
}

// breakOff ends what was open at a process that died.
func (w *world) breakOff(s *server) {
	for _, p := range w.proxies {
		if s.branch != nil && p.branch != s.branch {
			continue
		}
		for _, a := range p.at(s) {
			a.leave()
			p.outcome(a, policy.Reset, false)
		}
	}
}

// at are the attempts that a proxy has open at a server, in the order in which they were sent.
func (p *proxy) at(s *server) (out []*attempt) {
	for _, r := range p.live {
		for _, a := range r.attempts {
			if a.open && a.to == s && a.placed {
				out = append(out, a)
			}
		}
	}
	// The map has no order of its own, and a run must have one.
	sortAttempts(out)
	return out
}

// originLine is the origin: so many answers at once, the rest in a queue, beyond that turned away.
type originLine struct {
	w     *world
	rng   *rand.Rand
	busy  int
	queue []func(bool)
	slow  float64 // times as long as usual
	asked int
}

// ask calls done when the origin has answered, or turned away.
func (o *originLine) ask(done func(ok bool)) {
	f := o.w.spec.Fleet
	o.asked++
	switch {
	case o.busy < f.Origin:
		o.busy++
		o.work(done)
	case len(o.queue) < f.OriginLine && f.Origin > 0:
		o.queue = append(o.queue, done)
	default:
		done(false)
	}
}

func (o *originLine) work(done func(bool)) {
	// Exponential, as an M/M/c queue has it: there is a formula to hold it against.
	o.w.after(o.w.spec.Fleet.OriginMs*o.slow*-math.Log(1-o.rng.Float64()), func() {
		if len(o.queue) > 0 {
			next := o.queue[0]
			o.queue = o.queue[1:]
			o.work(next)
		} else {
			o.busy--
		}
		done(true)
	})
}
