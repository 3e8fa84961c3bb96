package capacity

import "math"

// Design is a way in which control reaches the processes.
type Design int

// The designs. AsIs: every process follows the store as a raft member without a vote, lists are told whole, membership is
// flat. Tree: purges, revisions, lists and drains come through distributors (decide/distribution), the rest as it is. Lean:
// Tree with what this page proposes: frames each 100 ms, purges that don't look through all others, lists as changes within
// a region, members and digests within one.
const (
	DesignCurrent Design = iota
	DesignDistribution
	DesignProposed
)

var designNames = [...]string{"as it is", "distribution", "proposed"}

// String names the design as the page does.
func (d Design) String() string { return designNames[d] }

// Designs are all of them.
var Designs = []Design{DesignCurrent, DesignDistribution, DesignProposed}

// Load is what the whole fleet meets, a second.
type Load struct {
	PurgesPerS, RevisionsPerS, ListChangesPerS, StartsPerS float64
}

// Ordinary is the load of a minute of an ordinary day. Each machine that fails or is replaced goes and comes, which are
// two changes of a list if it is a cache; the other changes of the day are taken for revisions.
func (t Target) OrdinaryLoad() Load {
	turned, all := t.FailuresPerDay+t.ReplacementsPerDay, t.Proxies+t.Caches+t.ControlMachines
	lists := 2 * turned * t.Caches / all / secondsPerDay
	return Load{PurgesPerS: t.PurgesPerS, ListChangesPerS: lists, RevisionsPerS: t.ConfigPerDay/secondsPerDay - lists, StartsPerS: turned * t.Proxies / all / secondsPerDay}
}

// Line is one thing that a role spends on: what it holds, and what it sends, receives and computes each second.
type CostItem struct {
	Name                            string
	StateBytes                      Figure // bytes, encoded
	MessagesInPerS, MessagesOutPerS Figure
	BytesInPerS, BytesOutPerS       Figure
	CPUMicrosPerS                   Figure // us
	MemoryBytes                     Figure // bytes
}

// Bytes are those of both ways.
func (l CostItem) BytesPerS() Figure { return l.BytesInPerS.Plus(l.BytesOutPerS) }

// Cost is all that a role spends.
type Cost []CostItem

// Sum is the total of a cost.
func (c Cost) Total() CostItem {
	total := CostItem{Name: "together"}
	for _, l := range c {
		total.StateBytes = total.StateBytes.Plus(l.StateBytes)
		total.MessagesInPerS, total.MessagesOutPerS = total.MessagesInPerS.Plus(l.MessagesInPerS), total.MessagesOutPerS.Plus(l.MessagesOutPerS)
		total.BytesInPerS, total.BytesOutPerS = total.BytesInPerS.Plus(l.BytesInPerS), total.BytesOutPerS.Plus(l.BytesOutPerS)
		total.CPUMicrosPerS, total.MemoryBytes = total.CPUMicrosPerS.Plus(l.CPUMicrosPerS), total.MemoryBytes.Plus(l.MemoryBytes)
	}
	return total
}

// Fleet is a target, what is taken for granted, and what was measured.
type Fleet struct {
	Target
	Assumptions
	RecordingSet
}

// voters of the store, on machines of their own; the other control machines are distributors.
const voters = 5

// Bounds of the program that the formulas meet. They are copies of unexported constants, held to them by no test: the
// page names where each stands.
const (
	resultRetentionS, maxResults    = 600.0, 65_536 // replica: s, results
	maxRevisions                    = 100           // replica
	raftTrailingLogs                = 10_240        // raft's default
	maxSenders                      = 8192          // peers
	maxPurges                       = 16_384        // policy
	maxEntryBytes                   = 96 << 10      // distribution
	backlogEntries                  = 1 << 14       // distribution
	originRequestsPerS              = 20.0          // distribution: to the origin, a process
	nearDigestsPerS, farDigestsPerS = 16.0, 2.0     // peers, each second
	probeIntervalS                  = 0.7           // peers
	stateRequestsPerStart           = 3.0           // peers: whole states that a start asks for
	maxSubscribers                  = 512           // distribution
	proxiesPerDistributor           = 75            // distribution: processes of one distributor that its settings reckon with
	gossipMultiplier                = 4.0           // peers: retransmissions, times the decades of the fleet's size
)

// Distributors are the control machines that are none of the store's voters.
func (f Fleet) Distributors() float64 { return f.ControlMachines - voters }

// frames a second that hold a purge, when one is sent at most so often.
func framesPerS(purgesPerS float64, every Figure) Figure {
	rate := 1000 / every.Value
	return every.combine(rate*(1-math.Exp(-purgesPerS/rate)), every)
}

// listServers is how many servers one process's list has.
func (f Fleet) listServers(d Design) Figure {
	if d == DesignProposed {
		return given(f.Caches / f.Regions)
	}
	return given(f.Caches)
}

