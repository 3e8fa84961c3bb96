package hollow

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is one run at one size, as its JSON has it.
type Result struct {
	Name        string         `json:"name"`
	Mode        string         `json:"way"` // levels or direct
	Processes   int            `json:"processes"`
	Roles       map[string]int `json:"roles"`
	FullProxies int            `json:"whole_proxies"` // that hold all that a process holds
	Zones       int            `json:"zones"`
	Scenario    Scenario       `json:"scenario"`

	Entries     [2]int            `json:"entries"` // committed: purges; lists, drains and revisions
	Propagation [2]LatencySummary `json:"everywhere_ms"`
	PerProcess  [2]LatencySummary `json:"each_ms"`
	AfterFault  [2]LatencySummary `json:"after_fault_ms"`
	Recoveries  []Recovery        `json:"healed"`
	Phases      []Phase           `json:"phases"`
	RoleCosts   []RoleCost        `json:"per_role"`

	Events                  uint64         `json:"events"`
	VirtualSeconds          float64        `json:"virtual_s"`
	CPUSeconds              float64        `json:"processor_s"` // of this operating system's process in the run
	HarnessCPUSeconds       float64        `json:"harness_s"`   // of it in the same loop with empty machines; below 0: not measured
	HarnessComplete         bool           `json:"harness_whole"`
	WallSeconds             float64        `json:"wall_s"`
	HeapMB                  float64        `json:"heap_mb"` // at the end, after a collection, fleet and harness
	Handshakes              int            `json:"handshakes"`
	Snapshots               int            `json:"snapshots"`
	DisconnectCauses        map[string]int `json:"left"`
	GatedFraction           float64        `json:"held_share"`     // of the time of all processes, a stream each
	NeedlesslyGatedFraction float64        `json:"needless_share"` // of the same: held without being behind
	Violations              int            `json:"broken"`
	ViolationTexts          []string       `json:"rules"`
	ExceededLimits          []string       `json:"beyond"` // limits that today's way, which is there to be compared with, is beyond
}

// Spread is a distribution of times, in ms.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"last"`
}

// RoleCost is what a process of a role costs, on average over the time in which changes are committed.
type RoleCost struct {
	Role            string  `json:"role"`
	Processes       int     `json:"processes"`
	InKBPerS        float64 `json:"in_kb_s"`
	OutKBPerS       float64 `json:"out_kb_s"`
	MessagesInPerS  float64 `json:"messages_in_s"`
	MessagesOutPerS float64 `json:"messages_out_s"`
	MaxOutKBPerS    float64 `json:"most_out_kb_s"` // of one process
	CallsPerS       float64 `json:"calls_s"`
	MicrosPerCall   float64 `json:"us_a_call"`     // of processes that hold all, timed on the wall
	CPUPercent      float64 `json:"cpu_percent"`   // of a core: calls a second times their time
	HeapMB          float64 `json:"heap_mb"`       // of one that holds all; 0: none does
	LightHeapMB     float64 `json:"light_heap_mb"` // of one that only receives; 0: none does
	CallsTimed      int64   `json:"calls_timed"`
}

func summarize(h *hdrhistogram.Histogram) LatencySummary {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{h.TotalCount(), at(50), at(99), float64(h.Max()) / 1000}
}

// everywhere is how long entries took to the last process that was there all the time.
func (sim *simulation) propagation(stream int) LatencySummary {
	h := hdrhistogram.New(1, 1_000_000_000, 3)
	for _, c := range sim.log.streams[stream] {
		if c.committedAt >= warmUpMs {
			_ = h.RecordValue(int64(c.maxLatencyMs*1000) + 1)
		}
	}
	return summarize(h)
}

// result is what a run showed, but for what is measured round it.
func (sim *simulation) result(n int, name string) *Result {
	seconds := sim.now / 1000
	r := &Result{
		Name: sim.scenario.Name, Mode: name, Processes: n, RoleCosts: []RoleCost{}, Roles: map[string]int{}, Zones: sim.zones, Scenario: sim.scenario, Recoveries: sim.recoveries, Phases: sim.phases,
		Events: sim.processed, VirtualSeconds: seconds, Handshakes: sim.handshakes, Snapshots: sim.snapshots, Violations: sim.checker.violations, ViolationTexts: sim.checker.violationTexts, HarnessCPUSeconds: -1,
	}
	for stream := range streamNames {
		r.Entries[stream] = len(sim.log.streams[stream])
		r.Propagation[stream] = sim.propagation(stream)
		r.PerProcess[stream], r.AfterFault[stream] = summarize(sim.checker.latency[stream]), summarize(sim.checker.latencyAfterFault[stream])
	}
	if l, ok := sim.propagator.(*treePropagator); ok {
		r.DisconnectCauses = l.disconnectCauses
		total := 2 * float64(n-len(sim.byRole[Store])) * (sim.now - warmUpMs)
		r.GatedFraction, r.NeedlesslyGatedFraction = sim.checker.gatedMs/total, sim.checker.needlesslyGatedMs/total
	}
	for _, c := range sim.roleCosts {
		r.Roles[c.Role] = c.Processes
		r.RoleCosts = append(r.RoleCosts, c)
	}
	if last := len(r.Phases) - 1; last >= 0 && r.Phases[last].ToSeconds == 0 {
		r.Phases = r.Phases[:last] // it had just begun
	}
	for _, p := range sim.byRole[Proxy] {
		r.FullProxies += boolToInt(p.full)
		if p.applier != nil && p.applier.err != nil {
			sim.checker.violation("%s: %v", p.name, p.applier.err)
			r.Violations, r.ViolationTexts = sim.checker.violations, sim.checker.violationTexts
		}
	}
	return r
}

