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
	p.line("Each figure says what it rests on: m, measured at that size, or the fit between sizes that were; x and a factor, extrapolated so many")
	p.line("times beyond the largest size that was measured; a, assumed, with a factor where a part of it was extrapolated too; nothing, the")
	p.line("operators' letter or arithmetic on it. What is made of several has the weakest mark. KB are 1,000 bytes. Bytes are those on the")
	p.line("wire, with heads of packets, sent and received together: the letter does not say which way its 17 KB/s count.\n")
	p.line("Three designs: **as it is**, every process a member of the store without a vote, lists told whole, membership of all; **distribution**,")
	p.line("levels of distributors between (built here), the rest as it is; **proposed**, the same with frames each 100 ms, a purge that does not")
	p.line("look through all others, lists as changes of one's own region, members of one's own region, and digests to four of the zone and one")
	p.line("elsewhere each 2 s.\n")
}

// findings comes first, so that nothing that exceeds a limit is overlooked.
func (p *pageWriter) findings() {
	p.line("## Over budget\n")
	p.tableHead("what", "is", "allowed", "times", "what would mend it")
	for _, f := range p.Findings() {
		p.tableRow(f.Subject, f.Value, f.Limit, formatFactor(f.Ratio), f.Remedy)
	}
	p.tableEnd()
}

func (p *pageWriter) derivations() {
	p.line("## The letter's figures, checked\n")
	p.tableHead("what", "sum", "worked out here", "named by the issue")
	for _, d := range p.Derivations() {
		p.tableRow(d.Name, d.Formula, d.format(d.Value), d.format(d.Stated))
	}
	load := p.OrdinaryLoad()
	changedCaches := (p.FailuresPerDay + p.ReplacementsPerDay) * p.Caches / (p.Proxies + p.Caches + p.ControlMachines)
	toFollower := p.UnitCost("raft/leader-bytes").Scale(1.0 / raftPurgesPerS)
	fromFollower := p.UnitCost("raft/follower-bytes").Scale(1.0 / raftPurgesPerS)
	p.line("\nOf the day's 9,100 changes %s are taken for changes of a list: 2,500 machines fail or are replaced, %s of them caches, and each goes and",
		formatNumber(load.ListChangesPerS*secondsPerDay), formatNumber(changedCaches))
	p.line("comes. The others are taken for revisions. %s purges bind at a time.\n", p.purgesInEffect(load.PurgesPerS))
	p.line("A purge through raft is %s to a follower and %s back, before heads of packets, against 195 B for all control. A change of one of",
		toFollower.FormatBytes(), fromFollower.FormatBytes())
	p.line("10,000 servers holds the module for %s here (the issue: 170 us); of 6,000, for %s by the fit. Peers send 6 KB/s at 300",
		p.Estimate("policy/change", given(10_000)).FormatMicroseconds(), p.Estimate("policy/change", given(6000)).FormatMicroseconds())
	p.line("with four caches a zone; with 82 a zone the formulas give %s each way for digests alone.\n",
		p.digestCost(DesignDistribution).BytesOutPerS.FormatRate())
}

func (p *pageWriter) budgetTables() {
	p.line("### What a proxy spends of its budgets, in every situation\n")
	p.line("Mean over the worst minute of a process that is hit. Bold: over.\n")
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

// trafficSummary compares the directions of the traffic, and an hour with a burst.
func (p *pageWriter) trafficSummary() {
	var larger []string
	for _, d := range Designs {
		total := p.ProxyCost(d, p.OrdinaryLoad()).Total()
		direction := total.BytesInPerS
		direction.Value = max(direction.Value, total.BytesOutPerS.Value)
		larger = append(larger, direction.FormatRate()+" "+d.String())
	}
	p.line("Of an ordinary minute's bytes the larger of the two ways alone: %s.", strings.Join(larger, ", "))
	situations := p.Situations()
	ordinary, burst := p.SituationBytesPerS(situations[0], DesignProposed), p.SituationBytesPerS(situations[1], DesignProposed)
	p.line("An hour with one minute of the burst, as proposed: %s.\n", ordinary.Scale(59.0/60).Plus(burst.Scale(1.0/60)).FormatRate())
}

func (p *pageWriter) machines() {
	p.line("## What the 42 machines spend\n")
	p.line("Of one machine's 8 cores, 1 Gbit/s and 16 GB, all assumed. The leader is that of the store. The last column is what distributors and")
	p.line("voters use together of the processor of all 42.\n")
	p.tableHead("situation", "leader as it is: processor", "sent", "leader with distribution: processor", "sent", "distributors",
		"busiest, distribution: processor", "sent", "memory", "sent, proposed", "of all 42")
	for _, s := range p.Situations() {
		p.machineRow(s)
	}
	p.tableEnd()
}

// machineRow is the row of a situation in the table of control machines.
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
	p.line("## What carries each situation\n")
	p.tableHead("situation", "mechanism", "package", "")
	for _, s := range p.Situations() {
		for _, m := range s.Mechanisms {
			p.tableRow(s.Name, m.Name, m.Package, string(m.Status))
		}
	}
	p.tableEnd()
	load := p.OrdinaryLoad()
	p.line("Some counts behind them. A process that starts is sent %s as it is, %s with distribution, %s as proposed. While two regions are apart for",
		p.SnapshotBytes(DesignCurrent, load).FormatBytes(), p.SnapshotBytes(DesignDistribution, load).FormatBytes(),
		p.SnapshotBytes(DesignProposed, load).FormatBytes())
	p.line("5 minutes %s purges are made; a distributor keeps 16,384 to resume from, so who heard nothing gets a snapshot, which is smaller: only",
		formatNumber(p.PurgesPerS*p.PartitionMs/1000))
	p.line("purges that still bind are in it. Seventeen thousand starts in an hour are %s a second for the fleet and one in %s s for a distributor.\n",
		formatNumber(p.RestartsPerHour/secondsPerHour), formatNumber(secondsPerHour*p.Distributors()/p.RestartsPerHour))
}

