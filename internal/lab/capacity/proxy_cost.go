package capacity

import "math"

// minMeasuredPurges is the smallest number of purges in effect at which recordings measured the cost of a purge.
const minMeasuredPurges = 100

// Assumed sizes in bytes, in addition to the recorded sizes.
const (
	revisionHeaderBytes   = 200 // of a revision without its text
	listChangeHeaderBytes = 100 // of a change of a list without the server
)

// measuredPeerMessages is the number of messages a second at which PeersMicrosPerS was measured.
const measuredPeerMessages = 18

// ProxyCost is what control traffic costs a proxy.
func (f Fleet) ProxyCost(d Design, load Load) Cost {
	cost := Cost{f.followCost(d, load), f.purgeCost(d, load)}
	if d == DesignCurrent {
		cost = append(cost, f.resultCost(load))
	}
	cost = append(cost, f.revisionCost(load), f.listCost(d, load), f.membershipCost(d, load), f.digestCost(d), probeCost())
	liveHeap := cost.Total().MemoryBytes
	return append(cost,
		CostItem{Name: "room for the garbage collector, as much as the live heap", MemoryBytes: liveHeap.Times(assumed(1))},
		CostItem{Name: "the rest of the process", MemoryBytes: f.ProcessMemory})
}

// followCost is the cost of receiving entries: by raft in DesignCurrent, from a distributor in the other designs.
func (f Fleet) followCost(d Design, load Load) CostItem {
	switch d {
	case DesignCurrent:
		return f.raftFollowerCost(load)
	case DesignProposed:
		return f.subscriberCost(load, f.ProposedFrameIntervalMs)
	}
	return f.subscriberCost(load, f.FrameIntervalMs)
}

// raftFollowerCost is the cost of a raft follower. The CPU time is assumed to be half of what a leader and a follower use together.
func (f Fleet) raftFollowerCost(load Load) CostItem {
	rate := load.PurgesPerS / raftPurgesPerS
	messages := given(load.PurgesPerS)
	headers := f.PacketHeaderBytes.Plus(f.RecordHeaderBytes).Times(messages)
	logBytes := f.Estimate("replica/purge-entry", given(nameBytes)).Scale(raftTrailingLogs)
	return CostItem{
		Name:            "follow the store by raft",
		StateBytes:      logBytes,
		MessagesInPerS:  messages,
		MessagesOutPerS: messages,
		BytesInPerS:     f.UnitCost("raft/leader-bytes").Scale(rate).Plus(headers),
		BytesOutPerS:    f.UnitCost("raft/follower-bytes").Scale(rate).Plus(headers),
		CPUMicrosPerS:   f.UnitCost("raft/processor").Scale(rate / 2).Times(assumed(1)),
		MemoryBytes:     logBytes.Times(assumed(1)),
	}
}

// subscriberCost is the cost of a distributor's subscriber. frameInterval is in ms. Every second packet is acknowledged.
func (f Fleet) subscriberCost(load Load, frameInterval Figure) CostItem {
	heartbeats := assumed(2) // a second, on two streams together
	frames := framesPerS(load.PurgesPerS, frameInterval).Plus(heartbeats)
	acknowledged := frames.Scale(0.5)
	frameBytes := sum(f.FrameBytes, f.PacketHeaderBytes, f.RecordHeaderBytes)
	return CostItem{
		Name:            "subscribe at a distributor",
		MessagesInPerS:  frames,
		MessagesOutPerS: acknowledged,
		BytesInPerS:     f.EntryBytes.Scale(load.PurgesPerS).Plus(frames.Times(frameBytes)),
		BytesOutPerS:    acknowledged.Times(f.PacketHeaderBytes),
		CPUMicrosPerS:   frames.Times(f.ReceiveMicros),
		MemoryBytes:     f.ConnectionMemory,
	}
}

// framesPerS is the number of frames with purges that are sent a second, if a frame is sent for each interval (in ms) in which
// there was at least one purge.
func framesPerS(purgesPerS float64, interval Figure) Figure {
	rate := 1000 / interval.Value
	return interval.combine(rate*(1-math.Exp(-purgesPerS/rate)), interval)
}

