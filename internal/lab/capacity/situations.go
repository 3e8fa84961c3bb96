package capacity

// Standing is how far a mechanism has got.
type Status string

// The standings.
const (
	Existing Status = "stands"
	Built    Status = "built here"
	Missing  Status = "missing"
)

// Mechanism is what carries a situation, and where it is.
type Mechanism struct {
	Name    string
	Package string
	Status  Status
}

// Situation is one that the fleet must go through within its budgets.
type Situation struct {
	Name         string
	Load         Load
	Distributors float64
	// Extra is what a process that is hit receives on top, a second, over its worst minute.
	ExtraBytesPerS func(Design) Figure
	Mechanisms     []Mechanism
}

const secondsPerMinute = 60.0 // s

func noExtraBytes(Design) Figure { return Figure{} }

// Situations are those of the operators' letter.
func (f Fleet) Situations() []Situation {
	usual, all := f.OrdinaryLoad(), f.Distributors()
	burst, restart, zone, rollback := usual, usual, usual, usual
	burst.PurgesPerS *= f.BurstFactor
	restart.StartsPerS = f.RestartsPerHour / 3600
	zone.ListChangesPerS += 1 / secondsPerMinute // one list that drains all of them
	rollback.RevisionsPerS += 2 / secondsPerMinute
	snapshot := func(d Design) Figure { return f.SnapshotBytes(d, usual).Scale(1 / secondsPerMinute) }
	starting := func(d Design) Figure {
		whole := f.Estimate("membership/whole-state", given(f.memberCount(d)))
		return snapshot(d).Plus(whole.Scale(stateRequestsPerStart / secondsPerMinute))
	}
	losing := func(members float64) func(Design) Figure {
		return func(d Design) Figure { return snapshot(d).Plus(f.departureBytesPerS(d, members)) }
	}
	tree := Mechanism{"levels of distributors, frames encoded once", "internal/decide/distribution", Built}
	return []Situation{
		{"an ordinary minute", usual, all, noExtraBytes, []Mechanism{tree,
			{"state that the log adds up to", "internal/decide/storestate", Existing},
			{"lists as changes, of one's own region", "internal/decide/distribution, replica", Missing}}},
		{"a burst of ten times the purges", burst, all, noExtraBytes, []Mechanism{
			{"a purge without a look through all others", "internal/decide/storestate", Built},
			{"frames that gather purges for longer under load", "internal/decide/distribution", Missing},
			{"results kept for 10 minutes at ten times the rate", "internal/decide/storestate", Missing}}},
		{"all 17,000 restarted within an hour", restart, all, starting, []Mechanism{
			{"snapshots in chunks from distributors, admitted at a bounded rate", "internal/decide/distribution", Built},
			{"membership within a region", "internal/peers", Missing}}},
		{"a control machine lost", usual, all - 1, snapshot, []Mechanism{
			{"subscribers move to another distributor, and resume", "internal/decide/distribution", Built},
			{"members of the store that vote take over", "internal/store", Existing}}},
		{"a rack lost, with a site's 19 proxies and one control machine", usual, all - 1, losing(f.Proxies / f.Sites), []Mechanism{
			{"no two control machines in a rack", "a check of the operator's file", Missing},
			{"the same as above", "internal/decide/distribution", Built}}},
		{"a zone lost, with 233 proxies and one control machine", zone, all - 1, losing(f.Proxies / f.Zones), []Mechanism{
			{"the zone's servers go by one list, without a jump in weights", "internal/decide/membership", Existing},
			{"distributors of another zone or region take its region's processes", "internal/decide/distribution", Built}}},
		{"two regions apart for 5 minutes, and together again", usual, all, snapshot, []Mechanism{
			{"a distributor hears another root; who was cut off gets a snapshot", "internal/decide/distribution", Built},
			{"a process past its bound holds its strict classes", "internal/decide/distribution (FreshnessGate)", Built},
			{"the request path asks the gate", "internal/core", Missing}}},
		{"a wrong configuration rolled back", rollback, all, noExtraBytes, []Mechanism{
			{"the text of an earlier revision as a new one", "internal/store, replica", Existing},
			{"revisions kept for longer than a quarter of an hour", "internal/decide/storestate", Missing},
			{"a revision tried on few processes first", "none", Missing}}},
	}
}

// ProxyBytes are those of both ways in the situation's worst minute.
func (f Fleet) SituationBytesPerS(s Situation, d Design) Figure {
	return f.ProxyCost(d, s.Load).Total().BytesPerS().Plus(s.ExtraBytesPerS(d))
}

// Place is what the 42 machines are, and what remains of them after a loss.
type Loss struct {
	Name                             string
	VotersLeft, VotersNeeded         int
	DistributorsLeft                 float64
	ProxiesPerDistributor            Figure // a distributor that is left, on average
	Unserved                         string // whose processes have no distributor in their region
	Commits, Delivers, MayBeLostNext string
}

// Places are the losses. Voters stand in five regions, no two control machines in one zone, and each region has a
// distributor; the five left over stand in the five largest regions, in another zone of theirs.
func (f Fleet) Losses() []Loss {
	all := f.Distributors()
	place := func(loss string, voting int, distributors float64, local, commits, delivers, remains string) Loss {
		return Loss{loss, voting, voters/2 + 1, distributors, f.subscribersPerDistributor(distributors), local, commits, delivers, remains}
	}
	return []Loss{
		place("none", voters, all, "none", "yes", "everywhere", "two voters may go; any distributor"),
		place("a distributor's machine", voters, all-1, "one region's 531, in 27 of 32 regions", "yes", "everywhere, after the move", "the same"),
		place("a voter's machine", voters-1, all, "none", "yes", "everywhere", "one voter more"),
		place("the leader's machine", voters-1, all, "none", "after an election", "everywhere", "one voter more"),
		place("a rack or a zone with a distributor", voters, all-1, "one region's 531, in 27 of 32 regions", "yes", "everywhere, after the move", "the same"),
		place("a zone with a voter", voters-1, all, "none", "yes, after an election where it led", "everywhere", "one voter more"),
		place("a region with a voter and a distributor", voters-1, all-1, "none: they are gone too", "yes", "everywhere else", "one voter more"),
		place("two regions apart, of any other path", voters, all, "none", "yes: each voter reaches three others", "everywhere, over a root of a third region", "the same"),
		place("a region cut off from all others", voters-1, all-1, "none", "yes, outside it", "everywhere else; inside it the bound is passed", "one voter more"),
		place("three voters", voters-3, all, "none", "no: no quorum", "nothing new; all pass the bound", "nothing until one is back"),
	}
}
