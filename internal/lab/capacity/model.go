package capacity

import "math"

// Design is a way in which control reaches the processes.
type Design int

// The designs. AsIs: every process follows the store as a raft member without a vote, lists are told whole, membership is
// flat. Tree: purges, revisions, lists and drains come through distributors (decide/distribution), the rest as it is. Lean:
// Tree with what this page proposes: frames each 100 ms, purges that don't look through all others, lists as changes within
// a region, members and digests within one.
const (
	AsIs Design = iota
	Tree
	Lean
)

var designNames = [...]string{"as it is", "distribution", "proposed"}

// String names the design as the page does.
func (d Design) String() string { return designNames[d] }

// Designs are all of them.
var Designs = []Design{AsIs, Tree, Lean}

// Load is what the whole fleet meets, a second.
type Load struct {
	Purges, Revisions, ListChanges, Starts float64
}

// Ordinary is the load of a minute of an ordinary day. Each machine that fails or is replaced goes and comes, which are
// two changes of a list if it is a cache; the other changes of the day are taken for revisions.
func (t Target) Ordinary() Load {
	turned, all := t.FailPerDay+t.ReplacedPerDay, t.Proxies+t.Caches+t.Machines
	lists := 2 * turned * t.Caches / all / day
	return Load{Purges: t.PurgesPerS, ListChanges: lists, Revisions: t.ConfigPerDay/day - lists, Starts: turned * t.Proxies / all / day}
}

// Line is one thing that a role spends on: what it holds, and what it sends, receives and computes each second.
type Line struct {
	What                    string
	State                   Figure // bytes, encoded
	MessagesIn, MessagesOut Figure
	BytesIn, BytesOut       Figure
	Processor               Figure // us
	Memory                  Figure // bytes
}

// Bytes are those of both ways.
func (l Line) Bytes() Figure { return l.BytesIn.Plus(l.BytesOut) }

// Cost is all that a role spends.
type Cost []Line

// Sum is the total of a cost.
func (c Cost) Sum() Line {
	total := Line{What: "together"}
	for _, l := range c {
		total.State = total.State.Plus(l.State)
		total.MessagesIn, total.MessagesOut = total.MessagesIn.Plus(l.MessagesIn), total.MessagesOut.Plus(l.MessagesOut)
		total.BytesIn, total.BytesOut = total.BytesIn.Plus(l.BytesIn), total.BytesOut.Plus(l.BytesOut)
		total.Processor, total.Memory = total.Processor.Plus(l.Processor), total.Memory.Plus(l.Memory)
	}
	return total
}

// Fleet is a target, what is taken for granted, and what was measured.
type Fleet struct {
	Target
	Assumptions
	Book
}

// voters of the store, on machines of their own; the other control machines are distributors.
const voters = 5

// Bounds of the program that the formulas meet. They are copies of unexported constants, held to them by no test: the
// page names where each stands.
const (
	resultsFor, mostResults = 600.0, 65_536 // replica: s, results
	mostRevisions           = 100           // replica
	trailingLog             = 10_240        // raft's default
	maxSendersKnown         = 8192          // peers
	mostPurgesHeld          = 16_384        // policy
	mostEntryBytes          = 96 << 10      // distribution
	backlogEntries          = 1 << 14       // distribution
	shieldPerS              = 20.0          // distribution: to the origin, a process
	digestsNear, digestsFar = 16.0, 2.0     // peers, each second
	probeEveryS             = 0.7           // peers
	joinsEarly              = 3.0           // peers: whole states that a start asks for
	mostSubscribers         = 512           // distribution
	distributorProxies      = 75            // distribution: processes of one distributor that its settings reckon with
	gossipTimes             = 4.0           // peers: retransmissions, times the decades of the fleet's size
)

// Distributors are the control machines that are none of the store's voters.
func (m Fleet) Distributors() float64 { return m.Machines - voters }

// frames a second that hold a purge, when one is sent at most so often.
func frames(purgesPerS float64, every Figure) Figure {
	rate := 1000 / every.Value
	return every.with(rate*(1-math.Exp(-purgesPerS/rate)), every)
}

