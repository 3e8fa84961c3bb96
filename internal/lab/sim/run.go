package sim

import (
	"context"

	"ravenwheel/policy"
)

// Run plays a scenario with a seed and the program's module to its end, or until ctx ends: then the result holds what was done.
func Run(ctx context.Context, spec Spec, seed uint64) (*Result, error) {
	return Play(ctx, spec, seed, Module)
}

// Play is Run with a player of one's choice. Equal seeds bring all players the same requests and the same troubles.
func Play(ctx context.Context, spec Spec, seed uint64, player Player) (*Result, error) {
	w, err := newWorld(spec, seed, player)
	if err != nil {
		return nil, err
	}
	w.start()
	const look = 1 << 16 // events between looks at ctx
	for {
		if w.done%look == 0 && ctx.Err() != nil {
			break
		}
		e, ok := w.next()
		if !ok || e.at > w.end()+w.tail() {
			break
		}
		e.f()
	}
	return w.finish(), ctx.Err()
}

// end is when the last request is wanted.
func (w *world) end() float64 { return (w.spec.Warmup + w.spec.Seconds) * 1000 }

// tail is how long a run goes on after its last arrival: until all is answered.
func (w *world) tail() float64 {
	longest := 0.0
	for _, c := range w.spec.Traffic.Classes {
		longest = max(longest, c.Deadline)
	}
	return float64(1+w.spec.Clients.Retries) * (longest + w.spec.Clients.Most + w.spec.Clients.Backoff)
}

func (w *world) start() {
	for _, p := range w.proxies {
		var list []policy.Member
		for _, s := range w.all {
			if s.branch == nil || s.branch == p.branch { // caches of other branches are nothing to it
				list = append(list, s.member(policy.Ready))
			}
		}
		p.keepList(list)
		p.handle(policy.Members{Kind: policy.ListFull, Version: 1, Entries: list})
	}
	for _, b := range w.branches {
		w.arrivals(b)
	}
	w.troubles()
	if w.late != nil {
		w.late.look()
	}
}

// filled books a fill by the role of its source.
func (r *Result) filled(role int, _ float64) {
	if role == 2 && r.counts(r.at()) {
		r.Origin++
		r.window(r.at()).Origin++
	}
}

// note books how an answer came about.
func (r *Result) note(_ int, n policy.Note) {
	if !r.counts(r.at()) {
		return
	}
	r.answers++
	w := r.window(r.at())
	w.Served++
	if n == policy.NoteHit {
		r.hits++
		w.Hits++
	}
}

func (w *world) finish() *Result {
	r := w.out
	asked, got := 0.0, 0.0
	for _, x := range r.Windows {
		asked, got = asked+x.Asked, got+x.Got
	}
	r.Worth, r.Worst10s = ratio(got, asked), 1
	for i := 0; i+10 <= len(r.Windows); i++ {
		a, g := 0.0, 0.0
		for _, x := range r.Windows[i : i+10] {
			a, g = a+x.Asked, g+x.Got
		}
		if a > 0 {
			r.Worst10s = min(r.Worst10s, g/a)
		}
	}
	wants := 0
	for i := range r.Classes {
		c := &r.Classes[i]
		wants += c.Wants
		c.P50, c.P99 = float64(r.hist[i].ValueAtQuantile(50))/1000, float64(r.hist[i].ValueAtQuantile(99))/1000
	}
	r.Tries, r.Attempts = ratio(float64(r.tries), float64(wants)), ratio(float64(r.attempts), float64(r.tries))
	if wants > 0 {
		r.Slow = 1 - ratio(float64(r.quick), float64(wants))
	}
	r.HitShare, r.Events = ratio(float64(r.hits), float64(r.answers)), w.done
	r.Broken, r.Rules = w.check.count, w.check.broken
	for _, s := range w.all {
		if s.role == w.kinds.cache {
			s.out.advance()
			r.Loads = append(r.Loads, s.out.moved)
		}
	}
	return r
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
