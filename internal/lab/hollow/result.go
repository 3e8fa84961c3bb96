package hollow

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of one run. Arrays of two are by stream: first purges, then lists, drains and revisions.
type Result struct {
	Name        string         `json:"name"`
	Mode        Mode           `json:"way"`
	Processes   int            `json:"processes"`
	Roles       map[string]int `json:"roles"` // processes by role
	FullProxies int            `json:"whole_proxies"`
	Zones       int            `json:"zones"`
	Scenario    Scenario       `json:"scenario"`

	Entries     [streamCount]int            `json:"entries"`        // committed
	Propagation [streamCount]LatencySummary `json:"everywhere_ms"`  // of each entry, to the last process connectable throughout
	PerProcess  [streamCount]LatencySummary `json:"each_ms"`        // of each entry at each process connectable throughout
	AfterFault  [streamCount]LatencySummary `json:"after_fault_ms"` // at the others, from when they became connectable
	Recoveries  []Recovery                  `json:"healed"`
	Phases      []Phase                     `json:"phases"`
	RoleCosts   []RoleCost                  `json:"per_role"`

	Events                  uint64         `json:"events"`
	VirtualSeconds          float64        `json:"virtual_s"`
	CPUSeconds              float64        `json:"processor_s"`   // of this operating-system process during the run
	HarnessCPUSeconds       float64        `json:"harness_s"`     // the simulation's part of CPUSeconds; below 0: not measured
	HarnessComplete         bool           `json:"harness_whole"` // HarnessCPUSeconds covers the whole run, with no estimate
	WallSeconds             float64        `json:"wall_s"`
	HeapMB                  float64        `json:"heap_mb"` // at the end, of the processes and the simulation
	Handshakes              int            `json:"handshakes"`
	Snapshots               int            `json:"snapshots"`      // installed
	DisconnectCauses        map[string]int `json:"left"`           // of ModeLevels, number by cause
	GatedFraction           float64        `json:"held_share"`     // of the time of all processes, with a freshness gate closed
	NeedlesslyGatedFraction float64        `json:"needless_share"` // part of GatedFraction without lag, see checkGate
	Violations              int            `json:"broken"`
	ViolationTexts          []string       `json:"rules"`  // of the first maxViolationTexts
	ExceededLimits          []string       `json:"beyond"` // in ModeDirect, where exceeding a limit is no violation
}