// listServers is how many servers one process's list has.
func (m Fleet) listServers(d Design) Figure {
	if d == Lean {
		return given(m.Caches / m.Regions)
	}
	return given(m.Caches)
}

// Proxy is what control costs one steering proxy.
func (m Fleet) Proxy(d Design, l Load) Cost {
	cost := Cost{m.follow(d, l), m.purges(d, l)}
	if d == AsIs {
		cost = append(cost, m.results(l))
	}
	cost = append(cost, m.revisions(l), m.lists(d, l), m.members(d, l), m.digests(d), m.probing())
	live := cost.Sum().Memory
	return append(cost,
		Line{What: "room for the collector, as much as lives", Memory: assumed(live.Value).with(live.Value, live)},
		Line{What: "the process beside these", Memory: m.ProcessMemory})
}

// follow is the way by which entries come. AsIs: raft's, with what its own messages take; a follower is taken to bear
// half of the processor that leader and follower use together.
func (m Fleet) follow(d Design, l Load) Line {
	share := l.Purges / raftRate
	if d == AsIs {
		heads := m.PacketHead.Plus(m.RecordHead)
		messages := given(l.Purges)
		return Line{
			What: "follow the store through raft", MessagesIn: messages, MessagesOut: messages,
			BytesIn:   m.Each("raft/leader-bytes").By(share).Plus(heads.Times(messages)),
			BytesOut:  m.Each("raft/follower-bytes").By(share).Plus(heads.Times(messages)),
			Processor: m.Each("raft/processor").By(share / 2).Times(assumed(1)),
			State:     m.At("replica/purge-entry", given(nameBytes)).By(trailingLog),
			Memory:    m.At("replica/purge-entry", given(nameBytes)).By(trailingLog).Times(assumed(1)),
		}
	}
	every := m.FrameMs
	if d == Lean {
		every = m.SmallFrameMs
	}
	n := frames(l.Purges, every).Plus(assumed(2)) // two streams with a heartbeat each second or oftener
	return Line{
		What: "subscribe at a distributor", MessagesIn: n, MessagesOut: n.By(0.5),
		BytesIn:   m.EntryBytes.By(l.Purges).Plus(n.Times(sum(m.FrameBytes, m.PacketHead, m.RecordHead))),
		BytesOut:  n.By(0.5).Times(m.PacketHead), // every second packet is acknowledged
		Processor: n.Times(m.ReceiveCost), Memory: m.Connection,
	}
}

// purges are those that bind, in the store's state, the module and the journal. As proposed, a purge does not look through
// all others: it then costs what it was measured to cost with few held.
func (m Fleet) purges(d Design, l Load) Line {
	n := held(m.Assumptions, l.Purges)
	looked := n
	if d == Lean {
		looked = assumed(fewHeld)
	}
	each := sum(m.At("replica/purge-apply", looked), m.At("policy/purge", n), m.At("journal/purge", n))
	return Line{
		What: "take purges in, hold them", State: m.At("replica/purge-snapshot", n),
		Processor: each.By(l.Purges),
		Memory:    sum(m.At("replica/purge-memory", n), m.At("policy/purge-memory", n), m.At("journal/memory", n)),
	}
}

// results of changes are kept for ten minutes, so that one that comes again counts once.
func (m Fleet) results(l Load) Line {
	n := given(min(mostResults, resultsFor*(l.Purges+l.Revisions+l.ListChanges)))
	return Line{What: "hold the results of changes", State: m.At("replica/results-snapshot", n), Memory: m.At("replica/results-memory", n)}
}

func (m Fleet) revisions(l Load) Line {
	kept := given(mostRevisions)
	return Line{
		What: "revisions of the configuration", State: m.At("replica/revision-snapshot", kept), Memory: m.At("replica/revision-memory", kept),
		MessagesIn: given(l.Revisions), BytesIn: assumed(revisionBytes + 200).By(l.Revisions),
	}
}

