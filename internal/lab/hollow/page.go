package hollow

import (
	_ "embed"
	"fmt"
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

// colours of the two ways, first that of levels.
var modeColors = map[string]color.Color{"levels": color.RGBA{0x1b, 0x6c, 0xa8, 0xff}, "direct": color.RGBA{0xc4, 0x4e, 0x2a, 0xff}}

// Plots are so many points wide and high.
const plotWidth, plotHeight = 760, 260

// row is a run as the page's table has it.
type summaryRow struct {
	*Result
	ProxyKB, StoreKB, ProxyHeapMB float64
}

func (r *Result) summaryRow() summaryRow {
	x := summaryRow{Result: r}
	for _, c := range r.RoleCosts {
		switch c.Role {
		case Proxy.String():
			x.ProxyKB, x.ProxyHeapMB = c.InKBPerS+c.OutKBPerS, c.HeapMB
		case Store.String():
			x.StoreKB = c.MaxOutKBPerS
		}
	}
	return x
}

// growth plots a figure by the number of processes, a line a way; both axes are logarithms.
func growthPlot(title, unit string, rows []summaryRow, f func(summaryRow) float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "processes", unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: 1}
	p.Add(plotter.NewGrid())
	drawn := 0
	for _, way := range []string{"levels", "direct"} {
		var points plotter.XYs
		for _, r := range rows {
			if v := f(r); r.Mode == way && v > 0 && !math.IsInf(v, 0) {
				points = append(points, plotter.XY{X: float64(r.Processes), Y: v})
			}
		}
		if len(points) == 0 {
			continue
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return "", err
		}
		line.Color, dots.Color, line.Width = modeColors[way], modeColors[way], vg.Points(1.4)
		p.Add(line, dots)
		p.Legend.Add(way, line, dots)
		drawn += len(points)
	}
	if drawn < 2 {
		return "", nil
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max *= 4 // room for the names
	return report.SVG(p, plotWidth, plotHeight)
}

// WritePage writes what runs at several sizes showed as one page that needs nothing else.
func WritePage(w io.Writer, title string, runs []*Result) error {
	if len(runs) == 0 {
		return fmt.Errorf("scale: no runs")
	}
	var rows []summaryRow
	for _, r := range runs {
		rows = append(rows, r.summaryRow())
	}
	var plots []template.HTML
	for _, x := range []struct {
		title, unit string
		of          func(summaryRow) float64
	}{
		{"Purge in force at the last process: p99 of entries", "ms", func(r summaryRow) float64 { return r.Propagation[purgeStream].P99 }},
		{"Sent by the busiest member of the store", "KB/s", func(r summaryRow) float64 { return r.StoreKB }},
		{"In and out of a proxy, mean", "KB/s", func(r summaryRow) float64 { return r.ProxyKB }},
		{"Processor of the run, by process and virtual second", "% of a core", func(r summaryRow) float64 {
			return 100 * (r.CPUSeconds - max(0, r.HarnessCPUSeconds)) / float64(r.Processes) / r.VirtualSeconds
		}},
		{"Heap of a proxy that holds all", "MB", func(r summaryRow) float64 { return r.ProxyHeapMB }},
	} {
		drawn, err := growthPlot(x.title, x.unit, rows, x.of)
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
