package experiment_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/sim"
)

// viewDelay is how old, in ms, the late-seeing baseline's view of the fleet is.
const viewDelay = 300

// floors are what the module must serve of a class in each third of a run: multiples of the value that a baseline serves of
// the same requests. docs/measurements/lab.md has the figures behind them.
type floors struct{ random, late [3]float64 }

// thirds are the value requested and served of one class in each third of the run, over all seeds.
type thirds [3]sim.Period

// playAll plays the first scenario of a file with each of its seeds and sums the results by class.
func playAll(t *testing.T, e *experiment.Experiment, p sim.Strategy) map[string]*thirds {
	t.Helper()
	sums := map[string]*thirds{}
	for seed := range uint64(e.Seeds) {
		r, err := sim.RunStrategy(context.Background(), e.Variants[0].Scenario, seed+1, p)
		require.NoError(t, err)
		for _, c := range r.Classes {
			require.Equal(t, c.Requests, c.Served+c.Abandoned, "%s, seed %d, %s: every request ends", p.Name, seed+1, c.Name)
			if sums[c.Name] == nil {
				sums[c.Name] = &thirds{}
			}
			for i, x := range c.Thirds {
				sums[c.Name][i].RequestedValue += x.RequestedValue
				sums[c.Name][i].ServedValue += x.ServedValue
			}
		}
		t.Logf("%s, %s, seed %d: worth %.3f, worst 10 s %.3f, hits %.3f, %.2f tries, %.2f attempts, origin %d, broken %d",
			e.Name, p.Name, seed+1, r.ServedValue, r.WorstServedValue, r.HitRatio, r.ClientAttempts, r.UpstreamAttempts, r.OriginFills, r.Violations)
	}
	return sums
}

func readFile(t *testing.T, name string) *experiment.Experiment {
	t.Helper()
	path := "../../../lab/" + name + ".jsonc"
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	e, defects := experiment.Parse(path, text)
	require.NoError(t, defects.Err())
	return e
}

// With the settings of both files, in each third of the run and for each class, the module serves enough compared with random
// choice and with a player that sees the state of the fleet with a delay.
func TestModuleServesItsFloors(t *testing.T) {
	for name, want := range map[string]map[string]floors{
		"terminal-maps": {
			"tiles":   {random: [3]float64{0.97, 1.04, 1.40}, late: [3]float64{0.97, 1.02, 1.18}},
			"pages":   {random: [3]float64{0.96, 1.00, 1.25}, late: [3]float64{0.97, 1.00, 1.14}},
			"reports": {random: [3]float64{0.97, 0.97, 1.25}, late: [3]float64{0.97, 0.97, 1.22}},
		},
		"tabletop": {
			"replay":     {random: [3]float64{2.40, 3.90, 3.30}, late: [3]float64{1.90, 3.60, 2.50}},
			"asset":      {random: [3]float64{1.28, 1.48, 1.45}, late: [3]float64{1.12, 1.48, 1.38}},
			"seat-claim": {random: [3]float64{1.04, 1.25, 0.98}, late: [3]float64{1.00, 1.40, 0.97}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := readFile(t, name)
			module := playAll(t, e, sim.RouterStrategy)
			random, late := playAll(t, e, sim.RandomStrategy), playAll(t, e, sim.DelayedViewStrategy(viewDelay))
			require.Len(t, module, len(want))
			for class, f := range want {
				for i, m := range module[class] {
					r, l := random[class][i], late[class][i]
					require.Equal(t, m.RequestedValue, r.RequestedValue, "all players get the same requests")
					require.Equal(t, m.RequestedValue, l.RequestedValue, "all players get the same requests")
					at := fmt.Sprintf("%s, third %d", class, i+1)
					t.Logf("%-22s served %.3f of what was asked, random %.3f, late-seeing %.3f: ratios %.3f, %.3f",
						at, m.ServedValue/m.RequestedValue, r.ServedValue/r.RequestedValue, l.ServedValue/l.RequestedValue,
						m.ServedValue/r.ServedValue, m.ServedValue/l.ServedValue)
					if m.ServedValue < f.random[i]*r.ServedValue || m.ServedValue < f.late[i]*l.ServedValue {
						t.Errorf("%s: below its floors of %.2f and %.2f", at, f.random[i], f.late[i])
					}
				}
			}
		})
	}
}

// The module breaks no rule in any variant of both files.
func TestModuleBreaksNoRule(t *testing.T) {
	for _, name := range []string{"terminal-maps", "tabletop"} {
		for _, v := range readFile(t, name).Variants {
			for seed := range uint64(4) {
				r, err := sim.Run(context.Background(), v.Scenario, seed+1)
				require.NoError(t, err)
				for _, text := range r.ViolationTexts {
					first, _, _ := strings.Cut(text, "\n")
					t.Errorf("%s, %s: %s", name, v.Name, first)
				}
			}
		}
	}
}
