// Package report writes the runs of an experiment as one HTML page without external resources: a table of the variants with
// confidence intervals, and plots as SVG. It is tested with internal/lab/experiment.
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

// Write writes the page of some runs. It returns ErrNoRuns if there are none.
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

// drawPlots draws the plots of the page, in order, and leaves out those that have nothing to show.
func drawPlots(runs []experiment.Run) (plots []template.HTML, err error) {
	add := func(drawn template.HTML, drawErr error) {
		err = errors.Join(err, drawErr)
		if drawn != "" {
			plots = append(plots, drawn)
		}
	}
	add(plotBySecond("Worth served of what was asked", "share", runs, servedValue))
	add(plotBySecond("Fills that the origin gave", "a second", runs, func(second sim.Second) float64 { return float64(second.OriginFills) }))
	add(plotBySecond("Worth asked", "a second", runs, func(second sim.Second) float64 { return second.RequestedValue }))
	add(plotSweep("Worth served, by what was swept", runs, func(r *sim.Result) float64 { return r.ServedValue }))
	add(plotSweep("Tries of clients a want, by what was swept", runs, func(r *sim.Result) float64 { return r.ClientAttempts }))
	return plots, err
}
