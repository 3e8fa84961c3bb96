package multiprocess

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
)

// AllZones as the zone of a fault means that it is not limited to one.
const AllZones = -1

// Fault is one fault of a scenario. Which fields apply depends on the kind.
type Fault struct {
	At       float64   `json:"at_s"`
	Duration float64   `json:"for_s"` // seconds, after which the fault is undone; 0 for kill: never
	Kind     FaultKind `json:"kind"`
	Fraction float64   `json:"share"` // of the processes or caches, which are drawn from the seed
	Zone     int       `json:"zone"`  // of the processes or caches, or AllZones
	From     int       `json:"from"`  // faults of links: the sending zone
	To       int       `json:"to"`    // faults of links: the receiving zone
	BothWays bool      `json:"both"`  // faults of links: also from To to From
	// Magnitude depends on the kind: loss and purge a fraction, jitter and slow ms, narrow KB/s.
	Magnitude float64 `json:"size"`
}

// FaultKind is what a fault does, by its name in a file.
type FaultKind string

// The kinds of faults.
const (
	KillProcesses    FaultKind = "kill"    // by SIGKILL; they are started again if the fault has a duration
	RestartProcesses FaultKind = "restart" // by SIGTERM, one after the other
	SuspendProcesses FaultKind = "stop"    // by SIGSTOP
	BlockLink        FaultKind = "cut"
	LoseDatagrams    FaultKind = "loss"
	DelayDatagrams   FaultKind = "jitter"
	LimitBandwidth   FaultKind = "narrow"
	ResetStreams     FaultKind = "reset"
	LoseZone         FaultKind = "lose"    // all caches of a zone; they restart without copies
	CrashCaches      FaultKind = "crash"   // they restart without copies
	ReplaceCaches    FaultKind = "replace" // they drain while others start
	SlowCaches       FaultKind = "slow"
	FailingCaches    FaultKind = "fail"   // they answer with errors
	SilentCaches     FaultKind = "silent" // they do not answer
	PurgeGroups      FaultKind = "purge"
	MoveDiscovery    FaultKind = "move" // and reload the processes
)

// faultTraits are which fields a kind of fault needs.
type faultTraits struct {
	fraction     bool
	link         bool
	caches       bool    // the fault affects caches, whose load is then measured
	maxMagnitude float64 // 0: the kind has no magnitude
}

// faultKinds are all kinds of faults.
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

// String returns the fault in the form of a file.
func (f Fault) String() string {
	encoded, _ := json.Marshal(f) // cannot fail: plain values
	return string(encoded)
}

// Random faults are drawn from these kinds, in this order, and from linkKinds where there are links.
var (
	randomKinds = []FaultKind{
		KillProcesses, RestartProcesses, SuspendProcesses, LoseZone, CrashCaches, ReplaceCaches, SlowCaches, FailingCaches, SilentCaches,
		PurgeGroups, MoveDiscovery,
	}
	linkKinds = []FaultKind{BlockLink, LoseDatagrams, DelayDatagrams, LimitBandwidth, ResetStreams}
)

// Random faults begin within the first lastRandomStart of a scenario and last at most maxRandomDuration of it, and at least
// minRandomDuration seconds.
const (
	lastRandomStart   = 0.7
	maxRandomDuration = 0.2
	minRandomDuration = 1
)

// Streams of the random number generators that use a scenario's seed.
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

// randomFault draws a fault. Equal seeds must keep drawing equal faults, so the number and order of draws stay as they are.
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
