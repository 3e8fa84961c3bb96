package sim

import (
	"math"
	"math/rand/v2"
	"slices"

	"ravenwheel/policy"
)

// want is what one client wants: a request and the tries after it.
type want struct {
	w      *world
	b      *branch
	rng    *rand.Rand
	class  int
	key    key
	kb     float64
	first  float64 // when it was wanted
	budget float64 // of one try
	tries  int
	try    *request
	no     uint64
	over   bool
}

// arrivals has the clients of a branch ask, as a Poisson process.
func (w *world) arrivals(b *branch) {
	rng := w.traffic[b.no]
	rate := w.spec.Traffic.PerS * w.spec.Fleet.part(b.no) * w.burst / 1000
	if rate <= 0 {
		w.after(100, func() { w.arrivals(b) })
		return
	}
	w.after(-math.Log(1-rng.Float64())/rate, func() {
		if w.now >= w.end() {
			return
		}
		w.ask(b, rng)
		w.arrivals(b)
	})
}

// localFrom: objects from this number on are wanted in one branch only. Those that are asked for once stay below.
const localFrom = 200_000_000

func (w *world) ask(b *branch, rng *rand.Rand) {
	t := w.spec.Traffic
	total := 0.0
	for _, c := range t.Classes {
		total += c.Share
	}
	class, pick := 0, rng.Float64()*total
	for i, c := range t.Classes {
		if class = i; pick < c.Share {
			break
		}
		pick -= c.Share
	}
	c := t.Classes[class]
	w.wants++
	// What a client does later is drawn apart, or the requests would hang on how earlier ones were answered.
	own := rand.New(rand.NewPCG(w.seed, w.wants))
	x := &want{w: w, b: b, rng: own, class: class, first: w.now, no: w.wants}
	if x.key.object = int32(w.objects.a.draw(rng)); rng.Float64() < w.objects.oneoff {
		x.key.object = w.objects.next
		w.objects.next++
	} else if c.Local > 0 && rng.Float64() < c.Local {
		x.key.object += int32(localFrom + b.no*t.Objects)
	}
	large := w.heavy.Size > 0 && class == w.heavyOf && rng.Float64() < w.heavy.Extra
	if large {
		x.key.object = w.objects.next
		w.objects.next++
	}
	if c.Parts > 1 {
		x.key.part = int32(rng.IntN(c.Parts))
	}
	// Classes do not share objects, and a part has one size, whoever asks.
	x.key.object = x.key.object*int32(len(t.Classes)) + int32(class)
	if x.kb = w.size(x.key, c.KB); large {
		x.kb = c.KB * w.heavy.Size
	}
	x.budget = c.Deadline * (w.spec.Clients.TryFrom + (1-w.spec.Clients.TryFrom)*rng.Float64())
	w.out.asked(class, w.now, c.Worth)
	x.send()
}

// size is a part's, exponentially spread and the same each time.
func (w *world) size(k key, mean float64) float64 {
	// The finisher of splitmix64 (Steele, Lea, Flood, 2014). Its constant comes first, or key 0, the most popular object of
	// the first class, would stay 0: that part was 37 times the mean, whatever the seed.
	h := uint64(k.object)<<20 ^ uint64(k.part) + 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	h ^= h >> 31
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return max(0.5, -math.Log(u)*mean)
}

func (x *want) send() {
	x.tries++
	if x.w.out.counts(x.first) {
		x.w.out.tries++
	}
	p := x.b.proxies[x.rng.IntN(len(x.b.proxies))]
	try := x.tries
	x.w.after(x.w.spec.Fleet.Near, func() { p.take(x) })
	x.w.after(x.budget+x.w.spec.Rules.Answer, func() {
		if !x.over && x.tries == try && x.try != nil && !x.try.answered {
			x.got(x.try, missed, 0)
		}
	})
}

// got is how a try ended for the client.
func (x *want) got(r *request, v verdict, backoff float64) {
	if x.over || r != x.try {
		return
	}
	w, c := x.w, x.w.spec.Traffic.Classes[x.class]
	took := w.now - x.first
	if v == served {
		x.over = true
		aim := c.Target + c.Stretch*x.kb/(w.spec.Fleet.Flow/1000)
		worth := c.Worth
		if took > aim {
			worth *= c.Late
		}
		w.out.served(x.class, x.first, took, worth)
		return
	}
	w.out.turned(v)
	// What must not run twice may come back only where it surely did not run.
	if again := v == refused || c.repeats() != policy.NotIdempotent; !again || x.tries > w.spec.Clients.Retries {
		x.over = true
		w.out.lost(x.class, x.first)
		return
	}
	wait := w.spec.Clients.wait(x.tries) * (0.5 + x.rng.Float64())
	if backoff > 0 && x.rng.Float64() < w.spec.Clients.Honour {
		wait = max(wait, backoff)
	}
	w.after(wait, x.send)
}

// wait is how long clients wait on average after so many tries.
func (c Clients) wait(tries int) float64 {
	switch c.Wait {
	case "none":
		return 0
	case "fixed":
		return c.Backoff
	}
	return c.Backoff * math.Exp2(float64(tries-1))
}

func sortAttempts(list []*attempt) {
	slices.SortFunc(list, func(a, b *attempt) int {
		switch {
		case a.sent != b.sent:
			if a.sent < b.sent {
				return -1
			}
			return 1
		case a.r.id != b.r.id:
			if len(a.r.id) != len(b.r.id) {
				return len(a.r.id) - len(b.r.id)
			}
			if a.r.id < b.r.id {
				return -1
			}
			return 1
		}
		return a.no - b.no
	})
}

