package capacity

// Subscribers of one distributor, where so many stand.
func (m Fleet) subscribers(distributors float64) Figure { return given(m.Proxies / distributors) }

// DistributorCost is what one of so many distributors spends: each subscriber gets what a proxy receives.
func (m Fleet) DistributorCost(d Design, l Load, distributors float64) Cost {
	n := m.subscribers(distributors)
	one := m.follow(d, l)
	text := sum(m.revisions(l).BytesIn, m.lists(d, l).BytesIn)
	starts := given(l.Starts / distributors)
	snapshot := m.Snapshot(d, l)
	return Cost{
		{What: "hear a root", MessagesIn: one.MessagesIn, MessagesOut: one.MessagesOut, BytesIn: one.BytesIn.Plus(text), BytesOut: one.BytesOut,
			Processor: one.Processor, State: snapshot, Memory: snapshot.By(2).Plus(assumed(4 << 20))},
		{What: "send to " + number(n.Value) + " subscribers", MessagesIn: one.MessagesOut.Times(n), MessagesOut: one.MessagesIn.Times(n),
			BytesIn: one.BytesOut.Times(n), BytesOut: one.BytesIn.Plus(text).Times(n), Processor: one.MessagesIn.Times(n).Times(m.SendCost),
			Memory: m.Connection.Times(n)},
		{What: "snapshots for those that start", MessagesOut: starts, BytesOut: snapshot.Times(starts),
			Processor: m.At("replica/snapshot-write", held(m.Assumptions, l.Purges)).Times(starts)},
	}
}

// Snapshot is what a process that starts asks for.
func (m Fleet) Snapshot(d Design, l Load) Figure {
	n := held(m.Assumptions, l.Purges)
	if d == AsIs {
		return sum(m.purges(AsIs, l).State, m.results(l).State, m.revisions(l).State, m.lists(d, l).State)
	}
	return sum(m.EntryBytes.Times(n), assumed(revisionBytes), m.lists(d, l).State)
}

// LeaderCost is what the store's leader spends. AsIs it feeds every process; else the other voters, and its part of the
// distributors.
func (m Fleet) LeaderCost(d Design, l Load) Cost {
	share := l.Purges / raftRate
	followers := given(voters - 1)
	if d == AsIs {
		followers = given(m.Proxies + voters - 1)
	}
	beyond := followers.Value / 8 // the most that were measured
	feed := stretched(1, beyond)
	if beyond <= 1 {
		feed = Figure{Value: 1, Mark: Measured}
	}
	n := held(m.Assumptions, l.Purges)
	messages := followers.By(l.Purges)
	cost := Cost{
		{What: "feed " + number(followers.Value) + " followers through raft", MessagesIn: messages, MessagesOut: messages,
			BytesOut:  m.Each("raft/leader-bytes").Times(followers).Times(feed).By(share),
			BytesIn:   m.Each("raft/follower-bytes").Times(followers).Times(feed).By(share),
			Processor: m.Each("raft/processor").Times(followers).Times(feed).By(share / 2).Times(assumed(1))},
		{What: "take entries in, write them", Processor: sum(m.At("replica/purge-apply", n).By(l.Purges), assumed(100).By(l.Purges)),
			State: m.Snapshot(AsIs, l), Memory: sum(m.purges(AsIs, l).Memory, m.results(l).Memory, m.revisions(l).Memory, m.lists(AsIs, l).Memory)},
	}
	snapshot := m.Snapshot(AsIs, l)
	if d == AsIs {
		starts := given(l.Starts)
		return append(cost, Line{What: "snapshots for those that start", MessagesOut: starts, BytesOut: snapshot.Times(starts),
			Processor: m.At("replica/snapshot-write", n).Times(starts)})
	}
	one, roots := m.follow(d, l), given(m.Distributors()/voters)
	return append(cost, Line{What: "send to " + number(roots.Value) + " distributors", MessagesOut: one.MessagesIn.Times(roots),
		MessagesIn: one.MessagesOut.Times(roots), BytesOut: sum(one.BytesIn, m.revisions(l).BytesIn, m.lists(d, l).BytesIn).Times(roots),
		BytesIn: one.BytesOut.Times(roots), Processor: one.MessagesIn.Times(roots).Times(m.SendCost), Memory: m.Connection.Times(roots)})
}

// ProberCost is what one proxy of a site would spend that asks the site's caches each second: nothing of it is built.
func (m Fleet) ProberCost() Cost {
	caches := given(m.Caches / m.Sites)
	messages := caches.Times(assumed(1))
	return Cost{{What: "ask each cache of the site once a second", MessagesIn: messages, MessagesOut: messages,
		BytesIn: messages.Times(m.ProbeBytes), BytesOut: messages.Times(m.ProbeBytes),
		Processor: messages.Times(m.SendCost.Plus(m.ReceiveCost)), Memory: m.Connection.Times(caches), State: assumed(64).Times(caches)}}
}

// ListSourceCost is what a notice board spends that tells every process the whole list at its start, and changes later.
func (m Fleet) ListSourceCost(l Load) Cost {
	whole := m.At("lists/board", given(m.Caches))
	const change = 4 + 9 + 27 // a frame with one record, as the wire has it
	changes := given(l.ListChanges * m.Proxies)
	beats := given(m.Proxies)
	return Cost{
		{What: "the whole list, at a start", State: whole, MessagesOut: given(l.Starts), BytesOut: whole.By(l.Starts)},
		{What: "changes, and a beat each second, to 17,000", MessagesOut: changes.Plus(beats),
			BytesOut:  changes.By(change).Plus(beats.By(13)).Plus(changes.Plus(beats).Times(m.PacketHead)),
			Processor: changes.Plus(beats).Times(m.SendCost), Memory: m.Connection.By(m.Proxies)},
	}
}

// ToolsCost is what one question to every proxy brings an operator's machine.
func (m Fleet) ToolsCost() Cost {
	servers := m.At("tools/servers", given(m.Caches))
	members := m.At("tools/members", given(m.Proxies))
	return Cost{
		{What: "the table of servers, from every proxy", State: servers, MessagesOut: given(m.Proxies), MessagesIn: given(m.Proxies), BytesIn: servers.By(m.Proxies)},
		{What: "the table of members, from one", State: members, MessagesOut: given(1), MessagesIn: given(1), BytesIn: members},
	}
}
