package core

import (
	"sync/atomic"

	"ravenwheel/internal/clock"
)

// Refuse turns a request away that its front does not bring in, as the proxy is being emptied: it never ran.
func (c *Core) Refuse() Answer {
	for _, n := range []*atomic.Int64{&c.Counters.Requests, &c.Counters.Refused, &c.Counters.Unsent} {
		n.Add(1)
	}
	return c.turnAway()
}

// turnAway is a refusal of a request that never came to the module, with advice where clients get any.
func (c *Core) turnAway() Answer {
	if !c.set.SendsRetryAfter {
		return Answer{Verdict: Refused}
	}
	return Answer{Verdict: Refused, Backoff: clock.Ms(c.set.MaxRetryAfter)}
}