func (p *pageWriter) paths() {
	p.line("## The times, hop by hop\n")
	paths := p.Paths()
	p.tableHead("a fault", "its parts", "ms")
	for _, fault := range paths[0].Faults {
		for _, hop := range fault.Hops {
			p.tableRow(fault.Name, hop.Name, hop.Duration.FormatMilliseconds())
		}
	}
	p.tableEnd()
	for _, path := range paths {
		p.path(path)
	}
	p.line("Each part is taken at its worst, and parts are added: two worst cases seldom meet. Neither the ways nor the faults were played: the")
	p.line("times are settings, defaults and assumed distances. A purge is done once every process refuses copies that are older; copies in caches")
	p.line("may stay until they are dropped.\n")
	p.line("A proxy that can't hear for longer than the bound (6.8 s and 0.25 s for clocks that differ): classes that are strict serve nothing that")
	p.line("could be older than the last watermark, others go on and are counted. Of the requests that need it 5 %% go to the origin, 20 a second")
	p.line("for a process at most: %s a second from a region that is cut off, %s from the fleet while the store has no quorum. Whether an origin",
		formatNumber(originRequestsPerS*p.Proxies/p.Regions), formatNumber(originRequestsPerS*p.Proxies))
	p.line("bears that is not told: the bound has to be one for the fleet, missing. Both deciders are built here; the request path does not ask them yet.\n")
}

func (p *pageWriter) path(path Path) {
	p.line("### %s: within %s\n", capitalize(path.Name), given(path.WithinMs).FormatMilliseconds())
	p.tableHead("hop", "takes", "since the start")
	elapsed := Figure{}
	for _, hop := range path.Hops {
		elapsed = elapsed.Plus(hop.Duration)
		p.tableRow(hop.Name, hop.Duration.FormatMilliseconds(), elapsed.FormatMilliseconds())
	}
	p.tableEnd()
	p.tableHead("in the way", "adds at worst", "done after", "left")
	for _, fault := range path.Faults {
		total := elapsed.Plus(fault.Total())
		p.tableRow(fault.Name, fault.Total().FormatMilliseconds(), total.FormatMilliseconds(), formatRemaining(total, path.WithinMs))
	}
	p.tableEnd()
}

// formatRemaining formats what is left of a limit in ms, in bold if it is exceeded.
func formatRemaining(total Figure, limit float64) string {
	text := total.withBasis(formatNumber(math.Round(limit-total.Value)) + " ms")
	if total.Value > limit {
		return "**" + text + "**"
	}
	return text
}

func (p *pageWriter) placement() {
	p.line("## Where the 42 machines stand, and what remains\n")
	p.line("Five hold the store's voters, in five regions on different continents where there are so many, so that no zone, region or single cut takes")
	p.line("two. %s are distributors: one in each of the 32 regions, five more in the five largest, in another zone of theirs. No two control",
		formatNumber(p.Distributors()))
	p.line("machines share a rack or a zone. Voters feed distributors and no proxies, so that a storm of starts does not meet the store. Two")
	p.line("distributors a region would take %s machines. Seven voters would bear three losses for two distributors fewer and a slower quorum.\n",
		formatNumber(2*p.Regions+voters))
	p.tableHead("lost", "voters left, needed", "distributors left", "proxies each, on average", "without one in their region",
		"the store commits", "changes are delivered", "may be lost on top")
	for _, loss := range p.Losses() {
		quorum := fmt.Sprintf("%d, %d", loss.VotersLeft, loss.VotersNeeded)
		p.tableRow(loss.Name, quorum, formatNumber(loss.DistributorsLeft), loss.ProxiesPerDistributor.String(), loss.Unserved,
			loss.Commits, loss.Delivers, loss.MayBeLostNext)
	}
	p.line("\nBy the order in which decide/distribution tries them (site, zone, region, the store's members, elsewhere) the processes of a region that")
	p.line("loses its one distributor go to the store's five, %s each, before another region's: that is against the rule above, and has to be",
		formatNumber(p.Proxies/p.Regions/voters))
	p.line("decided there. They must be spread over at least %s machines: each admits 50 at once and 50 a second, and they come within 2 s.\n",
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
	p.costTable(string(ListSource)+" (the notice board), for the fleet", p.ListSourceCost(load))
	p.costTable(string(Tools)+", one such question a second", p.ToolsCost())
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
	p.line("## Taken for granted\n")
	p.tableHead("what", "figure", "why")
	for _, a := range p.Rows() {
		p.tableRow(a.Name, a.Text, a.Reason)
	}
	p.line("\nNot counted: signing keys, revocations and spent token ids (the letter names none), the signed front, SNMP, logs, and what a")
	p.line("collection of garbage costs beside its room.\n")
}

func (p *pageWriter) recordings() {
	p.line("## Recorded slopes\n")
	p.line("Least squares, weighted by the inverse square of the measured value; linear unless that is off by more than 15 %% somewhere and")
	p.line("another model by at most half as much. The residual is the largest, as a share of what was measured. All in one process on a machine that")
	p.line("was shared with other work; processor is that of the process, not time passed.\n")
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
