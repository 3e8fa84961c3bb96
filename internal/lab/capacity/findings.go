package capacity

import "fmt"

// Finding is a figure that exceeds a budget or a bound, as a row of the page's first table.
type Finding struct {
	Subject string
	Value   string
	Limit   string
	Ratio   float64 // value divided by limit
	Remedy  string  // empty if none is known
}

// findings collects the figures that exceed a limit.
type findings []Finding

// add adds a finding if a figure exceeds its limit.
func (f *findings) add(subject string, value Figure, limit float64, format func(Figure) string, remedy string) {
	if value.Value <= limit {
		return
	}
	*f = append(*f, Finding{subject, format(value), format(given(limit)), value.Value / limit, remedy})
}

// Remedies that several findings share.
const (
	remedyDistributors = "distributors in between (built here)"
	remedyPurge        = "a purge that does not scan all others (decide/storestate, built here)"
	remedyFault        = "beyond the bound strict classes use no copies (FreshnessGate, built here; the request path does not ask it yet); " +
		"a shorter FailoverSpread and SilenceTimeout, or two subscriptions a process"
)

// byteRemedies are the remedies for a proxy's traffic and memory, by design.
var byteRemedies = [...]string{
	DesignCurrent:      "distributors in place of raft to every process (built here)",
	DesignDistribution: "members and digests of one region, lists as changes (missing)",
	DesignProposed:     "none here for a minute's burst: 870 purges a second are 34.8 KB/s by themselves",
}

// Findings are all figures that exceed a limit, in the order of the page: a proxy's budgets, those of control machines, the times
// of propagation, and bounds of the program.
func (f Fleet) Findings() []Finding {
	var found findings
	f.addProxyFindings(&found)
	f.addMachineFindings(&found)
	f.addPathFindings(&found)
	f.addBoundFindings(&found)
	return found
}

// budget is one of a proxy's budgets.
type budget struct {
	name   string
	limit  float64
	format func(Figure) string
	spent  func(Situation, Design) Figure
	remedy func(Design) string
}

// budgets are the budgets of a proxy.
func (f Fleet) budgets() []budget {
	byteRemedy := func(d Design) string { return byteRemedies[d] }
	return []budget{
		{"bytes, of 17 KB/s", f.ProxyBytesPerS, Figure.FormatRate, f.SituationBytesPerS, byteRemedy},
		{"processor, of 1.6 % of a core", f.ProxyCores * microsPerCore, Figure.FormatCPU, func(s Situation, d Design) Figure {
			return f.ProxyCost(d, s.Load).Total().CPUMicrosPerS
		}, func(Design) string { return remedyPurge }},
		{"memory, of 256 MB", f.ProxyMemoryBytes, Figure.FormatBytes, func(s Situation, d Design) Figure {
			return f.ProxyCost(d, s.Load).Total().MemoryBytes
		}, byteRemedy},
	}
}

// worstSituation is the situation in which a design spends the most of a budget.
func (b budget) worstSituation(situations []Situation, d Design) Situation {
	worst := situations[0]
	for _, s := range situations {
		if b.spent(s, d).Value > b.spent(worst, d).Value {
			worst = s
		}
	}
	return worst
}

// addProxyFindings checks each budget of a proxy for each design, in an ordinary minute and in the worst situation.
func (f Fleet) addProxyFindings(found *findings) {
	situations := f.Situations()
	ordinary := situations[0]
	for _, d := range Designs {
		for _, b := range f.budgets() {
			subject := fmt.Sprintf("a proxy's %s, %s: ", b.name, d)
			found.add(subject+ordinary.Name, b.spent(ordinary, d), b.limit, b.format, f.largestItem(d, ordinary.Load)+"; "+b.remedy(d))
			if worst := b.worstSituation(situations, d); worst.Name != ordinary.Name {
				found.add(subject+"at worst, "+worst.Name, b.spent(worst, d), b.limit, b.format, b.remedy(d))
			}
		}
	}
}

// largestItem names the item of a proxy's cost with the most traffic.
func (f Fleet) largestItem(d Design, load Load) string {
	largest := CostItem{}
	for _, item := range f.ProxyCost(d, load) {
		if item.BytesPerS().Value > largest.BytesPerS().Value {
			largest = item
		}
	}
	return "most of it: " + largest.Name
}

