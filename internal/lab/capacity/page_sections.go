package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

func (p *pageWriter) introduction() {
	p.line("# What the fleet costs at its size in two years\n")
	p.line("Made by `ravenlab capacity --write docs/CAPACITY.md` from the formulas in `internal/lab/capacity` and the recordings in")
	p.line("`docs/measurements/capacity`; a test fails where they differ. Nobody has run 17,000 processes here: no figure on this page is a")
	p.line("measurement of the whole fleet.\n")
	p.line("Each figure is marked with its basis: m, measured at that size or interpolated between measured sizes; x and a factor, extrapolated")
	p.line("to that many times the largest measured size; a, assumed, with a factor if a part of it was also extrapolated; no mark, stated by")
	p.line("the operators or derived from that. A figure made of several has the weakest mark. 1 KB is 1,000 bytes. Bytes are counted on the")
	p.line("wire with packet headers, sent and received together, as the operators do not say which direction their 17 KB/s mean.\n")
	p.line("Three designs are compared. **as it is**: every process is a non-voting member of the store, server lists are sent whole, and")
	p.line("membership spans the fleet. **distribution**: levels of distributors in between (built here), the rest as it is. **proposed**:")
	p.line("distribution with a frame each 100 ms, a purge that does not scan all others, lists as changes within a region, membership within")
	p.line("a region, and digests each 2 s to four processes of the zone and one elsewhere.\n")
}

// findings is the first section after the introduction, so that no reader overlooks an exceeded limit.
func (p *pageWriter) findings() {
	p.line("## Over budget\n")
	p.tableHead("what", "value", "limit", "times", "remedy")
	for _, f := range p.Findings() {
		p.tableRow(f.Subject, f.Value, f.Limit, formatFactor(f.Ratio), f.Remedy)
	}
	p.tableEnd()
}

func (p *pageWriter) derivations() {
	p.line("## The operators' figures, checked\n")
	p.tableHead("what", "formula", "worked out here", "stated by the issue")
	for _, d := range p.Derivations() {
		p.tableRow(d.Name, d.Formula, d.format(d.Value), d.format(d.Stated))
	}
	load := p.OrdinaryLoad()
	changedCaches := (p.FailuresPerDay + p.ReplacementsPerDay) * p.Caches / (p.Proxies + p.Caches + p.ControlMachines)
	toFollower := p.UnitCost("raft/leader-bytes").Scale(1.0 / raftPurgesPerS)
	fromFollower := p.UnitCost("raft/follower-bytes").Scale(1.0 / raftPurgesPerS)
	p.line("\nOf the day's 9,100 changes %s count as changes of a list: 2,500 machines fail or are replaced, %s of them caches, and each of these",
		formatNumber(load.ListChangesPerS*secondsPerDay), formatNumber(changedCaches))
	p.line("leaves and joins. The others count as revisions. %s purges are in effect at a time.\n", p.purgesInEffect(load.PurgesPerS))
	p.line("A purge through raft takes %s to a follower and %s back, without packet headers, of 195 B for all control. A change of one of",
		toFollower.FormatBytes(), fromFollower.FormatBytes())
	p.line("10,000 servers takes the module %s here (the issue: 170 us), and of 6,000 %s by the fit. Peers send 6 KB/s at 300",
		p.Estimate("policy/change", given(10_000)).FormatMicroseconds(), p.Estimate("policy/change", given(6000)).FormatMicroseconds())
	p.line("with four caches a zone; with 82 a zone the formulas give %s in each direction for digests alone.\n",
		p.digestCost(DesignDistribution).BytesOutPerS.FormatRate())
}

func (p *pageWriter) budgetTables() {
	p.line("### What a proxy spends of its budgets, in every situation\n")
	p.line("Mean over the worst minute of a process concerned. Bold: over budget.\n")
	for _, b := range p.budgets() {
		p.tableHead(b.name, DesignCurrent.String(), DesignDistribution.String(), DesignProposed.String())
		for _, s := range p.Situations() {
			cells := []string{s.Name}
			for _, d := range Designs {
				cells = append(cells, formatShare(b.spent(s, d), b.limit))
			}
			p.tableRow(cells...)
		}
		p.tableEnd()
	}
	p.trafficSummary()
}