// lists of servers. Whole: a change of one server brings the list, which is compared and written to the journal.
func (m Fleet) lists(d Design, l Load) Line {
	n := m.listServers(d)
	memory := sum(m.At("replica/list-memory", n), m.At("ledger/memory", n), m.At("policy/memory", n))
	line := Line{What: "lists of servers, told whole", State: m.At("replica/list-entry", n), Memory: memory, MessagesIn: given(l.ListChanges)}
	if d == Lean {
		rate := l.ListChanges / m.Regions
		line.What, line.MessagesIn = "changes of servers of its region", given(rate)
		line.BytesIn = m.Each("replica/list-entry").Plus(assumed(100)).By(rate)
		line.Processor = sum(m.At("ledger/change", n), m.At("policy/change", n)).By(rate)
		return line
	}
	line.BytesIn = m.At("replica/list-entry", n).By(l.ListChanges)
	line.Processor = sum(m.At("replica/list-apply", n), m.At("ledger/list", n), m.At("policy/change", n)).By(l.ListChanges)
	return line
}

// memberCount is how many processes one knows.
func (m Fleet) memberCount(d Design) float64 {
	if d == Lean {
		return math.Ceil(m.Proxies / m.Regions)
	}
	return m.Proxies
}

// fewHeld is the least number of purges held that was measured.
const fewHeld = 100

// repeats is how often each member tells a piece of news on.
func repeats(members float64) float64 { return gossipTimes * math.Ceil(math.Log10(members+1)) }

// gone is what a member sends and receives as so many others go at once, a second over a minute.
func (m Fleet) gone(d Design, members float64) Figure {
	n := m.memberCount(d)
	return m.Each("membership/whole-state").By(2 * members * repeats(n) / minute).Times(assumed(1))
}

// members is SWIM's part: probes, news, and whole states exchanged at intervals that memberlist stretches with the size.
func (m Fleet) members(d Design, l Load) Line {
	n := m.memberCount(d)
	whole := m.At("membership/whole-state", given(n))
	each := m.Each("membership/whole-state")
	news := 2 * l.Starts * n / m.Proxies * repeats(n)
	every := 60 * (math.Ceil(math.Log2(n)-5) + 1) // s
	// A start asks for the whole state three times, and others are asked by those that start.
	wholes := 2/every + 2*joinsEarly*l.Starts/m.Proxies
	probes := assumed(2 / probeEveryS)
	oneWay := sum(probes.Times(m.ProbeBytes), each.By(news).Times(assumed(1)), whole.By(wholes))
	messages := probes.Plus(assumed(news))
	return Line{
		What: "membership of " + number(n), State: whole, MessagesIn: messages, MessagesOut: messages, BytesIn: oneWay, BytesOut: oneWay,
		Processor: messages.Times(m.SendCost.Plus(m.ReceiveCost)), Memory: m.MemberMemory.By(n),
	}
}

// digests: near ones tell what has changed of a zone's caches, far ones all of them.
func (m Fleet) digests(d Design) Line {
	near, far, perS := digestsNear, digestsFar, 1.0
	if d == Lean {
		near, far, perS = 4, 1, 0.5
	}
	caches := given(m.Caches / m.Zones)
	envelope := m.ProbeBytes
	told := m.At("view/digest", caches.Times(m.DigestPart)).Plus(envelope)
	whole := m.At("view/digest", caches).Plus(envelope.By(6)) // entries of six versions, a datagram each
	sent := told.By(near * perS).Plus(whole.By(far * perS))
	messages := assumed((near + 6*far) * perS)
	heard := given(m.Proxies/m.Zones + 15*far*perS) // what is older than 15 s is dropped
	memory := m.At("view/memory", heard).By(m.Caches / m.Zones / toldServers).Times(assumed(1))
	return Line{
		What: "digests and the view", State: sent, MessagesIn: messages, MessagesOut: messages, BytesIn: sent, BytesOut: sent,
		Processor: m.PeersCore.By(messages.Value / 18).Plus(m.At("view/merge", heard).By(messages.Value)), Memory: memory,
	}
}

// probing is what the program does today: a proxy tries a cache that it holds for down each 5 s by a request's own attempt,
// so that nothing is sent for it. Probers of their own are counted apart.
func (m Fleet) probing() Line { return Line{What: "probes of caches: none of its own"} }
