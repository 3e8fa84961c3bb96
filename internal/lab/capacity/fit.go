package capacity

import (
	"math"
	"slices"
)

// Model is how a quantity grows with its driver.
type Model string

// The models: fixed + slope x the driver, x driver log2(driver), x driver squared.
const (
	Linear    Model = "linear"
	NLogN     Model = "n log n"
	Quadratic Model = "quadratic"
)

// Models in the order in which they are tried: the first that explains the points is taken.
var Models = []Model{Linear, NLogN, Quadratic}

// linearEnough: a linear fit that is nowhere further than this share from what was measured stands. Timings of one machine
// differ by as much from run to run, so a steeper model that came a little closer would be fitted to noise.
const maxLinearResidual = 0.15

// muchBetter: another model must have at most this part of the linear fit's largest residual to be taken in its place.
const maxResidualRatio = 0.5

// Fit is a least-squares fit of fixed + slope x f(driver).
type Fit struct {
	Fixed     float64   `json:"fixed"`
	Slope     float64   `json:"slope"`
	Model     Model     `json:"model"`
	Residuals []float64 `json:"residuals"` // (measured - fitted) / measured, one a point
}

// term is what a model makes of a driver.
func (m Model) term(driver float64) float64 {
	switch m {
	case NLogN:
		return driver * math.Log2(max(driver, 2))
	case Quadratic:
		return driver * driver
	}
	return driver
}

// At is the fitted value at a driver.
func (f Fit) At(driver float64) float64 { return f.Fixed + f.Slope*f.Model.term(driver) }

// Worst is the largest residual, as a share of what was measured.
func (f Fit) MaxResidual() (worst float64) {
	for _, r := range f.Residuals {
		worst = max(worst, math.Abs(r))
	}
	return worst
}

// FitOf fits points: linear where its residuals say so, else the model with the smallest.
func FitPoints(points []Point) Fit {
	linear := fitModel(Linear, points)
	if linear.MaxResidual() <= maxLinearResidual {
		return linear
	}
	best := linear
	for _, m := range Models[1:] {
		if f := fitModel(m, points); f.MaxResidual() <= maxResidualRatio*linear.MaxResidual() && f.MaxResidual() < best.MaxResidual() {
			best = f
		}
	}
	return best
}

// fitAs is the least-squares fit of one model. Points weigh by the square of what was measured there, inversely: sizes
// span a factor of 30, and unweighted the largest would be the only one heard.
func fitModel(m Model, points []Point) Fit {
	floor := 0.0
	for _, p := range points {
		floor = max(floor, math.Abs(p.Measured))
	}
	floor *= 1e-4
	var sw, sx, sy, sxx, sxy float64
	for _, p := range points {
		weight := pointWeight(p.Measured, floor)
		x := m.term(p.Driver)
		sw += weight
		sx += weight * x
		sy += weight * p.Measured
		sxx += weight * x * x
		sxy += weight * x * p.Measured
	}
	f := Fit{Model: m}
	if det := sw*sxx - sx*sx; det > 0 {
		f.Slope = (sw*sxy - sx*sy) / det
		f.Fixed = (sy - f.Slope*sx) / sw
	}
	f.Fixed, f.Slope = roundSignificant(f.Fixed), roundSignificant(f.Slope)
	for _, p := range points {
		r := 0.0
		if by := max(math.Abs(p.Measured), floor); by > 0 {
			r = (p.Measured - f.At(p.Driver)) / by
		}
		f.Residuals = append(f.Residuals, math.Round(r*1e4)/1e4+0) // + 0: no minus zero in a file
	}
	return f
}

func pointWeight(measured, floor float64) float64 {
	by := max(math.Abs(measured), floor)
	if by == 0 {
		return 1
	}
	return 1 / (by * by)
}

// rounded keeps six figures: what a file holds is what a reader can check.
func roundSignificant(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return v
	}
	scale := math.Pow(10, 5-math.Floor(math.Log10(math.Abs(v))))
	if math.IsInf(scale, 0) || scale == 0 {
		return v
	}
	return math.Round(v*scale) / scale
}

// same tells whether two fits are one, but for the last figure: machines round sums differently.
func (f Fit) equal(o Fit) bool {
	near := func(a, b float64) bool { return math.Abs(a-b) <= 1e-4*max(math.Abs(a), math.Abs(b), 1e-12) }
	return f.Model == o.Model && near(f.Fixed, o.Fixed) && near(f.Slope, o.Slope) && len(f.Residuals) == len(o.Residuals) &&
		slices.EqualFunc(f.Residuals, o.Residuals, func(a, b float64) bool { return math.Abs(a-b) <= 2e-4 })
}
