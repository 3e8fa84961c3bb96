// Package report writes what runs of an experiment show as one self-contained page: figures with confidence intervals,
// variants side by side, and plots as SVG.
package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"

	"ravenwheel/internal/lab/experiment"
	"ravenwheel/internal/lab/sim"
)

//go:embed page.html
var page string

// Figure is a mean over seeds, with a 95 % interval from 2,000 bootstrap samples (Efron, 1979).
type Figure struct{ Mean, Low, High float64 }

// String shows the figure and its interval.
func (f Figure) String() string {
	if f.Low == f.High {
		return short(f.Mean)
	}
	return short(f.Mean) + " [" + short(f.Low) + ", " + short(f.High) + "]"
}

// short writes three digits, and no exponent.
func short(v float64) string {
	digits := 3
	for x := math.Abs(v); x >= 1 && digits > 0; x /= 10 {
		digits--
	}
	return strconv.FormatFloat(v, 'f', digits, 64)
}

// Bootstrap is the figure of some values. Equal values in equal order give equal intervals.
func Bootstrap(values []float64) Figure {
	if len(values) == 0 {
		return Figure{}
	}
	mean := func(pick func(int) float64) float64 {
		sum := 0.0
		for i := range values {
			sum += pick(i)
		}
		return sum / float64(len(values))
	}
	f := Figure{Mean: mean(func(i int) float64 { return values[i] })}
	rng := rand.New(rand.NewPCG(1, uint64(len(values))))
	const samples = 2000
	means := make([]float64, samples)
	for s := range means {
		means[s] = mean(func(int) float64 { return values[rng.IntN(len(values))] })
	}
	slices.Sort(means)
	f.Low, f.High = means[samples/40], means[samples-1-samples/40]
	return f
}

// Row is one variant.
type Row struct {
	Name                                                       string
	Seeds, Broken                                              int
	Worth, Worst, Tries, Attempts, Hits, Origin, Recovery, P99 Figure
}

// Rows are the variants of some runs, in the order in which they first come.
func Rows(runs []experiment.Run) (rows []Row) {
	for _, name := range variants(runs) {
		row := Row{Name: name}
		pick := func(f func(*sim.Result) float64) Figure {
			var v []float64
			for _, r := range runs {
				if r.Variant == name {
					v = append(v, f(r.Result))
				}
			}
			return Bootstrap(v)
		}
		row.Worth = pick(func(r *sim.Result) float64 { return r.Worth })
		row.Worst = pick(func(r *sim.Result) float64 { return r.Worst10s })
		row.Tries = pick(func(r *sim.Result) float64 { return r.Tries })
		row.Attempts = pick(func(r *sim.Result) float64 { return r.Attempts })
		row.Hits = pick(func(r *sim.Result) float64 { return r.HitShare })
		row.Origin = pick(func(r *sim.Result) float64 { return float64(r.Origin) })
		row.Recovery = pick(Recovery)
		row.P99 = pick(func(r *sim.Result) float64 {
			most := 0.0
			for _, c := range r.Classes {
				most = max(most, c.P99)
			}
			return most
		})
		for _, r := range runs {
			if r.Variant == name {
				row.Seeds++
				row.Broken += r.Result.Broken
			}
		}
		rows = append(rows, row)
	}
	return rows
}

func variants(runs []experiment.Run) (names []string) {
	for _, r := range runs {
		if !slices.Contains(names, r.Variant) {
			names = append(names, r.Variant)
		}
	}
	return names
}

// Recovery is how many seconds after its lowest point a run takes to serve nine tenths of what is asked again, three
// seconds running; the rest of the run if it never does.
func Recovery(r *sim.Result) float64 {
	share := func(w sim.Window) float64 {
		if w.Asked == 0 {
			return 1
		}
		return w.Got / w.Asked
	}
	low := 0
	for i, w := range r.Windows {
		if w.Asked > 0 && share(w) < share(r.Windows[low]) {
			low = i
		}
	}
	if share(r.Windows[low]) >= good {
		return 0
	}
	run := 0
	for i := low; i < len(r.Windows); i++ {
		if run++; share(r.Windows[i]) < good {
			run = 0
		}
		if run == 3 {
			return float64(i - 2 - low)
		}
	}
	return float64(len(r.Windows) - low)
}

const good = 0.9

var colours = []color.Color{
	color.RGBA{0x1b, 0x6c, 0xa8, 0xff}, color.RGBA{0xc4, 0x4e, 0x2a, 0xff}, color.RGBA{0x2f, 0x7d, 0x4f, 0xff},
	color.RGBA{0x7a, 0x4e, 0xa3, 0xff}, color.RGBA{0x9a, 0x7b, 0x1c, 0xff}, color.RGBA{0x55, 0x5f, 0x6b, 0xff},
}

