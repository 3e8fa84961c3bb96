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

// viewDelay is the age, in ms, of the fleet's state that the delayed-view strategy sees.
const viewDelay = 300

// minRatios are the least value that the policy must serve of a class in each third of a run, as a multiple of the value that each
// baseline serves of the same requests. docs/measurements/lab.md has the figures that they come from.
type minRatios struct{ random, delayedView [3]float64 }

// thirds are the values of one class that were requested and served in each third of the run, summed over all seeds.
type thirds [3]sim.Period

// runAllSeeds runs the first scenario of an experiment with each of its seeds, and sums the results by class.
func runAllSeeds(t *testing.T, e *experiment.Experiment, strategy sim.Strategy) map[string]*thirds {
	t.Helper()
	sums := map[string]*thirds{}
	for seed := range uint64(e.Seeds) {
		r, err := sim.RunStrategy(context.Background(), e.Variants[0].Scenario, seed+1, strategy)
		require.NoError(t, err)
		for _, c := range r.Classes {
			require.Equal(t, c.Requests, c.Served+c.Abandoned, "%s, seed %d, %s: every request is served or abandoned", strategy.Name, seed+1, c.Name)
			if sums[c.Name] == nil {
				sums[c.Name] = &thirds{}
			}
			for i, x := range c.Thirds {
				sums[c.Name][i].RequestedValue += x.RequestedValue
				sums[c.Name][i].ServedValue += x.ServedValue
			}
		}
		t.Logf("%s, %s, seed %d: served value %.3f, in the worst 10 s %.3f, hit ratio %.3f, %.2f client attempts per request, "+
			"%.2f upstream attempts per client attempt, %d origin fills, %d violations",
			e.Name, strategy.Name, seed+1, r.ServedValue, r.WorstServedValue, r.HitRatio, r.ClientAttempts, r.UpstreamAttempts, r.OriginFills, r.Violations)
	}
	return sums
}

func readExperiment(t *testing.T, name string) *experiment.Experiment {
	t.Helper()
	path := "../../../lab/" + name + ".jsonc"
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	e, defects := experiment.Parse(path, text)
	require.NoError(t, defects.Err())
	return e
}

// In the scenarios of both files, the policy serves at least the given multiple of what the random strategy and the delayed-view
// strategy serve, for each class and in each third of the run.
func TestPolicyServesAtLeastBaselineRatios(t *testing.T) {
	for name, want := range map[string]map[string]minRatios{
		"terminal-maps": {
			"tiles":   {random: [3]float64{0.97, 1.04, 1.40}, delayedView: [3]float64{0.97, 1.02, 1.18}},
			"pages":   {random: [3]float64{0.96, 1.00, 1.25}, delayedView: [3]float64{0.97, 1.00, 1.14}},
			"reports": {random: [3]float64{0.97, 0.97, 1.25}, delayedView: [3]float64{0.97, 0.97, 1.22}},
		},
		"tabletop": {
			"replay":     {random: [3]float64{2.40, 3.90, 3.30}, delayedView: [3]float64{1.90, 3.60, 2.50}},
			"asset":      {random: [3]float64{1.28, 1.48, 1.45}, delayedView: [3]float64{1.12, 1.48, 1.38}},
			"seat-claim": {random: [3]float64{1.04, 1.25, 0.98}, delayedView: [3]float64{1.00, 1.40, 0.97}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := readExperiment(t, name)
			served := runAllSeeds(t, e, sim.RouterStrategy)
			randomServed, delayedServed := runAllSeeds(t, e, sim.RandomStrategy), runAllSeeds(t, e, sim.DelayedViewStrategy(viewDelay))
			require.Len(t, served, len(want))
			for class, minimum := range want {
				for i, p := range served[class] {
					r, d := randomServed[class][i], delayedServed[class][i]
					require.Equal(t, p.RequestedValue, r.RequestedValue, "all strategies get the same requests")
					require.Equal(t, p.RequestedValue, d.RequestedValue, "all strategies get the same requests")
					at := fmt.Sprintf("%s, third %d", class, i+1)
					t.Logf("%-22s served %.3f of the requested value, random %.3f, delayed view %.3f: ratios %.3f, %.3f",
						at, p.ServedValue/p.RequestedValue, r.ServedValue/r.RequestedValue, d.ServedValue/d.RequestedValue,
						p.ServedValue/r.ServedValue, p.ServedValue/d.ServedValue)
					if p.ServedValue < minimum.random[i]*r.ServedValue || p.ServedValue < minimum.delayedView[i]*d.ServedValue {
						t.Errorf("%s: served value is below %.2f of the random or %.2f of the delayed-view strategy's", at, minimum.random[i], minimum.delayedView[i])
					}
				}
			}
		})
	}
}

// The policy breaks no rule in any variant of both files.
func TestPolicyBreaksNoRule(t *testing.T) {
	for _, name := range []string{"terminal-maps", "tabletop"} {
		for _, v := range readExperiment(t, name).Variants {
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
