package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// needed are the recordings that formulas name.
var requiredRecordings = []string{
	"policy/memory", "policy/change", "policy/purge-memory", "policy/purge", "ledger/memory", "ledger/change", "ledger/list",
	"replica/purge-memory", "replica/purge-snapshot", "replica/purge-apply", "replica/purge-entry", "replica/results-memory",
	"replica/results-snapshot", "replica/list-memory", "replica/list-entry", "replica/list-apply", "replica/revision-memory",
	"replica/revision-snapshot", "replica/snapshot-write", "view/memory", "view/merge", "view/digest", "membership/whole-state",
	"journal/purges", "journal/memory", "journal/purge", "raft/leader-bytes", "raft/follower-bytes", "raft/processor",
	"lists/board", "tools/servers", "tools/members",
}

// LoadFleet reads the recordings of a directory and holds the operators' target against them.
func LoadFleet(dir string) (Fleet, error) {
	book, err := ReadRecordings(dir)
	if err != nil {
		return Fleet{}, err
	}
	var missing []error
	for _, name := range requiredRecordings {
		if _, known := book[name]; !known {
			missing = append(missing, fmt.Errorf("%s: no recording %q", dir, name))
		}
	}
	return Fleet{OperatorTarget, DefaultAssumptions, book}, errors.Join(missing...)
}

// Page is docs/CAPACITY.md, made of the recordings in a directory.
func Page(dir string) ([]byte, error) {
	f, err := LoadFleet(dir)
	if err != nil {
		return nil, err
	}
	return f.Page(), nil
}

// Page is the page of a fleet.
func (f Fleet) Page() []byte {
	p := &pageWriter{Fleet: f}
	p.introduction()
	p.findings()
	p.budgetTables()
	p.derivations()
	p.machines()
	p.mechanisms()
	p.paths()
	p.placement()
	p.roleCosts()
	p.assumptions()
	p.recordings()
	return p.out.Bytes()
}

// page is one that is being written.
type pageWriter struct {
	Fleet
	out bytes.Buffer
}

func (p *pageWriter) text(format string, args ...any) { fmt.Fprintf(&p.out, format+"\n", args...) }

func (p *pageWriter) table(head ...string) {
	p.row(head...)
	p.row(slices.Repeat([]string{"---"}, len(head))...)
}

func (p *pageWriter) row(cells ...string) { p.text("| %s |", strings.Join(cells, " | ")) }

func (p *pageWriter) introduction() {
	p.text("# What the fleet costs at its size in two years\n")
	p.text("Made by `ravenlab capacity --write docs/CAPACITY.md` from the formulas in `internal/lab/capacity` and the recordings in")
	p.text("`docs/measurements/capacity`; a test fails where they differ. Nobody has run 17,000 processes here: no figure on this page is a")
	p.text("measurement of the whole fleet.\n")
	p.text("Each figure says what it rests on: m, measured at that size, or the fit between sizes that were; x and a factor, extrapolated so many")
	p.text("times beyond the largest size that was measured; a, assumed, with a factor where a part of it was extrapolated too; nothing, the")
	p.text("operators' letter or arithmetic on it. What is made of several has the weakest mark. KB are 1,000 bytes. Bytes are those on the")
	p.text("wire, with heads of packets, sent and received together: the letter does not say which way its 17 KB/s count.\n")
	p.text("Three designs: **as it is**, every process a member of the store without a vote, lists told whole, membership of all; **distribution**,")
	p.text("levels of distributors between (built here), the rest as it is; **proposed**, the same with frames each 100 ms, a purge that does not")
	p.text("look through all others, lists as changes of one's own region, members of one's own region, and digests to four of the zone and one")
	p.text("elsewhere each 2 s.\n")
}

// over says first what is over a budget, a time or a bound.
func (p *pageWriter) findings() {
	p.text("## Over budget\n")
	p.table("what", "is", "allowed", "times", "what would mend it")
	for _, f := range p.Findings() {
		p.row(f.Subject, f.Value, f.Limit, formatFactor(f.Ratio), f.Remedy)
	}
	p.text("")
}

