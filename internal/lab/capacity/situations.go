package capacity

// Status says whether a mechanism exists.
type Status string

// The statuses.
const (
	Existing Status = "stands"     // already existed
	Built    Status = "built here" // built to meet the target
	Missing  Status = "missing"    // not built
)

// Mechanism is a part of the program that helps to keep the fleet within its budgets in a situation.
type Mechanism struct {
	Name    string
	Package string // that contains the mechanism, or would contain it
	Status  Status
}

// Situation is a minute in which the fleet must stay within its budgets.
type Situation struct {
	Name           string
	Load           Load
	Distributors   float64             // in service
	ExtraBytesPerS func(Design) Figure // that an affected process receives in addition to its load
	Mechanisms     []Mechanism
}

// Units of time in seconds.
const (
	secondsPerMinute = 60.0
	secondsPerHour   = 60 * secondsPerMinute
	secondsPerDay    = 24 * secondsPerHour
)

// packageDistribution is the package that contains several mechanisms.
const packageDistribution = "internal/decide/distribution"

func noExtraBytes(Design) Figure { return Figure{} }

// snapshotBytesPerS is the mean rate of a snapshot that is received within a minute.
func (f Fleet) snapshotBytesPerS(d Design) Figure {
	return f.SnapshotBytes(d, f.OrdinaryLoad()).Scale(1 / secondsPerMinute)
}

// startBytesPerS is the mean rate at which a process receives a snapshot and the membership in the minute of its start.
func (f Fleet) startBytesPerS(d Design) Figure {
	membership := f.Estimate("membership/whole-state", given(f.memberCount(d)))
	return f.snapshotBytesPerS(d).Plus(membership.Scale(stateRequestsPerStart / secondsPerMinute))
}

// lossBytesPerS returns the mean rate at which a process receives a snapshot and the updates on departed members, in a minute in
// which that many members leave.
func (f Fleet) lossBytesPerS(departed float64) func(Design) Figure {
	return func(d Design) Figure { return f.snapshotBytesPerS(d).Plus(f.departureBytesPerS(d, departed)) }
}

// Situations are the situations that the operators named. The first is the ordinary minute, the second the burst of purges.
func (f Fleet) Situations() []Situation {
	return []Situation{
		f.ordinaryMinute(), f.purgeBurst(), f.massRestart(), f.machineLoss(), f.rackLoss(), f.zoneLoss(), f.regionsApart(), f.rollback(),
	}
}

func (f Fleet) ordinaryMinute() Situation {
	return Situation{"an ordinary minute", f.OrdinaryLoad(), f.Distributors(), noExtraBytes, []Mechanism{
		{"levels of distributors, frames encoded once", packageDistribution, Built},
		{"state that the log produces", "internal/decide/storestate", Existing},
		{"lists as changes, of one's own region", packageDistribution + ", storestate", Missing},
	}}
}

func (f Fleet) purgeBurst() Situation {
	load := f.OrdinaryLoad()
	load.PurgesPerS *= f.BurstFactor
	return Situation{"a burst of ten times the purges", load, f.Distributors(), noExtraBytes, []Mechanism{
		{"a purge that does not scan all others", "internal/decide/storestate", Built},
		{"frames that batch purges for longer under load", packageDistribution, Missing},
		{"results kept for 10 minutes at ten times the rate", "internal/decide/storestate", Missing},
	}}
}

func (f Fleet) massRestart() Situation {
	load := f.OrdinaryLoad()
	load.StartsPerS = f.RestartsPerHour / secondsPerHour
	return Situation{"all 17,000 restarted within an hour", load, f.Distributors(), f.startBytesPerS, []Mechanism{
		{"snapshots in chunks from distributors, admitted at a bounded rate", packageDistribution, Built},
		{"membership within a region", "internal/peers", Missing},
	}}
}

func (f Fleet) machineLoss() Situation {
	return Situation{"a control machine lost", f.OrdinaryLoad(), f.Distributors() - 1, f.snapshotBytesPerS, []Mechanism{
		{"subscribers move to another distributor, and resume", packageDistribution, Built},
		{"the other voters of the store take over", "internal/store", Existing},
	}}
}

func (f Fleet) rackLoss() Situation {
	const name = "a rack lost, with a site's 19 proxies and one control machine"
	return Situation{name, f.OrdinaryLoad(), f.Distributors() - 1, f.lossBytesPerS(f.Proxies / f.Sites), []Mechanism{
		{"no two control machines in a rack", "a check of the operator's file", Missing},
		{"the same as above", packageDistribution, Built},
	}}
}

// zoneLoss includes one list change that drains all servers of the zone.
func (f Fleet) zoneLoss() Situation {
	const name = "a zone lost, with 233 proxies and one control machine"
	load := f.OrdinaryLoad()
	load.ListChangesPerS += 1 / secondsPerMinute
	return Situation{name, load, f.Distributors() - 1, f.lossBytesPerS(f.Proxies / f.Zones), []Mechanism{
		{"one list drains the zone's servers, without a jump in weights", "internal/decide/membership", Existing},
		{"distributors of another zone or region take its region's processes", packageDistribution, Built},
	}}
}

func (f Fleet) regionsApart() Situation {
	const name = "two regions apart for 5 minutes, and together again"
	return Situation{name, f.OrdinaryLoad(), f.Distributors(), f.snapshotBytesPerS, []Mechanism{
		{"a distributor subscribes to another root; processes that were cut off get a snapshot", packageDistribution, Built},
		{"a process beyond its bound serves strict classes from no copy", packageDistribution + " (FreshnessGate)", Built},
		{"the request path asks the gate", "internal/core", Missing},
	}}
}

// rollback includes two additional revisions within a minute.
func (f Fleet) rollback() Situation {
	load := f.OrdinaryLoad()
	load.RevisionsPerS += 2 / secondsPerMinute
	return Situation{"a wrong configuration rolled back", load, f.Distributors(), noExtraBytes, []Mechanism{
		{"the text of an earlier revision as a new one", "internal/store, internal/decide/storestate", Existing},
		{"revisions kept for longer than a quarter of an hour", "internal/decide/storestate", Missing},
		{"a revision tried on few processes first", "none", Missing},
	}}
}

// SituationBytesPerS is the traffic of an affected proxy, in both directions, in the worst minute of a situation.
func (f Fleet) SituationBytesPerS(s Situation, d Design) Figure {
	return f.ProxyCost(d, s.Load).Total().BytesPerS().Plus(s.ExtraBytesPerS(d))
}