// mostLines of a plot can still be told apart. legendRoom is the share of a plot's height that a name takes.
const mostLines, legendRoom = 6, 0.09

// overTime plots a figure of each second, averaged over seeds, a line a variant.
func overTime(title, unit string, runs []experiment.Run, f func(sim.Window) float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for i, name := range variants(runs) {
		if i == mostLines {
			break
		}
		var sum []float64
		n := 0.0
		for _, r := range runs {
			if r.Variant != name {
				continue
			}
			n++
			for s, w := range r.Result.Windows {
				if s == len(sum) {
					sum = append(sum, 0)
				}
				sum[s] += f(w)
			}
		}
		points := make(plotter.XYs, 0, len(sum))
		for s := range sum[:max(0, len(sum)-1)] { // the last second has hardly begun
			points = append(points, plotter.XY{X: float64(s), Y: sum[s] / n})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = colours[i%len(colours)], vg.Points(1.4)
		p.Add(line)
		p.Legend.Add(name, line)
	}
	// Room above for the legend, which would lie on the lines.
	p.Legend.Top, p.Legend.Left = true, true
	p.Y.Max *= 1 + legendRoom*float64(min(mostLines, len(variants(runs))))
	return svg(p)
}

// sweepPlot plots a figure over what was swept.
func sweepPlot(title string, runs []experiment.Run, f func(*sim.Result) float64) (template.HTML, error) {
	by := map[float64][]float64{}
	for _, r := range runs {
		by[r.SweepValue] = append(by[r.SweepValue], f(r.Result))
	}
	if len(by) < 2 {
		return "", nil
	}
	var points plotter.XYs
	var bars plotter.YErrors
	for _, r := range runs {
		if v := by[r.SweepValue]; v != nil {
			x := Bootstrap(v)
			points = append(points, plotter.XY{X: r.SweepValue, Y: x.Mean})
			bars = append(bars, struct{ Low, High float64 }{x.Mean - x.Low, x.High - x.Mean})
			delete(by, r.SweepValue)
		}
	}
	p := plot.New()
	p.Title.Text, p.Y.Min = title, 0
	line, dots, err := plotter.NewLinePoints(points)
	if err != nil {
		return "", err
	}
	errs, err := plotter.NewYErrorBars(struct {
		plotter.XYer
		plotter.YErrorer
	}{points, bars})
	if err != nil {
		return "", err
	}
	line.Color, dots.Color = colours[0], colours[0]
	p.Add(plotter.NewGrid(), line, dots, errs)
	return svg(p)
}

func svg(p *plot.Plot) (template.HTML, error) { return SVG(p, 560, 250) }

// SVG draws a plot, so many points wide and high, to be put into a page.
func SVG(p *plot.Plot, wide, high float64) (template.HTML, error) {
	c := vgsvg.New(vg.Points(wide), vg.Points(high))
	p.Draw(drawing(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	return template.HTML(text[max(0, strings.Index(text, "<svg")):]), nil // made here, of numbers and escaped names
}

// Write writes the page of some runs.
func Write(w io.Writer, title string, runs []experiment.Run) error {
	if len(runs) == 0 {
		return fmt.Errorf("report: no runs")
	}
	var plots []template.HTML
	add := func(h template.HTML, err error) error {
		if h != "" {
			plots = append(plots, h)
		}
		return err
	}
	share := func(x sim.Window) float64 {
		if x.Asked == 0 {
			return 1
		}
		return x.Got / x.Asked
	}
	for _, err := range []error{
		add(overTime("Worth served of what was asked", "share", runs, share)),
		add(overTime("Fills that the origin gave", "a second", runs, func(x sim.Window) float64 { return float64(x.Origin) })),
		add(overTime("Worth asked", "a second", runs, func(x sim.Window) float64 { return x.Asked })),
		add(sweepPlot("Worth served, by what was swept", runs, func(r *sim.Result) float64 { return r.Worth })),
		add(sweepPlot("Tries of clients a want, by what was swept", runs, func(r *sim.Result) float64 { return r.Tries })),
	} {
		if err != nil {
			return err
		}
	}
	var broken []string
	for _, r := range runs {
		broken = append(broken, r.Result.Rules...)
	}
	t, err := template.New("page").Parse(page)
	if err != nil {
		return err
	}
	return t.Execute(w, struct {
		Title  string
		Rows   []Row
		Plots  []template.HTML
		Runs   []experiment.Run
		Broken []string
	}{title, Rows(runs), plots, runs, broken})
}
