package sim

import (
	"fmt"
	"slices"
	"strings"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// checker checks that proxies follow the rules. It compares what proxies were notified of with what reaches servers and clients,
// and never looks at a proxy's state.
type checker struct {
	sim                 *simulation
	writeRuns           map[uint64]int // how often each write ran, by number of the client's request
	violationCount      int
	violationTexts      []string // descriptions of the first violations
	recentNotifications []string // added to descriptions, as they help to find the cause
}

const (
	// maxDescribedViolations bounds the violations that are described. All are counted.
	maxDescribedViolations = 20
	// maxRecentNotifications bounds the notifications that a description lists.
	maxRecentNotifications = 30
)

// purgeNotification is when an object was purged and when a proxy was notified of it, in ms.
type purgeNotification struct{ purged, notified float64 }

// stateNames are the names of the states of a member, indexed by policy.State.
var stateNames = []string{"ready", "draining", "gone"}

// violation counts a violation of a rule, and describes the first ones with the seed, the time and the last notifications.
func (c *checker) violation(rule, detail string) {
	c.violationCount++
	if len(c.violationTexts) >= maxDescribedViolations {
		return
	}
	text := fmt.Sprintf("seed %d, %.3f ms: %s: %s", c.sim.seed, c.sim.now, rule, detail)
	c.violationTexts = append(c.violationTexts, strings.Join(append([]string{text}, c.recentNotifications...), "\n    "))
}

// recordNotification keeps a notification for the descriptions of later violations.
func (c *checker) recordNotification(format string, args ...any) {
	if len(c.recentNotifications) == maxRecentNotifications {
		c.recentNotifications = c.recentNotifications[1:]
	}
	c.recentNotifications = append(c.recentNotifications, fmt.Sprintf("%.3f ms: ", c.sim.now)+fmt.Sprintf(format, args...))
}

// membersNotified records that a proxy is notified of members. The grace period of a drain begins with the proxy's first
// notification of it.
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
		c.recordNotification("proxy %d is notified that %s is %v", p.number, serverlist.FormatID(m.ID), stateNames[m.State])
	}
}

// purgeNotified records that a proxy is notified now of a purge that was made at a time.
func (c *checker) purgeNotified(p *proxy, object int32, at float64) {
	if p.purges == nil {
		p.purges = map[int32]purgeNotification{}
	}
	p.purges[object] = purgeNotification{purged: at, notified: c.sim.now}
}

// attemptSent checks an attempt when it is sent. Neither its target nor its source may be a server that drains or is gone, once
// the drain's grace period has passed.
func (c *checker) attemptSent(a *attempt) {
	c.checkServers(a)
	c.checkRetry(a)
	p := a.request.proxy
	for _, server := range []*server{a.target, a.source} {
		since, drains := p.drains[server.id]
		if drains && c.sim.now > since+c.sim.scenario.Rules.DrainGrace {
			c.violation("drain", fmt.Sprintf("proxy %d uses %s, notified at %.3f ms that it drains or is gone", p.number, serverlist.FormatID(server.id), since))
		}
	}
}

// checkServers checks that an attempt uses only servers that the settings allow: the caches of the proxy's own branch, and parents
// and the origin as targets only where requests may bypass the caches.
func (c *checker) checkServers(a *attempt) {
	p := a.request.proxy
	if a.target.kind != kindCache && !c.sim.scenario.Fleet.MayBypassCaches {
		c.violation("way", fmt.Sprintf("proxy %d bypasses the caches and sends to %s", p.number, serverlist.FormatID(a.target.id)))
	}
	for _, server := range []*server{a.target, a.source} {
		if server.branch != nil && server.branch != p.branch {
			c.violation("way", fmt.Sprintf("proxy %d uses %s of another branch", p.number, serverlist.FormatID(server.id)))
		}
	}
}

// checkRetry checks that a request has no more attempts than allowed, and that no retry can have a second effect.
func (c *checker) checkRetry(a *attempt) {
	r := a.request
	if a.number >= maxAttempts {
		c.violation("attempts", fmt.Sprintf("request %s has %d attempts", r.id, a.number+1))
	}
	class := c.sim.scenario.Traffic.Classes[r.client.class]
	for _, earlier := range r.attempts[:a.number] {
		switch {
		case class.idempotency() == policy.Idempotent || earlier.neverRan():
		case class.idempotency() == policy.NotIdempotent:
			c.violation("repeat", fmt.Sprintf("request %s is retried although it may have run", r.id))
		case c.sim.now >= earlier.sent+class.DedupWindow:
			c.violation("repeat", fmt.Sprintf("request %s is retried %.0f ms after its attempt %d, when the origin no longer drops repeats", r.id, c.sim.now-earlier.sent, earlier.number))
		}
	}
}

// neverRan reports whether the attempt's outcome proves that it did not run.
func (a *attempt) neverRan() bool {
	return !a.open && slices.Contains([]policy.Result{policy.Overloaded, policy.ConnectFailed, policy.Skipped, policy.Miss}, a.result)
}

// copyServed checks that a served copy is not older than a purge, if the proxy was notified of the purge more than the grace period
// before it sent the attempt.
func (c *checker) copyServed(a *attempt) {
	p := a.request.proxy
	purge, known := p.purges[a.request.client.key.object]
	write := c.sim.scenario.Traffic.Classes[a.request.client.class].Write
	if known && a.sent > purge.notified+c.sim.scenario.Rules.PurgeGrace && a.created < purge.purged && !write {
		c.violation("purge", fmt.Sprintf("proxy %d serves a copy created at %.3f ms, purged at %.3f ms, notified at %.3f ms",
			p.number, a.created, purge.purged, purge.notified))
	}
}

// writeRan checks that a write runs once. A client retries a write that is not idempotent only after a rejection, which states that
// the write did not run. A write with an idempotency key may run again after the origin has dropped the key.
func (c *checker) writeRan(r *request) {
	number := r.client.number
	c.writeRuns[number]++
	class := c.sim.scenario.Traffic.Classes[r.client.class]
	if c.writeRuns[number] > 1 && class.idempotency() != policy.IdempotentByKey {
		c.violation("write", fmt.Sprintf("request %s ran %d times", r.id, c.writeRuns[number]))
	}
}

// requestReceived schedules a check that a request that a proxy receives is answered by its deadline and the grace period.
func (c *checker) requestReceived(r *request) {
	c.sim.at(r.deadline+c.sim.scenario.Rules.AnswerGrace, func() {
		if !r.answered && !r.aborted {
			c.violation("answer", fmt.Sprintf("request %s has no answer by its deadline", r.id))
		}
	})
}

// requestAnswered checks that a request is answered once, and that a rejected one that is not idempotent did not run.
func (c *checker) requestAnswered(r *request, o outcome) {
	if r.answered {
		c.violation("answer", fmt.Sprintf("request %s has two answers", r.id))
	}
	class := c.sim.scenario.Traffic.Classes[r.client.class]
	if o != outcomeRejected || class.idempotency() != policy.NotIdempotent {
		return
	}
	for _, a := range r.attempts {
		if !a.neverRan() {
			c.violation("refusal", fmt.Sprintf("request %s is rejected although it may have run", r.id))
			return
		}
	}
}

// serverOverloaded records that a server was overloaded and died while it warmed up, which proxies must prevent.
func (c *checker) serverOverloaded(s *server) {
	c.violation("cold start", fmt.Sprintf("%s, started at %.3f ms, was sent %.0f KB since %.3f ms, too much for %.2f of its %.0f KB/ms",
		serverlist.FormatID(s.id), s.started, s.loadKB, s.windowBegan, s.capacity(), s.fullBandwidth))
}
