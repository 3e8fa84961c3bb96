package capacity

import "fmt"

// Finding is something that is over a budget or a bound.
type Finding struct {
	Subject      string
	Value, Limit string
	Ratio        float64
	Remedy       string
}

// findings gathers what is over.
type findings []Finding

func (f *findings) add(what string, is Figure, limit float64, text func(Figure) string, mends string) {
	if is.Value <= limit {
		return
	}
	*f = append(*f, Finding{what, text(is), text(given(limit)), is.Value / limit, mends})
}

func formatCount(f Figure) string { return f.withBasis(formatWhole(f.Value)) }

// Findings are all that is over, in the order of the page: a proxy's budgets, the control machines', the times, the
// program's own bounds.
func (f Fleet) Findings() []Finding {
	var over findings
	f.addProxyFindings(&over)
	f.addMachineFindings(&over)
	for _, way := range f.Paths() {
		over.add(way.Name, way.Total(), way.WithinMs, Figure.FormatMilliseconds, "")
		for _, fault := range way.Faults {
			over.add(fmt.Sprintf("%s: %s", way.Name, fault.Name), way.Total().Plus(fault.Total()), way.WithinMs, Figure.FormatMilliseconds,
				"past the bound strict classes hold (FreshnessGate, built here; the request path does not ask it yet); FailoverSpread and SilenceTimeout shorter, or two subscriptions a process")
		}
	}
	f.addBoundFindings(&over)
	return over
}

// budget is one of a proxy's, and how its spending is worked out.
type budget struct {
	name   string
	limit  float64
	format func(Figure) string
	spent  func(Situation, Design) Figure
}

// budgets are those of a proxy.
func (f Fleet) budgets() []budget {
	return []budget{
		{"bytes, of 17 KB/s", f.ProxyBytesPerS, Figure.FormatRate, f.SituationBytesPerS},
		{"processor, of 1.6 % of a core", f.ProxyCores * 1e6, Figure.FormatCPU, func(s Situation, d Design) Figure { return f.ProxyCost(d, s.Load).Total().CPUMicrosPerS }},
		{"memory, of 256 MB", f.ProxyMemoryBytes, Figure.FormatBytes, func(s Situation, d Design) Figure { return f.ProxyCost(d, s.Load).Total().MemoryBytes }},
	}
}

// mends are what brings a design's bytes down.
var remedies = [...]string{
	DesignCurrent:      "distributors in place of raft to every process (built here)",
	DesignDistribution: "members and digests of one region, lists as changes (missing)",
	DesignProposed:     "of a minute's burst nothing here: 870 purges a second are 34.8 KB/s by themselves",
}

// proxyFindings names, for each design and budget, the ordinary minute and the worst situation where they are over.
func (f Fleet) addProxyFindings(over *findings) {
	situations := f.Situations()
	for _, d := range Designs {
		for _, b := range f.budgets() {
			worst := situations[0]
			for _, s := range situations {
				if b.spent(s, d).Value > b.spent(worst, d).Value {
					worst = s
				}
			}
			mend := remedies[d]
			if b.format(given(1e6)) == Figure.FormatCPU(given(1e6)) {
				mend = "a purge that does not look through all others (decide/storestate, built here)"
			}
			name := fmt.Sprintf("a proxy's %s, %s: ", b.name, d)
			over.add(name+situations[0].Name, b.spent(situations[0], d), b.limit, b.format, f.largestItem(d, situations[0].Load)+"; "+mend)
			if worst.Name != situations[0].Name {
				over.add(name+"at worst, "+worst.Name, b.spent(worst, d), b.limit, b.format, mend)
			}
		}
	}
}

// largest names the line that takes most bytes.
func (f Fleet) largestItem(d Design, l Load) string {
	best := CostItem{}
	for _, line := range f.ProxyCost(d, l) {
		if line.BytesPerS().Value > best.BytesPerS().Value {
			best = line
		}
	}
	return "most of it: " + best.Name
}

