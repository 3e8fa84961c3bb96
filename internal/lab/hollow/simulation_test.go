package hollow

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func readScenario(t *testing.T, name string) Scenario {
	t.Helper()
	path := filepath.Join("../../../lab/scale", name)
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	s, defects := Parse(path, text)
	require.NoError(t, defects.Err())
	return s
}

func runScenario(t *testing.T, s Scenario, mode Mode, measureHarness bool) *Result {
	t.Helper()
	r, err := Run(context.Background(), s, s.Processes[0], mode, measureHarness)
	require.NoError(t, err)
	return r
}

// A small fleet with every kind of fault has no violations: each process applies what was committed, within the limits of latency
// and traffic.
func TestFaultsCauseNoViolations(t *testing.T) {
	s := readScenario(t, "small.jsonc")
	r := runScenario(t, s, ModeLevels, false)
	t.Logf("%s", resultJSON(r))
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	require.Len(t, r.Recoveries, len(s.Faults))
}

// resultJSON returns a result as JSON, without its scenario and phases.
func resultJSON(r *Result) string {
	trimmed := *r
	trimmed.Scenario, trimmed.Phases = Scenario{}, nil
	raw, _ := json.Marshal(trimmed)
	return string(raw)
}

// tinyScenario is a short run of a small fleet with faults of several kinds.
func tinyScenario() Scenario {
	s := DefaultScenario()
	s.Name, s.Seconds, s.SettleSeconds, s.Processes, s.BatchMs, s.FullProxies = "tiny", 12, 10, []int{90}, 50, 3
	s.Faults = []Fault{
		{AtSeconds: 1, ForSeconds: 3, Kind: FaultKill, Count: 1},
		{AtSeconds: 2, ForSeconds: 2, Kind: FaultLeader},
		{AtSeconds: 5, ForSeconds: 3, Kind: FaultCut, Region: 1},
		{AtSeconds: 9, Kind: FaultRestart, Fraction: 0.5},
		{AtSeconds: 10, ForSeconds: 1, Kind: FaultLoss, Magnitude: 0.1},
	}
	return s
}

// withoutMeasurements returns a copy of a result without CPU time, wall-clock time and heap, which differ between runs.
func withoutMeasurements(r *Result) *Result {
	stripped := *r
	stripped.CPUSeconds, stripped.WallSeconds, stripped.HeapMB, stripped.HarnessCPUSeconds, stripped.RoleCosts = 0, 0, 0, 0, nil
	for _, cost := range r.RoleCosts {
		cost.MicrosPerCall, cost.CPUPercent, cost.HeapMB, cost.LightHeapMB = 0, 0, 0, 0
		stripped.RoleCosts = append(stripped.RoleCosts, cost)
	}
	return &stripped
}

// Two runs with the same seed have the same result; with another seed the result differs.
func TestSeedDeterminesRun(t *testing.T) {
	s := tinyScenario()
	first, err := json.Marshal(withoutMeasurements(runScenario(t, s, ModeLevels, false)))
	require.NoError(t, err)
	second, err := json.Marshal(withoutMeasurements(runScenario(t, s, ModeLevels, false)))
	require.NoError(t, err)
	require.JSONEq(t, string(first), string(second))
	s.Seed = 2
	otherSeed, err := json.Marshal(withoutMeasurements(runScenario(t, s, ModeLevels, false)))
	require.NoError(t, err)
	require.NotEqual(t, string(first), string(otherSeed))
}

// A run that is played back without deciders has the same number of events, traffic and latencies.
func TestReplayHasSameEvents(t *testing.T) {
	s := tinyScenario()
	for _, mode := range []Mode{ModeLevels, ModeDirect} {
		sim := newSimulation(s, 90, mode)
		sim.trace = &callTrace{}
		require.NoError(t, sim.run(context.Background()))
		replay := newSimulation(s, 90, ModeLevels)
		replay.propagator = &replayer{sim: replay, trace: sim.trace}
		require.NoError(t, replay.run(context.Background()))
		require.Equal(t, sim.processed, replay.processed)
		require.Equal(t, sim.handshakes, replay.handshakes)
		require.Equal(t, sim.propagation(purgeStream), replay.propagation(purgeStream))
		for i, p := range sim.processes {
			require.Equal(t, p.in, replay.processes[i].in, p.name)
			require.Equal(t, p.out, replay.processes[i].out, p.name)
		}
	}
}

