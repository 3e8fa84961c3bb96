package multiprocess

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
)

// maxRelativeLoad is the relative load from which the heat map has its lightest colour.
const maxRelativeLoad = 3

// heatMapColours is the number of different colours of a heat map.
const heatMapColours = 24

// loadGrid has a row for each cache and a column for each second. Its values are the cache's attempts in that second over the
// mean of its zone, so 1 is an even load. It implements plotter.GridXYZ.
type loadGrid struct{ result *Result }

// Dims implements plotter.GridXYZ.
func (g loadGrid) Dims() (columns, rows int) { return len(g.result.Seconds), len(g.result.Caches) }

// X implements plotter.GridXYZ.
func (g loadGrid) X(column int) float64 { return float64(column) }

// Y implements plotter.GridXYZ.
func (g loadGrid) Y(row int) float64 { return float64(row) }

// Z implements plotter.GridXYZ. Caches of a zone without load count as evenly loaded.
func (g loadGrid) Z(column, row int) float64 {
	sum, caches := 0, 0
	for _, c := range g.result.Caches {
		if c.Zone == g.result.Caches[row].Zone {
			sum += c.Attempts[column]
			caches++
		}
	}
	if sum == 0 {
		return 1
	}
	return math.Min(maxRelativeLoad, float64(g.result.Caches[row].Attempts[column])*float64(caches)/float64(sum))
}

// heatMap draws the relative load of each cache over time; nil if there are too few caches or seconds.
func (r *Result) heatMap() (*plot.Plot, error) {
	if len(r.Caches) < 2 || len(r.Seconds) < 2 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Load of each cache against the mean of its zone (dark: none, light: three times)", "seconds"
	h := plotter.NewHeatMap(loadGrid{r}, palette.Heat(heatMapColours, 1))
	h.Min, h.Max = 0, maxRelativeLoad
	p.Add(h)
	p.Y.Tick.Marker = plot.ConstantTicks(r.zoneTicks())
	return p, r.markFaults(p, -0.5, float64(len(r.Caches))-0.5)
}

// zoneTicks labels the first cache of each zone.
func (r *Result) zoneTicks() (ticks []plot.Tick) {
	for i, c := range r.Caches {
		if i > 0 && c.Zone == r.Caches[i-1].Zone {
			continue
		}
		label := fmt.Sprintf("zone %d", c.Zone)
		if c.Zone == removedZone {
			label = "left"
		}
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: label})
	}
	return ticks
}