// Proxy is what control costs one steering proxy.
func (f Fleet) ProxyCost(d Design, l Load) Cost {
	cost := Cost{f.followCost(d, l), f.purgeCost(d, l)}
	if d == DesignCurrent {
		cost = append(cost, f.resultCost(l))
	}
	cost = append(cost, f.revisionCost(l), f.listCost(d, l), f.membershipCost(d, l), f.digestCost(d), f.probeCost())
	live := cost.Total().MemoryBytes
	return append(cost,
		CostItem{Name: "room for the collector, as much as lives", MemoryBytes: assumed(live.Value).combine(live.Value, live)},
		CostItem{Name: "the process beside these", MemoryBytes: f.ProcessMemory})
}

// follow is the way by which entries come. AsIs: raft's, with what its own messages take; a follower is taken to bear
// half of the processor that leader and follower use together.
func (f Fleet) followCost(d Design, l Load) CostItem {
	share := l.PurgesPerS / raftPurgesPerS
	if d == DesignCurrent {
		heads := f.PacketHeaderBytes.Plus(f.RecordHeaderBytes)
		messages := given(l.PurgesPerS)
		return CostItem{
			Name: "follow the store through raft", MessagesInPerS: messages, MessagesOutPerS: messages,
			BytesInPerS:   f.UnitCost("raft/leader-bytes").Scale(share).Plus(heads.Times(messages)),
			BytesOutPerS:  f.UnitCost("raft/follower-bytes").Scale(share).Plus(heads.Times(messages)),
			CPUMicrosPerS: f.UnitCost("raft/processor").Scale(share / 2).Times(assumed(1)),
			StateBytes:    f.Estimate("replica/purge-entry", given(nameBytes)).Scale(raftTrailingLogs),
			MemoryBytes:   f.Estimate("replica/purge-entry", given(nameBytes)).Scale(raftTrailingLogs).Times(assumed(1)),
		}
	}
	every := f.FrameIntervalMs
	if d == DesignProposed {
		every = f.ProposedFrameIntervalMs
	}
	n := framesPerS(l.PurgesPerS, every).Plus(assumed(2)) // two streams with a heartbeat each second or oftener
	return CostItem{
		Name: "subscribe at a distributor", MessagesInPerS: n, MessagesOutPerS: n.Scale(0.5),
		BytesInPerS:   f.EntryBytes.Scale(l.PurgesPerS).Plus(n.Times(sum(f.FrameBytes, f.PacketHeaderBytes, f.RecordHeaderBytes))),
		BytesOutPerS:  n.Scale(0.5).Times(f.PacketHeaderBytes), // every second packet is acknowledged
		CPUMicrosPerS: n.Times(f.ReceiveMicros), MemoryBytes: f.ConnectionMemory,
	}
}

// purges are those that bind, in the store's state, the module and the journal. As proposed, a purge does not look through
// all others: it then costs what it was measured to cost with few held.
func (f Fleet) purgeCost(d Design, l Load) CostItem {
	n := purgesInEffect(f.Assumptions, l.PurgesPerS)
	looked := n
	if d == DesignProposed {
		looked = assumed(minMeasuredPurges)
	}
	each := sum(f.Estimate("replica/purge-apply", looked), f.Estimate("policy/purge", n), f.Estimate("journal/purge", n))
	return CostItem{
		Name: "take purges in, hold them", StateBytes: f.Estimate("replica/purge-snapshot", n),
		CPUMicrosPerS: each.Scale(l.PurgesPerS),
		MemoryBytes:   sum(f.Estimate("replica/purge-memory", n), f.Estimate("policy/purge-memory", n), f.Estimate("journal/memory", n)),
	}
}

// results of changes are kept for ten minutes, so that one that comes again counts once.
func (f Fleet) resultCost(l Load) CostItem {
	n := given(min(maxResults, resultRetentionS*(l.PurgesPerS+l.RevisionsPerS+l.ListChangesPerS)))
	return CostItem{Name: "hold the results of changes", StateBytes: f.Estimate("replica/results-snapshot", n), MemoryBytes: f.Estimate("replica/results-memory", n)}
}

func (f Fleet) revisionCost(l Load) CostItem {
	kept := given(maxRevisions)
	return CostItem{
		Name: "revisions of the configuration", StateBytes: f.Estimate("replica/revision-snapshot", kept), MemoryBytes: f.Estimate("replica/revision-memory", kept),
		MessagesInPerS: given(l.RevisionsPerS), BytesInPerS: assumed(revisionBytes + 200).Scale(l.RevisionsPerS),
	}
}

