package sim

import (
	"slices"

	"ravenwheel/policy"
)

// fill is one at a cache or a parent, with the attempts that wait for it.
type fill struct {
	w       *world
	to, src *server
	key     key
	kb      float64
	mean    float64 // KB of its class, on average
	keep    int
	how     policy.FillOptions
	oldest  float64
	began   float64
	epoch   int // of the process that fills
	waits   []*attempt
	on      []*transfer
	left    int  // transfers that are not over
	given   bool // the copy is on its way
	over    bool
	made    float64
	note    policy.Note
}

// fill has an attempt's server fill what it lacks, or joins a fill that is under way there.
func (a *attempt) fill(g policy.Fetch, oldest float64) {
	w, x := a.r.p.w, a.r.want
	if w.spec.Fleet.Joins && g.Options&policy.Coalesce != 0 {
		for _, f := range a.to.under {
			if f.key == x.key && !f.over && f.oldest >= oldest {
				f.join(a)
				return
			}
		}
	}
	if most := w.spec.Fleet.Fills; most > 0 && a.to.role == w.kinds.cache && len(a.to.under) >= most {
		a.miss(policy.NoteNoFillSlot)
		return
	}
	f := &fill{
		w: w, to: a.to, src: a.src, key: x.key, kb: x.kb, keep: g.RetainRank, how: g.Options, oldest: oldest, began: w.now, epoch: a.to.epoch,
		waits: []*attempt{a}, mean: w.spec.Traffic.Classes[x.class].KB,
	}
	a.from = f
	a.to.under = append(a.to.under, f)
	w.after(f.way(a.r.p.branch), f.ask)
}

// way is how long the question and the first of the answer take.
func (f *fill) way(b *branch) float64 {
	switch {
	case f.to.role != f.w.kinds.cache:
		return 2 * f.w.spec.Fleet.ToHub
	case f.src.role == f.w.kinds.cache:
		return 2 * f.w.spec.Fleet.Near
	}
	return 2 * f.w.far(b, f.src.zone)
}

// alive: still wanted, at a process that is still the same.
func (f *fill) alive() bool { return !f.over && f.epoch == f.to.epoch }

// ask is a fill as it reaches its source.
func (f *fill) ask() {
	w, src := f.w, f.src
	if !f.alive() {
		return
	}
	switch {
	case src.state == lost:
		f.fail(policy.NoteSourceLost, 0)
		return
	case src.state == hung:
		w.after(w.spec.Fleet.FillWait, func() { f.fail(policy.NoteSourceLost, w.now-f.began) })
		return
	}
	src.load(f.mean)
	if src.role == w.kinds.origin {
		w.line.ask(func(ok bool) {
			if !ok {
				f.fail(policy.NoteSourceRejected, 0)
				return
			}
			f.got(w.now, policy.NoteFilledOrigin)
		})
		return
	}
	if h := src.store.get(f.key, f.oldest, 0); h != nil {
		f.got(h.made, policy.NoteFilled)
		return
	}
	if src.role != w.kinds.parent || f.how&policy.CachedOnly != 0 {
		f.fail(policy.NoteSourceMiss, 0)
		return
	}
	src.fetch(f)
}

// asked is what a parent fetches from the origin, with the fills that wait for it.
type asked struct{ fills []*fill }

// fetch is a parent that fetches what it lacks: where parents join, once for all who wait.
func (s *server) fetch(f *fill) {
	w := s.w
	q := &asked{[]*fill{f}}
	if w.spec.Fleet.ParentsJoin {
		if under := s.asking[f.key]; under != nil {
			under.fills = append(under.fills, f)
			return
		}
		s.asking[f.key] = q
	}
	w.after(2*w.spec.Fleet.ToHub, func() {
		w.line.ask(func(ok bool) {
			if s.asking[f.key] == q {
				delete(s.asking, f.key)
			}
			kept := false
			for _, f := range q.fills {
				switch {
				case !f.alive():
				case !ok:
					f.fail(policy.NoteOriginFailed, 0)
				default:
					if !kept {
						w.out.filled(w.kinds.origin, f.kb)
					}
					if !kept && f.how&policy.ParentPassThrough == 0 {
						s.keep(f.key, f.kb, w.now, 1)
					}
					kept = true
					f.got(w.now, policy.NoteFilledOrigin)
				}
			}
		})
	})
}

// got is the copy's first byte. A fill passes on what it gets: it holds its source's link, the branch's and those of its
// answers at once.
func (f *fill) got(made float64, note policy.Note) {
	if !f.alive() {
		return
	}
	w := f.w
	f.given, f.made, f.note = true, made, note
	f.to.keep(f.key, f.kb, made, f.keep)
	w.out.filled(f.src.role, f.kb)
	if f.src.role != w.kinds.origin {
		f.transfer(f.src.out)
	}
	if f.src.role != w.kinds.cache && f.to.role == w.kinds.cache {
		f.transfer(f.to.branch.in)
	}
	for _, a := range slices.Clone(f.waits) {
		f.answer(a, note)
	}
	if f.left == 0 {
		f.end()
	}
}

func (f *fill) transfer(l *link) {
	f.left++
	f.on = append(f.on, l.start(f.kb, func() {
		if f.left--; f.left > 0 {
			return
		}
		waits := slices.Clone(f.waits)
		f.end()
		for _, a := range waits {
			a.over()
		}
	}))
}

func (f *fill) answer(a *attempt, note policy.Note) {
	a.waited, a.made = f.w.now-f.began, f.made
	a.serve(note)
}

// join has one more attempt wait for a fill.
func (f *fill) join(a *attempt) {
	a.from = f
	f.waits = append(f.waits, a)
	if f.given {
		f.answer(a, policy.NoteCoalesced)
	}
}

// fail tells all who wait why there is no copy.
func (f *fill) fail(note policy.Note, waited float64) {
	if !f.alive() {
		return
	}
	waits := slices.Clone(f.waits)
	f.end()
	for _, a := range waits {
		if a.alive() {
			a.waited = waited
			a.miss(note)
		}
	}
}

// drop takes an attempt off that no longer waits. The last one ends a fill that does not run on without clients.
func (f *fill) drop(a *attempt) {
	f.waits = slices.DeleteFunc(f.waits, func(x *attempt) bool { return x == a })
	if f.over || len(f.waits) > 0 || f.w.spec.Fleet.FillsRunOn {
		return
	}
	f.stop()
	f.end()
}

func (f *fill) stop() {
	for _, t := range f.on {
		t.stop()
	}
	f.on = nil
}

func (f *fill) end() {
	f.over = true
	f.to.under = slices.DeleteFunc(f.to.under, func(x *fill) bool { return x == f })
}

// keep puts a copy into a server's store.
func (s *server) keep(k key, kb, made float64, rank int) {
	if s.store.put(k, kb, made, rank) {
		s.store.held[k].since = s.w.now
	}
}