func (f Fleet) addMachineFindings(over *findings) {
	const between = "distributors in between (built here)"
	for _, s := range f.Situations()[:2] {
		for _, d := range Designs {
			leader := f.LeaderCost(d, s.Load).Total()
			name := fmt.Sprintf("the store's leader, %s, %s: ", d, s.Name)
			over.add(name+"processor", leader.CPUMicrosPerS, f.MachineCores.Value*1e6, Figure.FormatCPU, between)
			over.add(name+"bytes sent", leader.BytesOutPerS, f.MachineBytesPerS.Value, Figure.FormatRate, between)
		}
		for _, d := range Designs[1:] {
			one := f.DistributorCost(d, s.Load, s.Distributors).Total()
			name := fmt.Sprintf("a distributor, %s, %s: ", d, s.Name)
			over.add(name+"processor", one.CPUMicrosPerS, f.MachineCores.Value*1e6, Figure.FormatCPU, "")
			over.add(name+"bytes sent", one.BytesOutPerS, f.MachineBytesPerS.Value, Figure.FormatRate, "")
		}
	}
	bulk := f.Estimate("replica/list-entry", given(f.Caches)).Scale(f.Proxies).DividedBy(f.MachineBytesPerS).Scale(1000)
	over.add("a list of 6,000 servers to every process from one leader, as it is", bulk, f.ConfigWithinMs, Figure.FormatMilliseconds, between)
	l := f.OrdinaryLoad()
	relays := f.followCost(DesignDistribution, l).BytesInPerS.Scale(proxiesPerDistributor)
	over.add("a proxy that is a distributor for 75 others: bytes sent for them", relays, f.ProxyBytesPerS, Figure.FormatRate,
		"distributors on the control machines alone")
	tools := f.ToolsCost().Total()
	over.add("one question of a tool to every proxy, a second on 1 Gbit/s", tools.BytesInPerS, f.MachineBytesPerS.Value, Figure.FormatRate, "tools ask distributors for sums, missing")
	over.add("control machines for two distributors in each region and five voters", given(2*f.Regions+voters), f.ControlMachines, formatCount,
		"none: 27 of 32 regions have one, whose processes move out of the region when it is lost")
}

func (f Fleet) addBoundFindings(over *findings) {
	usual, burst := f.OrdinaryLoad(), f.Situations()[1].Load
	over.add("members that one process can hear (peers.maxSenders): further ones are dropped", given(f.Proxies), maxSenders, formatCount,
		"membership within a region, missing")
	over.add("a whole list as one entry (distribution.MaxEntry)", f.Estimate("replica/list-entry", given(f.Caches)), maxEntryBytes, Figure.FormatBytes,
		"lists as changes, or by region, missing")
	over.add("purges while two regions are apart, against what a distributor keeps to resume from", given(usual.PurgesPerS*f.PartitionMs/1000), backlogEntries, formatCount,
		"a snapshot in their place, built here: it is smaller")
	over.add("results of changes in 10 minutes of a burst (replica.mostDone)", given(burst.PurgesPerS*resultRetentionS), maxResults, formatCount,
		fmt.Sprintf("a change that comes again after %s s counts twice; purges need no result, as they are idempotent: missing", formatNumber(maxResults/burst.PurgesPerS)))
	over.add("revisions of a day, against those kept for a rollback (replica.mostHistory)", given(usual.RevisionsPerS*secondsPerDay), maxRevisions, formatCount,
		fmt.Sprintf("100 last for %s minutes at this rate; keep those of a week, missing", formatNumber(maxRevisions/usual.RevisionsPerS/secondsPerMinute)))
	over.add("an election at worst, against the time after which the store gives a change up (ms)",
		assumed(raftHeartbeatTimeoutMs+raftElectionTimeoutMs).Plus(f.RegionLatencyMs.Scale(2)), storeTimeoutMs, Figure.FormatMilliseconds, "who purges must ask again; a longer time-out")
	over.add("processes of a region with one distributor (distribution.MaxSubscribers, while no demand is told)", given(f.Proxies/f.Regions), maxSubscribers, formatCount,
		"a higher bound: a distributor of 531 is far from busy here")
	over.add("purges held in a burst, against the module's memory of them (policy.memorySize)", purgesInEffect(f.Assumptions, burst.PurgesPerS), maxPurges, formatCount, "")
}
