package report

import (
	"slices"

	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/sim"
)

// Row summarizes the runs of one variant. The "value" of requests is the sum of their priority weights.
type Row struct {
	Name              string
	Seeds             int
	Violations        int      // number of violations of rules in all runs
	ServedValue       Estimate // value served, as a fraction of the value requested
	WorstServedValue  Estimate // ServedValue in the worst ten seconds
	RecoverySeconds   Estimate // see Recovery; in seconds
	ClientAttempts    Estimate // per request
	UpstreamAttempts  Estimate // per client attempt
	HitRatio          Estimate
	OriginFills       Estimate
	SlowestClassP99Ms Estimate // the highest p99 latency of all classes
}

// Rows returns a row for each variant, in the order in which the variants first occur in runs.
func Rows(runs []experiment.Run) (rows []Row) {
	for _, name := range variantNames(runs) {
		rows = append(rows, newRow(name, resultsOf(runs, name)))
	}
	return rows
}

// newRow returns the row of a variant from its results, one for each seed.
func newRow(name string, results []*sim.Result) Row {
	estimate := func(value func(*sim.Result) float64) Estimate {
		values := make([]float64, 0, len(results))
		for _, r := range results {
			values = append(values, value(r))
		}
		return Bootstrap(values)
	}
	row := Row{
		Name: name, Seeds: len(results),
		ServedValue:       estimate(func(r *sim.Result) float64 { return r.ServedValue }),
		WorstServedValue:  estimate(func(r *sim.Result) float64 { return r.WorstServedValue }),
		RecoverySeconds:   estimate(Recovery),
		ClientAttempts:    estimate(func(r *sim.Result) float64 { return r.ClientAttempts }),
		UpstreamAttempts:  estimate(func(r *sim.Result) float64 { return r.UpstreamAttempts }),
		HitRatio:          estimate(func(r *sim.Result) float64 { return r.HitRatio }),
		OriginFills:       estimate(func(r *sim.Result) float64 { return float64(r.OriginFills) }),
		SlowestClassP99Ms: estimate(slowestClassP99),
	}
	for _, r := range results {
		row.Violations += r.Violations
	}
	return row
}

// slowestClassP99 returns the highest p99 latency of all classes, in ms.
func slowestClassP99(r *sim.Result) float64 {
	slowest := 0.0
	for _, class := range r.Classes {
		slowest = max(slowest, class.P99)
	}
	return slowest
}

// variantNames returns the names of the variants in the order in which they first occur.
func variantNames(runs []experiment.Run) (names []string) {
	for _, run := range runs {
		if !slices.Contains(names, run.Variant) {
			names = append(names, run.Variant)
		}
	}
	return names
}

// resultsOf returns the results of the runs of a variant.
func resultsOf(runs []experiment.Run, variant string) (results []*sim.Result) {
	for _, run := range runs {
		if run.Variant == variant {
			results = append(results, run.Result)
		}
	}
	return results
}

// A run has recovered once it has served at least the fraction recoveredFraction of the requested value in each of recoverySpan
// successive seconds.
const (
	recoveredFraction = 0.9
	recoverySpan      = 3
)

// Recovery returns the number of seconds from a run's worst second until the first second of its recovery. It is 0 if the run
// served at least recoveredFraction in every second. If the run did not recover, it is the number of seconds from the worst one to
// the end.
func Recovery(r *sim.Result) float64 {
	worst := 0
	for i, second := range r.Seconds {
		if second.RequestedValue > 0 && servedValue(second) < servedValue(r.Seconds[worst]) {
			worst = i
		}
	}
	if servedValue(r.Seconds[worst]) >= recoveredFraction {
		return 0
	}
	inRow := 0
	for i := worst; i < len(r.Seconds); i++ {
		inRow++
		if servedValue(r.Seconds[i]) < recoveredFraction {
			inRow = 0
		}
		if inRow == recoverySpan {
			return float64(i - (recoverySpan - 1) - worst)
		}
	}
	return float64(len(r.Seconds) - worst)
}

// servedValue returns the fraction of the value requested in a second that was served; 1 if nothing was requested.
func servedValue(second sim.Second) float64 {
	if second.RequestedValue == 0 {
		return 1
	}
	return second.ServedValue / second.RequestedValue
}
