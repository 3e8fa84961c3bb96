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

// ErrNoRuns means that a page was asked for without results.
var ErrNoRuns = errors.New("scale: no runs")

// plottedModes are the modes in the order of a plot's legend.
var plottedModes = []Mode{ModeLevels, ModeDirect}

var modeColors = map[Mode]color.Color{
	ModeLevels: color.RGBA{0x1b, 0x6c, 0xa8, 0xff},
	ModeDirect: color.RGBA{0xc4, 0x4e, 0x2a, 0xff},
}

// Size of a plot in points, and the width of its lines.
const (
	plotWidth, plotHeight = 760, 260
	plotLineWidth         = 1.4
)

// legendRoom is the factor by which a plot's vertical axis is extended for its legend.
const legendRoom = 4

// minPlotPoints is the least number of points in a plot. Fewer show no growth.
const minPlotPoints = 2

// summaryRow is a run as a row of the page's table.
type summaryRow struct {
	*Result
	ProxyKB     float64 // a second, both ways, mean of a proxy
	StoreKB     float64 // a second, sent by the busiest member of the store
	ProxyHeapMB float64
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

// cpuPercent is the CPU time of a process in a virtual second, in percent of a core, without the simulation's part.
func (r summaryRow) cpuPercent() float64 {
	return 100 * (r.CPUSeconds - max(0, r.HarnessCPUSeconds)) / float64(r.Processes) / r.VirtualSeconds
}

// plotSpec is a figure that is plotted by the number of processes.
type plotSpec struct {
	title, unit string
	value       func(summaryRow) float64
}

var plotSpecs = []plotSpec{
	{"Purge in force at the last process: p99 of entries", "ms", func(r summaryRow) float64 { return r.Propagation[purgeStream].P99 }},
	{"Sent by the busiest member of the store", "KB/s", func(r summaryRow) float64 { return r.StoreKB }},
	{"In and out of a proxy, mean", "KB/s", func(r summaryRow) float64 { return r.ProxyKB }},
	{"Processor of the run, by process and virtual second", "% of a core", summaryRow.cpuPercent},
	{"Heap of a proxy that holds all", "MB", func(r summaryRow) float64 { return r.ProxyHeapMB }},
}

// draw plots the figure on logarithmic axes with a line for each mode. It is empty for too few points.
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

// points are a mode's figures that a logarithmic axis can show.
func (s plotSpec) points(rows []summaryRow, mode Mode) (points plotter.XYs) {
	for _, row := range rows {
		if v := s.value(row); row.Mode == mode && v > 0 && !math.IsInf(v, 0) {
			points = append(points, plotter.XY{X: float64(row.Processes), Y: v})
		}
	}
	return points
}

// WritePage writes an HTML page of runs at several sizes, which refers to nothing outside of it. It returns ErrNoRuns where
// there are none.
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
