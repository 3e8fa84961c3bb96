package multiprocess

import (
	"fmt"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
)

// maxRelativeLoad is the load relative to the zone's mean from which the heat map has its lightest colour.
const maxRelativeLoad = 3

// heatMapColours is the number of colours of the heat map.
const heatMapColours = 24

// loadGrid has a row for each cache and a column for each second. A value is the number of attempts at the cache in that second,
// divided by the mean of the zone's caches, so 1 is an even load. It implements plotter.GridXYZ.
type loadGrid struct{ result *Result }

// Dims implements plotter.GridXYZ.
func (g loadGrid) Dims() (columns, rows int) { return len(g.result.Seconds), len(g.result.Caches) }

// X implements plotter.GridXYZ.
func (g loadGrid) X(column int) float64 { return float64(column) }

// Y implements plotter.GridXYZ.
func (g loadGrid) Y(row int) float64 { return float64(row) }

// Z implements plotter.GridXYZ. It returns 1 for caches of a zone without load, as if they were evenly loaded.
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

// heatMap draws the relative load of each cache over time. It returns nil if there are fewer than two caches or seconds.
func (r *Result) heatMap() (*plot.Plot, error) {
	if len(r.Caches) < 2 || len(r.Seconds) < 2 {
		return nil, nil
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Load of each cache relative to the mean of its zone (dark: none, light: 3 times the mean)", "seconds"
	h := plotter.NewHeatMap(loadGrid{r}, palette.Heat(heatMapColours, 1))
	h.Min, h.Max = 0, maxRelativeLoad
	p.Add(h)
	p.Y.Tick.Marker = plot.ConstantTicks(r.zoneTicks())
	return p, r.markFaults(p, -0.5, float64(len(r.Caches))-0.5)
}

// zoneTicks returns a label for the row of each zone's first cache, and of the first removed cache.
func (r *Result) zoneTicks() (ticks []plot.Tick) {
	for i, c := range r.Caches {
		if i > 0 && c.Zone == r.Caches[i-1].Zone {
			continue
		}
		label := fmt.Sprintf("zone %d", c.Zone)
		if c.Zone == removedZone {
			label = "removed"
		}
		ticks = append(ticks, plot.Tick{Value: float64(i), Label: label})
	}
	return ticks
}
