package core

import "sync/atomic"

// Counters are the core's metrics for operators. All but InFlight only increase. RepeatedIDs counts in this process alone.
type Counters struct {
	Requests        atomic.Int64
	Served          atomic.Int64
	Rejected        atomic.Int64
	Failed          atomic.Int64
	Abandoned       atomic.Int64
	Attempts        atomic.Int64
	Timeouts        atomic.Int64 // attempts that timed out
	Skipped         atomic.Int64 // attempts that were decided on and not written
	Notifications   atomic.Int64 // purges and updates of the list of servers
	InFlight        atomic.Int64 // requests without a final answer
	NeverSent       atomic.Int64 // requests among Rejected and Failed of which no attempt was written
	UnansweredConns atomic.Int64 // connections that a front closed before the first answer on them
	RepeatedIDs     atomic.Int64 // requests among Failed whose id had been used by one that may have been executed
	WrongTags       atomic.Int64 // "not modified" answers for a version that is not the client's
}

// monotonic returns the counters that only increase. A successor process continues them. Their order is part of the encoding in
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