func (p *pageWriter) derivations() {
	p.text("## The letter's figures, checked\n")
	p.table("what", "sum", "worked out here", "named by the issue")
	for _, d := range p.Derivations() {
		p.row(d.Name, d.Formula, strings.TrimSpace(formatNumber(d.Value)+" "+d.Unit), strings.TrimSpace(formatNumber(d.Stated)+" "+d.Unit))
	}
	l := p.OrdinaryLoad()
	p.text("\nOf the day's 9,100 changes %s are taken for changes of a list: 2,500 machines fail or are replaced, %s of them caches, and each goes and",
		formatNumber(l.ListChangesPerS*secondsPerDay), formatNumber((p.FailuresPerDay+p.ReplacementsPerDay)*p.Caches/(p.Proxies+p.Caches+p.ControlMachines)))
	p.text("comes. The others are taken for revisions. %s purges bind at a time.\n", purgesInEffect(p.Assumptions, l.PurgesPerS))
	p.text("A purge through raft is %s to a follower and %s back, before heads of packets, against 195 B for all control. A change of one of", p.UnitCost("raft/leader-bytes").Scale(1.0/raftPurgesPerS).FormatBytes(),
		p.UnitCost("raft/follower-bytes").Scale(1.0/raftPurgesPerS).FormatBytes())
	p.text("10,000 servers holds the module for %s here (the issue: 170 us); of 6,000, for %s by the fit. Peers send 6 KB/s at 300", p.Estimate("policy/change", given(10_000)).FormatMicroseconds(), p.Estimate("policy/change", given(6000)).FormatMicroseconds())
	p.text("with four caches a zone; with 82 a zone the formulas give %s each way for digests alone.\n", p.digestCost(DesignDistribution).BytesOutPerS.FormatRate())
}

// share writes a part of a budget, in bold where it is over.
func formatShare(f Figure, of float64) string {
	part := f.Scale(1 / of)
	if part.Value > 1 {
		return "**" + part.FormatPercent() + "**"
	}
	return part.FormatPercent()
}

func (p *pageWriter) budgetTables() {
	p.text("### What a proxy spends of its budgets, in every situation\n")
	p.text("Mean over the worst minute of a process that is hit. Bold: over.\n")
	for _, b := range p.budgets() {
		p.table(b.name, DesignCurrent.String(), DesignDistribution.String(), DesignProposed.String())
		for _, s := range p.Situations() {
			cells := []string{s.Name}
			for _, d := range Designs {
				cells = append(cells, formatShare(b.spent(s, d), b.limit))
			}
			p.row(cells...)
		}
		p.text("")
	}
	l := p.OrdinaryLoad()
	one := []string{}
	for _, d := range Designs {
		total := p.ProxyCost(d, l).Total()
		one = append(one, Figure{Value: max(total.BytesInPerS.Value, total.BytesOutPerS.Value), Basis: total.BytesInPerS.Basis, Extrapolation: total.BytesInPerS.Extrapolation}.FormatRate()+" "+d.String())
	}
	p.text("Of an ordinary minute's bytes the larger of the two ways alone: %s.", strings.Join(one, ", "))
	situations := p.Situations()
	calm, burst := p.SituationBytesPerS(situations[0], DesignProposed), p.SituationBytesPerS(situations[1], DesignProposed)
	p.text("An hour with one minute of the burst, as proposed: %s.\n", calm.Scale(59.0/60).Plus(burst.Scale(1.0/60)).FormatRate())
}

// machines are what the control machines spend.
func (p *pageWriter) machines() {
	p.text("## What the 42 machines spend\n")
	p.text("Of one machine's 8 cores, 1 Gbit/s and 16 GB, all assumed. The leader is that of the store. The last column is what distributors and")
	p.text("voters use together of the processor of all 42.\n")
	p.table("situation", "leader as it is: processor", "sent", "leader with distribution: processor", "sent", "distributors",
		"busiest, distribution: processor", "sent", "memory", "sent, proposed", "of all 42")
	for _, s := range p.Situations() {
		was, leads := p.LeaderCost(DesignCurrent, s.Load).Total(), p.LeaderCost(DesignDistribution, s.Load).Total()
		one, lean := p.DistributorCost(DesignDistribution, s.Load, s.Distributors).Total(), p.DistributorCost(DesignProposed, s.Load, s.Distributors).Total()
		cores, wire := p.MachineCores.Value*1e6, p.MachineBytesPerS.Value
		all := one.CPUMicrosPerS.Scale(s.Distributors).Plus(leads.CPUMicrosPerS.Scale(voters))
		p.row(s.Name, formatShare(was.CPUMicrosPerS, cores), formatShare(was.BytesOutPerS, wire), formatShare(leads.CPUMicrosPerS, cores), formatShare(leads.BytesOutPerS, wire),
			formatNumber(s.Distributors), formatShare(one.CPUMicrosPerS, cores), formatShare(one.BytesOutPerS, wire), formatShare(one.MemoryBytes, p.MachineMemory.Value),
			formatShare(lean.BytesOutPerS, wire), formatShare(all, cores*p.ControlMachines))
	}
	p.text("")
}

