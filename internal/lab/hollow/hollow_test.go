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
	s, bad := Parse(path, text)
	require.NoError(t, bad.Err())
	return s
}

func runScenario(t *testing.T, s Scenario, direct, loop bool) *Result {
	t.Helper()
	r, err := Run(context.Background(), s, s.Processes[0], direct, loop)
	require.NoError(t, err)
	return r
}

// Every fault on a small fleet: no committed purge, list, drain or revision is missed, all come in order and once, nobody is
// behind its bound without saying so, the last process is in time, and bytes stay bounded in each phase.
func TestEveryFault(t *testing.T) {
	s := readScenario(t, "small.jsonc")
	r := runScenario(t, s, false, false)
	t.Logf("%s", summary(r))
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	require.Len(t, r.Recoveries, len(s.Faults))
}

func summary(r *Result) string {
	x := *r
	x.Scenario, x.Phases = Scenario{}, nil
	raw, _ := json.Marshal(x)
	return string(raw)
}

// tiny is the smallest fleet for a moment, with a fault of most kinds.
func tinyScenario() Scenario {
	s := DefaultScenario()
	s.Name, s.Seconds, s.SettleSeconds, s.Processes, s.BatchMs, s.FullProxies = "tiny", 12, 10, []int{90}, 50, 3
	s.Faults = []Fault{
		{AtSeconds: 1, ForSeconds: 3, Kind: "kill", Count: 1}, {AtSeconds: 2, ForSeconds: 2, Kind: "leader"}, {AtSeconds: 5, ForSeconds: 3, Kind: "cut", Region: 1},
		{AtSeconds: 9, Kind: "restart", Fraction: 0.5}, {AtSeconds: 10, ForSeconds: 1, Kind: "loss", Magnitude: 0.1},
	}
	return s
}

// virtual is a result without what is measured in real time.
func withoutMeasurements(r *Result) *Result {
	x := *r
	x.CPUSeconds, x.WallSeconds, x.HeapMB, x.HarnessCPUSeconds, x.RoleCosts = 0, 0, 0, 0, nil
	for _, c := range r.RoleCosts {
		c.MicrosPerCall, c.CPUPercent, c.HeapMB, c.LightHeapMB = 0, 0, 0, 0
		x.RoleCosts = append(x.RoleCosts, c)
	}
	return &x
}

// One seed gives one run to the byte, another gives another, and the loop with empty machines is the same loop.
func TestDeterministic(t *testing.T) {
	s := tinyScenario()
	one, err := json.Marshal(withoutMeasurements(runScenario(t, s, false, false)))
	require.NoError(t, err)
	two, err := json.Marshal(withoutMeasurements(runScenario(t, s, false, false)))
	require.NoError(t, err)
	require.JSONEq(t, string(one), string(two))
	s.Seed = 2
	other, err := json.Marshal(withoutMeasurements(runScenario(t, s, false, false)))
	require.NoError(t, err)
	require.NotEqual(t, string(one), string(other))
}

// The loop with empty machines has the same events as that with the machines, and brings the same entries at the same times.
func TestEmptyMachines(t *testing.T) {
	s := tinyScenario()
	for _, direct := range []bool{false, true} {
		sim := newSimulation(s, 90, direct)
		sim.trace = &callTrace{}
		require.NoError(t, sim.run(context.Background()))
		e := newSimulation(s, 90, false)
		e.propagator = &replayer{sim: e, trace: sim.trace}
		require.NoError(t, e.run(context.Background()))
		require.Equal(t, sim.processed, e.processed)
		require.Equal(t, sim.handshakes, e.handshakes)
		require.Equal(t, sim.propagation(purgeStream), e.propagation(purgeStream))
		for i, p := range sim.processes {
			require.Equal(t, p.in, e.processes[i].in, p.name)
			require.Equal(t, p.out, e.processes[i].out, p.name)
		}
	}
}

// Today's way brings everything everywhere too; what its leader sends grows with the processes, and the levels' does not.
func TestDirect(t *testing.T) {
	s := tinyScenario()
	s.Faults = nil
	most := func(n int, direct bool) float64 {
		r, err := Run(context.Background(), s, n, direct, false)
		require.NoError(t, err)
		require.Zero(t, r.Violations, "%v", r.ViolationTexts)
		require.Equal(t, r.Entries[0]+r.Entries[1], int(r.PerProcess[0].Count+r.PerProcess[1].Count)/(n-s.Voters), "all entries reach all processes")
		return r.summaryRow().StoreKB
	}
	require.InEpsilon(t, 3, most(270, true)/most(90, true), 0.2)
	require.Less(t, most(270, false)/most(90, false), 1.5)
}

// A follower of today's way keeps what it has on its disk, and a killed leader's place is taken.
func TestDirectFaults(t *testing.T) {
	r := runScenario(t, tinyScenario(), true, false)
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	for _, b := range r.ExceededLimits {
		require.NotContains(t, b, "lack", "all that was committed is everywhere by the end")
	}
}

// The real transport's bytes: an entry costs something beside its data, and an answer less than a request.
func TestRaftSizes(t *testing.T) {
	s := measureRaftSizes()
	require.Greater(t, s.request, 50)
	require.Greater(t, s.entry, 20)
	require.Greater(t, s.response, 20)
	require.Less(t, s.response, s.request+s.entry)
}

// The page names both ways and draws what grows.
func TestPage(t *testing.T) {
	s := tinyScenario()
	s.Faults = s.Faults[:1]
	var runs []*Result
	for _, n := range []int{70, 100} {
		for _, direct := range []bool{false, true} {
			r, err := Run(context.Background(), s, n, direct, false)
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

// Of two events at one instant the one asked for first comes first, and time never goes back.
func TestQueue(t *testing.T) {
	q := &eventQueue{}
	rng := newRand(1, "q")
	var got []int
	for i := range 3000 {
		at := rng.IntN(50)
		q.push(event{at: float64(at), kind: eventCall, call: func() { got = append(got, at*10_000+i) }})
	}
	for e, ok := q.pop(); ok; e, ok = q.pop() {
		e.call()
	}
	require.Len(t, got, 3000)
	require.True(t, slices.IsSorted(got))
}

// A slow process reads in order, and all that waits at once when it is slow no more.
func TestSlow(t *testing.T) {
	s := tinyScenario()
	s.Faults = []Fault{{AtSeconds: 1, ForSeconds: 8, Kind: "slow", Count: 2, Magnitude: 1}}
	r := runScenario(t, s, false, false)
	require.Zero(t, r.Violations, "%v", r.ViolationTexts)
	require.Greater(t, r.GatedFraction, 0.0, "those that read slowly say that they are behind")
}
