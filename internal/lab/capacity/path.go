package capacity

// Hop is a part of the way that a change takes.
type Hop struct {
	What  string
	Takes Figure // ms
}

// Fault is what stands in the way, and what it adds at worst.
type Fault struct {
	What  string
	Parts []Hop
}

// Adds is what a fault adds, ms.
func (f Fault) Adds() (total Figure) {
	for _, h := range f.Parts {
		total = total.Plus(h.Takes)
	}
	return total
}

// Path is the way of a purge or a revision from who makes it to the last process.
type Path struct {
	What   string
	Within float64 // ms
	Hops   []Hop
	Faults []Fault
}

// Takes is the whole way without a fault, ms.
func (p Path) Takes() (total Figure) {
	for _, h := range p.Hops {
		total = total.Plus(h.Takes)
	}
	return total
}

// Times of the program that the ways meet, ms. Each is a setting or a default: raft's heartbeat and election (each drawn
// between once and twice 1 s) and how long until followers are told of a commit (between once and twice 50 ms); the
// distribution's SilenceTimeout, FailoverSpread and ConnectFor.
const (
	raftCommitTold = 100
	raftNotices    = 2000
	raftElects     = 2000
	silentFor      = 1800
	failoverOver   = 2000
	connectFor     = 1000
	storeGivesUp   = 2000 // store.Options.Timeout, where nothing else is said
)

// Ways are those of a purge and of a revision, by the distribution.
func (m Fleet) Ways() []Path {
	region, zone := m.RegionTrip, m.ZoneTrip
	between := Hop{"a connection elsewhere: TCP, TLS and the subscription, three times there and back", region.By(6)}
	moved := []Hop{
		{"silence is noticed (SilenceTimeout)", assumed(silentFor)},
		{"its turn comes (FailoverSpread, the last one's)", assumed(failoverOver)},
		between,
	}
	elected := []Hop{
		{"silence is noticed (raft, twice 1 s at worst)", assumed(raftNotices)},
		{"a candidate's turn (raft, once more up to 2 s)", assumed(raftElects)},
		{"votes, there and back", region.By(2)},
	}
	dead := Hop{"the next one is dead too (ConnectFor)", assumed(connectFor)}
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
		{"on the leader's disk", m.Sync},
		{"to a quorum and back, on their disks", region.By(2).Plus(m.Sync)},
		{"until a root that does not lead is told (raft, twice 50 ms at worst)", assumed(raftCommitTold).Plus(region)},
		{"gathered at the root", m.FrameMs},
		{"to the distributor of another region", region},
		{"gathered and queued there", m.FrameMs.Plus(assumed(5))},
		{"to the process", zone},
		{"taken in by store, module and journal", m.applyMs()},
	}
	revision := append(append([]Hop{}, hops...), Hop{"checked whole and put in force", assumed(50)})
	servers := given(m.Caches)
	bulk := m.At("replica/list-entry", servers).Times(m.subscribers(m.Distributors() - 1)).Over(m.MachineBytesPerS).By(1000)
	list := append(append([]Hop{}, hops...),
		Hop{"6,000 servers to each subscriber of one distributor, over its 1 Gbit/s", bulk},
		Hop{"read, compared with the list before, put in force", sum(m.At("replica/list-apply", servers), m.At("ledger/list", servers)).By(1e-3)})
	return []Path{
		{"a purge, done everywhere", m.PurgeWithinMs, hops, faults},
		{"a revision, in force everywhere", m.ConfigWithinMs, revision, faults},
		{"a list of 6,000 servers, told whole, in force everywhere", m.ConfigWithinMs, list, faults},
	}
}

// applyMs is what one purge more takes at a process that holds those of an ordinary day.
func (m Fleet) applyMs() Figure {
	l := m.Ordinary()
	return m.purges(Tree, l).Processor.By(1 / l.Purges / 1000)
}

// Failover is how many distributors the subscribers of a lost one must be spread over, so that all are admitted within
// the span over which they are drawn: each admits 50 at once and 50 a second.
func (m Fleet) Failover() Figure {
	const burst, perS = 50, 50
	return m.subscribers(m.Distributors()).By(1 / (burst + perS*failoverOver/1000.0))
}
