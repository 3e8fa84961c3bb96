package report

import (
	"slices"

	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/sim"
)

// Row summarizes the runs of one variant. "Value" is the priority weight of requests.
type Row struct {
	Name              string
	Seeds             int
	Violations        int      // of rules, in all runs
	ServedValue       Estimate // served over requested
	WorstServedValue  Estimate // the same in the worst ten seconds
	RecoverySeconds   Estimate // see Recovery
	ClientAttempts    Estimate // per request
	UpstreamAttempts  Estimate // per client attempt
	HitRatio          Estimate
	OriginFills       Estimate
	SlowestClassP99Ms Estimate // the highest of all classes
}

// Rows summarizes runs by variant, in the order in which the variants occur first.
func Rows(runs []experiment.Run) (rows []Row) {
	for _, name := range variantNames(runs) {
		rows = append(rows, newRow(name, resultsOf(runs, name)))
	}
	return rows
}

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

func slowestClassP99(r *sim.Result) float64 {
	slowest := 0.0
	for _, class := range r.Classes {
		slowest = max(slowest, class.P99)
	}
	return slowest
}

// variantNames returns the names of the variants in the order in which they occur first.
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

// A run has recovered once it serves recoveredAt of the requested value for recoverySpan seconds in a row.
const (
	recoveredAt  = 0.9
	recoverySpan = 3
)

// Recovery returns how many seconds after the worst one a run has recovered: 0 if it never served less than recoveredAt, and
// the rest of the run if it did not recover.
func Recovery(r *sim.Result) float64 {
	worst := 0
	for i, second := range r.Seconds {
		if second.RequestedValue > 0 && servedValue(second) < servedValue(r.Seconds[worst]) {
			worst = i
		}
	}
	if servedValue(r.Seconds[worst]) >= recoveredAt {
		return 0
	}
	inRow := 0
	for i := worst; i < len(r.Seconds); i++ {
		inRow++
		if servedValue(r.Seconds[i]) < recoveredAt {
			inRow = 0
		}
		if inRow == recoverySpan {
			return float64(i - (recoverySpan - 1) - worst)
		}
	}
	return float64(len(r.Seconds) - worst)
}

// servedValue returns the value served over the value requested in a second; 1 if nothing was requested.
func servedValue(second sim.Second) float64 {
	if second.RequestedValue == 0 {
		return 1
	}
	return second.ServedValue / second.RequestedValue
}
