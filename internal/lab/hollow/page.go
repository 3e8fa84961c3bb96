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
var page string

// colours of the two ways, first that of levels.
var colours = map[string]color.Color{"levels": color.RGBA{0x1b, 0x6c, 0xa8, 0xff}, "direct": color.RGBA{0xc4, 0x4e, 0x2a, 0xff}}

// Plots are so many points wide and high.
const wide, high = 760, 260

// row is a run as the page's table has it.
type row struct {
	*Result
	ProxyKB, StoreKB, ProxyHeap float64
}

func (r *Result) row() row {
	x := row{Result: r}
	for _, c := range r.PerRole {
		switch c.Role {
		case Proxy.String():
			x.ProxyKB, x.ProxyHeap = c.InKBPerS+c.OutKBPerS, c.HeapMB
		case Store.String():
			x.StoreKB = c.MostOut
		}
	}
	return x
}

// growth plots a figure by the number of processes, a line a way; both axes are logarithms.
func growth(title, unit string, rows []row, f func(row) float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "processes", unit
	p.X.Scale, p.Y.Scale = plot.LogScale{}, plot.LogScale{}
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.LogTicks{Prec: -1}, plot.LogTicks{Prec: 1}
	p.Add(plotter.NewGrid())
	drawn := 0
	for _, way := range []string{"levels", "direct"} {
		var points plotter.XYs
		for _, r := range rows {
			if v := f(r); r.Way == way && v > 0 && !math.IsInf(v, 0) {
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
		line.Color, dots.Color, line.Width = colours[way], colours[way], vg.Points(1.4)
		p.Add(line, dots)
		p.Legend.Add(way, line, dots)
		drawn += len(points)
	}
	if drawn < 2 {
		return "", nil
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max *= 4 // room for the names
	return report.SVG(p, wide, high)
}

// WritePage writes what runs at several sizes showed as one page that needs nothing else.
func WritePage(w io.Writer, title string, runs []*Result) error {
	if len(runs) == 0 {
		return fmt.Errorf("scale: no runs")
	}
	var rows []row
	for _, r := range runs {
		rows = append(rows, r.row())
	}
	var plots []template.HTML
	for _, x := range []struct {
		title, unit string
		of          func(row) float64
	}{
		{"Purge in force at the last process: p99 of entries", "ms", func(r row) float64 { return r.Everywhere[purges].P99 }},
		{"Sent by the busiest member of the store", "KB/s", func(r row) float64 { return r.StoreKB }},
		{"In and out of a proxy, mean", "KB/s", func(r row) float64 { return r.ProxyKB }},
		{"Processor of the run, by process and virtual second", "% of a core", func(r row) float64 {
			return 100 * (r.Processor - max(0, r.Harness)) / float64(r.Processes) / r.Virtual
		}},
		{"Heap of a proxy that holds all", "MB", func(r row) float64 { return r.ProxyHeap }},
	} {
		drawn, err := growth(x.title, x.unit, rows, x.of)
		if err != nil {
			return err
		}
		if strings.TrimSpace(string(drawn)) != "" {
			plots = append(plots, drawn)
		}
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return err
	}
	return t.Execute(w, struct {
		Title string
		Rows  []row
		Plots []template.HTML
	}{title, rows, plots})
}
