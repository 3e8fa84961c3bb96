package report

import (
	"bytes"
	"html/template"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/sim"
)

var lineColours = []color.Color{
	color.RGBA{0x1b, 0x6c, 0xa8, 0xff}, color.RGBA{0xc4, 0x4e, 0x2a, 0xff}, color.RGBA{0x2f, 0x7d, 0x4f, 0xff},
	color.RGBA{0x7a, 0x4e, 0xa3, 0xff}, color.RGBA{0x9a, 0x7b, 0x1c, 0xff}, color.RGBA{0x55, 0x5f, 0x6b, 0xff},
}

const (
	plotWidth  = 560 // points
	plotHeight = 250 // points
	lineWidth  = 1.4 // points
	// maxLines is the highest number of lines in a plot, so that they can be told apart.
	maxLines = 6
	// legendRowHeight is the height of one name in the legend, as a fraction of the plot's height.
	legendRowHeight = 0.09
)

// plotBySecond plots a value of each second, averaged over seeds, with a line for each of the first maxLines variants.
func plotBySecond(title, unit string, runs []experiment.Run, value func(sim.Second) float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	names := variantNames(runs)
	for i, name := range names[:min(maxLines, len(names))] {
		line, err := plotter.NewLine(meanBySecond(resultsOf(runs, name), value))
		if err != nil {
			return "", err
		}
		line.Color, line.Width = lineColours[i%len(lineColours)], vg.Points(lineWidth)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	// Leave space for the legend above the lines.
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max *= 1 + legendRowHeight*float64(min(maxLines, len(names)))
	return SVG(p, plotWidth, plotHeight)
}

// meanBySecond returns the mean of a value over results, for each second but the last one, which is incomplete.
func meanBySecond(results []*sim.Result, value func(sim.Second) float64) plotter.XYs {
	var sums []float64
	for _, r := range results {
		for i, second := range r.Seconds {
			if i == len(sums) {
				sums = append(sums, 0)
			}
			sums[i] += value(second)
		}
	}
	points := make(plotter.XYs, 0, len(sums))
	for second := range sums[:max(0, len(sums)-1)] {
		points = append(points, plotter.XY{X: float64(second), Y: sums[second] / float64(len(results))})
	}
	return points
}

// pointsWithErrorBars are points with error bars.
type pointsWithErrorBars struct {
	plotter.XYs
	plotter.YErrors
}

// plotSweep plots the estimate of a value against the sweep's values. It returns an empty string if there are fewer than two of
// those.
func plotSweep(title string, runs []experiment.Run, value func(*sim.Result) float64) (template.HTML, error) {
	points := estimatesBySweepValue(runs, value)
	if points.Len() < 2 {
		return "", nil
	}
	p := plot.New()
	p.Title.Text, p.Y.Min = title, 0
	line, dots, err := plotter.NewLinePoints(points.XYs)
	if err != nil {
		return "", err
	}
	bars, err := plotter.NewYErrorBars(points)
	if err != nil {
		return "", err
	}
	line.Color, dots.Color = lineColours[0], lineColours[0]
	p.Add(plotter.NewGrid(), line, dots, bars)
	return SVG(p, plotWidth, plotHeight)
}

// estimatesBySweepValue returns the estimate of a value for each value of the sweep, in the order in which these first occur in
// runs.
func estimatesBySweepValue(runs []experiment.Run, value func(*sim.Result) float64) (points pointsWithErrorBars) {
	values := map[float64][]float64{}
	for _, run := range runs {
		values[run.SweepValue] = append(values[run.SweepValue], value(run.Result))
	}
	for _, run := range runs {
		ofSweepValue, pending := values[run.SweepValue]
		if !pending {
			continue
		}
		delete(values, run.SweepValue)
		e := Bootstrap(ofSweepValue)
		points.XYs = append(points.XYs, plotter.XY{X: run.SweepValue, Y: e.Mean})
		points.YErrors = append(points.YErrors, struct{ Low, High float64 }{e.Mean - e.Low, e.High - e.Mean})
	}
	return points
}

// SVG draws a plot as an SVG element for an HTML page. width and height are in points.
func SVG(p *plot.Plot, width, height float64) (template.HTML, error) {
	canvas := vgsvg.New(vg.Points(width), vg.Points(height))
	p.Draw(draw.New(canvas))
	var document bytes.Buffer
	if _, err := canvas.WriteTo(&document); err != nil {
		return "", err
	}
	text := document.String()
	// The text is safe to insert as HTML: it contains only numbers, and names that vgsvg escapes.
	return template.HTML(text[max(0, strings.Index(text, "<svg")):]), nil
}
