package hollow

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"ravenwheel/internal/strictjson"
)

// Spec is one scenario, as a file has it: JSON with comments. Times of faults are seconds from when the fleet was whole.
type Scenario struct {
	Name          string  `json:"name"`
	Seed          uint64  `json:"seed"`
	Processes     []int   `json:"processes"` // the sizes that are played, members of the store among them
	Seconds       float64 `json:"seconds"`   // in which changes are committed
	SettleSeconds float64 `json:"settle_s"`  // after them: by its end nothing may be missing anywhere

	Regions               int     `json:"regions"`
	ZoneProcesses         int     `json:"zone_processes"`   // proxies and their distributors in a zone
	ProxiesPerDistributor int     `json:"per_distributor"`  // proxies for each distributor of a zone; a zone has at least two
	Voters                int     `json:"voters"`           // members of the store, one a region as far as those go
	RegionRelays          int     `json:"region_relays"`    // distributors between the store and those of zones, in each region
	FullProxies           int     `json:"whole"`            // proxies that hold all that a process holds; the others only receive. 0: all
	OutKBPerS             float64 `json:"out_kb_s"`         // of each process
	BatchMs               float64 `json:"batch_ms"`         // commits of so long are told together
	ElectionMs            float64 `json:"election_ms"`      // without a leader
	HandshakeBytes        int     `json:"handshake_bytes"`  // each way, of a connection that opens
	RecordBytes           int     `json:"record_bytes"`     // that frame and TLS add to a message
	PurgesPerS            float64 `json:"purges_per_s"`     // over the fleet
	GroupPurgeFraction    float64 `json:"group_purges"`     // share of them that name a group
	ChangesPerDay         float64 `json:"changes_per_day"`  // of lists, drains and the configuration
	Objects               int     `json:"objects"`          // purges name
	RevisionBytes         int     `json:"revision_bytes"`   // of a text of the configuration
	ZoneServers           int     `json:"zone_servers"`     // in a zone's list
	MaxLagMs              float64 `json:"bound_ms"`         // how far a process may be behind before it must say so
	MaxClockSkewMs        float64 `json:"clock_bound_ms"`   // how far two clocks may be apart
	RecoveredLagMs        float64 `json:"hold_healed_ms"`   // a process that lacks nothing older has healed
	PurgeWithinMs         float64 `json:"purge_within_ms"`  // the last process, what holds is checked against it
	ChangeWithinMs        float64 `json:"change_within_ms"` // the same of lists, drains and the configuration
	MaxProxyKBPerS        float64 `json:"proxy_kb_s"`       // in and out, the mean of a phase; a burst raises it by its size
	SnapshotKB            float64 `json:"snapshot_kb"`      // that one process more may take in a phase for each time it begins anew
	LeaderOutKBPerS       float64 `json:"leader_out_kb_s"`  // of today's leader; 0: like any
	Direct                bool    `json:"direct"`           // today's way: the leader feeds every process entry by entry
	Faults                []Fault `json:"faults"`
}

// Fault is one thing that goes wrong, and right again after For where that has a meaning.
type Fault struct {
	AtSeconds  float64 `json:"at_s"`
	ForSeconds float64 `json:"for_s"`
	Kind       string  `json:"kind"`
	Fraction   float64 `json:"share"`  // of the proxies, drawn from the seed
	Count      int     `json:"count"`  // of the processes, drawn from the seed
	Region     int     `json:"region"` // of a cut
	Magnitude  float64 `json:"size"`   // burst: times; slow: KB a second; clocks: seconds apart; loss: share
}

// kinds of fault: what each wants, and the most of its size.
var faultKinds = map[string]struct {
	share, count, region, lasts bool
	size                        float64 // 0: none
}{
	"leader":  {lasts: true},               // the member of the store that leads is killed, and back after for_s
	"kill":    {count: true, lasts: true},  // distributors of zones, at one instant, back after for_s
	"stop":    {count: true, lasts: true},  // distributors of zones stand still for for_s, and go on
	"cut":     {region: true, lasts: true}, // nothing passes between a region and the others
	"restart": {share: true},               // proxies end and begin anew with nothing, at one instant
	"slow":    {count: true, lasts: true, size: 1e6},
	"clocks":  {lasts: true, size: 10},
	"burst":   {lasts: true, size: 100},
	"loss":    {lasts: true, size: 0.5},
}

// Usual is what a file that says nothing has.
func DefaultScenario() Scenario {
	return Scenario{
		Seed: 1, Processes: []int{100}, Seconds: 20, SettleSeconds: 12, Regions: 6, ZoneProcesses: 233, ProxiesPerDistributor: 75, Voters: 5, RegionRelays: 2,
		OutKBPerS: 125_000, BatchMs: 20, ElectionMs: 2500, HandshakeBytes: 3000, RecordBytes: 26,
		PurgesPerS: 87, GroupPurgeFraction: 0.05, ChangesPerDay: 91_000, Objects: 20_000, RevisionBytes: 1500, ZoneServers: 12,
		MaxLagMs: 6800, MaxClockSkewMs: 250, RecoveredLagMs: 1000, PurgeWithinMs: 6800, ChangeWithinMs: 10_000, MaxProxyKBPerS: 17, SnapshotKB: 400,
	}
}

