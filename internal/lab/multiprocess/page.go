package multiprocess

import (
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"ravenwheel/internal/lab/report"
)

//go:embed page.html
var pageTemplate string

// Colours of curves and of the bands that mark faults.
var (
	blue        = color.RGBA{0x1b, 0x6c, 0xa8, 0xff}
	red         = color.RGBA{0xc4, 0x4e, 0x2a, 0xff}
	green       = color.RGBA{0x2f, 0x7d, 0x4f, 0xff}
	grey        = color.RGBA{0x55, 0x5f, 0x6b, 0xff}
	faultColour = color.NRGBA{0xc4, 0x4e, 0x2a, 0x22}
)

// Sizes of the plots, in points.
const (
	plotWidth        = 900
	chartHeight      = 230
	heatMapMargins   = 60 // height of the heat map without its rows
	heatMapRowHeight = 7  // height of a row; there is one for each cache
	minHeatMapHeight = 160
	curveWidth       = 1.4
	legendHeadroom   = 1.35 // the y axis ends at this multiple of the highest value, which leaves room for the legend
)

// minMarkedDuration is the least width of a fault's band, in seconds, so that short faults are visible.
const minMarkedDuration = 0.2

// WritePage writes a result as an HTML page without external resources.
func WritePage(w io.Writer, r *Result) error {
	plots, err := r.plots()
	if err != nil {
		return err
	}
	t, err := template.New("page").Funcs(template.FuncMap{"inc": func(i int) int { return i + 1 }}).Parse(pageTemplate)
	if err != nil {
		return err
	}
	title := r.Scenario.Name
	if title == "" {
		title = "Scenario with real processes"
	}
	return t.Execute(w, struct {
		Second
		Title string
		Plots []template.HTML
		R     *Result
	}{r.Totals(), title, plots, r})
}

// plots draws the heat map, if there are enough caches and seconds for one, and the charts.
func (r *Result) plots() ([]template.HTML, error) {
	var plots []template.HTML
	heatMap, err := r.heatMap()
	if err != nil {
		return nil, err
	}
	if heatMap != nil {
		height := max(minHeatMapHeight, heatMapMargins+heatMapRowHeight*float64(len(r.Caches)))
		drawn, err := report.SVG(heatMap, plotWidth, height)
		if err != nil {
			return nil, err
		}
		plots = append(plots, drawn)
	}
	for _, c := range r.charts() {
		p, err := r.draw(c)
		if err != nil {
			return nil, err
		}
		drawn, err := report.SVG(p, plotWidth, chartHeight)
		if err != nil {
			return nil, err
		}
		plots = append(plots, drawn)
	}
	return plots, nil
}

// chart is a plot of curves over the seconds of a scenario.
type chart struct {
	title  string
	curves []curve
}

// curve is one line of a chart.
type curve struct {
	name   string
	colour color.Color
	points plotter.XYs
}

// charts returns the charts of the page, in order.
func (r *Result) charts() []chart {
	return []chart{
		{"Requests per second", []curve{
			{"requested", grey, r.points(func(s Second) int { return s.Requested })},
			{"served", green, r.points(func(s Second) int { return s.Served })},
			{"rejected, failed or lost", red, r.points(func(s Second) int { return s.Rejected + s.Failed + s.Lost })},
		}},
		{"Attempts at caches per second", []curve{
			{"attempts", blue, r.points(func(s Second) int { return s.Attempts })},
			{"attempts that caused a fill", red, r.points(func(s Second) int { return s.Filled })},
		}},
		{"Processes: running, and considered alive by other processes", []curve{
			{"running", grey, r.points(func(s Second) int { return s.Running })},
			{"fewest that a process considers alive", red, r.alivePoints(func(a AliveCount) int { return a.Least })},
			{"most that a process considers alive", blue, r.alivePoints(func(a AliveCount) int { return a.Most })},
		}},
	}
}

// points returns a curve with a value of each second.
func (r *Result) points(value func(Second) int) plotter.XYs {
	points := make(plotter.XYs, len(r.Seconds))
	for i, second := range r.Seconds {
		points[i] = plotter.XY{X: float64(i), Y: float64(value(second))}
	}
	return points
}

// alivePoints returns a curve with a value of each second in which at least one process reported its number of alive members.
func (r *Result) alivePoints(value func(AliveCount) int) plotter.XYs {
	points := make(plotter.XYs, len(r.Alive))
	for i, count := range r.Alive {
		points[i] = plotter.XY{X: float64(count.Second), Y: float64(value(count))}
	}
	return points
}

// draw returns the plot of a chart, with the faults marked behind its curves.
func (r *Result) draw(c chart) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Min = c.title, "seconds", 0
	p.Add(plotter.NewGrid())
	highest := 1.0
	for _, curve := range c.curves {
		for _, point := range curve.points {
			highest = max(highest, point.Y)
		}
	}
	if err := r.markFaults(p, 0, highest); err != nil {
		return nil, err
	}
	for _, curve := range c.curves {
		if len(curve.points) == 0 {
			continue
		}
		line, err := plotter.NewLine(curve.points)
		if err != nil {
			return nil, err
		}
		line.Color, line.Width = curve.colour, vg.Points(curveWidth)
		p.Add(line)
		p.Legend.Add(curve.name, line)
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max = highest * legendHeadroom
	return p, nil
}

// markFaults adds a band from low to high over the duration of each fault, with the fault's number above the band.
func (r *Result) markFaults(p *plot.Plot, low, high float64) error {
	for i, f := range r.Timeline {
		end := f.At + max(f.Duration, minMarkedDuration)
		band, err := plotter.NewPolygon(plotter.XYs{{X: f.At, Y: low}, {X: end, Y: low}, {X: end, Y: high}, {X: f.At, Y: high}})
		if err != nil {
			return err
		}
		band.Color, band.LineStyle.Width = faultColour, 0
		number, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.At, Y: high}}, Labels: []string{fmt.Sprint(i + 1)}})
		if err != nil {
			return err
		}
		p.Add(band, number)
	}
	return nil
}
