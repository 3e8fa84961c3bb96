package sim

import (
	"math"
	"math/rand/v2"

	"ravenwheel/policy"
)

// arrive is an attempt as it reaches its server.
func (a *attempt) arrive(g policy.Get, oldest float64) {
	s, w := a.to, a.r.p.w
	if !a.open {
		return // given up on its way
	}
	a.epoch = s.epoch
	switch {
	case s.state == lost:
		w.after(w.spec.Fleet.Near, func() { a.end(policy.ConnectFailed, policy.NoteNone) })
		return
	case s.state == hung:
		a.ran = true
		return // its time-out ends it
	case s.open >= w.spec.Fleet.Slots:
		w.after(w.spec.Fleet.Near, func() { a.end(policy.Full, policy.NoteNone) })
		return
	}
	s.open++
	a.placed = true
	x := a.r.want
	s.load(x.kb)
	if w.spec.Traffic.Classes[x.class].Write {
		a.write()
		return
	}
	if h := s.store.get(x.key, oldest, g.Keep); h != nil {
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

// give is how a fill's source stands: the copy that it has or gets, and after how long. ok is false with the reason.
func (a *attempt) fill(g policy.Get, oldest float64) {
	w, src, x := a.r.p.w, a.src, a.r.want
	b := a.to.branch
	way := 2 * w.spec.Fleet.Near
	if src.role != w.kinds.cache {
		way = 2 * w.far(b, src.zone)
	}
	began := w.now
	w.after(way, func() {
		if !a.alive() {
			return
		}
		switch {
		case src.state == lost:
			a.miss(policy.NoteSourceLost)
			return
		case src.state == hung:
			w.after(w.spec.Fleet.FillWait, func() {
				if a.alive() {
					a.waited = w.now - began
					a.miss(policy.NoteSourceLost)
				}
			})
			return
		}
		src.load(x.kb)
		got := func(made float64, note policy.Note) {
			a.waited = w.now - began
			a.to.store.put(x.key, x.kb, made, g.Keep)
			a.made = made
			w.out.filled(src.role, x.kb)
			// Three links at once, as a fill passes on what it gets: the source's, the branch's and the cache's.
			if src.role != w.kinds.origin {
				a.on = append(a.on, src.out.start(x.kb, a.part(note)))
				a.left++
			}
			if src.role != w.kinds.cache {
				a.on = append(a.on, b.in.start(x.kb, a.part(note)))
				a.left++
			}
			a.serve(note)
		}
		if src.role == w.kinds.origin {
			w.line.ask(func(ok bool) {
				switch {
				case !a.alive():
				case !ok:
					a.miss(policy.NoteSourceRefused)
				default:
					got(w.now, policy.NoteFilledOrigin)
				}
			})
			return
		}
		if h := src.store.get(x.key, oldest, 0); h != nil {
			got(h.made, policy.NoteFilled)
			return
		}
		if src.role != w.kinds.parent || g.How&policy.HeldOnly != 0 {
			a.miss(policy.NoteSourceLacks)
			return
		}
		w.after(2*w.spec.Fleet.ToHub, func() {
			w.line.ask(func(ok bool) {
				switch {
				case !a.alive():
				case !ok:
					a.miss(policy.NoteOriginFailed)
				default:
					w.out.filled(w.kinds.origin, x.kb)
					if g.How&policy.ParentPasses == 0 {
						src.store.put(x.key, x.kb, w.now, 1)
					}
					got(w.now, policy.NoteFilledOrigin)
				}
			})
		})
	})
}

// write runs at the origin.
func (a *attempt) write() {
	w := a.r.p.w
	a.ran = true
	w.after(2*w.far(a.to.branch, 0), func() {
		w.line.ask(func(ok bool) {
			if ok {
				w.check.ran(a.r)
			}
			switch {
			case !a.alive():
			case !ok:
				a.ran = false
				a.miss(policy.NoteSourceRefused)
			default:
				a.serve(policy.NoteFilledOrigin)
			}
		})
	})
}

// alive: still wanted, at a process that is still the same.
func (a *attempt) alive() bool { return a.open && a.epoch == a.to.epoch }

// serve sends the answer over the cache's link.
func (a *attempt) serve(note policy.Note) {
	a.note, a.ran = note, true
	a.on = append(a.on, a.to.out.start(a.r.want.kb, a.part(note)))
	a.left++
}

// part is the end of one of an attempt's transfers; the last one ends it.
func (a *attempt) part(note policy.Note) func() {
	return func() {
		if a.left--; a.left > 0 || !a.alive() {
			return
		}
		w := a.r.p.w
		w.after(w.spec.Fleet.Near, func() { a.end(policy.OK, note) })
	}
}

func (a *attempt) miss(note policy.Note) {
	w := a.r.p.w
	w.after(w.spec.Fleet.Near, func() { a.end(policy.Miss, note) })
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