// purgesInEffect is the number of purges that are in effect at a time, at a rate of purges.
func (a Assumptions) purgesInEffect(purgesPerS float64) Figure {
	return a.PurgeDurationMs.Scale(2).Plus(a.PurgeGraceMs).Scale(purgesPerS / 1000)
}

// purgeCost is the cost of applying purges and keeping those in effect, in the store's state, the policy module and the journal. In
// DesignProposed applying a purge costs as much as with minMeasuredPurges in effect.
func (f Fleet) purgeCost(d Design, load Load) CostItem {
	purges := f.purgesInEffect(load.PurgesPerS)
	scanned := purges
	if d == DesignProposed {
		scanned = assumed(minMeasuredPurges)
	}
	micros := sum(f.Estimate("replica/purge-apply", scanned), f.Estimate("policy/purge", purges), f.Estimate("journal/purge", purges))
	return CostItem{
		Name:          "apply and hold purges",
		StateBytes:    f.Estimate("replica/purge-snapshot", purges),
		CPUMicrosPerS: micros.Scale(load.PurgesPerS),
		MemoryBytes: sum(f.Estimate("replica/purge-memory", purges), f.Estimate("policy/purge-memory", purges),
			f.Estimate("journal/memory", purges)),
	}
}

// resultCost is the cost of the results of changes, which the store keeps to recognise a change that is proposed again.
func (f Fleet) resultCost(load Load) CostItem {
	results := given(min(maxResults, resultRetentionS*(load.PurgesPerS+load.RevisionsPerS+load.ListChangesPerS)))
	return CostItem{
		Name:        "results of changes",
		StateBytes:  f.Estimate("replica/results-snapshot", results),
		MemoryBytes: f.Estimate("replica/results-memory", results),
	}
}

func (f Fleet) revisionCost(load Load) CostItem {
	revisions := given(maxRevisions)
	return CostItem{
		Name:           "revisions of the configuration",
		StateBytes:     f.Estimate("replica/revision-snapshot", revisions),
		MessagesInPerS: given(load.RevisionsPerS),
		BytesInPerS:    assumed(revisionBytes + revisionHeaderBytes).Scale(load.RevisionsPerS),
		MemoryBytes:    f.Estimate("replica/revision-memory", revisions),
	}
}

// listServers is the number of servers in a process's lists: all caches, or in DesignProposed the mean number of caches in a
// region.
func (f Fleet) listServers(d Design) Figure {
	if d == DesignProposed {
		return given(f.Caches / f.Regions)
	}
	return given(f.Caches)
}

// listCost is the cost of server lists. For a change of one server the whole list is sent, in DesignProposed only that server.
func (f Fleet) listCost(d Design, load Load) CostItem {
	servers := f.listServers(d)
	item := CostItem{
		StateBytes:  f.Estimate("replica/list-entry", servers),
		MemoryBytes: sum(f.Estimate("replica/list-memory", servers), f.Estimate("ledger/memory", servers), f.Estimate("policy/memory", servers)),
	}
	moduleMicros := f.Estimate("policy/change", servers)
	if d == DesignProposed {
		changes := load.ListChangesPerS / f.Regions
		item.Name = "changes of servers of its region"
		item.MessagesInPerS = given(changes)
		item.BytesInPerS = f.UnitCost("replica/list-entry").Plus(assumed(listChangeHeaderBytes)).Scale(changes)
		item.CPUMicrosPerS = f.Estimate("ledger/change", servers).Plus(moduleMicros).Scale(changes)
		return item
	}
	changes := load.ListChangesPerS
	item.Name = "server lists, sent whole"
	item.MessagesInPerS = given(changes)
	item.BytesInPerS = f.Estimate("replica/list-entry", servers).Scale(changes)
	item.CPUMicrosPerS = sum(f.Estimate("replica/list-apply", servers), f.Estimate("ledger/list", servers), moduleMicros).Scale(changes)
	return item
}