func (p *pageWriter) mechanisms() {
	p.text("## What carries each situation\n")
	p.table("situation", "mechanism", "package", "")
	for _, s := range p.Situations() {
		for _, m := range s.Mechanisms {
			p.row(s.Name, m.Name, m.Package, string(m.Status))
		}
	}
	p.text("")
	p.text("Some counts behind them. A process that starts is sent %s as it is, %s with distribution, %s as proposed. While two regions are apart for",
		p.SnapshotBytes(DesignCurrent, p.OrdinaryLoad()).FormatBytes(), p.SnapshotBytes(DesignDistribution, p.OrdinaryLoad()).FormatBytes(), p.SnapshotBytes(DesignProposed, p.OrdinaryLoad()).FormatBytes())
	p.text("5 minutes %s purges are made; a distributor keeps 16,384 to resume from, so who heard nothing gets a snapshot, which is smaller: only", formatNumber(p.PurgesPerS*p.PartitionMs/1000))
	p.text("purges that still bind are in it. Seventeen thousand starts in an hour are %s a second for the fleet and one in %s s for a distributor.\n",
		formatNumber(p.RestartsPerHour/3600), formatNumber(3600*p.Distributors()/p.RestartsPerHour))
}

func (p *pageWriter) paths() {
	p.text("## The times, hop by hop\n")
	ways := p.Paths()
	p.table("a fault", "its parts", "ms")
	for _, f := range ways[0].Faults {
		for _, h := range f.Hops {
			p.row(f.Name, h.Name, h.Milliseconds.FormatMilliseconds())
		}
	}
	p.text("")
	for _, way := range ways {
		p.path(way)
	}
	p.text("Each part is taken at its worst, and parts are added: two worst cases seldom meet. Neither the ways nor the faults were played: the")
	p.text("times are settings, defaults and assumed distances. A purge is done once every process refuses copies that are older; copies in caches")
	p.text("may stay until they are dropped.\n")
	p.text("A proxy that can't hear for longer than the bound (6.8 s and 0.25 s for clocks that differ): classes that are strict serve nothing that")
	p.text("could be older than the last watermark, others go on and are counted. Of the requests that need it 5 %% go to the origin, 20 a second")
	p.text("for a process at most: %s a second from a region that is cut off, %s from the fleet while the store has no quorum. Whether an origin",
		formatNumber(originRequestsPerS*p.Proxies/p.Regions), formatNumber(originRequestsPerS*p.Proxies))
	p.text("bears that is not told: the bound has to be one for the fleet, missing. Both deciders are built here; the request path does not ask them yet.\n")
}

func (p *pageWriter) path(way Path) {
	p.text("### %s: within %s\n", strings.ToUpper(way.Name[:1])+way.Name[1:], given(way.WithinMs).FormatMilliseconds())
	p.table("hop", "takes", "since the start")
	since := Figure{}
	for _, h := range way.Hops {
		since = since.Plus(h.Milliseconds)
		p.row(h.Name, h.Milliseconds.FormatMilliseconds(), since.FormatMilliseconds())
	}
	p.text("")
	p.table("in the way", "adds at worst", "done after", "left")
	for _, f := range way.Faults {
		total := since.Plus(f.Total())
		left := total.withBasis(formatNumber(math.Round(way.WithinMs-total.Value)) + " ms")
		if total.Value > way.WithinMs {
			left = "**" + left + "**"
		}
		p.row(f.Name, f.Total().FormatMilliseconds(), total.FormatMilliseconds(), left)
	}
	p.text("")
}

func (p *pageWriter) placement() {
	p.text("## Where the 42 machines stand, and what remains\n")
	p.text("Five hold the store's voters, in five regions on different continents where there are so many, so that no zone, region or single cut takes")
	p.text("two. %s are distributors: one in each of the 32 regions, five more in the five largest, in another zone of theirs. No two control", formatNumber(p.Distributors()))
	p.text("machines share a rack or a zone. Voters feed distributors and no proxies, so that a storm of starts does not meet the store. Two")
	p.text("distributors a region would take %s machines. Seven voters would bear three losses for two distributors fewer and a slower quorum.\n", formatNumber(2*p.Regions+voters))
	p.table("lost", "voters left, needed", "distributors left", "proxies each, on average", "without one in their region", "the store commits", "changes are delivered", "may be lost on top")
	for _, x := range p.Losses() {
		p.row(x.Name, fmt.Sprintf("%d, %d", x.VotersLeft, x.VotersNeeded), formatNumber(x.DistributorsLeft), x.ProxiesPerDistributor.String(), x.Unserved, x.Commits, x.Delivers, x.MayBeLostNext)
	}
	p.text("\nBy the order in which decide/distribution tries them (site, zone, region, the store's members, elsewhere) the processes of a region that")
	p.text("loses its one distributor go to the store's five, %s each, before another region's: that is against the rule above, and has to be", formatNumber(p.Proxies/p.Regions/voters))
	p.text("decided there. They must be spread over at least %s machines: each admits 50 at once and 50 a second, and they come within 2 s.\n",
		formatNumber(math.Ceil(p.FailoverDistributors().Value)))
}