// trafficSummary writes the larger direction of the traffic for each design, and the mean of an hour that includes a burst.
func (p *pageWriter) trafficSummary() {
	var larger []string
	for _, d := range Designs {
		total := p.ProxyCost(d, p.OrdinaryLoad()).Total()
		direction := total.BytesInPerS
		direction.Value = max(direction.Value, total.BytesOutPerS.Value)
		larger = append(larger, direction.FormatRate()+" "+d.String())
	}
	p.line("The larger of the two directions alone, in an ordinary minute: %s.", strings.Join(larger, ", "))
	situations := p.Situations()
	ordinary, burst := p.SituationBytesPerS(situations[0], DesignProposed), p.SituationBytesPerS(situations[1], DesignProposed)
	p.line("An hour with one minute of the burst, as proposed: %s.\n", ordinary.Scale(59.0/60).Plus(burst.Scale(1.0/60)).FormatRate())
}

func (p *pageWriter) machines() {
	p.line("## What the 42 machines spend\n")
	p.line("Of one machine's 8 cores, 1 Gbit/s and 16 GB, all assumed. The leader is the store's. The last column is the processor time of all")
	p.line("distributors and voters, of that of all 42 machines.\n")
	p.tableHead("situation", "leader as it is: processor", "sent", "leader with distribution: processor", "sent", "distributors",
		"busiest, distribution: processor", "sent", "memory", "sent, proposed", "of all 42")
	for _, s := range p.Situations() {
		p.machineRow(s)
	}
	p.tableEnd()
}

// machineRow writes the row of a situation in the table of control machines.
func (p *pageWriter) machineRow(s Situation) {
	cpu, network, memory := p.MachineCores.Value*microsPerCore, p.MachineBytesPerS.Value, p.MachineMemory.Value
	current := p.LeaderCost(DesignCurrent, s.Load).Total()
	leader := p.LeaderCost(DesignDistribution, s.Load).Total()
	distributor := p.DistributorCost(DesignDistribution, s.Load, s.Distributors).Total()
	proposed := p.DistributorCost(DesignProposed, s.Load, s.Distributors).Total()
	allCPU := distributor.CPUMicrosPerS.Scale(s.Distributors).Plus(leader.CPUMicrosPerS.Scale(voters))
	p.tableRow(
		s.Name,
		formatShare(current.CPUMicrosPerS, cpu),
		formatShare(current.BytesOutPerS, network),
		formatShare(leader.CPUMicrosPerS, cpu),
		formatShare(leader.BytesOutPerS, network),
		formatNumber(s.Distributors),
		formatShare(distributor.CPUMicrosPerS, cpu),
		formatShare(distributor.BytesOutPerS, network),
		formatShare(distributor.MemoryBytes, memory),
		formatShare(proposed.BytesOutPerS, network),
		formatShare(allCPU, cpu*p.ControlMachines),
	)
}

func (p *pageWriter) mechanisms() {
	p.line("## Mechanisms of each situation\n")
	p.tableHead("situation", "mechanism", "package", "")
	for _, s := range p.Situations() {
		for _, m := range s.Mechanisms {
			p.tableRow(s.Name, m.Name, m.Package, string(m.Status))
		}
	}
	p.tableEnd()
	load := p.OrdinaryLoad()
	p.line("A process that starts receives a snapshot of %s as it is, %s with distribution, %s as proposed. While two regions are apart for",
		p.SnapshotBytes(DesignCurrent, load).FormatBytes(), p.SnapshotBytes(DesignDistribution, load).FormatBytes(),
		p.SnapshotBytes(DesignProposed, load).FormatBytes())
	p.line("5 minutes, %s purges are made. A distributor keeps 16,384 to resume from, so that a subscriber without any of them gets a snapshot.",
		formatNumber(p.PurgesPerS*p.PartitionMs/1000))
	p.line("That is smaller, as only purges in effect are in it. 17,000 starts in an hour are %s a second in the fleet, and one in %s s at a distributor.\n",
		formatNumber(p.RestartsPerHour/secondsPerHour), formatNumber(secondsPerHour*p.Distributors()/p.RestartsPerHour))
}

