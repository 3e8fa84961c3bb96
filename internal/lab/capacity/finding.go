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

func count(f Figure) string { return f.String() }

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
				"past the bound strict classes hold (Gate, being built); FailoverOver and SilentFor shorter, or two subscriptions a process")
		}
	}
	m.boundFindings(&over)
	return over
}

func (m Fleet) proxyFindings(over *findings) {
	for _, d := range Designs {
		for _, s := range m.Situations() {
			name := fmt.Sprintf("a proxy, %s, %s: ", d, s.Name)
			total := m.Proxy(d, s.Load).Sum()
			over.check(name+"bytes", m.ProxyBytes(s, d), m.ProxyBytesPerS, Figure.Rate, m.largest(d, s.Load))
			over.check(name+"processor", total.Processor, m.ProxyCore*1e6, Figure.Core, "")
			over.check(name+"memory", total.Memory, m.ProxyMemory, Figure.Bytes, "")
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
	for _, s := range m.Situations()[:3] {
		for _, d := range Designs {
			leader := m.LeaderCost(d, s.Load).Sum()
			name := fmt.Sprintf("the store's leader, %s, %s: ", d, s.Name)
			over.check(name+"processor", leader.Processor, m.MachineCores.Value*1e6, Figure.Core, "distributors in between (being built)")
			over.check(name+"bytes sent", leader.BytesOut, m.MachineBytesPerS.Value, Figure.Rate, "distributors in between (being built)")
		}
		for _, d := range Designs[1:] {
			one := m.DistributorCost(d, s.Load, s.Distributors).Sum()
			name := fmt.Sprintf("a distributor, %s, %s: ", d, s.Name)
			over.check(name+"processor", one.Processor, m.MachineCores.Value*1e6, Figure.Core, "")
			over.check(name+"bytes sent", one.BytesOut, m.MachineBytesPerS.Value, Figure.Rate, "")
		}
	}
	tools := m.ToolsCost().Sum()
	over.check("one question of a tool to every proxy: bytes", tools.BytesIn, 1e9, Figure.Bytes, "tools ask distributors for sums, missing")
	over.check("regions that can have two distributors each", given(2*m.Regions+voters), m.Machines, count,
		"42 machines give 27 of 32 regions one distributor; their processes move to another region when it is lost")
}

func (m Fleet) boundFindings(over *findings) {
	usual, burst := m.Ordinary(), m.Situations()[1].Load
	over.check("members that one process can hear (peers.mostSenders): further ones are dropped", given(m.Proxies), mostSendersKnown, count,
		"membership within a region, missing")
	over.check("a whole list as one entry (distribution.MostEntry)", m.At("replica/list-entry", given(m.Caches)), mostEntryBytes, Figure.Bytes,
		"lists as changes, or by region, missing")
	over.check("purges while two regions are apart, against what a distributor keeps to resume from", given(usual.Purges*m.ApartMs/1000), backlogEntries, count,
		"a snapshot in their place, being built: it is smaller")
	over.check("results of changes in 10 minutes of a burst (replica.mostDone)", given(burst.Purges*resultsFor), mostResults, count,
		"a change that comes again after 75 s counts twice; purges need no result, as they are idempotent: missing")
	over.check("revisions of a day, against those kept for a rollback (replica.mostHistory)", given(usual.Revisions*day), mostRevisions, count,
		"100 last for 18 minutes at this rate; keep those of a week, missing")
	over.check("an election at worst, against the time after which the store gives a change up (ms)",
		assumed(raftNotices+raftElects).Plus(m.RegionTrip.By(2)), storeGivesUp, Figure.Milliseconds, "who purges must ask again; a longer time-out")
	over.check("neighbours needed to take a lost distributor's processes in time", m.Failover(), 1, count,
		"candidates drawn over at least so many: to be checked in decide/distribution")
	over.check("purges held in a burst, against the module's memory of them (policy.memorySize)", held(m.Assumptions, burst.Purges), mostPurgesHeld, count, "")
}