// lists of servers. Whole: a change of one server brings the list, which is compared and written to the journal.
func (f Fleet) listCost(d Design, l Load) CostItem {
	n := f.listServers(d)
	memory := sum(f.Estimate("replica/list-memory", n), f.Estimate("ledger/memory", n), f.Estimate("policy/memory", n))
	line := CostItem{Name: "lists of servers, told whole", StateBytes: f.Estimate("replica/list-entry", n), MemoryBytes: memory, MessagesInPerS: given(l.ListChangesPerS)}
	if d == DesignProposed {
		rate := l.ListChangesPerS / f.Regions
		line.Name, line.MessagesInPerS = "changes of servers of its region", given(rate)
		line.BytesInPerS = f.UnitCost("replica/list-entry").Plus(assumed(100)).Scale(rate)
		line.CPUMicrosPerS = sum(f.Estimate("ledger/change", n), f.Estimate("policy/change", n)).Scale(rate)
		return line
	}
	line.BytesInPerS = f.Estimate("replica/list-entry", n).Scale(l.ListChangesPerS)
	line.CPUMicrosPerS = sum(f.Estimate("replica/list-apply", n), f.Estimate("ledger/list", n), f.Estimate("policy/change", n)).Scale(l.ListChangesPerS)
	return line
}

// memberCount is how many processes one knows.
func (f Fleet) memberCount(d Design) float64 {
	if d == DesignProposed {
		return math.Ceil(f.Proxies / f.Regions)
	}
	return f.Proxies
}

// fewHeld is the least number of purges held that was measured.
const minMeasuredPurges = 100

// repeats is how often each member tells a piece of news on.
func gossipRepeats(members float64) float64 {
	return gossipMultiplier * math.Ceil(math.Log10(members+1))
}

// gone is what a member sends and receives as so many others go at once, a second over a minute.
func (f Fleet) departureBytesPerS(d Design, members float64) Figure {
	n := f.memberCount(d)
	return f.UnitCost("membership/whole-state").Scale(2 * members * gossipRepeats(n) / secondsPerMinute).Times(assumed(1))
}

// members is SWIM's part: probes, news, and whole states exchanged at intervals that memberlist stretches with the size.
func (f Fleet) membershipCost(d Design, l Load) CostItem {
	n := f.memberCount(d)
	whole := f.Estimate("membership/whole-state", given(n))
	each := f.UnitCost("membership/whole-state")
	news := 2 * l.StartsPerS * n / f.Proxies * gossipRepeats(n)
	every := 60 * (math.Ceil(math.Log2(n)-5) + 1) // s
	// A start asks for the whole state three times, and others are asked by those that start.
	wholes := 2/every + 2*stateRequestsPerStart*l.StartsPerS/f.Proxies
	probes := assumed(2 / probeIntervalS)
	oneWay := sum(probes.Times(f.ProbeBytes), each.Scale(news).Times(assumed(1)), whole.Scale(wholes))
	messages := probes.Plus(assumed(news))
	return CostItem{
		Name: "membership of " + formatNumber(n), StateBytes: whole, MessagesInPerS: messages, MessagesOutPerS: messages, BytesInPerS: oneWay, BytesOutPerS: oneWay,
		CPUMicrosPerS: messages.Times(f.SendMicros.Plus(f.ReceiveMicros)), MemoryBytes: f.MemberMemory.Scale(n),
	}
}

// digests: near ones tell what has changed of a zone's caches, far ones all of them.
func (f Fleet) digestCost(d Design) CostItem {
	near, far, perS := nearDigestsPerS, farDigestsPerS, 1.0
	if d == DesignProposed {
		near, far, perS = 4, 1, 0.5
	}
	caches := given(f.Caches / f.Zones)
	envelope := f.ProbeBytes
	told := f.Estimate("view/digest", caches.Times(f.DigestFraction)).Plus(envelope)
	whole := f.Estimate("view/digest", caches).Plus(envelope.Scale(6)) // entries of six versions, a datagram each
	sent := told.Scale(near * perS).Plus(whole.Scale(far * perS))
	messages := assumed((near + 6*far) * perS)
	heard := given(f.Proxies/f.Zones + 15*far*perS) // what is older than 15 s is dropped
	memory := f.Estimate("view/memory", heard).Scale(f.Caches / f.Zones / serversPerDigest).Times(assumed(1))
	return CostItem{
		Name: "digests and the view", StateBytes: sent, MessagesInPerS: messages, MessagesOutPerS: messages, BytesInPerS: sent, BytesOutPerS: sent,
		CPUMicrosPerS: f.PeersMicrosPerS.Scale(messages.Value / 18).Plus(f.Estimate("view/merge", heard).Scale(messages.Value)), MemoryBytes: memory,
	}
}

// probing is what the program does today: a proxy tries a cache that it holds for down each 5 s by a request's own attempt,
// so that nothing is sent for it. Probers of their own are counted apart.
func (f Fleet) probeCost() CostItem { return CostItem{Name: "probes of caches: none of its own"} }
