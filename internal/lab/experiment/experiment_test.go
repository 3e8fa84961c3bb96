package experiment_test

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/report"
	"ravenwheel/internal/lab/sim"
)

// smallExperiment has a base and one variant, with two values of a sweep each.
const smallExperiment = `{
  // four seconds, two scenarios, two values each
  "name": "small", "seconds": 4, "seeds": 2,
  "variants": {"more": {"/fleet/caches": 5, "/troubles": [{"at_s": 1, "for_s": 1, "kind": "hang", "size": 0.1}]}},
  "sweep": {"/traffic/per_s": [20, 40]},
}`

// Parse makes a scenario for each variant and value of the sweep, and reports defects.
func TestParseExpandsVariantsAndReportsDefects(t *testing.T) {
	e, defects := experiment.Parse("f", []byte(smallExperiment))
	require.NoError(t, defects.Err())
	require.Equal(t, 2, e.Seeds)
	var names []string
	for _, v := range e.Variants {
		names = append(names, v.Name)
	}
	require.Equal(t, []string{"base, /traffic/per_s 20", "base, /traffic/per_s 40", "more, /traffic/per_s 20", "more, /traffic/per_s 40"}, names)
	require.Equal(t, 5, e.Variants[2].Scenario.Fleet.CachesPerBranch)
	require.Equal(t, sim.HangCaches, e.Variants[3].Scenario.Faults[0].Kind)
	for text, want := range map[string]string{
		`{`:                                      "f:1:2: ends too early: parsing value: unexpected EOF",
		`{"seeds": 0}`:                           "f: seeds is not from 1 to 1000",
		`{"second": 4}`:                          `f:1:2: unknown field "second"; did you mean "seconds"?`,
		`{"sweep": {"/traffic/per_s": "x"}}`:     "f: sweep must have one pointer with a list of values",
		`{"variants": {"a": {"/nothing/x": 1}}}`: `f:1:2: unknown field "nothing"`,
		`{"variants": []}`:                       "f: variants must be an object",
	} {
		_, defects := experiment.Parse("f", []byte(text))
		require.Error(t, defects.Err(), text)
		require.Contains(t, defects.Error(), want[:min(len(want), 30)], text)
	}
}

// Every experiment in lab/ is valid.
func TestExperimentFilesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../lab/*.jsonc")
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(files), 9)
	for _, path := range files {
		text, err := os.ReadFile(path)
		require.NoError(t, err)
		_, defects := experiment.Parse(path, text)
		require.NoError(t, defects.Err())
	}
}

// A sweep that was interrupted resumes with the runs that are missing. The results equal those of an uninterrupted sweep, and a
// report can be written of them.
func TestInterruptedSweepResumes(t *testing.T) {
	e, defects := experiment.Parse("f", []byte(smallExperiment))
	require.NoError(t, defects.Err())
	path := filepath.Join(t.TempDir(), "runs.jsonl")
	ctx, stop := context.WithCancel(context.Background())
	err := e.RunRemaining(ctx, nil, 2, func(r experiment.Run, completed, total int) {
		require.Equal(t, 8, total)
		require.NoError(t, experiment.Append(path, r))
		if completed == 3 {
			stop()
		}
	})
	require.ErrorIs(t, err, context.Canceled)
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	require.NoError(t, err)
	_, err = f.WriteString(`{"variant": "base, /traf`) // an incomplete line
	require.NoError(t, err)
	require.NoError(t, f.Close())
	done, err := experiment.Load(path)
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(done), 3)
	runs := done
	require.NoError(t, e.RunRemaining(context.Background(), done, 3, func(r experiment.Run, _, _ int) { runs = append(runs, r) }))
	require.Len(t, runs, 8)
	uninterrupted := map[string]string{}
	require.NoError(t, e.RunRemaining(context.Background(), nil, 1, func(r experiment.Run, _, _ int) {
		encoded, _ := json.Marshal(r.Result)
		uninterrupted[r.Variant+string(rune(r.Seed))] = string(encoded)
	}))
	for _, r := range runs {
		encoded, err := json.Marshal(r.Result)
		require.NoError(t, err)
		require.Equal(t, uninterrupted[r.Variant+string(rune(r.Seed))], string(encoded), "a result does not depend on concurrent runs")
	}
	page := filepath.Join(t.TempDir(), "r.html")
	w, err := os.Create(page)
	require.NoError(t, err)
	require.NoError(t, report.Write(w, "small & <b>", runs))
	require.NoError(t, w.Close())
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(text), "small &amp; &lt;b&gt;")
	require.Contains(t, string(text), "<svg")
}

// Shrink reduces a scenario in which restarted caches are overloaded at once, and the smaller one still breaks a rule.
func TestShrinkKeepsTheViolation(t *testing.T) {
	s := sim.DefaultScenario()
	s.Seconds, s.Fleet.OverloadMultiple, s.Fleet.OverloadWindow, s.Fleet.InitialCapacity = 24, 1, 50, 0.05
	s.Faults = []sim.Fault{
		{At: 1, Duration: 2, Kind: sim.Burst, Magnitude: 2}, {At: 2, Duration: 2, Kind: sim.LoseBranch}, {At: 5, Duration: 2, Kind: sim.HangCaches},
	}
	runs := 0
	smallest, err := experiment.Shrink(context.Background(), s, 2, func(sim.Scenario, bool) { runs++ })
	require.NoError(t, err)
	require.Less(t, len(smallest.Faults), 3)
	require.Equal(t, sim.LoseBranch, smallest.Faults[len(smallest.Faults)-1].Kind)
	require.Greater(t, runs, 3)
	_, err = experiment.Shrink(context.Background(), sim.Scenario{Seconds: 1, Traffic: sim.DefaultScenario().Traffic, Fleet: sim.DefaultScenario().Fleet}, 1, func(sim.Scenario, bool) {})
	require.ErrorContains(t, err, "breaks no rule")
}

func TestBootstrapInterval(t *testing.T) {
	f := report.Bootstrap([]float64{1, 2, 3, 4, 5, 6, 7, 8})
	require.Equal(t, 4.5, f.Mean)
	require.InDelta(t, 4.5-1.96*0.81, f.Low, 0.25)
	require.InDelta(t, 4.5+1.96*0.81, f.High, 0.25)
	require.Equal(t, "2.00", report.Bootstrap([]float64{2, 2}).String())
}
