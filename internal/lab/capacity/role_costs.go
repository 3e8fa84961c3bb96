package capacity

// Subscribers of one distributor, where so many stand.
func (f Fleet) subscribersPerDistributor(distributors float64) Figure {
	return given(f.Proxies / distributors)
}

// DistributorCost is what one of so many distributors spends: each subscriber gets what a proxy receives.
func (f Fleet) DistributorCost(d Design, l Load, distributors float64) Cost {
	n := f.subscribersPerDistributor(distributors)
	one := f.followCost(d, l)
	text := sum(f.revisionCost(l).BytesInPerS, f.listCost(d, l).BytesInPerS)
	starts := given(l.StartsPerS / distributors)
	snapshot := f.SnapshotBytes(d, l)
	return Cost{
		{Name: "hear a root", MessagesInPerS: one.MessagesInPerS, MessagesOutPerS: one.MessagesOutPerS, BytesInPerS: one.BytesInPerS.Plus(text), BytesOutPerS: one.BytesOutPerS,
			CPUMicrosPerS: one.CPUMicrosPerS, StateBytes: snapshot, MemoryBytes: snapshot.Scale(2).Plus(assumed(4 << 20))},
		{Name: "send to " + formatNumber(n.Value) + " subscribers", MessagesInPerS: one.MessagesOutPerS.Times(n), MessagesOutPerS: one.MessagesInPerS.Times(n),
			BytesInPerS: one.BytesOutPerS.Times(n), BytesOutPerS: one.BytesInPerS.Plus(text).Times(n), CPUMicrosPerS: one.MessagesInPerS.Times(n).Times(f.SendMicros),
			MemoryBytes: f.ConnectionMemory.Times(n)},
		{Name: "snapshots for those that start", MessagesOutPerS: starts, BytesOutPerS: snapshot.Times(starts),
			CPUMicrosPerS: f.Estimate("replica/snapshot-write", purgesInEffect(f.Assumptions, l.PurgesPerS)).Times(starts)},
	}
}

// Snapshot is what a process that starts asks for.
func (f Fleet) SnapshotBytes(d Design, l Load) Figure {
	n := purgesInEffect(f.Assumptions, l.PurgesPerS)
	if d == DesignCurrent {
		return sum(f.purgeCost(DesignCurrent, l).StateBytes, f.resultCost(l).StateBytes, f.revisionCost(l).StateBytes, f.listCost(d, l).StateBytes)
	}
	return sum(f.EntryBytes.Times(n), assumed(revisionBytes), f.listCost(d, l).StateBytes)
}

