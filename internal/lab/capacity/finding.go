package capacity

import "fmt"

// Finding is something that is over a budget or a bound.
type Finding struct {
	What      string
	Is, Limit string
	Times     float64
	Mends     string
}

// findings gathers what is over.
type findings []Finding

func (f *findings) check(what string, is Figure, limit float64, text func(Figure) string, mends string) {
	if is.Value <= limit {
		return
	}
	*f = append(*f, Finding{what, text(is), text(given(limit)), is.Value / limit, mends})
}

func count(f Figure) string { return f.as(whole(f.Value)) }

// Findings are all that is over, in the order of the page: a proxy's budgets, the control machines', the times, the
// program's own bounds.
func (m Fleet) Findings() []Finding {
	var over findings
	m.proxyFindings(&over)
	m.machineFindings(&over)
	for _, way := range m.Ways() {
		over.check(way.What, way.Takes(), way.Within, Figure.Milliseconds, "")
		for _, fault := range way.Faults {
			over.check(fmt.Sprintf("%s: %s", way.What, fault.What), way.Takes().Plus(fault.Adds()), way.Within, Figure.Milliseconds,
				"past the bound strict classes hold (FreshnessGate, built here; the request path does not ask it yet); FailoverSpread and SilenceTimeout shorter, or two subscriptions a process")
		}
	}
	m.boundFindings(&over)
	return over
}

// budget is one of a proxy's, and how its spending is worked out.
type budget struct {
	name string
	of   float64
	text func(Figure) string
	get  func(Situation, Design) Figure
}

// budgets are those of a proxy.
func (m Fleet) budgets() []budget {
	return []budget{
		{"bytes, of 17 KB/s", m.ProxyBytesPerS, Figure.Rate, m.ProxyBytes},
		{"processor, of 1.6 % of a core", m.ProxyCore * 1e6, Figure.Core, func(s Situation, d Design) Figure { return m.Proxy(d, s.Load).Sum().Processor }},
		{"memory, of 256 MB", m.ProxyMemory, Figure.Bytes, func(s Situation, d Design) Figure { return m.Proxy(d, s.Load).Sum().Memory }},
	}
}

// mends are what brings a design's bytes down.
var mends = [...]string{
	AsIs: "distributors in place of raft to every process (built here)",
	Tree: "members and digests of one region, lists as changes (missing)",
	Lean: "of a minute's burst nothing here: 870 purges a second are 34.8 KB/s by themselves",
}

// proxyFindings names, for each design and budget, the ordinary minute and the worst situation where they are over.
func (m Fleet) proxyFindings(over *findings) {
	situations := m.Situations()
	for _, d := range Designs {
		for _, b := range m.budgets() {
			worst := situations[0]
			for _, s := range situations {
				if b.get(s, d).Value > b.get(worst, d).Value {
					worst = s
				}
			}
			mend := mends[d]
			if b.text(given(1e6)) == Figure.Core(given(1e6)) {
				mend = "a purge that does not look through all others (decide/storestate, built here)"
			}
			name := fmt.Sprintf("a proxy's %s, %s: ", b.name, d)
			over.check(name+situations[0].Name, b.get(situations[0], d), b.of, b.text, m.largest(d, situations[0].Load)+"; "+mend)
			if worst.Name != situations[0].Name {
				over.check(name+"at worst, "+worst.Name, b.get(worst, d), b.of, b.text, mend)
			}
		}
	}
}

// largest names the line that takes most bytes.
func (m Fleet) largest(d Design, l Load) string {
	best := Line{}
	for _, line := range m.Proxy(d, l) {
		if line.Bytes().Value > best.Bytes().Value {
			best = line
		}
	}
	return "most of it: " + best.What
}

func (m Fleet) machineFindings(over *findings) {
	const between = "distributors in between (built here)"
	for _, s := range m.Situations()[:2] {
		for _, d := range Designs {
			leader := m.LeaderCost(d, s.Load).Sum()
			name := fmt.Sprintf("the store's leader, %s, %s: ", d, s.Name)
			over.check(name+"processor", leader.Processor, m.MachineCores.Value*1e6, Figure.Core, between)
			over.check(name+"bytes sent", leader.BytesOut, m.MachineBytesPerS.Value, Figure.Rate, between)
		}
		for _, d := range Designs[1:] {
			one := m.DistributorCost(d, s.Load, s.Distributors).Sum()
			name := fmt.Sprintf("a distributor, %s, %s: ", d, s.Name)
			over.check(name+"processor", one.Processor, m.MachineCores.Value*1e6, Figure.Core, "")
			over.check(name+"bytes sent", one.BytesOut, m.MachineBytesPerS.Value, Figure.Rate, "")
		}
	}
	bulk := m.At("replica/list-entry", given(m.Caches)).By(m.Proxies).Over(m.MachineBytesPerS).By(1000)
	over.check("a list of 6,000 servers to every process from one leader, as it is", bulk, m.ConfigWithinMs, Figure.Milliseconds, between)
	l := m.Ordinary()
	relays := m.follow(Tree, l).BytesIn.By(distributorProxies)
	over.check("a proxy that is a distributor for 75 others: bytes sent for them", relays, m.ProxyBytesPerS, Figure.Rate,
		"distributors on the control machines alone")
	tools := m.ToolsCost().Sum()
	over.check("one question of a tool to every proxy, a second on 1 Gbit/s", tools.BytesIn, m.MachineBytesPerS.Value, Figure.Rate, "tools ask distributors for sums, missing")
	over.check("control machines for two distributors in each region and five voters", given(2*m.Regions+voters), m.Machines, count,
		"none: 27 of 32 regions have one, whose processes move out of the region when it is lost")
}

func (m Fleet) boundFindings(over *findings) {
	usual, burst := m.Ordinary(), m.Situations()[1].Load
	over.check("members that one process can hear (peers.maxSenders): further ones are dropped", given(m.Proxies), maxSendersKnown, count,
		"membership within a region, missing")
	over.check("a whole list as one entry (distribution.MaxEntry)", m.At("replica/list-entry", given(m.Caches)), mostEntryBytes, Figure.Bytes,
		"lists as changes, or by region, missing")
	over.check("purges while two regions are apart, against what a distributor keeps to resume from", given(usual.Purges*m.ApartMs/1000), backlogEntries, count,
		"a snapshot in their place, built here: it is smaller")
	over.check("results of changes in 10 minutes of a burst (replica.mostDone)", given(burst.Purges*resultsFor), mostResults, count,
		fmt.Sprintf("a change that comes again after %s s counts twice; purges need no result, as they are idempotent: missing", number(mostResults/burst.Purges)))
	over.check("revisions of a day, against those kept for a rollback (replica.mostHistory)", given(usual.Revisions*day), mostRevisions, count,
		fmt.Sprintf("100 last for %s minutes at this rate; keep those of a week, missing", number(mostRevisions/usual.Revisions/minute)))
	over.check("an election at worst, against the time after which the store gives a change up (ms)",
		assumed(raftNotices+raftElects).Plus(m.RegionTrip.By(2)), storeGivesUp, Figure.Milliseconds, "who purges must ask again; a longer time-out")
	over.check("processes of a region with one distributor (distribution.MaxSubscribers, while no demand is told)", given(m.Proxies/m.Regions), mostSubscribers, count,
		"a higher bound: a distributor of 531 is far from busy here")
	over.check("purges held in a burst, against the module's memory of them (policy.memorySize)", held(m.Assumptions, burst.Purges), mostPurgesHeld, count, "")
}
