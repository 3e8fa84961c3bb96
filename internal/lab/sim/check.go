package sim

import (
	"fmt"
	"slices"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// checker watches the rules from outside: it sees what was told and what reached servers and clients, and asks no proxy.
type checker struct {
	w      *world
	runs   map[uint64]int // writes that ran, by their tries' numbers
	broken []string
	count  int
	trail  []string // what happened last, for the one who looks for the cause
}

const mostBroken, mostTrail = 20, 30

// broke notes a broken rule with the seed, the time and what led there.
func (c *checker) broke(rule, what string) {
	if c.count++; len(c.broken) < mostBroken {
		text := fmt.Sprintf("seed %d, %.3f ms: %s: %s", c.w.seed, c.w.now, rule, what)
		for _, t := range c.trail {
			text += "\n    " + t
		}
		c.broken = append(c.broken, text)
	}
}

func (c *checker) happened(format string, args ...any) {
	if len(c.trail) == mostTrail {
		c.trail = c.trail[1:]
	}
	c.trail = append(c.trail, fmt.Sprintf("%.3f ms: ", c.w.now)+fmt.Sprintf(format, args...))
}

// told: a proxy hears of members. A drain binds from the first time on.
func (c *checker) told(p *proxy, list []policy.Member) {
	if p.drained == nil {
		p.drained = map[policy.CacheID]float64{}
	}
	for _, m := range list {
		if m.State == policy.Ready {
			delete(p.drained, m.ID)
		} else if _, known := p.drained[m.ID]; !known {
			p.drained[m.ID] = c.w.now
		}
		c.happened("proxy %d hears that %s is %v", p.no, serverlist.FormatID(m.ID), []string{"ready", "draining", "gone"}[m.State])
	}
}

func (c *checker) purgeTold(p *proxy, object int32, at float64) {
	if p.purges == nil {
		p.purges = map[int32][2]float64{}
	}
	p.purges[object] = [2]float64{at, c.w.now}
}

// sent: nothing new to what drains, as cache or as source.
func (c *checker) sent(a *attempt) {
	c.allowed(a)
	for _, s := range []*server{a.to, a.src} {
		since, drains := a.r.p.drained[s.id]
		if drains && c.w.now > since+c.w.spec.Rules.Drain {
			c.broke("drain", fmt.Sprintf("proxy %d uses %s, told at %.3f ms", a.r.p.no, serverlist.FormatID(s.id), since))
		}
	}
}

// allowed: only what the settings allow, no repeat that may have a second effect, and no more attempts than there may be.
func (c *checker) allowed(a *attempt) {
	w, p := c.w, a.r.p
	if a.to.role != w.kinds.cache && !w.spec.Fleet.Direct {
		c.broke("way", fmt.Sprintf("proxy %d goes straight to %s", p.no, serverlist.FormatID(a.to.id)))
	}
	for _, s := range []*server{a.to, a.src} {
		if s.branch != nil && s.branch != p.branch {
			c.broke("way", fmt.Sprintf("proxy %d uses %s of another branch", p.no, serverlist.FormatID(s.id)))
		}
	}
	if a.no >= mostTries {
		c.broke("attempts", fmt.Sprintf("request %s has %d", a.r.id, a.no+1))
	}
	class := w.spec.Traffic.Classes[a.r.want.class]
	for _, b := range a.r.attempts[:a.no] {
		switch {
		case class.repeats() == policy.Idempotent || b.neverRan():
		case class.repeats() == policy.NotIdempotent:
			c.broke("repeat", fmt.Sprintf("request %s goes out again", a.r.id))
		case c.w.now >= b.sent+class.Window:
			c.broke("repeat", fmt.Sprintf("request %s goes out again %.0f ms after its attempt %d", a.r.id, c.w.now-b.sent, b.no))
		}
	}
}

// neverRan tells whether an attempt's outcome proves that it did not run.
func (a *attempt) neverRan() bool {
	return !a.open && slices.Contains([]policy.Result{policy.Overloaded, policy.ConnectFailed, policy.Skipped, policy.Miss}, a.result)
}

// servedCopy: no copy older than a purge that the proxy had heard of for long enough when it sent.
func (c *checker) servedCopy(a *attempt) {
	p, known := a.r.p.purges[a.r.want.key.object]
	if known && a.sent > p[1]+c.w.spec.Rules.Purge && a.made < p[0] && !c.w.spec.Traffic.Classes[a.r.want.class].Write {
		c.broke("purge", fmt.Sprintf("proxy %d serves a copy made at %.3f ms, purged at %.3f, told at %.3f", a.r.p.no, a.made, p[0], p[1]))
	}
}

// ran: a write runs once.
func (c *checker) ran(r *request) {
	// A client comes back with what must not run twice only after a refusal, which says that it never ran. A keyed one that
	// ran before the origin forgot its key may run again when its client comes back later.
	if c.runs[r.want.no]++; c.runs[r.want.no] > 1 && c.w.spec.Traffic.Classes[r.want.class].repeats() != policy.IdempotentByKey {
		c.broke("write", fmt.Sprintf("request %s ran %d times", r.id, c.runs[r.want.no]))
	}
}

// took and answered: one final answer, in time.
func (c *checker) took(r *request) {
	c.w.at(r.due+c.w.spec.Rules.Answer, func() {
		if !r.answered && !r.dead {
			c.broke("answer", fmt.Sprintf("request %s has none by its deadline", r.id))
		}
	})
}

func (c *checker) answered(r *request, v verdict) {
	if r.answered {
		c.broke("answer", fmt.Sprintf("request %s has two", r.id))
	}
	if v != refused || c.w.spec.Traffic.Classes[r.want.class].repeats() != policy.NotIdempotent {
		return
	}
	for _, a := range r.attempts {
		if !a.neverRan() {
			c.broke("refusal", fmt.Sprintf("request %s is refused and may have run", r.id))
			return
		}
	}
}

// fell: a cold server was pushed over.
func (c *checker) fell(s *server) {
	c.broke("cold start", fmt.Sprintf("%s, started at %.3f ms, was sent %.0f KB since %.3f ms, more than it bears with %.2f of its %.0f KB a ms",
		serverlist.FormatID(s.id), s.began, s.sent, s.window, s.capacity(), s.full))
}
