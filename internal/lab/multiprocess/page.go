package multiprocess

import (
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"ravenwheel/internal/lab/report"
)

//go:embed page.html
var page string

var (
	blue, red, green, grey = color.RGBA{0x1b, 0x6c, 0xa8, 0xff}, color.RGBA{0xc4, 0x4e, 0x2a, 0xff}, color.RGBA{0x2f, 0x7d, 0x4f, 0xff}, color.RGBA{0x55, 0x5f, 0x6b, 0xff}
	band                   = color.NRGBA{0xc4, 0x4e, 0x2a, 0x22}
)

// Plots are so many points wide; a heat map has a row a cache.
const wide, high, perRow, leastHeat = 900, 230, 7, 160

// WritePage writes what a field showed as one page that needs nothing else.
func WritePage(w io.Writer, r *Result) error {
	plots, err := r.plots()
	if err != nil {
		return err
	}
	t, err := template.New("page").Funcs(template.FuncMap{"inc": func(i int) int { return i + 1 }}).Parse(page)
	if err != nil {
		return err
	}
	title := r.Scenario.Name
	if title == "" {
		title = "A field"
	}
	return t.Execute(w, struct {
		Window
		Title string
		Plots []template.HTML
		R     *Result
	}{r.total(), title, plots, r})
}

// plots draws the heat map, if there is enough for one, and the charts.
func (r *Result) plots() ([]template.HTML, error) {
	var plots []template.HTML
	heat, err := r.heat()
	if err != nil {
		return nil, err
	}
	if heat != nil {
		drawn, err := report.SVG(heat, wide, max(leastHeat, 60+perRow*float64(len(r.Caches))))
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
		drawn, err := report.SVG(p, wide, high)
		if err != nil {
			return nil, err
		}
		plots = append(plots, drawn)
	}
	return plots, nil
}

// total is what became of all requests of all windows.
func (r *Result) total() (all Window) {
	for _, x := range r.Windows {
		all.Asked += x.Asked
		all.Served += x.Served
		all.Refused += x.Refused
		all.Failed += x.Failed
		all.Lost += x.Lost
	}
	return all
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

// charts are those of the page, in their order.
func (r *Result) charts() []chart {
	return []chart{
		{"Requests a second", []curve{
			{"asked", grey, r.windowPoints(func(x Window) float64 { return float64(x.Asked) })},
			{"served", green, r.windowPoints(func(x Window) float64 { return float64(x.Served) })},
			{"refused, failed or lost", red, r.windowPoints(func(x Window) float64 { return float64(x.Refused + x.Failed + x.Lost) })},
		}},
		{"Attempts at caches a second", []curve{
			{"attempts", blue, r.windowPoints(func(x Window) float64 { return float64(x.Attempts) })},
			{"of them filled", red, r.windowPoints(func(x Window) float64 { return float64(x.Filled) })},
		}},
		{"Processes: those that run, and how many others take for alive", []curve{
			{"run", grey, r.windowPoints(func(x Window) float64 { return float64(x.Up) })},
			{"least that any takes for alive", red, r.agreedPoints(func(x Agreed) int { return x.Least })},
			{"most", blue, r.agreedPoints(func(x Agreed) int { return x.Most })},
		}},
	}
}

// windowPoints are a figure of each window.
func (r *Result) windowPoints(figure func(Window) float64) plotter.XYs {
	out := make(plotter.XYs, len(r.Windows))
	for i, x := range r.Windows {
		out[i] = plotter.XY{X: float64(i), Y: figure(x)}
	}
	return out
}

// agreedPoints are a figure of each second in which processes were asked whom they take for alive.
func (r *Result) agreedPoints(figure func(Agreed) int) plotter.XYs {
	out := make(plotter.XYs, len(r.Agreed))
	for i, x := range r.Agreed {
		out[i] = plotter.XY{X: float64(x.Second), Y: float64(figure(x))}
	}
	return out
}

// draw makes the plot of a chart, with the faults marked behind its curves.
func (r *Result) draw(c chart) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Min = c.title, "seconds", 0
	p.Add(plotter.NewGrid())
	most := 1.0
	for _, curve := range c.curves {
		for _, xy := range curve.points {
			most = max(most, xy.Y)
		}
	}
	if err := r.bands(p, 0, most); err != nil {
		return nil, err
	}
	for _, curve := range c.curves {
		if len(curve.points) == 0 {
			continue
		}
		l, err := plotter.NewLine(curve.points)
		if err != nil {
			return nil, err
		}
		l.Color, l.Width = curve.colour, vg.Points(1.4)
		p.Add(l)
		p.Legend.Add(curve.name, l)
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max = most * 1.35 // room for the names
	return p, nil
}

// bands marks when each fault lasted, with its number above.
func (r *Result) bands(p *plot.Plot, low, most float64) error {
	for i, f := range r.Timeline {
		end := f.At + max(f.For, 0.2)
		poly, err := plotter.NewPolygon(plotter.XYs{{X: f.At, Y: low}, {X: end, Y: low}, {X: end, Y: most}, {X: f.At, Y: most}})
		if err != nil {
			return err
		}
		poly.Color, poly.LineStyle.Width = band, 0
		number, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: f.At, Y: most}}, Labels: []string{fmt.Sprint(i + 1)}})
		if err != nil {
			return err
		}
		p.Add(poly, number)
	}
	return nil
}

// grid is the attempts at each cache by second, each row against the mean of its zone in that second: 1 is an even share.
type grid struct{ r *Result }

func (g grid) Dims() (columns, rows int) { return len(g.r.Windows), len(g.r.Caches) }
func (g grid) X(c int) float64           { return float64(c) }
func (g grid) Y(r int) float64           { return float64(r) }

// Z is 0 to 3; a cache that nobody asked in a second in which its zone was idle has an even share.
func (g grid) Z(c, row int) float64 {
	sum, n := 0, 0
	for _, x := range g.r.Caches {
		if x.Zone == g.r.Caches[row].Zone {
			sum += x.Attempts[c]
			n++
		}
	}
	if sum == 0 {
		return 1
	}
	return math.Min(3, float64(g.r.Caches[row].Attempts[c])*float64(n)/float64(sum))
}

// heat is the load of each cache over time.
func (r *Result) heat() (*plot.Plot, error) {
	if len(r.Caches) < 2 || len(r.Windows) < 2 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Load of each cache against the mean of its zone (dark: none, light: three times)", "seconds"
	h := plotter.NewHeatMap(grid{r}, palette.Heat(24, 1))
	h.Min, h.Max = 0, 3
	p.Add(h)
	var ticks []plot.Tick
	last := -2
	for i, c := range r.Caches {
		if c.Zone != last {
			name := fmt.Sprintf("zone %d", c.Zone)
			if c.Zone < 0 {
				name = "left"
			}
			ticks, last = append(ticks, plot.Tick{Value: float64(i), Label: name}), c.Zone
		}
	}
	p.Y.Tick.Marker = plot.ConstantTicks(ticks)
	return p, r.bands(p, -0.5, float64(len(r.Caches))-0.5)
}
