package core

import (
	"sync/atomic"

	"ravenwheel/internal/clock"
)

// Refuse turns a request away that its front does not bring in, as the proxy is being emptied: it never ran.
func (c *Core) Reject() Answer {
	for _, n := range []*atomic.Int64{&c.Counters.Requests, &c.Counters.Rejected, &c.Counters.NeverSent} {
		n.Add(1)
	}
	return c.rejection()
}

// turnAway is a refusal of a request that never came to the module, with advice where clients get any.
func (c *Core) rejection() Answer {
	if !c.settings.SendsRetryAfter {
		return Answer{Verdict: Rejected}
	}
	return Answer{Verdict: Rejected, RetryAfter: clock.Ms(c.settings.MaxRetryAfter)}
}