func (sim *simulation) roleCost(role Role, ps []*process, seconds float64) RoleCost {
	c := RoleCost{Role: role.String(), Processes: len(ps)}
	whole := 0
	for _, p := range ps {
		c.InKBPerS += float64(p.in.Bytes)
		c.OutKBPerS += float64(p.out.Bytes)
		c.MessagesInPerS += float64(p.in.Messages)
		c.MessagesOutPerS += float64(p.out.Messages)
		c.MaxOutKBPerS = max(c.MaxOutKBPerS, float64(p.out.Bytes)/seconds/1000)
		whole += boolToInt(p.full)
	}
	n := float64(len(ps)) * seconds
	c.InKBPerS, c.OutKBPerS, c.MessagesInPerS, c.MessagesOutPerS = c.InKBPerS/n/1000, c.OutKBPerS/n/1000, c.MessagesInPerS/n, c.MessagesOutPerS/n
	s := sim.meter.roles[role]
	c.CallsPerS = float64(s.Calls) / n
	if c.CallsTimed = s.TimedCalls; s.TimedCalls > 0 && whole > 0 {
		c.MicrosPerCall = float64(s.TimedNanos) / float64(s.TimedCalls) / 1000
		c.CPUPercent = 100 * c.MicrosPerCall / 1e6 * float64(s.FullCalls) / (float64(whole) * seconds)
	}
	return c
}

// judge holds a run against what the scenario says must hold, beside what the checker saw on the way. Today's way is there to
// be compared with: where it is beyond a limit, that is told and breaks nothing.
func (sim *simulation) judge(r *Result) {
	s := sim.scenario
	beyond := sim.checker.violation
	if !sim.propagator.hasFreshnessGate() {
		beyond = func(format string, args ...any) {
			r.ExceededLimits = append(r.ExceededLimits, fmt.Sprintf(format, args...))
		}
	}
	if sim.checker.incompleteProcesses > 0 {
		beyond("%d processes lack up to %d entries at the end, %.0f s after the last was committed", sim.checker.incompleteProcesses, sim.checker.maxMissing, s.SettleSeconds)
	}
	for stream, most := range []float64{s.PurgeWithinMs, s.ChangeWithinMs} {
		if e := r.Propagation[stream]; most > 0 && e.Max > most {
			x := sim.slowest(stream)
			beyond("stream %d: entry %d of %.1f s took %.0f ms to %s, the last process, %.0f are allowed", stream, x.entry.Sequence, x.committedAt/1000,
				x.maxLatencyMs, sim.processes[x.slowestProcess].name, most)
		}
	}
	for _, x := range r.Phases {
		if s.MaxProxyKBPerS == 0 {
			break
		}
		p := x.Traffic[Proxy]
		most := s.MaxProxyKBPerS * math.Max(1, x.PurgeRateFactor)
		most += s.SnapshotKB * float64(x.RestartedProxies) / float64(r.Roles[Proxy.String()]) / max(1, x.ToSeconds-x.FromSeconds)
		if p.InKBPerS+p.OutKBPerS > most {
			beyond("from %.1f to %.1f s a proxy passes %.1f KB/s on average, %.1f are allowed", x.FromSeconds, x.ToSeconds, p.InKBPerS+p.OutKBPerS, most)
		}
		// What goes down is what comes in, once for each below: a bounded load's share of them, and a relay's among them.
		below := maxLoadFactor*float64(s.ProxiesPerDistributor) + 2
		if d := x.Traffic[Zone]; d.OutKBPerS > most*below {
			beyond("from %.1f to %.1f s a distributor sends %.1f KB/s on average, %.1f are allowed", x.FromSeconds, x.ToSeconds, d.OutKBPerS, most*below)
		}
	}
	r.Violations, r.ViolationTexts = sim.checker.violations, sim.checker.violationTexts
}

// slowest is the entry that took longest to the last process.
func (sim *simulation) slowest(stream int) *logEntry {
	x := &logEntry{}
	for _, c := range sim.log.streams[stream] {
		if c.committedAt >= warmUpMs && c.maxLatencyMs >= x.maxLatencyMs {
			x = c
		}
	}
	return x
}

// loadBound is how much more than its even share a distributor may have below it, as distribution.Defaults has it.
const maxLoadFactor = 1.25