// In both modes every entry reaches every process. The leader's traffic grows with the number of processes in ModeDirect only.
func TestLeaderTrafficGrowsInDirectModeOnly(t *testing.T) {
	s := tinyScenario()
	s.Faults = nil
	storeKB := func(n int, mode Mode) float64 {
		r, err := Run(context.Background(), s, n, mode, false)
		require.NoError(t, err)
		require.Zero(t, r.Violations, "%v", r.ViolationTexts)
		require.Equal(t, r.Entries[0]+r.Entries[1], int(r.PerProcess[0].Count+r.PerProcess[1].Count)/(n-s.Voters), "every entry must reach every process")
		return r.summaryRow().StoreKB
	}
	require.InEpsilon(t, 3, storeKB(270, ModeDirect)/storeKB(90, ModeDirect), 0.2)
	require.Less(t, storeKB(270, ModeLevels)/storeKB(90, ModeLevels), 1.5)
}

// In ModeDirect all entries reach all processes in spite of faults, among them restarted followers and a killed leader.
func TestDirectModeSurvivesFaults(t *testing.T) {
	r := runScenario(t, tinyScenario(), ModeDirect, false)
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	for _, limit := range r.ExceededLimits {
		require.NotContains(t, limit, "lack", "every process must have every committed entry at the end")
	}
}

// An entry takes bytes besides its data, and a response takes fewer bytes than a request with an entry.
func TestRaftSizesArePlausible(t *testing.T) {
	s := measureRaftSizes()
	require.Greater(t, s.request, 50)
	require.Greater(t, s.entry, 20)
	require.Greater(t, s.response, 20)
	require.Less(t, s.response, s.request+s.entry)
}

// The page shows the runs of both modes and has all plots. It cannot be written without runs.
func TestPageShowsBothModes(t *testing.T) {
	s := tinyScenario()
	s.Faults = s.Faults[:1]
	var runs []*Result
	for _, n := range []int{70, 100} {
		for _, mode := range []Mode{ModeLevels, ModeDirect} {
			r, err := Run(context.Background(), s, n, mode, false)
			require.NoError(t, err)
			runs = append(runs, r)
		}
	}
	var out strings.Builder
	require.NoError(t, WritePage(&out, "tiny", runs))
	require.Equal(t, 5, strings.Count(out.String(), "<svg"))
	require.Contains(t, out.String(), "direct, 100 processes")
	require.Error(t, WritePage(&out, "none", nil))
}

// Events are popped in the order of their times, and those of the same time in the order in which they were pushed.
func TestQueueOrdersEvents(t *testing.T) {
	q := &eventQueue{}
	rng := newRand(1, "q")
	var popped []int
	for i := range 3000 {
		at := rng.IntN(50)
		q.push(event{at: float64(at), kind: eventCall, call: func() { popped = append(popped, at*10_000+i) }})
	}
	for e, ok := q.pop(); ok; e, ok = q.pop() {
		e.call()
	}
	require.Len(t, popped, 3000)
	require.True(t, slices.IsSorted(popped))
}

// A process that reads slowly closes its gate while it lags, which is no violation.
func TestSlowProcessClosesGate(t *testing.T) {
	s := tinyScenario()
	s.Faults = []Fault{{AtSeconds: 1, ForSeconds: 8, Kind: FaultSlow, Count: 2, Magnitude: 1}}
	r := runScenario(t, s, ModeLevels, false)
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	require.Greater(t, r.GatedFraction, 0.0, "slow processes must close their gates")
}