// memberCount is the number of members that a process knows.
func (f Fleet) memberCount(d Design) float64 {
	if d == DesignProposed {
		return math.Ceil(f.Proxies / f.Regions)
	}
	return f.Proxies
}

// gossipRepeats is the number of times that each member sends an update.
func gossipRepeats(members float64) float64 {
	return gossipMultiplier * math.Ceil(math.Log10(members+1))
}

// departureBytesPerS is the mean rate, over a minute, at which a member sends and receives updates when that many others leave at
// once.
func (f Fleet) departureBytesPerS(d Design, departed float64) Figure {
	updates := 2 * departed * gossipRepeats(f.memberCount(d)) / secondsPerMinute
	return f.UnitCost("membership/whole-state").Scale(updates).Times(assumed(1))
}

// stateExchangeIntervalS is the interval at which memberlist exchanges the whole state with another member. It grows with the
// logarithm of the number of members.
func stateExchangeIntervalS(members float64) float64 {
	return 60 * (math.Ceil(math.Log2(members)-5) + 1)
}

// membershipCost is the cost of SWIM: probes, updates and exchanges of the whole state. A member that starts requests the whole
// state stateRequestsPerStart times.
func (f Fleet) membershipCost(d Design, load Load) CostItem {
	members := f.memberCount(d)
	stateBytes, memberBytes := f.Estimate("membership/whole-state", given(members)), f.UnitCost("membership/whole-state")
	updates := 2 * load.StartsPerS * members / f.Proxies * gossipRepeats(members)
	exchanges := 2/stateExchangeIntervalS(members) + 2*stateRequestsPerStart*load.StartsPerS/f.Proxies
	probes := assumed(2 / probeIntervalS)
	bytesPerS := sum(probes.Times(f.ProbeBytes), memberBytes.Scale(updates).Times(assumed(1)), stateBytes.Scale(exchanges))
	messages := probes.Plus(assumed(updates))
	return CostItem{
		Name:            "membership of " + formatNumber(members),
		StateBytes:      stateBytes,
		MessagesInPerS:  messages,
		MessagesOutPerS: messages,
		BytesInPerS:     bytesPerS,
		BytesOutPerS:    bytesPerS,
		CPUMicrosPerS:   messages.Times(f.SendMicros.Plus(f.ReceiveMicros)),
		MemoryBytes:     f.MemberMemory.Scale(members),
	}
}

// digestCost is the cost of digests and the fleet view. Digests to processes of the same zone hold the changes of the zone's
// caches; digests to other processes are complete.
func (f Fleet) digestCost(d Design) CostItem {
	near, far, roundsPerS := nearDigestsPerS, farDigestsPerS, 1.0
	if d == DesignProposed {
		near, far, roundsPerS = 4, 1, 0.5
	}
	zoneCaches := f.Caches / f.Zones
	changed := f.Estimate("view/digest", given(zoneCaches).Times(f.DigestFraction)).Plus(f.ProbeBytes)
	complete := f.Estimate("view/digest", given(zoneCaches)).Plus(f.ProbeBytes.Scale(datagramsPerDigest))
	sent := changed.Scale(near * roundsPerS).Plus(complete.Scale(far * roundsPerS))
	messages := assumed((near + datagramsPerDigest*far) * roundsPerS)
	peers := given(f.Proxies/f.Zones + digestMaxAgeS*far*roundsPerS)
	return CostItem{
		Name:            "digests and the view",
		StateBytes:      sent,
		MessagesInPerS:  messages,
		MessagesOutPerS: messages,
		BytesInPerS:     sent,
		BytesOutPerS:    sent,
		CPUMicrosPerS: f.PeersMicrosPerS.Scale(messages.Value / measuredPeerMessages).
			Plus(f.Estimate("view/merge", peers).Scale(messages.Value)),
		MemoryBytes: f.Estimate("view/memory", peers).Scale(zoneCaches / serversPerDigest).Times(assumed(1)),
	}
}

// probeCost is zero: a proxy probes a cache that it considers down with a client's request. ProberCost is the cost of probers.
func probeCost() CostItem { return CostItem{Name: "probes of caches: none of its own"} }