// troubles has what goes wrong happen.
func (w *world) troubles() {
	for i, t := range w.spec.Troubles {
		rng := stream(w.seed, "trouble "+string(rune('a'+i)))
		w.at((w.spec.Warmup+t.At)*1000, func() { w.strike(t, rng) })
	}
	if w.spec.Traffic.Purges > 0 {
		rng := stream(w.seed, "purges")
		var next func()
		next = func() {
			w.after(-math.Log(1-rng.Float64())/w.spec.Traffic.Purges*1000, func() {
				w.purge([]int32{int32(w.objects.a.draw(rng))*int32(len(w.spec.Traffic.Classes)) + int32(rng.IntN(len(w.spec.Traffic.Classes)))})
				next()
			})
		}
		next()
	}
}

func (w *world) strike(t Trouble, rng *rand.Rand) {
	some := func(list []*server) []*server {
		n := min(len(list), max(1, int(math.Round(t.Size*float64(len(list))))))
		var out []*server
		for _, i := range rng.Perm(len(list))[:n] {
			out = append(out, list[i])
		}
		return out
	}
	var caches, parents []*server
	for _, s := range w.all {
		switch s.role {
		case w.kinds.cache:
			caches = append(caches, s)
		case w.kinds.parent:
			parents = append(parents, s)
		}
	}
	switch t.Kind {
	case "burst":
		w.burst = t.Size
		w.after(t.For*1000, func() { w.burst = 1 })
	case "origin_slow":
		w.line.slow = max(1, t.Size)
		w.after(t.For*1000, func() { w.line.slow = 1 })
	case "purge":
		w.purge(w.some(t.Size, rng))
	case "hang", "hang_parents":
		list := caches
		if t.Kind == "hang_parents" {
			list = parents
		}
		for _, s := range some(list) {
			s.kill(hung)
			w.after(t.For*1000, func() {
				if s.state == hung {
					s.state = up
				}
			})
		}
	case "empty":
		for _, s := range caches {
			s.store.empty()
		}
	case "hub_lost":
		w.lose(w.hubs[rng.IntN(len(w.hubs))], t.For)
	case "branch_lost":
		w.lose(w.branches[rng.IntN(len(w.branches))].caches, t.For)
	case "crash":
		w.lose(some(caches), t.For)
	case "roll":
		w.roll(caches, t.For*1000)
	case "proxy_roll":
		n := min(len(w.proxies), max(1, int(math.Round(t.Size*float64(len(w.proxies))))))
		for i, at := range rng.Perm(len(w.proxies))[:n] {
			w.after(t.For*1000*float64(i)/float64(n), func() { w.proxies[at].restart(t.Extra * 1000) })
		}
	case "stale_list":
		w.behind = t.Size * 1000
		w.after(t.For*1000, func() { w.behind = 0 })
	case "heavy":
		w.heavy, w.heavyOf = t, 0
		w.after(t.For*1000, func() { w.heavy = Trouble{} })
	}
}

// some draws a share of the objects, of all classes alike.
func (w *world) some(share float64, rng *rand.Rand) (objects []int32) {
	classes := int32(len(w.spec.Traffic.Classes))
	for o := range int32(w.spec.Traffic.Objects) {
		if rng.Float64() < share {
			for c := range classes {
				objects = append(objects, o*classes+c)
			}
		}
	}
	return objects
}

// roll drains each cache in turn, takes it down and starts it anew.
func (w *world) roll(caches []*server, takes float64) {
	every := takes / float64(max(1, len(caches)))
	for i, s := range caches {
		w.after(every*float64(i), func() {
			w.tell([]policy.Member{s.member(policy.Draining)})
			w.after(w.spec.Fleet.BoardLag+w.spec.Rules.Drain, func() { w.lose([]*server{s}, min(every/1000, 2)) })
		})
	}
}

// lose takes servers down and brings them back empty and cold.
func (w *world) lose(list []*server, seconds float64) {
	for _, s := range list {
		s.kill(lost)
		w.breakOff(s)
		w.after(w.spec.Fleet.BoardLag, func() {
			if s.state == lost {
				w.tell([]policy.Member{s.member(policy.Gone)})
			}
		})
		w.after(seconds*1000, func() {
			s.restart()
			w.tell([]policy.Member{s.member(policy.Ready)})
		})
	}
}

// purge voids all copies of objects made up to now. Proxies hear of it late, and copies lie about for longer.
func (w *world) purge(objects []int32) {
	at := w.now
	void := make(map[int32]bool, len(objects))
	classes := int32(len(w.spec.Traffic.Classes))
	for _, o := range objects {
		void[o] = true
		if o/classes < int32(len(w.purged)) {
			w.purged[o/classes].at = at
		}
	}
	for _, p := range w.proxies {
		lag := w.spec.Fleet.PurgeLag * w.chance.Float64()
		w.after(lag, func() {
			for _, o := range objects {
				if p.down {
					return
				}
				w.check.purgeTold(p, o, at)
				p.handle(policy.Purged{Object: w.name(o), Group: -1, Age: ns(w.now - at)})
			}
		})
	}
	parts := 1
	for _, c := range w.spec.Traffic.Classes {
		parts = max(parts, c.Parts)
	}
	for _, s := range w.all {
		epoch := s.epoch
		drop := func() {
			if epoch == s.epoch {
				s.store.purge(at, func(o int32) bool { return void[o] }, objects, parts)
			}
		}
		// Sooner or later, and once more at the end: a copy that was on its way from a server that had not dropped it yet
		// to one that had would stay for good. A proxy that no longer asks with an age was blamed for that.
		w.after(w.spec.Fleet.PurgeTakes*w.chance.Float64(), drop)
		w.after(w.spec.Fleet.PurgeTakes, drop)
	}
}
