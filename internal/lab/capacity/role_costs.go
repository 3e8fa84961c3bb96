package capacity

const (
	// maxMeasuredFollowers is the largest number of raft followers that was measured.
	maxMeasuredFollowers = 8
	// distributorBufferBytes is the memory that a distributor uses in addition to two snapshots.
	distributorBufferBytes = 4 << 20
	// logWriteMicros is the CPU time of writing an entry to the store's log.
	logWriteMicros = 100
	// probeStateBytes is the size of a prober's state for each cache.
	probeStateBytes = 64
	// Sizes of the discovery service's frames: a change of one server, and a heartbeat.
	discoveryChangeBytes    = 4 + 9 + 27
	discoveryHeartbeatBytes = 13
)

// subscribersPerDistributor is the mean number of subscribers of each of that many distributors.
func (f Fleet) subscribersPerDistributor(distributors float64) Figure {
	return given(f.Proxies / distributors)
}

// DistributorCost is the cost of each of that many distributors. A distributor sends every subscriber what a proxy receives.
func (f Fleet) DistributorCost(d Design, load Load, distributors float64) Cost {
	subscribers := f.subscribersPerDistributor(distributors)
	received := f.followCost(d, load)
	textBytes := f.textBytesPerS(d, load)
	snapshot := f.SnapshotBytes(d, load)
	return Cost{
		{
			Name:            "receive from a root",
			StateBytes:      snapshot,
			MessagesInPerS:  received.MessagesInPerS,
			MessagesOutPerS: received.MessagesOutPerS,
			BytesInPerS:     received.BytesInPerS.Plus(textBytes),
			BytesOutPerS:    received.BytesOutPerS,
			CPUMicrosPerS:   received.CPUMicrosPerS,
			MemoryBytes:     snapshot.Scale(2).Plus(assumed(distributorBufferBytes)),
		},
		f.sendCost("send to "+formatNumber(subscribers.Value)+" subscribers", received, textBytes, subscribers),
		f.snapshotCost(d, load, given(load.StartsPerS/distributors)),
	}
}

// textBytesPerS is the rate of bytes of revisions and lists that are sent to one subscriber.
func (f Fleet) textBytesPerS(d Design, load Load) Figure {
	return f.revisionCost(load).BytesInPerS.Plus(f.listCost(d, load).BytesInPerS)
}

// sendCost is the cost of sending that many subscribers what one subscriber receives.
func (f Fleet) sendCost(name string, received CostItem, textBytes, subscribers Figure) CostItem {
	return CostItem{
		Name:            name,
		MessagesInPerS:  received.MessagesOutPerS.Times(subscribers),
		MessagesOutPerS: received.MessagesInPerS.Times(subscribers),
		BytesInPerS:     received.BytesOutPerS.Times(subscribers),
		BytesOutPerS:    received.BytesInPerS.Plus(textBytes).Times(subscribers),
		CPUMicrosPerS:   received.MessagesInPerS.Times(subscribers).Times(f.SendMicros),
		MemoryBytes:     f.ConnectionMemory.Times(subscribers),
	}
}

// snapshotCost is the cost of the snapshots for processes that start.
func (f Fleet) snapshotCost(d Design, load Load, startsPerS Figure) CostItem {
	return CostItem{
		Name:            "snapshots for processes that start",
		MessagesOutPerS: startsPerS,
		BytesOutPerS:    f.SnapshotBytes(d, load).Times(startsPerS),
		CPUMicrosPerS:   f.Estimate("replica/snapshot-write", f.purgesInEffect(load.PurgesPerS)).Times(startsPerS),
	}
}

// SnapshotBytes is the size of the snapshot that a process receives when it starts.
func (f Fleet) SnapshotBytes(d Design, load Load) Figure {
	if d == DesignCurrent {
		return sum(f.purgeCost(d, load).StateBytes, f.resultCost(load).StateBytes, f.revisionCost(load).StateBytes, f.listCost(d, load).StateBytes)
	}
	return sum(f.EntryBytes.Times(f.purgesInEffect(load.PurgesPerS)), assumed(revisionBytes), f.listCost(d, load).StateBytes)
}

// LeaderCost is the cost of the store's leader. In DesignCurrent the leader replicates to every process and sends a snapshot to
// each that starts. In the other designs it replicates to the other voters, and is the root that sends entries to its share of the
// distributors.
func (f Fleet) LeaderCost(d Design, load Load) Cost {
	if d == DesignCurrent {
		return Cost{
			f.replicationCost(load, given(f.Proxies+voters-1)),
			f.storeStateCost(load),
			f.snapshotCost(d, load, given(load.StartsPerS)),
		}
	}
	distributors := given(f.Distributors() / voters)
	name := "send to " + formatNumber(distributors.Value) + " distributors"
	return Cost{
		f.replicationCost(load, given(voters-1)),
		f.storeStateCost(load),
		f.sendCost(name, f.followCost(d, load), f.textBytesPerS(d, load), distributors),
	}
}

