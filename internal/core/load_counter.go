package core

import (
	"maps"
	"strconv"
	"sync/atomic"

	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/policy"
)

// maxPendingObjects is how many requested objects are buffered until TakeObjects is called. Further ones are dropped, which is
// acceptable because the objects are only a sample.
const maxPendingObjects = 1024

// LoadCounter counts requests and, by server, the outcomes of attempts, for the fleet's view of the load. On the path of a request
// it only adds to atomic counters, which it finds through a map that is replaced when the list of servers changes.
type LoadCounter struct {
	arrivals atomic.Uint64
	servers  atomic.Pointer[map[policy.ServerID]*serverCounts]
	objects  chan uint64
}

type serverCounts struct {
	attempts, failures, rejections, overdue atomic.Uint64
	inFlight                                atomic.Int64
	latency                                 [fleetview.LatencyBuckets]atomic.Uint64
}

// NewLoadCounter returns a counter that has no servers yet.
func NewLoadCounter() *LoadCounter {
	l := &LoadCounter{objects: make(chan uint64, maxPendingObjects)}
	l.servers.Store(&map[policy.ServerID]*serverCounts{})
	return l
}

func (l *LoadCounter) countsOf(id policy.ServerID) *serverCounts { return (*l.servers.Load())[id] }

// updateServers replaces or changes the list of servers. Servers that stay listed keep their counts. It must not be called
// concurrently.
func (l *LoadCounter) updateServers(list []Member, full bool) {
	old := *l.servers.Load()
	next := map[policy.ServerID]*serverCounts{}
	if !full {
		next = maps.Clone(old)
	}
	for _, member := range list {
		switch {
		case member.State == policy.Gone:
			delete(next, member.ID)
		case old[member.ID] != nil:
			next[member.ID] = old[member.ID]
		default:
			next[member.ID] = &serverCounts{}
		}
	}
	l.servers.Store(&next)
}

// recordRequest counts a request and, if its object is a hexadecimal number, keeps the object for TakeObjects.
func (l *LoadCounter) recordRequest(object string) {
	l.arrivals.Add(1)
	if n, err := strconv.ParseUint(object, 16, 64); err == nil {
		select {
		case l.objects <- n:
		default:
		}
	}
}

func (l *LoadCounter) recordAttempt(server policy.ServerID) {
	if counts := l.countsOf(server); counts != nil {
		counts.attempts.Add(1)
		counts.inFlight.Add(1)
	}
}

// recordOutcome counts the outcome of an attempt. An attempt is overdue if it timed out or succeeded later than the objective of
// its class. latency and objective are in ms.
func (l *LoadCounter) recordOutcome(server policy.ServerID, outcome Outcome, latency, objective float64) {
	counts := l.countsOf(server)
	if counts == nil {
		return
	}
	counts.inFlight.Add(-1)
	switch outcome.Result {
	case policy.OK:
		counts.latency[fleetview.LatencyBucket(latency)].Add(1)
	case policy.Failed, policy.Unknown, policy.Reset, policy.ConnectFailed:
		counts.failures.Add(1)
	case policy.Overloaded:
		counts.rejections.Add(1)
	}
	if outcome.Result == policy.TimedOut || outcome.Result == policy.OK && latency > objective {
		counts.overdue.Add(1)
	}
}

// Totals returns the number of requests and the counts of each listed server since the process started.
func (l *LoadCounter) Totals() (arrivals uint64, servers map[policy.ServerID]fleetview.Totals) {
	servers = map[policy.ServerID]fleetview.Totals{}
	for id, counts := range *l.servers.Load() {
		totals := fleetview.Totals{
			Attempts: counts.attempts.Load(), Failures: counts.failures.Load(), Rejections: counts.rejections.Load(),
			Overdue: counts.overdue.Load(), InFlight: max(0, counts.inFlight.Load()),
		}
		for i := range totals.Latency {
			totals.Latency[i] = counts.latency[i].Load()
		}
		servers[id] = totals
	}
	return l.arrivals.Load(), servers
}

// TakeObjects returns the objects requested since the last call, in their order, and removes them from the buffer. Objects that
// were requested while the buffer was full are missing.
func (l *LoadCounter) TakeObjects() (objects []uint64) {
	for {
		select {
		case object := <-l.objects:
			objects = append(objects, object)
		default:
			return objects
		}
	}
}
