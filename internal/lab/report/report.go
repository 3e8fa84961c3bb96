// Package report writes the results of an experiment's runs as one HTML page without external resources: a table of the variants
// with confidence intervals, and plots as SVG. The tests of internal/lab/experiment test it.
package report

import (
	_ "embed"
	"errors"
	"html/template"
	"io"

	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/sim"
)

//go:embed page.html
var page string

// ErrNoRuns is returned by Write if there are no runs to report.
var ErrNoRuns = errors.New("report: no runs")

// Write writes the page with the results of runs. It returns ErrNoRuns if there are none.
func Write(w io.Writer, title string, runs []experiment.Run) error {
	if len(runs) == 0 {
		return ErrNoRuns
	}
	plots, err := drawPlots(runs)
	if err != nil {
		return err
	}
	var violations []string
	for _, run := range runs {
		violations = append(violations, run.Result.ViolationTexts...)
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return err
	}
	return t.Execute(w, struct {
		Title      string
		Rows       []Row
		Plots      []template.HTML
		Violations []string
	}{title, Rows(runs), plots, violations})
}

// drawPlots draws the plots of the page in their order. It leaves out empty ones.
func drawPlots(runs []experiment.Run) (plots []template.HTML, err error) {
	add := func(drawn template.HTML, drawErr error) {
		err = errors.Join(err, drawErr)
		if drawn != "" {
			plots = append(plots, drawn)
		}
	}
	add(plotBySecond("Value served, as a fraction of the value requested", "fraction", runs, servedValue))
	add(plotBySecond("Fills by the origin", "per second", runs, func(second sim.Second) float64 { return float64(second.OriginFills) }))
	add(plotBySecond("Value requested", "per second", runs, func(second sim.Second) float64 { return second.RequestedValue }))
	add(plotSweep("Value served, by swept value", runs, func(r *sim.Result) float64 { return r.ServedValue }))
	add(plotSweep("Client attempts per request, by swept value", runs, func(r *sim.Result) float64 { return r.ClientAttempts }))
	return plots, err
}