func (p *pageWriter) paths() {
	p.line("## Times of propagation, hop by hop\n")
	paths := p.Paths()
	p.tableHead("fault", "part", "ms")
	for _, fault := range paths[0].Faults {
		for _, hop := range fault.Hops {
			p.tableRow(fault.Name, hop.Name, hop.Duration.FormatMilliseconds())
		}
	}
	p.tableEnd()
	for _, path := range paths {
		p.path(path)
	}
	p.line("Each part is taken at its worst and the parts are added, although two worst cases rarely coincide. Neither paths nor faults were run:")
	p.line("the times are settings, defaults and assumed latencies. A purge is done once every process rejects older copies; the copies may stay")
	p.line("in caches until these drop them.\n")
	p.line("A proxy that receives no watermark for longer than the bound (6.8 s, and 0.25 s for clock skew) serves requests of strict classes from")
	p.line("no copy that could be older than the last watermark; other classes go on and are counted. Of the requests that need it 5 %% go to the")
	p.line("origin, at most 20 a second for a process: %s a second from a region that is cut off, and %s from the fleet while the store has no",
		formatNumber(originRequestsPerS*p.Proxies/p.Regions), formatNumber(originRequestsPerS*p.Proxies))
	p.line("quorum. Whether an origin bears that is not known: a bound for the whole fleet is missing. Both deciders are built here; the request")
	p.line("path does not ask them yet.\n")
}

func (p *pageWriter) path(path Path) {
	p.line("### %s: within %s\n", capitalize(path.Name), given(path.WithinMs).FormatMilliseconds())
	p.tableHead("hop", "duration", "since the start")
	elapsed := Figure{}
	for _, hop := range path.Hops {
		elapsed = elapsed.Plus(hop.Duration)
		p.tableRow(hop.Name, hop.Duration.FormatMilliseconds(), elapsed.FormatMilliseconds())
	}
	p.tableEnd()
	p.tableHead("fault", "adds at worst", "done after", "left")
	for _, fault := range path.Faults {
		total := elapsed.Plus(fault.Total())
		p.tableRow(fault.Name, fault.Total().FormatMilliseconds(), total.FormatMilliseconds(), formatRemaining(total, path.WithinMs))
	}
	p.tableEnd()
}

// formatRemaining formats the remainder of a limit in ms, in bold if the limit is exceeded.
func formatRemaining(total Figure, limit float64) string {
	text := total.withBasis(formatNumber(math.Round(limit-total.Value)) + " ms")
	if total.Value > limit {
		return "**" + text + "**"
	}
	return text
}

func (p *pageWriter) placement() {
	p.line("## Where the 42 machines stand, and what remains\n")
	p.line("Five machines are the store's voters. They stand in five regions, on different continents as far as possible, so that no loss of a")
	p.line("zone, a region or a single connection takes two of them. %s are distributors: one in each of the 32 regions, and five more in a second",
		formatNumber(p.Distributors()))
	p.line("zone of the five largest. No two control machines share a rack or a zone. Voters feed distributors and no proxies, so that many starts")
	p.line("at once do not reach the store. Two distributors a region would take %s machines. Seven voters would bear three losses, for two",
		formatNumber(2*p.Regions+voters))
	p.line("distributors fewer and a slower quorum.\n")
	p.tableHead("lost", "voters left, needed", "distributors left", "proxies each, on average", "without one in their region",
		"the store commits", "changes are delivered", "may be lost next")
	for _, loss := range p.Losses() {
		quorum := fmt.Sprintf("%d, %d", loss.VotersLeft, loss.VotersNeeded)
		p.tableRow(loss.Name, quorum, formatNumber(loss.DistributorsLeft), loss.ProxiesPerDistributor.String(), loss.Unserved,
			loss.Commits, loss.Delivers, loss.MayBeLostNext)
	}
	p.line("\ndecide/distribution prefers distributors by site, zone, region, the store's members and then elsewhere. By that order the processes of")
	p.line("a region that loses its only distributor go to the store's five, %s each, before another region's. This contradicts the rule above, and",
		formatNumber(p.Proxies/p.Regions/voters))
	p.line("has to be decided there. They must be spread over at least %s machines: each admits 50 at once and 50 a second, and they come within 2 s.\n",
		formatNumber(math.Ceil(p.FailoverDistributors().Value)))
}

