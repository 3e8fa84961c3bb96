package hollow

import (
	_ "embed"
	"errors"
	"html/template"
	"image/color"
	"io"
	"math"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"ravenwheel/internal/lab/report"
)

//go:embed page.html
var pageTemplate string

// ErrNoRuns is returned by WritePage when there are no results to show.
var ErrNoRuns = errors.New("scale: no runs to write a page of")

// plottedModes lists the modes in the order of a plot's legend.
var plottedModes = []Mode{ModeLevels, ModeDirect}

var modeColors = map[Mode]color.Color{
	ModeLevels: color.RGBA{0x1b, 0x6c, 0xa8, 0xff},
	ModeDirect: color.RGBA{0xc4, 0x4e, 0x2a, 0xff},
}

// Size of a plot and width of its lines, in points.
const (
	plotWidth, plotHeight = 760, 260
	plotLineWidth         = 1.4
)

// legendRoom is the factor by which the maximum of a plot's vertical axis is raised, so that the legend covers no line.
const legendRoom = 4

// minPlotPoints is the least number of points in a plot, as a single point shows no growth.
const minPlotPoints = 2

// summaryRow is a run as a row of the page's table.
type summaryRow struct {
	*Result
	ProxyKB     float64 // KB/s, received and sent, mean of the proxies
	StoreKB     float64 // KB/s, sent by the member of the store that sends most
	ProxyHeapMB float64 // of a full proxy
}

func (r *Result) summaryRow() summaryRow {
	row := summaryRow{Result: r}
	for _, cost := range r.RoleCosts {
		switch cost.Role {
		case Proxy.String():
			row.ProxyKB, row.ProxyHeapMB = cost.InKBPerS+cost.OutKBPerS, cost.HeapMB
		case StoreMember.String():
			row.StoreKB = cost.MaxOutKBPerS
		}
	}
	return row
}

// cpuPercent is the mean CPU time of a process per virtual second, in percent of a core, without the simulation's own CPU time.
func (r summaryRow) cpuPercent() float64 {
	return 100 * (r.CPUSeconds - max(0, r.HarnessCPUSeconds)) / float64(r.Processes) / r.VirtualSeconds
}

// plotSpec describes a plot of one quantity over the number of processes.
type plotSpec struct {
	title, unit string
	value       func(summaryRow) float64
}

var plotSpecs = []plotSpec{
	{"Time until the last process has applied a purge, p99", "ms", func(r summaryRow) float64 { return r.Propagation[purgeStream].P99 }},
	{"Sent by the member of the store that sends most", "KB/s", func(r summaryRow) float64 { return r.StoreKB }},
	{"Received and sent by a proxy, mean", "KB/s", func(r summaryRow) float64 { return r.ProxyKB }},
	{"CPU time per process and virtual second", "% of a core", summaryRow.cpuPercent},
	{"Heap of a proxy that applies what it receives", "MB", func(r summaryRow) float64 { return r.ProxyHeapMB }},
}

// draw plots the quantity on logarithmic axes with a line for each mode. It returns an empty string if there are fewer than
// minPlotPoints points.
func (s plotSpec) draw(rows []summaryRow) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = s.title, "processes", s.unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: 1}
	p.Add(plotter.NewGrid())
	drawn := 0
	for _, mode := range plottedModes {
		points := s.points(rows, mode)
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", err
		}
		line.Color, dots.Color, line.Width = modeColors[mode], modeColors[mode], vg.Points(plotLineWidth)
		p.Add(line, dots)
		p.Legend.Add(string(mode), line, dots)
		drawn += len(points)
	}
	if drawn < minPlotPoints {
		return "", nil
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max *= legendRoom
	return report.SVG(p, plotWidth, plotHeight)
}

// points returns a mode's values that a logarithmic axis can show: those that are positive and finite.
func (s plotSpec) points(rows []summaryRow, mode Mode) (points plotter.XYs) {
	for _, row := range rows {
		if v := s.value(row); row.Mode == mode && v > 0 && !math.IsInf(v, 0) {
			points = append(points, plotter.XY{X: float64(row.Processes), Y: v})
		}
	}
	return points
}

// WritePage writes a self-contained HTML page of runs at several sizes. It returns ErrNoRuns if there are no runs.
func WritePage(w io.Writer, title string, runs []*Result) error {
	if len(runs) == 0 {
		return ErrNoRuns
	}
	var rows []summaryRow
	for _, r := range runs {
		rows = append(rows, r.summaryRow())
	}
	var plots []template.HTML
	for _, spec := range plotSpecs {
		drawn, err := spec.draw(rows)
		if err != nil {
			return err
		}
		if strings.TrimSpace(string(drawn)) != "" {
			plots = append(plots, drawn)
		}
	}
	t, err := template.New("page").Parse(pageTemplate)
	if err != nil {
		return err
	}
	return t.Execute(w, struct {
		Title string
		Rows  []summaryRow
		Plots []template.HTML
	}{title, rows, plots})
}
