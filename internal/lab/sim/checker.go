package sim

import (
	"fmt"
	"slices"
	"strings"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// checker checks the rules by what proxies are notified of and what reaches servers and clients, and never by a proxy's state.
type checker struct {
	sim    *simulation
	runs   map[uint64]int // how often each write ran, by client request
	count  int            // of violations
	texts  []string       // of the first violations
	recent []string       // the last notifications, to help finding the cause of a violation
}

const (
	// maxTexts bounds the violations that are described.
	maxTexts = 20
	// maxRecent bounds the notifications that are shown with each.
	maxRecent = 30
)

// purgeNotification is a purge of an object, in ms.
type purgeNotification struct{ purged, notified float64 }

// stateNames are the names of the states, by policy.State.
var stateNames = []string{"ready", "draining", "gone"}

// violation counts a violation of a rule, and describes it with the seed, the time and the last notifications.
func (c *checker) violation(rule, what string) {
	c.count++
	if len(c.texts) >= maxTexts {
		return
	}
	text := fmt.Sprintf("seed %d, %.3f ms: %s: %s", c.sim.seed, c.sim.now, rule, what)
	c.texts = append(c.texts, strings.Join(append([]string{text}, c.recent...), "\n    "))
}

// notified remembers a notification.
func (c *checker) notified(format string, args ...any) {
	if len(c.recent) == maxRecent {
		c.recent = c.recent[1:]
	}
	c.recent = append(c.recent, fmt.Sprintf("%.3f ms: ", c.sim.now)+fmt.Sprintf(format, args...))
}

// membersNotified records that a proxy is notified of members. The grace period of a drain begins with the first notification.
func (c *checker) membersNotified(p *proxy, members []policy.Member) {
	if p.drains == nil {
		p.drains = map[policy.ServerID]float64{}
	}
	for _, m := range members {
		if m.State == policy.Ready {
			delete(p.drains, m.ID)
		} else if _, known := p.drains[m.ID]; !known {
			p.drains[m.ID] = c.sim.now
		}
		c.notified("proxy %d hears that %s is %v", p.number, serverlist.FormatID(m.ID), stateNames[m.State])
	}
}

// purgeNotified records that a proxy is notified of a purge at a time.
func (c *checker) purgeNotified(p *proxy, object int32, at float64) {
	if p.purges == nil {
		p.purges = map[int32]purgeNotification{}
	}
	p.purges[object] = purgeNotification{purged: at, notified: c.sim.now}
}

// sent checks an attempt when it is sent: draining servers get no new work, as target or as source.
func (c *checker) sent(a *attempt) {
	c.checkServers(a)
	c.checkRetry(a)
	p := a.request.proxy
	for _, server := range []*server{a.target, a.source} {
		since, drains := p.drains[server.id]
		if drains && c.sim.now > since+c.sim.scenario.Rules.DrainGrace {
			c.violation("drain", fmt.Sprintf("proxy %d uses %s, told at %.3f ms", p.number, serverlist.FormatID(server.id), since))
		}
	}
}

// checkServers checks that an attempt uses only servers that the settings allow.
func (c *checker) checkServers(a *attempt) {
	p := a.request.proxy
	if a.target.kind != kindCache && !c.sim.scenario.Fleet.MayBypassCaches {
		c.violation("way", fmt.Sprintf("proxy %d goes straight to %s", p.number, serverlist.FormatID(a.target.id)))
	}
	for _, server := range []*server{a.target, a.source} {
		if server.branch != nil && server.branch != p.branch {
			c.violation("way", fmt.Sprintf("proxy %d uses %s of another branch", p.number, serverlist.FormatID(server.id)))
		}
	}
}

// checkRetry checks that a request has no more attempts than allowed, and that no retry may have a second effect.
func (c *checker) checkRetry(a *attempt) {
	r := a.request
	if a.number >= maxAttempts {
		c.violation("attempts", fmt.Sprintf("request %s has %d", r.id, a.number+1))
	}
	class := c.sim.scenario.Traffic.Classes[r.client.class]
	for _, earlier := range r.attempts[:a.number] {
		switch {
		case class.idempotency() == policy.Idempotent || earlier.neverRan():
		case class.idempotency() == policy.NotIdempotent:
			c.violation("repeat", fmt.Sprintf("request %s goes out again", r.id))
		case c.sim.now >= earlier.sent+class.DedupWindow:
			c.violation("repeat", fmt.Sprintf("request %s goes out again %.0f ms after its attempt %d", r.id, c.sim.now-earlier.sent, earlier.number))
		}
	}
}

// neverRan reports whether the attempt's outcome proves that it did not run.
func (a *attempt) neverRan() bool {
	return !a.open && slices.Contains([]policy.Result{policy.Overloaded, policy.ConnectFailed, policy.Skipped, policy.Miss}, a.result)
}

// servedCopy checks that a served copy is not older than a purge of which the proxy was notified long enough before the attempt.
func (c *checker) servedCopy(a *attempt) {
	p := a.request.proxy
	purge, known := p.purges[a.request.client.key.object]
	write := c.sim.scenario.Traffic.Classes[a.request.client.class].Write
	if known && a.sent > purge.notified+c.sim.scenario.Rules.PurgeGrace && a.created < purge.purged && !write {
		c.violation("purge", fmt.Sprintf("proxy %d serves a copy made at %.3f ms, purged at %.3f, told at %.3f",
			p.number, a.created, purge.purged, purge.notified))
	}
}

// ran checks that a write runs once. A client retries a write that is not idempotent only after a rejection, which states that
// it did not run. A write with an idempotency key may run again after the origin has forgotten its key.
func (c *checker) ran(r *request) {
	number := r.client.number
	c.runs[number]++
	class := c.sim.scenario.Traffic.Classes[r.client.class]
	if c.runs[number] > 1 && class.idempotency() != policy.IdempotentByKey {
		c.violation("write", fmt.Sprintf("request %s ran %d times", r.id, c.runs[number]))
	}
}

// received checks later that a request that a proxy receives is answered by its deadline.
func (c *checker) received(r *request) {
	c.sim.at(r.due+c.sim.scenario.Rules.AnswerGrace, func() {
		if !r.answered && !r.dead {
			c.violation("answer", fmt.Sprintf("request %s has none by its deadline", r.id))
		}
	})
}

// answered checks that a request is answered once, and that a rejected one that is not idempotent did not run.
func (c *checker) answered(r *request, o outcome) {
	if r.answered {
		c.violation("answer", fmt.Sprintf("request %s has two", r.id))
	}
	class := c.sim.scenario.Traffic.Classes[r.client.class]
	if o != outcomeRejected || class.idempotency() != policy.NotIdempotent {
		return
	}
	for _, a := range r.attempts {
		if !a.neverRan() {
			c.violation("refusal", fmt.Sprintf("request %s is refused and may have run", r.id))
			return
		}
	}
}

// overloaded records that a server that warms up died of overload, which proxies must prevent.
func (c *checker) overloaded(s *server) {
	c.violation("cold start", fmt.Sprintf("%s, started at %.3f ms, was sent %.0f KB since %.3f ms, more than it bears with %.2f of its %.0f KB a ms",
		serverlist.FormatID(s.id), s.started, s.loadKB, s.windowBegan, s.capacity(), s.fullBandwidth))
}