// Bounds of a run: what one machine can hold in minutes.
const (
	maxProcesses = 20_000
	maxSeconds   = 3600
)

// Parse reads the text of a file. Defects are all that is wrong, by line.
func Parse(file string, text []byte) (Scenario, strictjson.Defects) {
	s := DefaultScenario()
	s.Processes = nil // or a file's sizes would be written over the usual ones
	doc := strictjson.Decode(file, text, &s)
	if len(s.Processes) == 0 {
		s.Processes = DefaultScenario().Processes
	}
	if doc.Valid() {
		s.validate(doc)
	}
	doc.Defects.Sort()
	return s, doc.Defects
}

func (s *Scenario) validate(doc *strictjson.Document) {
	within := func(path string, v, least, most float64) {
		if !(v >= least && v <= most) {
			doc.Failf(path, "%s %.10g is not %.10g to %.10g", path[strings.LastIndexByte(path, '.')+1:], v, least, most)
		}
	}
	within("seconds", s.Seconds, 1, maxSeconds)
	within("settle_s", s.SettleSeconds, 1, maxSeconds)
	within("regions", float64(s.Regions), 1, 100)
	within("zone_processes", float64(s.ZoneProcesses), 4, 10_000)
	within("per_distributor", float64(s.ProxiesPerDistributor), 1, 10_000)
	within("voters", float64(s.Voters), 1, 9)
	within("region_relays", float64(s.RegionRelays), 1, 10)
	within("whole", float64(s.FullProxies), 0, maxProcesses)
	within("out_kb_s", s.OutKBPerS, 1, 1e9)
	within("leader_out_kb_s", s.LeaderOutKBPerS, 0, 1e9)
	within("batch_ms", s.BatchMs, 1, 1000)
	within("election_ms", s.ElectionMs, 0, 60_000)
	within("handshake_bytes", float64(s.HandshakeBytes), 0, 1e6)
	within("record_bytes", float64(s.RecordBytes), 0, 1000)
	within("purges_per_s", s.PurgesPerS, 0, 10_000)
	within("group_purges", s.GroupPurgeFraction, 0, 1)
	within("changes_per_day", s.ChangesPerDay, 0, 1e7)
	within("objects", float64(s.Objects), 1, 1e7)
	within("revision_bytes", float64(s.RevisionBytes), 1, 60_000)
	within("zone_servers", float64(s.ZoneServers), 1, 200)
	for path, v := range map[string]float64{
		"bound_ms": s.MaxLagMs, "clock_bound_ms": s.MaxClockSkewMs, "hold_healed_ms": s.RecoveredLagMs, "purge_within_ms": s.PurgeWithinMs,
		"change_within_ms": s.ChangeWithinMs, "proxy_kb_s": s.MaxProxyKBPerS, "snapshot_kb": s.SnapshotKB,
	} {
		within(path, v, 0, 1e6)
	}
	for i, n := range s.Processes {
		within(fmt.Sprintf("processes[%d]", i), float64(n), float64(minProcesses(*s)), maxProcesses)
	}
	for i, f := range s.Faults {
		s.validateFault(doc, fmt.Sprintf("faults[%d]", i), f, within)
	}
}

func (s *Scenario) validateFault(doc *strictjson.Document, at string, f Fault, within func(string, float64, float64, float64)) {
	k, known := faultKinds[f.Kind]
	if !known {
		names := make([]string, 0, len(faultKinds))
		for name := range faultKinds {
			names = append(names, name)
		}
		slices.Sort(names)
		doc.Failf(at+".kind", "kind %q is none of %s", f.Kind, strings.Join(names, ", "))
		return
	}
	within(at+".at_s", f.AtSeconds, 0, s.Seconds)
	if k.lasts {
		within(at+".for_s", f.ForSeconds, 0.1, s.Seconds+s.SettleSeconds-f.AtSeconds)
	} else if f.ForSeconds != 0 {
		doc.Failf(at+".for_s", "%s has no duration", f.Kind)
	}
	if k.share {
		within(at+".share", f.Fraction, 0.0001, 1)
	}
	if k.count {
		within(at+".count", float64(f.Count), 1, maxProcesses)
	}
	if k.region {
		within(at+".region", float64(f.Region), 0, float64(s.Regions-1))
	}
	if k.size > 0 {
		within(at+".size", f.Magnitude, 0.0001, k.size)
	}
}

// leastProcesses is the smallest fleet: the store, each region's relays, and a zone a region with two distributors and two
// proxies.
func minProcesses(s Scenario) int { return s.Voters + s.Regions*(s.RegionRelays+4) }

// Timeline is the faults in the order of their times.
func (s Scenario) Timeline() []Fault {
	out := slices.Clone(s.Faults)
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.AtSeconds, b.AtSeconds) })
	return out
}

// Valid checks a scenario again after a size or a seed was put in place of its own.
func (s Scenario) Valid() error {
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	_, bad := Parse(s.Name, raw)
	return bad.Err()
}