// addMachineFindings checks the load of the control machines in an ordinary minute and in a burst of purges. It also checks whole
// lists that one leader sends to every process, a proxy that is a distributor, a tool's requests to every proxy, and two
// distributors in each region.
func (f Fleet) addMachineFindings(found *findings) {
	cpu, network := f.MachineCores.Value*microsPerCore, f.MachineBytesPerS.Value
	addMachine := func(subject string, spent CostItem, remedy string) {
		found.add(subject+"processor", spent.CPUMicrosPerS, cpu, Figure.FormatCPU, remedy)
		found.add(subject+"bytes sent", spent.BytesOutPerS, network, Figure.FormatRate, remedy)
	}
	for _, s := range f.Situations()[:2] {
		for _, d := range Designs {
			addMachine(fmt.Sprintf("the store's leader, %s, %s: ", d, s.Name), f.LeaderCost(d, s.Load).Total(), remedyDistributors)
		}
		for _, d := range Designs[1:] {
			addMachine(fmt.Sprintf("a distributor, %s, %s: ", d, s.Name), f.DistributorCost(d, s.Load, s.Distributors).Total(), "")
		}
	}
	listMs := f.Estimate("replica/list-entry", given(f.Caches)).Scale(f.Proxies).DividedBy(f.MachineBytesPerS).Scale(1000)
	found.add("a list of 6,000 servers to every process from one leader, as it is", listMs, f.ConfigWithinMs,
		Figure.FormatMilliseconds, remedyDistributors)
	relayed := f.followCost(DesignDistribution, f.OrdinaryLoad()).BytesInPerS.Scale(proxiesPerDistributor)
	found.add("a proxy that is a distributor for 75 others: bytes sent for them", relayed, f.ProxyBytesPerS,
		Figure.FormatRate, "distributors on the control machines alone")
	found.add("one request of a tool to every proxy, in a second on 1 Gbit/s", f.ToolsCost().Total().BytesInPerS, network,
		Figure.FormatRate, "tools request sums from distributors, missing")
	found.add("control machines for two distributors in each region and five voters", given(2*f.Regions+voters), f.ControlMachines,
		formatCount, "none: 27 of 32 regions have one, whose processes move out of the region when it is lost")
}

// addPathFindings checks the propagation times, without a fault and with each fault.
func (f Fleet) addPathFindings(found *findings) {
	for _, path := range f.Paths() {
		found.add(path.Name, path.Total(), path.WithinMs, Figure.FormatMilliseconds, "")
		for _, fault := range path.Faults {
			found.add(fmt.Sprintf("%s: %s", path.Name, fault.Name), path.Total().Plus(fault.Total()), path.WithinMs,
				Figure.FormatMilliseconds, remedyFault)
		}
	}
}

// addBoundFindings checks figures against fixed bounds of the program.
func (f Fleet) addBoundFindings(found *findings) {
	ordinary, burst := f.OrdinaryLoad(), f.Situations()[1].Load
	found.add("members that a process can receive from (peers.maxSenders): others are dropped", given(f.Proxies), maxSenders,
		formatCount, "membership within a region, missing")
	found.add("a whole list as one entry (distribution.MaxEntry)", f.Estimate("replica/list-entry", given(f.Caches)), maxEntryBytes,
		Figure.FormatBytes, "lists as changes, or by region, missing")
	found.add("purges while two regions are apart, against those that a distributor keeps to resume from",
		given(ordinary.PurgesPerS*f.PartitionMs/1000), backlogEntries, formatCount, "a snapshot instead, built here: it is smaller")
	found.add("results of changes in 10 minutes of a burst (storestate.maxResults)", given(burst.PurgesPerS*resultRetentionS), maxResults,
		formatCount, fmt.Sprintf("a change that is proposed again after %s s counts twice; purges need no result, as they are idempotent: missing",
			formatNumber(maxResults/burst.PurgesPerS)))
	found.add("revisions of a day, against those kept for a rollback (storestate.maxRevisions)", given(ordinary.RevisionsPerS*secondsPerDay),
		maxRevisions, formatCount, fmt.Sprintf("100 last for %s minutes at this rate; keep those of a week, missing",
			formatNumber(maxRevisions/ordinary.RevisionsPerS/secondsPerMinute)))
	found.add("an election at worst, against the store's timeout of a change",
		assumed(raftHeartbeatTimeoutMs+raftElectionTimeoutMs).Plus(f.RegionLatencyMs.Scale(2)), storeTimeoutMs,
		Figure.FormatMilliseconds, "the author of a purge retries; a longer timeout")
	found.add("processes of a region with one distributor (distribution.MaxSubscribers, where the demand is not known)",
		given(f.Proxies/f.Regions), maxSubscribers, formatCount, "a higher bound: a distributor of 531 has little load here")
	found.add("purges in effect in a burst, against those that the module keeps (policy.recentHitsMaxEntries)",
		f.purgesInEffect(burst.PurgesPerS), maxPurges, formatCount, "")
}
