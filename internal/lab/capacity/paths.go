package capacity

import "slices"

// Hop is one step of a path or of the handling of a fault.
type Hop struct {
	Name     string
	Duration Figure // ms
}

// hops are consecutive steps.
type hops []Hop

// total is the duration of all hops in ms.
func (h hops) total() (total Figure) {
	for _, hop := range h {
		total = total.Plus(hop.Duration)
	}
	return total
}

// Fault is a failure that may delay a change, with the steps that it adds in the worst case.
type Fault struct {
	Name string
	Hops []Hop
}

// Total is the delay in ms.
func (f Fault) Total() Figure { return hops(f.Hops).total() }

// Path is the way of a change from its author to the last process that applies it.
type Path struct {
	Name     string
	WithinMs float64 // the operators' limit
	Hops     []Hop
	Faults   []Fault
}

// Total is the duration in ms without a fault.
func (p Path) Total() Figure { return hops(p.Hops).total() }

// Timeouts of the program in ms. Those that are drawn at random have their largest value: raft draws from once to twice the
// configured value.
const (
	raftCommitMs           = 100 // until a follower learns of a commit
	raftHeartbeatTimeoutMs = 2000
	raftElectionTimeoutMs  = 2000
	silenceTimeoutMs       = 1800 // distribution.Settings.SilenceTimeout
	failoverSpreadMs       = 2000 // distribution.Settings.FailoverSpread
	connectTimeoutMs       = 1000 // distribution.Settings.ConnectTimeout
	storeTimeoutMs         = 2000 // the default of store.Options.Timeout
)

// Durations in ms that were not measured.
const (
	distributorQueueMs = 5  // time for which a frame waits at a distributor
	revisionApplyMs    = 50 // checking and applying a revision
)

// The rate at which a distributor admits subscribers, and how many it admits at once. Copied from distribution.DefaultSettings
// (AdmitBurst, AdmitPerSecond).
const (
	admitBurst = 50
	admitPerS  = 50
)

// Paths are the paths of a purge, a revision and a server list in DesignDistribution.
func (f Fleet) Paths() []Path {
	propagation, faults := f.propagationHops(), f.pathFaults()
	revision := slices.Concat(propagation, hops{{"validated and applied", assumed(revisionApplyMs)}})
	list := slices.Concat(propagation, f.listHops())
	return []Path{
		{"a purge, applied everywhere", f.PurgeWithinMs, propagation, faults},
		{"a revision, applied everywhere", f.ConfigWithinMs, revision, faults},
		{"a list of 6,000 servers, sent whole, applied everywhere", f.ConfigWithinMs, list, faults},
	}
}

// propagationHops are the hops of an entry from its author to the last process.
func (f Fleet) propagationHops() hops {
	region, zone := f.RegionLatencyMs, f.ZoneLatencyMs
	return hops{
		{"from the author to the nearest member of the store", zone},
		{"to the leader", region},
		{"on the leader's disk", f.SyncMs},
		{"to a quorum and back, with writes to disk", region.Scale(2).Plus(f.SyncMs)},
		{"until a root that does not lead learns of the commit (raft, twice 50 ms at worst)", assumed(raftCommitMs).Plus(region)},
		{"batched at the root", f.FrameIntervalMs},
		{"to the distributor of another region", region},
		{"batched and queued there", f.FrameIntervalMs.Plus(assumed(distributorQueueMs))},
		{"to the process", zone},
		{"applied by store, module and journal", f.applyMs()},
	}
}

// listHops are the hops that a server list takes after propagationHops.
func (f Fleet) listHops() hops {
	servers := given(f.Caches)
	subscribers := f.subscribersPerDistributor(f.Distributors() - 1)
	sendMs := f.Estimate("replica/list-entry", servers).Times(subscribers).DividedBy(f.MachineBytesPerS).Scale(1000)
	applyMs := f.Estimate("replica/list-apply", servers).Plus(f.Estimate("ledger/list", servers)).Scale(1e-3)
	return hops{
		{"6,000 servers to each subscriber of one distributor, over its 1 Gbit/s", sendMs},
		{"decoded, compared with the previous list, applied", applyMs},
	}
}

// pathFaults are the faults that may delay an entry.
func (f Fleet) pathFaults() []Fault {
	failover := hops{
		{"silence is noticed (SilenceTimeout)", assumed(silenceTimeoutMs)},
		{"the last one reconnects (FailoverSpread)", assumed(failoverSpreadMs)},
		{"a connection to another one: TCP, TLS and subscription, three round trips", f.RegionLatencyMs.Scale(6)},
	}
	election := hops{
		{"silence is noticed (raft, twice 1 s at worst)", assumed(raftHeartbeatTimeoutMs)},
		{"a candidate stands for election (raft, up to 2 s more)", assumed(raftElectionTimeoutMs)},
		{"votes, one round trip", f.RegionLatencyMs.Scale(2)},
	}
	connectTimeout := hops{{"the next one is down too (ConnectTimeout)", assumed(connectTimeoutMs)}}
	return []Fault{
		{"the leader is lost", election},
		{"the distributor is lost, or falls silent", failover},
		{"a root is lost under the distributor", failover},
		{"the distributor and the next one are lost", slices.Concat(failover, connectTimeout)},
		{"the leader and the distributor at once", slices.Concat(election, failover)},
		{"root and distributor at once", slices.Concat(failover, failover)},
	}
}

// applyMs is the time in ms in which a process applies a purge while the purges of an ordinary day are in effect.
func (f Fleet) applyMs() Figure {
	load := f.OrdinaryLoad()
	return f.purgeCost(DesignDistribution, load).CPUMicrosPerS.Scale(1 / load.PurgesPerS / 1000)
}

// FailoverDistributors is the number of distributors over which the subscribers of a lost distributor must be spread, for all to be
// admitted within FailoverSpread.
func (f Fleet) FailoverDistributors() Figure {
	return f.subscribersPerDistributor(f.Distributors()).Scale(1 / (admitBurst + admitPerS*failoverSpreadMs/1000.0))
}