// LatencySummary summarises latencies in ms.
type LatencySummary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"last"`
}

// RoleCost is the cost of a process of a role, on average over the scenario's Seconds, in which changes are committed.
type RoleCost struct {
	Role            string  `json:"role"`
	Processes       int     `json:"processes"`
	InKBPerS        float64 `json:"in_kb_s"`
	OutKBPerS       float64 `json:"out_kb_s"`
	MessagesInPerS  float64 `json:"messages_in_s"`
	MessagesOutPerS float64 `json:"messages_out_s"`
	MaxOutKBPerS    float64 `json:"most_out_kb_s"` // of one process
	CallsPerS       float64 `json:"calls_s"`       // of the deciders
	MicrosPerCall   float64 `json:"us_a_call"`     // of full processes, in wall-clock time
	CPUPercent      float64 `json:"cpu_percent"`   // of a core, of a full process: calls per second times MicrosPerCall
	HeapMB          float64 `json:"heap_mb"`       // of a full process; 0: the role has none
	LightHeapMB     float64 `json:"light_heap_mb"` // of a process that is not full; 0: the role has none
	CallsTimed      int64   `json:"calls_timed"`
}

// result collects the results of a run, except for those that are measured outside of the simulation.
func (sim *simulation) result(size int, mode Mode) *Result {
	r := &Result{
		Name:              sim.scenario.Name,
		Mode:              mode,
		Processes:         size,
		Roles:             map[string]int{},
		Zones:             sim.zones,
		Scenario:          sim.scenario,
		Recoveries:        sim.recoveries,
		Phases:            sim.completePhases(),
		RoleCosts:         []RoleCost{},
		Events:            sim.processed,
		VirtualSeconds:    sim.now / 1000,
		HarnessCPUSeconds: -1,
		Handshakes:        sim.handshakes,
		Snapshots:         sim.snapshots,
	}
	for stream := range streamCount {
		r.Entries[stream] = len(sim.log.streams[stream])
		r.Propagation[stream] = sim.propagation(stream)
		r.PerProcess[stream] = summarize(sim.checker.latency[stream])
		r.AfterFault[stream] = summarize(sim.checker.latencyAfterFault[stream])
	}
	if tree, ok := sim.propagator.(*treePropagator); ok {
		r.DisconnectCauses = tree.disconnectCauses
		total := streamCount * float64(size-len(sim.byRole[StoreMember])) * (sim.now - warmUpMs)
		r.GatedFraction, r.NeedlesslyGatedFraction = sim.checker.gatedMs/total, sim.checker.needlesslyGatedMs/total
	}
	for _, cost := range sim.roleCosts {
		r.Roles[cost.Role] = cost.Processes
		r.RoleCosts = append(r.RoleCosts, cost)
	}
	for _, p := range sim.byRole[Proxy] {
		r.FullProxies += boolToInt(p.full)
		if p.applier != nil && p.applier.lastError != nil {
			sim.checker.violation("%s: %v", p.name, p.applier.lastError)
		}
	}
	r.copyViolations(sim.checker)
	return r
}

func (r *Result) copyViolations(c *checker) {
	r.Violations, r.ViolationTexts = c.violations, c.violationTexts
}

// completePhases returns the phases that have ended. The last phase has not if it started at the end of the run.
func (sim *simulation) completePhases() []Phase {
	last := len(sim.phases) - 1
	if last >= 0 && sim.phases[last].ToSeconds == 0 {
		return sim.phases[:last]
	}
	return sim.phases
}

// propagation summarises the times that the entries of a stream took to the last process that was connectable throughout.
func (sim *simulation) propagation(stream int) LatencySummary {
	h := newLatencyHistogram()
	for _, entry := range sim.log.streams[stream] {
		if entry.committedAt >= warmUpMs {
			recordLatency(h, entry.maxLatencyMs)
		}
	}
	return summarize(h)
}

// summarize converts a histogram of µs to a summary in ms.
func summarize(h *hdrhistogram.Histogram) LatencySummary {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return LatencySummary{Count: h.TotalCount(), P50: quantile(50), P99: quantile(99), Max: float64(h.Max()) / 1000}
}

// roleCost is the mean cost of a role's processes over the given number of seconds.
func (sim *simulation) roleCost(role Role, processes []*process, seconds float64) RoleCost {
	cost := RoleCost{Role: role.String(), Processes: len(processes)}
	fullProcesses := 0
	var in, out, messagesIn, messagesOut float64
	for _, p := range processes {
		in += float64(p.in.Bytes)
		out += float64(p.out.Bytes)
		messagesIn += float64(p.in.Messages)
		messagesOut += float64(p.out.Messages)
		cost.MaxOutKBPerS = max(cost.MaxOutKBPerS, float64(p.out.Bytes)/seconds/1000)
		fullProcesses += boolToInt(p.full)
	}
	processSeconds := float64(len(processes)) * seconds
	cost.InKBPerS, cost.OutKBPerS = in/processSeconds/1000, out/processSeconds/1000
	cost.MessagesInPerS, cost.MessagesOutPerS = messagesIn/processSeconds, messagesOut/processSeconds
	stats := sim.meter.roles[role]
	cost.CallsPerS = float64(stats.Calls) / processSeconds
	cost.CallsTimed = stats.TimedCalls
	if stats.TimedCalls > 0 && fullProcesses > 0 {
		cost.MicrosPerCall = float64(stats.TimedNanos) / float64(stats.TimedCalls) / 1000
		cost.CPUPercent = 100 * cost.MicrosPerCall / 1e6 * float64(stats.FullCalls) / (float64(fullProcesses) * seconds)
	}
	return cost
}