// LeaderCost is what the store's leader spends. AsIs it feeds every process; else the other voters, and its part of the
// distributors.
func (f Fleet) LeaderCost(d Design, l Load) Cost {
	share := l.PurgesPerS / raftPurgesPerS
	followers := given(voters - 1)
	if d == DesignCurrent {
		followers = given(f.Proxies + voters - 1)
	}
	beyond := followers.Value / 8 // the most that were measured
	feed := extrapolated(1, beyond)
	if beyond <= 1 {
		feed = Figure{Value: 1, Basis: Measured}
	}
	n := purgesInEffect(f.Assumptions, l.PurgesPerS)
	messages := followers.Scale(l.PurgesPerS)
	cost := Cost{
		{Name: "feed " + formatNumber(followers.Value) + " followers through raft", MessagesInPerS: messages, MessagesOutPerS: messages,
			BytesOutPerS:  f.UnitCost("raft/leader-bytes").Times(followers).Times(feed).Scale(share),
			BytesInPerS:   f.UnitCost("raft/follower-bytes").Times(followers).Times(feed).Scale(share),
			CPUMicrosPerS: f.UnitCost("raft/processor").Times(followers).Times(feed).Scale(share / 2).Times(assumed(1))},
		{Name: "take entries in, write them", CPUMicrosPerS: sum(f.Estimate("replica/purge-apply", n).Scale(l.PurgesPerS), assumed(100).Scale(l.PurgesPerS)),
			StateBytes: f.SnapshotBytes(DesignCurrent, l), MemoryBytes: sum(f.purgeCost(DesignCurrent, l).MemoryBytes, f.resultCost(l).MemoryBytes, f.revisionCost(l).MemoryBytes, f.listCost(DesignCurrent, l).MemoryBytes)},
	}
	snapshot := f.SnapshotBytes(DesignCurrent, l)
	if d == DesignCurrent {
		starts := given(l.StartsPerS)
		return append(cost, CostItem{Name: "snapshots for those that start", MessagesOutPerS: starts, BytesOutPerS: snapshot.Times(starts),
			CPUMicrosPerS: f.Estimate("replica/snapshot-write", n).Times(starts)})
	}
	one, roots := f.followCost(d, l), given(f.Distributors()/voters)
	return append(cost, CostItem{Name: "send to " + formatNumber(roots.Value) + " distributors", MessagesOutPerS: one.MessagesInPerS.Times(roots),
		MessagesInPerS: one.MessagesOutPerS.Times(roots), BytesOutPerS: sum(one.BytesInPerS, f.revisionCost(l).BytesInPerS, f.listCost(d, l).BytesInPerS).Times(roots),
		BytesInPerS: one.BytesOutPerS.Times(roots), CPUMicrosPerS: one.MessagesInPerS.Times(roots).Times(f.SendMicros), MemoryBytes: f.ConnectionMemory.Times(roots)})
}

// ProberCost is what one proxy of a site would spend that asks the site's caches each second: nothing of it is built.
func (f Fleet) ProberCost() Cost {
	caches := given(f.Caches / f.Sites)
	messages := caches.Times(assumed(1))
	return Cost{{Name: "ask each cache of the site once a second", MessagesInPerS: messages, MessagesOutPerS: messages,
		BytesInPerS: messages.Times(f.ProbeBytes), BytesOutPerS: messages.Times(f.ProbeBytes),
		CPUMicrosPerS: messages.Times(f.SendMicros.Plus(f.ReceiveMicros)), MemoryBytes: f.ConnectionMemory.Times(caches), StateBytes: assumed(64).Times(caches)}}
}

// ListSourceCost is what a notice board spends that tells every process the whole list at its start, and changes later.
func (f Fleet) ListSourceCost(l Load) Cost {
	whole := f.Estimate("lists/board", given(f.Caches))
	const change = 4 + 9 + 27 // a frame with one record, as the wire has it
	changes := given(l.ListChangesPerS * f.Proxies)
	beats := given(f.Proxies)
	return Cost{
		{Name: "the whole list, at a start", StateBytes: whole, MessagesOutPerS: given(l.StartsPerS), BytesOutPerS: whole.Scale(l.StartsPerS)},
		{Name: "changes, and a beat each second, to 17,000", MessagesOutPerS: changes.Plus(beats),
			BytesOutPerS:  changes.Scale(change).Plus(beats.Scale(13)).Plus(changes.Plus(beats).Times(f.PacketHeaderBytes)),
			CPUMicrosPerS: changes.Plus(beats).Times(f.SendMicros), MemoryBytes: f.ConnectionMemory.Scale(f.Proxies)},
	}
}

// ToolsCost is what one question to every proxy brings an operator's machine.
func (f Fleet) ToolsCost() Cost {
	servers := f.Estimate("tools/servers", given(f.Caches))
	members := f.Estimate("tools/members", given(f.Proxies))
	return Cost{
		{Name: "the table of servers, from every proxy", StateBytes: servers, MessagesOutPerS: given(f.Proxies), MessagesInPerS: given(f.Proxies), BytesInPerS: servers.Scale(f.Proxies)},
		{Name: "the table of members, from one", StateBytes: members, MessagesOutPerS: given(1), MessagesInPerS: given(1), BytesInPerS: members},
	}
}