// replicationCost is a raft leader's cost of replicating to that many followers.
func (f Fleet) replicationCost(load Load, followers Figure) CostItem {
	rate := load.PurgesPerS / raftPurgesPerS
	messages := followers.Scale(load.PurgesPerS)
	measured := Figure{Value: 1, Basis: Measured}
	if factor := followers.Value / maxMeasuredFollowers; factor > 1 {
		measured = extrapolated(1, factor)
	}
	perFollower := func(name string) Figure { return f.UnitCost(name).Times(followers).Times(measured) }
	return CostItem{
		Name:            "replicate to " + formatNumber(followers.Value) + " followers by raft",
		MessagesInPerS:  messages,
		MessagesOutPerS: messages,
		BytesInPerS:     perFollower("raft/follower-bytes").Scale(rate),
		BytesOutPerS:    perFollower("raft/leader-bytes").Scale(rate),
		CPUMicrosPerS:   perFollower("raft/processor").Scale(rate / 2).Times(assumed(1)),
	}
}

// storeStateCost is a store member's cost of applying entries, writing them to the log and storing their state.
func (f Fleet) storeStateCost(load Load) CostItem {
	applyMicros := f.Estimate("replica/purge-apply", f.purgesInEffect(load.PurgesPerS))
	return CostItem{
		Name:          "apply and write entries",
		StateBytes:    f.SnapshotBytes(DesignCurrent, load),
		CPUMicrosPerS: sum(applyMicros.Scale(load.PurgesPerS), assumed(logWriteMicros).Scale(load.PurgesPerS)),
		MemoryBytes: sum(f.purgeCost(DesignCurrent, load).MemoryBytes, f.resultCost(load).MemoryBytes,
			f.revisionCost(load).MemoryBytes, f.listCost(DesignCurrent, load).MemoryBytes),
	}
}

// ProberCost is the cost of probing each cache of a site once a second from one proxy. Such probes are not built.
func (f Fleet) ProberCost() Cost {
	caches := given(f.Caches / f.Sites)
	messages := caches.Times(assumed(1))
	return Cost{{
		Name:            "probe each cache of the site once a second",
		StateBytes:      assumed(probeStateBytes).Times(caches),
		MessagesInPerS:  messages,
		MessagesOutPerS: messages,
		BytesInPerS:     messages.Times(f.ProbeBytes),
		BytesOutPerS:    messages.Times(f.ProbeBytes),
		CPUMicrosPerS:   messages.Times(f.SendMicros.Plus(f.ReceiveMicros)),
		MemoryBytes:     f.ConnectionMemory.Times(caches),
	}}
}

// ListSourceCost is the cost of a discovery service that serves all processes: a complete list when a process starts, then changes
// and a heartbeat every second.
func (f Fleet) ListSourceCost(load Load) Cost {
	list := f.Estimate("lists/board", given(f.Caches))
	changes, heartbeats := given(load.ListChangesPerS*f.Proxies), given(f.Proxies)
	messages := changes.Plus(heartbeats)
	return Cost{
		{
			Name:            "the whole list, at the start of a process",
			StateBytes:      list,
			MessagesOutPerS: given(load.StartsPerS),
			BytesOutPerS:    list.Scale(load.StartsPerS),
		},
		{
			Name:            "changes, and a heartbeat each second, to 17,000",
			MessagesOutPerS: messages,
			BytesOutPerS: changes.Scale(discoveryChangeBytes).Plus(heartbeats.Scale(discoveryHeartbeatBytes)).
				Plus(messages.Times(f.PacketHeaderBytes)),
			CPUMicrosPerS: messages.Times(f.SendMicros),
			MemoryBytes:   f.ConnectionMemory.Scale(f.Proxies),
		},
	}
}

// ToolsCost is the cost, on an operator's machine, of requesting the table of servers from every proxy and the table of members
// from one proxy, once a second each.
func (f Fleet) ToolsCost() Cost {
	servers, members := f.Estimate("tools/servers", given(f.Caches)), f.Estimate("tools/members", given(f.Proxies))
	return Cost{
		{
			Name:            "the table of servers, from every proxy",
			StateBytes:      servers,
			MessagesInPerS:  given(f.Proxies),
			MessagesOutPerS: given(f.Proxies),
			BytesInPerS:     servers.Scale(f.Proxies),
		},
		{
			Name:            "the table of members, from one",
			StateBytes:      members,
			MessagesInPerS:  given(1),
			MessagesOutPerS: given(1),
			BytesInPerS:     members,
		},
	}
}
