package core

import (
	"maps"
	"strconv"
	"sync/atomic"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/policy"
)

// Tally counts, for the view in common, what became of attempts at each server. It is written on the request's path with
// atomic additions alone; a server's counts are found through a map that is replaced whole when the list changes.
type LoadCounter struct {
	arrivals atomic.Uint64
	servers  atomic.Pointer[map[policy.CacheID]*serverCounts]
	objects  chan uint64
}

type serverCounts struct {
	attempts, failures, refusals, overdue atomic.Uint64
	inFlight                              atomic.Int64
	latency                               [fleetview.LatencyBuckets]atomic.Uint64
}

// mostWaiting objects wait to be counted: what is over it is passed over, as any sample would do.
const maxPendingObjects = 1024

// NewTally returns a tally to be set as Core.Tally before the first event.
func NewLoadCounter() *LoadCounter {
	t := &LoadCounter{objects: make(chan uint64, maxPendingObjects)}
	t.servers.Store(&map[policy.CacheID]*serverCounts{})
	return t
}

func (t *LoadCounter) countsOf(id policy.CacheID) *serverCounts { return (*t.servers.Load())[id] }

// members keeps counts for those that are listed. Called under no more than one goroutine at a time, as Core.Members is.
func (t *LoadCounter) updateServers(list []Member, whole bool) {
	old := *t.servers.Load()
	next := map[policy.CacheID]*serverCounts{}
	if !whole {
		next = maps.Clone(old)
	}
	for _, m := range list {
		switch {
		case m.State == policy.Gone:
			delete(next, m.ID)
		case old[m.ID] != nil:
			next[m.ID] = old[m.ID]
		default:
			next[m.ID] = &serverCounts{}
		}
	}
	t.servers.Store(&next)
}

func (t *LoadCounter) recordRequest(object string) {
	t.arrivals.Add(1)
	if n, err := strconv.ParseUint(object, 16, 64); err == nil {
		select {
		case t.objects <- n:
		default:
		}
	}
}

func (t *LoadCounter) recordAttempt(to policy.CacheID) {
	if n := t.countsOf(to); n != nil {
		n.attempts.Add(1)
		n.inFlight.Add(1)
	}
}

// ended counts the end of an attempt that took so many ms, of a class with such a target.
func (t *LoadCounter) recordOutcome(to policy.CacheID, e Outcome, took, target float64) {
	n := t.countsOf(to)
	if n == nil {
		return
	}
	n.inFlight.Add(-1)
	switch e.Result {
	case policy.OK:
		n.latency[fleetview.LatencyBucket(took)].Add(1)
	case policy.Failed, policy.Unknown, policy.Reset, policy.ConnectFailed:
		n.failures.Add(1)
	case policy.Overloaded:
		n.refusals.Add(1)
	}
	if e.Result == policy.TimedOut || e.Result == policy.OK && took > target {
		n.overdue.Add(1)
	}
}

// Totals are the arrivals, and the counts of each server that is listed, since the start.
func (t *LoadCounter) Totals() (arrivals uint64, servers map[policy.CacheID]fleetview.Totals) {
	servers = map[policy.CacheID]fleetview.Totals{}
	for id, n := range *t.servers.Load() {
		x := fleetview.Totals{
			Attempts: n.attempts.Load(), Failures: n.failures.Load(), Rejections: n.refusals.Load(), Overdue: n.overdue.Load(),
			InFlight: max(0, n.inFlight.Load()),
		}
		for i := range x.Latency {
			x.Latency[i] = n.latency[i].Load()
		}
		servers[id] = x
	}
	return t.arrivals.Load(), servers
}

// Objects are those asked for since the last call, in order, as far as there was room.
func (t *LoadCounter) Objects() (out []uint64) {
	for {
		select {
		case o := <-t.objects:
			out = append(out, o)
		default:
			return out
		}
	}
}

// target of a class in ms.
func (c *Core) latencyObjective(class int) float64 {
	return clock.Ms(c.settings.Classes[class].LatencyObjective)
}
