package hollow

import (
	"fmt"
	"slices"
	"strings"

	"ravenwheel/internal/strictjson"
)

// Bounds that allow one machine to play a run within minutes.
const (
	maxProcesses = 20_000
	maxSeconds   = 3600
)

// minMagnitude is the least Fraction or Magnitude of a fault.
const minMagnitude = 0.0001

// faultUsage tells which fields of Fault a kind of fault uses.
type faultUsage struct {
	fraction, count, region, duration bool
	maxMagnitude                      float64 // 0: no magnitude
}

var faultUsages = map[FaultKind]faultUsage{
	FaultLeader:  {duration: true},
	FaultKill:    {count: true, duration: true},
	FaultStop:    {count: true, duration: true},
	FaultCut:     {region: true, duration: true},
	FaultRestart: {fraction: true},
	FaultSlow:    {count: true, duration: true, maxMagnitude: 1e6},
	FaultClocks:  {duration: true, maxMagnitude: 10},
	FaultBurst:   {duration: true, maxMagnitude: 100},
	FaultLoss:    {duration: true, maxMagnitude: 0.5},
}

// fieldRange is the value of a numeric field and the range that is allowed.
type fieldRange struct {
	path            string
	value, min, max float64
}

// ranges returns the ranges of all fields that are not part of a fault.
func (s *Scenario) ranges() []fieldRange {
	const maxLimit = 1e6 // for limits, in ms, KB or KB/s
	ranges := []fieldRange{
		{"seconds", s.Seconds, 1, maxSeconds},
		{"settle_s", s.SettleSeconds, 1, maxSeconds},
		{"regions", float64(s.Regions), 1, 100},
		{"zone_processes", float64(s.ZoneProcesses), 4, 10_000},
		{"per_distributor", float64(s.ProxiesPerDistributor), 1, 10_000},
		{"voters", float64(s.Voters), 1, 9},
		{"region_relays", float64(s.RegionRelays), 1, 10},
		{"whole", float64(s.FullProxies), 0, maxProcesses},
		{"out_kb_s", s.OutKBPerS, 1, 1e9},
		{"leader_out_kb_s", s.LeaderOutKBPerS, 0, 1e9},
		{"batch_ms", s.BatchMs, 1, 1000},
		{"election_ms", s.ElectionMs, 0, 60_000},
		{"handshake_bytes", float64(s.HandshakeBytes), 0, 1e6},
		{"record_bytes", float64(s.RecordBytes), 0, 1000},
		{"purges_per_s", s.PurgesPerS, 0, 10_000},
		{"group_purges", s.GroupPurgeFraction, 0, 1},
		{"changes_per_day", s.ChangesPerDay, 0, 1e7},
		{"objects", float64(s.Objects), 1, 1e7},
		{"revision_bytes", float64(s.RevisionBytes), 1, 60_000},
		{"zone_servers", float64(s.ZoneServers), 1, 200},
		{"bound_ms", s.MaxLagMs, 0, maxLimit},
		{"clock_bound_ms", s.MaxClockSkewMs, 0, maxLimit},
		{"hold_healed_ms", s.RecoveredLagMs, 0, maxLimit},
		{"purge_within_ms", s.PurgeWithinMs, 0, maxLimit},
		{"change_within_ms", s.ChangeWithinMs, 0, maxLimit},
		{"proxy_kb_s", s.MaxProxyKBPerS, 0, maxLimit},
		{"snapshot_kb", s.SnapshotKB, 0, maxLimit},
	}
	for i, n := range s.Processes {
		ranges = append(ranges, fieldRange{fmt.Sprintf("processes[%d]", i), float64(n), float64(s.minProcesses()), maxProcesses})
	}
	return ranges
}

func (s *Scenario) validate(doc *strictjson.Document) {
	for _, field := range s.ranges() {
		field.check(doc)
	}
	for i, fault := range s.Faults {
		s.validateFault(doc, fmt.Sprintf("faults[%d]", i), fault)
	}
}

// check reports a value that is out of its range.
func (f fieldRange) check(doc *strictjson.Document) {
	if !(f.value >= f.min && f.value <= f.max) { // this form also reports NaN
		name := f.path[strings.LastIndexByte(f.path, '.')+1:]
		doc.Failf(f.path, "%s %.10g is not from %.10g to %.10g", name, f.value, f.min, f.max)
	}
}

func (s *Scenario) validateFault(doc *strictjson.Document, path string, fault Fault) {
	usage, known := faultUsages[fault.Kind]
	if !known {
		doc.Failf(path+".kind", "kind %q is not one of %s", fault.Kind, strings.Join(faultKindNames(), ", "))
		return
	}
	fieldRange{path + ".at_s", fault.AtSeconds, 0, s.Seconds}.check(doc)
	if usage.duration {
		fieldRange{path + ".for_s", fault.ForSeconds, 0.1, s.Seconds + s.SettleSeconds - fault.AtSeconds}.check(doc)
	} else if fault.ForSeconds != 0 {
		doc.Failf(path+".for_s", "%s has no duration", fault.Kind)
	}
	if usage.fraction {
		fieldRange{path + ".share", fault.Fraction, minMagnitude, 1}.check(doc)
	}
	if usage.count {
		fieldRange{path + ".count", float64(fault.Count), 1, maxProcesses}.check(doc)
	}
	if usage.region {
		fieldRange{path + ".region", float64(fault.Region), 0, float64(s.Regions - 1)}.check(doc)
	}
	if usage.maxMagnitude > 0 {
		fieldRange{path + ".size", fault.Magnitude, minMagnitude, usage.maxMagnitude}.check(doc)
	}
}

func faultKindNames() []string {
	names := make([]string, 0, len(faultUsages))
	for kind := range faultUsages {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return names
}