func (p *pageWriter) roleCosts() {
	p.text("## What each role costs on an ordinary day\n")
	l := p.OrdinaryLoad()
	for _, d := range Designs {
		p.costTable(fmt.Sprintf("%s, %s", Proxy, d), p.ProxyCost(d, l))
	}
	p.costTable(fmt.Sprintf("%s (the leader), %s", Voter, DesignCurrent), p.LeaderCost(DesignCurrent, l))
	p.costTable(fmt.Sprintf("%s (the leader), %s", Voter, DesignDistribution), p.LeaderCost(DesignDistribution, l))
	for _, d := range Designs[1:] {
		p.costTable(fmt.Sprintf("%s, %s", Distributor, d), p.DistributorCost(d, l, p.Distributors()))
	}
	for _, d := range []Design{DesignDistribution, DesignProposed} {
		p.costTable(fmt.Sprintf("%s, %s", Membership, d), Cost{p.membershipCost(d, l), p.digestCost(d)})
	}
	p.costTable(fmt.Sprintf("%s of a site (nothing of it is built)", Prober), p.ProberCost())
	p.costTable(string(ListSource)+" (the notice board), for the fleet", p.ListSourceCost(l))
	p.costTable(string(Tools)+", one such question a second", p.ToolsCost())
}

func (p *pageWriter) costTable(name string, cost Cost) {
	p.text("### %s\n", strings.ToUpper(name[:1])+name[1:])
	p.table("", "state", "messages in", "messages out", "in", "out", "processor", "memory")
	for _, l := range append(slices.Clone(cost), cost.Total()) {
		cell := func(f Figure, text func(Figure) string) string {
			if f.Value == 0 {
				return ""
			}
			return text(f)
		}
		perS := func(f Figure) string { return f.withBasis(formatNumber(f.Value) + "/s") }
		p.row(l.Name, cell(l.StateBytes, Figure.FormatBytes), cell(l.MessagesInPerS, perS), cell(l.MessagesOutPerS, perS), cell(l.BytesInPerS, Figure.FormatRate),
			cell(l.BytesOutPerS, Figure.FormatRate), cell(l.CPUMicrosPerS, Figure.FormatCPU), cell(l.MemoryBytes, Figure.FormatBytes))
	}
	p.text("")
}

func (p *pageWriter) assumptions() {
	p.text("## Taken for granted\n")
	p.table("what", "figure", "why")
	for _, a := range p.Rows() {
		p.row(a.Name, a.Text, a.Reason)
	}
	p.text("\nNot counted: signing keys, revocations and spent token ids (the letter names none), the signed front, SNMP, logs, and what a")
	p.text("collection of garbage costs beside its room.\n")
}

func (p *pageWriter) recordings() {
	p.text("## Recorded slopes\n")
	p.text("Least squares, weighted by the inverse square of the measured value; linear unless that is off by more than 15 %% somewhere and")
	p.text("another model by at most half as much. The residual is the largest, as a share of what was measured. All in one process on a machine that")
	p.text("was shared with other work; processor is that of the process, not time passed.\n")
	p.table("recording", "what", "unit", "sizes", "fixed", "slope", "model", "residual", "command")
	for _, name := range slices.Sorted(maps.Keys(p.RecordingSet)) {
		r := p.RecordingSet[name]
		least, most := r.bounds()
		what := r.Quantity
		if r.Note != "" {
			what += " (" + r.Note + ")"
		}
		p.row(name, what, r.Unit, fmt.Sprintf("%s to %s %s", formatNumber(least), formatNumber(most), r.Driver), formatSignificant(r.Fixed), formatSignificant(r.Slope),
			string(r.Model), formatNumber(100*r.MaxResidual())+" %", "`"+r.Command+"`")
	}
}

// figures writes four significant figures, small ones too.
func formatSignificant(v float64) string { return fmt.Sprintf("%.4g", v) }

// Differs tells the first line in which two pages differ.
func FirstDifference(have, want []byte) (line int, differs bool) {
	if bytes.Equal(have, want) {
		return 0, false
	}
	a, b := bytes.Split(have, []byte("\n")), bytes.Split(want, []byte("\n"))
	for line = range min(len(a), len(b)) {
		if !bytes.Equal(a[line], b[line]) {
			return line + 1, true
		}
	}
	return min(len(a), len(b)) + 1, true
}