func (p *pageWriter) roleCosts() {
	p.line("## What each role costs on an ordinary day\n")
	load := p.OrdinaryLoad()
	for _, d := range Designs {
		p.costTable(fmt.Sprintf("%s, %s", Proxy, d), p.ProxyCost(d, load))
	}
	p.costTable(fmt.Sprintf("%s (the leader), %s", Voter, DesignCurrent), p.LeaderCost(DesignCurrent, load))
	p.costTable(fmt.Sprintf("%s (the leader), %s", Voter, DesignDistribution), p.LeaderCost(DesignDistribution, load))
	for _, d := range Designs[1:] {
		p.costTable(fmt.Sprintf("%s, %s", Distributor, d), p.DistributorCost(d, load, p.Distributors()))
	}
	for _, d := range []Design{DesignDistribution, DesignProposed} {
		p.costTable(fmt.Sprintf("%s, %s", Membership, d), Cost{p.membershipCost(d, load), p.digestCost(d)})
	}
	p.costTable(fmt.Sprintf("%s of a site (nothing of it is built)", Prober), p.ProberCost())
	p.costTable(string(ListSource)+" (the discovery service), for the fleet", p.ListSourceCost(load))
	p.costTable(string(Tools)+", one such request a second", p.ToolsCost())
}

func (p *pageWriter) costTable(name string, cost Cost) {
	p.line("### %s\n", capitalize(name))
	p.tableHead("", "state", "messages in", "messages out", "in", "out", "processor", "memory")
	for _, item := range append(slices.Clone(cost), cost.Total()) {
		p.tableRow(
			item.Name,
			formatUnlessZero(item.StateBytes, Figure.FormatBytes),
			formatUnlessZero(item.MessagesInPerS, Figure.formatPerS),
			formatUnlessZero(item.MessagesOutPerS, Figure.formatPerS),
			formatUnlessZero(item.BytesInPerS, Figure.FormatRate),
			formatUnlessZero(item.BytesOutPerS, Figure.FormatRate),
			formatUnlessZero(item.CPUMicrosPerS, Figure.FormatCPU),
			formatUnlessZero(item.MemoryBytes, Figure.FormatBytes),
		)
	}
	p.tableEnd()
}

// formatUnlessZero formats a figure. A 0 is left out.
func formatUnlessZero(f Figure, format func(Figure) string) string {
	if f.Value == 0 {
		return ""
	}
	return format(f)
}

func (p *pageWriter) assumptions() {
	p.line("## Assumptions\n")
	p.tableHead("what", "figure", "why")
	for _, a := range p.Rows() {
		p.tableRow(a.Name, a.Text, a.Reason)
	}
	p.line("\nNot counted: signing keys, revocations and spent token ids (the operators name none), the signed front, SNMP, logs, and the processor")
	p.line("time of garbage collection.\n")
}

func (p *pageWriter) recordings() {
	p.line("## Recordings and their fits\n")
	p.line("Least-squares fits, weighted by the inverse square of the measured value: linear, unless a point is off by more than 15 %% and another")
	p.line("model is off by at most half as much. The residual is the largest one, as a part of the measured value. All was measured in one process")
	p.line("on a machine that was shared with other work; processor time is that of the process.\n")
	p.tableHead("recording", "what", "unit", "sizes", "fixed", "slope", "model", "residual", "command")
	for _, name := range slices.Sorted(maps.Keys(p.RecordingSet)) {
		r := p.RecordingSet[name]
		smallest, largest := r.bounds()
		quantity := r.Quantity
		if r.Note != "" {
			quantity += " (" + r.Note + ")"
		}
		sizes := fmt.Sprintf("%s to %s %s", formatNumber(smallest), formatNumber(largest), r.Driver)
		residual := formatNumber(100*r.MaxResidual()) + " %"
		p.tableRow(name, quantity, r.Unit, sizes, formatSignificant(r.Fixed), formatSignificant(r.Slope), string(r.Model), residual,
			"`"+r.Command+"`")
	}
}
