package core

import "sync/atomic"

// Counters are the core's figures for operators. All but InFlight only rise.
type Counters struct {
	Requests        atomic.Int64
	Served          atomic.Int64
	Rejected        atomic.Int64
	Failed          atomic.Int64
	Abandoned       atomic.Int64
	Attempts        atomic.Int64
	Timeouts        atomic.Int64 // attempts
	Skipped         atomic.Int64 // attempts that were decided on and not written
	Notifications   atomic.Int64 // of purges and of members
	InFlight        atomic.Int64 // requests without a final answer
	NeverSent       atomic.Int64 // of Rejected and Failed: requests of which no attempt was written
	UnansweredConns atomic.Int64 // connections that a front closed before their first answer
	WrongTags       atomic.Int64 // answers that called a copy current which the client has not
}

// monotonic returns the counters that only rise. A successor process continues them; their order is part of the form in
// which they are handed over.
func (c *Counters) monotonic() []*atomic.Int64 {
	return []*atomic.Int64{
		&c.Requests, &c.Served, &c.Rejected, &c.Failed, &c.Abandoned, &c.Attempts, &c.Timeouts, &c.Skipped, &c.Notifications,
		&c.NeverSent, &c.UnansweredConns, &c.WrongTags,
	}
}

// countAnswer counts a final answer.
func (c *Counters) countAnswer(verdict Verdict) {
	switch verdict {
	case Served:
		c.Served.Add(1)
	case Rejected:
		c.Rejected.Add(1)
	case Failed:
		c.Failed.Add(1)
	case Abandoned:
		c.Abandoned.Add(1)
	}
}
