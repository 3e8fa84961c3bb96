package capacity

// Hop is a part of the way that a change takes.
type Hop struct {
	Name         string
	Milliseconds Figure // ms
}

// Fault is what stands in the way, and what it adds at worst.
type Fault struct {
	Name string
	Hops []Hop
}

// Adds is what a fault adds, ms.
func (f Fault) Total() (total Figure) {
	for _, h := range f.Hops {
		total = total.Plus(h.Milliseconds)
	}
	return total
}

// Path is the way of a purge or a revision from who makes it to the last process.
type Path struct {
	Name     string
	WithinMs float64 // ms
	Hops     []Hop
	Faults   []Fault
}

// Takes is the whole way without a fault, ms.
func (p Path) Total() (total Figure) {
	for _, h := range p.Hops {
		total = total.Plus(h.Milliseconds)
	}
	return total
}

// Times of the program that the ways meet, ms. Each is a setting or a default: raft's heartbeat and election (each drawn
// between once and twice 1 s) and how long until followers are told of a commit (between once and twice 50 ms); the
// distribution's SilenceTimeout, FailoverSpread and ConnectFor.
const (
	raftCommitMs           = 100
	raftHeartbeatTimeoutMs = 2000
	raftElectionTimeoutMs  = 2000
	silenceTimeoutMs       = 1800
	failoverSpreadMs       = 2000
	connectTimeoutMs       = 1000
	storeTimeoutMs         = 2000 // store.Options.Timeout, where nothing else is said
)

// Ways are those of a purge and of a revision, by the distribution.
func (f Fleet) Paths() []Path {
	region, zone := f.RegionLatencyMs, f.ZoneLatencyMs
	between := Hop{"a connection elsewhere: TCP, TLS and the subscription, three times there and back", region.Scale(6)}
	moved := []Hop{
		{"silence is noticed (SilenceTimeout)", assumed(silenceTimeoutMs)},
		{"its turn comes (FailoverSpread, the last one's)", assumed(failoverSpreadMs)},
		between,
	}
	elected := []Hop{
		{"silence is noticed (raft, twice 1 s at worst)", assumed(raftHeartbeatTimeoutMs)},
		{"a candidate's turn (raft, once more up to 2 s)", assumed(raftElectionTimeoutMs)},
		{"votes, there and back", region.Scale(2)},
	}
	dead := Hop{"the next one is dead too (ConnectFor)", assumed(connectTimeoutMs)}
	faults := []Fault{
		{"the leader is lost", elected},
		{"the distributor is lost, or falls silent", moved},
		{"a root is lost under the distributor", moved},
		{"the distributor and the next one are lost", append(append([]Hop{}, moved...), dead)},
		{"the leader and the distributor at once", append(append([]Hop{}, elected...), moved...)},
		{"root and distributor at once", append(append([]Hop{}, moved...), moved...)},
	}
	hops := []Hop{
		{"from who makes it to the nearest member of the store", zone},
		{"to the leader", region},
		{"on the leader's disk", f.SyncMs},
		{"to a quorum and back, on their disks", region.Scale(2).Plus(f.SyncMs)},
		{"until a root that does not lead is told (raft, twice 50 ms at worst)", assumed(raftCommitMs).Plus(region)},
		{"gathered at the root", f.FrameIntervalMs},
		{"to the distributor of another region", region},
		{"gathered and queued there", f.FrameIntervalMs.Plus(assumed(5))},
		{"to the process", zone},
		{"taken in by store, module and journal", f.applyMs()},
	}
	revision := append(append([]Hop{}, hops...), Hop{"checked whole and put in force", assumed(50)})
	servers := given(f.Caches)
	bulk := f.Estimate("replica/list-entry", servers).Times(f.subscribersPerDistributor(f.Distributors() - 1)).DividedBy(f.MachineBytesPerS).Scale(1000)
	list := append(append([]Hop{}, hops...),
		Hop{"6,000 servers to each subscriber of one distributor, over its 1 Gbit/s", bulk},
		Hop{"read, compared with the list before, put in force", sum(f.Estimate("replica/list-apply", servers), f.Estimate("ledger/list", servers)).Scale(1e-3)})
	return []Path{
		{"a purge, done everywhere", f.PurgeWithinMs, hops, faults},
		{"a revision, in force everywhere", f.ConfigWithinMs, revision, faults},
		{"a list of 6,000 servers, told whole, in force everywhere", f.ConfigWithinMs, list, faults},
	}
}

// applyMs is what one purge more takes at a process that holds those of an ordinary day.
func (f Fleet) applyMs() Figure {
	l := f.OrdinaryLoad()
	return f.purgeCost(DesignDistribution, l).CPUMicrosPerS.Scale(1 / l.PurgesPerS / 1000)
}

// Failover is how many distributors the subscribers of a lost one must be spread over, so that all are admitted within
// the span over which they are drawn: each admits 50 at once and 50 a second.
func (f Fleet) FailoverDistributors() Figure {
	const burst, perS = 50, 50
	return f.subscribersPerDistributor(f.Distributors()).Scale(1 / (burst + perS*failoverSpreadMs/1000.0))
}
