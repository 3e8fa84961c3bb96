package multiprocess

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
)

// AllZones as the zone of a fault means that the fault is not limited to one zone.
const AllZones = -1

// Fault is one fault of a scenario. Its kind determines which of the other fields apply.
type Fault struct {
	At       float64   `json:"at_s"`  // seconds from the start of the scenario
	Duration float64   `json:"for_s"` // seconds until the fault is undone; 0 with kind kill: the processes are not started again
	Kind     FaultKind `json:"kind"`
	Fraction float64   `json:"share"` // of the processes or caches; which ones are drawn from the scenario's seed
	Zone     int       `json:"zone"`  // of the processes or caches, or AllZones
	From     int       `json:"from"`  // faults of links: the sending zone
	To       int       `json:"to"`    // faults of links: the receiving zone
	BothWays bool      `json:"both"`  // faults of links: also in the direction from To to From
	// Magnitude is a fraction with the kinds loss and purge, ms with jitter and slow, and KB/s with narrow.
	Magnitude float64 `json:"size"`
}

// FaultKind is the kind of a fault, as it is named in scenario files.
type FaultKind string

// The kinds of faults.
const (
	KillProcesses    FaultKind = "kill"    // by SIGKILL; they are started again if the fault has a duration
	RestartProcesses FaultKind = "restart" // stopped by SIGTERM and started again, one after the other
	SuspendProcesses FaultKind = "stop"    // by SIGSTOP; SIGCONT ends it
	BlockLink        FaultKind = "cut"     // datagrams are lost and streams stall
	LoseDatagrams    FaultKind = "loss"
	DelayDatagrams   FaultKind = "jitter"
	LimitBandwidth   FaultKind = "narrow"
	ResetStreams     FaultKind = "reset"
	LoseZone         FaultKind = "lose"    // all caches of a zone are killed; they restart without copies
	CrashCaches      FaultKind = "crash"   // caches are killed; they restart without copies
	ReplaceCaches    FaultKind = "replace" // caches drain while new ones start
	SlowCaches       FaultKind = "slow"    // answers take Magnitude longer
	FailingCaches    FaultKind = "fail"    // they answer with errors
	SilentCaches     FaultKind = "silent"  // they do not answer
	PurgeGroups      FaultKind = "purge"   // a fraction of the groups of objects is purged
	MoveDiscovery    FaultKind = "move"    // the discovery service, to another address; processes reload their configuration
)

// faultTraits says which fields of Fault a kind uses.
type faultTraits struct {
	fraction     bool    // Fraction
	link         bool    // From, To and BothWays
	caches       bool    // the fault affects caches, and the reaction of their load is measured
	maxMagnitude float64 // 0: the kind has no magnitude
}

// faultKinds holds the traits of every kind of fault.
var faultKinds = map[FaultKind]faultTraits{
	KillProcesses:    {fraction: true},
	RestartProcesses: {fraction: true},
	SuspendProcesses: {fraction: true},
	BlockLink:        {link: true},
	LoseDatagrams:    {link: true, maxMagnitude: 1},
	DelayDatagrams:   {link: true, maxMagnitude: 10_000},
	LimitBandwidth:   {link: true, maxMagnitude: 1e6},
	ResetStreams:     {link: true},
	LoseZone:         {caches: true},
	CrashCaches:      {fraction: true, caches: true},
	ReplaceCaches:    {fraction: true, caches: true},
	SlowCaches:       {fraction: true, caches: true, maxMagnitude: 10_000},
	FailingCaches:    {fraction: true, caches: true},
	SilentCaches:     {fraction: true, caches: true},
	PurgeGroups:      {maxMagnitude: 1},
	MoveDiscovery:    {},
}

// String returns the fault in JSON, as in a scenario file.
func (f Fault) String() string {
	encoded, _ := json.Marshal(f) // cannot fail: plain values
	return string(encoded)
}

// The kinds of which random faults are drawn: randomKinds, and also linkKinds if processes of several zones gossip. The order
// determines which faults a seed draws.
var (
	randomKinds = []FaultKind{
		KillProcesses, RestartProcesses, SuspendProcesses, LoseZone, CrashCaches, ReplaceCaches, SlowCaches, FailingCaches, SilentCaches,
		PurgeGroups, MoveDiscovery,
	}
	linkKinds = []FaultKind{BlockLink, LoseDatagrams, DelayDatagrams, LimitBandwidth, ResetStreams}
)

// Bounds of the start and duration of random faults.
const (
	lastRandomStart   = 0.7 // fraction of the scenario's time
	maxRandomDuration = 0.2 // fraction of the scenario's time, added to minRandomDuration
	minRandomDuration = 1   // seconds
)

// Second seeds of the random number generators whose first seed is the scenario's, so that their sequences differ.
const (
	timelineStream  = 3
	injectionStream = 4
)

// Timeline returns the faults of the scenario, the random ones included, ordered by time. It depends only on the scenario and
// its seed.
func (s Scenario) Timeline() []Fault {
	timeline := slices.Clone(s.Faults)
	rng := rand.New(rand.NewPCG(s.Seed, timelineStream))
	kinds := slices.Clone(randomKinds)
	if s.Peers && s.Zones > 1 {
		kinds = append(kinds, linkKinds...)
	}
	for range s.RandomFaults {
		timeline = append(timeline, s.randomFault(rng, kinds))
	}
	slices.SortStableFunc(timeline, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return timeline
}

// randomFault draws a fault. The number and order of draws must not change, so that a seed keeps drawing the same faults.
func (s Scenario) randomFault(rng *rand.Rand, kinds []FaultKind) Fault {
	f := Fault{
		At:       rng.Float64() * s.Seconds * lastRandomStart,
		Duration: minRandomDuration + rng.Float64()*s.Seconds*maxRandomDuration,
		Kind:     kinds[rng.IntN(len(kinds))],
		Fraction: 0.1 + rng.Float64()*0.4,
		Zone:     rng.IntN(s.Zones+1) - 1,
		From:     rng.IntN(s.Zones),
		BothWays: rng.IntN(2) == 0,
	}
	f.To = (f.From + 1 + rng.IntN(max(1, s.Zones-1))) % s.Zones
	switch f.Kind {
	case LoseDatagrams:
		f.Magnitude = 0.05 + rng.Float64()*0.4
	case LimitBandwidth:
		f.Magnitude = 1 + rng.Float64()*30
	case DelayDatagrams, SlowCaches:
		f.Magnitude = 20 + rng.Float64()*300
	case PurgeGroups:
		f.Magnitude = rng.Float64()
	case LoseZone:
		f.Zone = max(0, f.Zone)
	}
	return f
}
