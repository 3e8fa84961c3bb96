package capacity

import (
	"math"
	"slices"
)

// Model is how a quantity grows with its driver.
type Model string

// The models: fixed + slope times the driver, driver log2(driver) or driver squared.
const (
	Linear    Model = "linear"
	NLogN     Model = "n log n"
	Quadratic Model = "quadratic"
)

// Models are all of them, in the order of preference.
var Models = []Model{Linear, NLogN, Quadratic}

const (
	// maxLinearResidual is the residual up to which a linear fit is taken without a look at the others. Timings differ by as much
	// between runs, so that a steeper model that fits better would fit noise.
	maxLinearResidual = 0.15
	// maxResidualRatio is the part of the linear fit's largest residual that another model must stay within to be taken.
	maxResidualRatio = 0.5
	// residualFloor is the fraction of the largest measured value below which residuals are no longer relative to the point's own.
	residualFloor = 1e-4
	// significantFigures is the precision of fixed and slope, so that a reader can check what a file holds.
	significantFigures = 6
)

// Tolerances of equal: fits that were computed on different processors differ in the last digit.
const (
	fitTolerance      = 1e-4 // relative
	residualTolerance = 2e-4
)

// Fit is a least-squares fit of a model.
type Fit struct {
	Fixed     float64   `json:"fixed"`
	Slope     float64   `json:"slope"`
	Model     Model     `json:"model"`
	Residuals []float64 `json:"residuals"` // (measured - fitted) / measured, by point
}

// term is what a model multiplies the slope with.
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

// MaxResidual is the largest residual, as a fraction of the measured value.
func (f Fit) MaxResidual() (largest float64) {
	for _, r := range f.Residuals {
		largest = max(largest, math.Abs(r))
	}
	return largest
}

// FitPoints fits points: linearly, unless that fits badly and another model fits much better.
func FitPoints(points []Point) Fit {
	linear := fitModel(Linear, points)
	if linear.MaxResidual() <= maxLinearResidual {
		return linear
	}
	best := linear
	for _, model := range Models[1:] {
		fit := fitModel(model, points)
		if fit.MaxResidual() <= maxResidualRatio*linear.MaxResidual() && fit.MaxResidual() < best.MaxResidual() {
			best = fit
		}
	}
	return best
}

// fitModel is the least-squares fit of one model, weighted by the inverse square of the measured values. Unweighted, the
// largest point would decide the fit alone, as sizes span a factor of 30.
func fitModel(model Model, points []Point) Fit {
	floor := residualFloor * maxMeasured(points)
	var sumW, sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		weight, x := pointWeight(p.Measured, floor), model.term(p.Driver)
		sumW += weight
		sumX += weight * x
		sumY += weight * p.Measured
		sumXX += weight * x * x
		sumXY += weight * x * p.Measured
	}
	fit := Fit{Model: model}
	if determinant := sumW*sumXX - sumX*sumX; determinant > 0 {
		fit.Slope = (sumW*sumXY - sumX*sumY) / determinant
		fit.Fixed = (sumY - fit.Slope*sumX) / sumW
	}
	fit.Fixed, fit.Slope = roundSignificant(fit.Fixed), roundSignificant(fit.Slope)
	for _, p := range points {
		fit.Residuals = append(fit.Residuals, fit.residual(p, floor))
	}
	return fit
}

func maxMeasured(points []Point) (largest float64) {
	for _, p := range points {
		largest = max(largest, math.Abs(p.Measured))
	}
	return largest
}

func pointWeight(measured, floor float64) float64 {
	scale := max(math.Abs(measured), floor)
	if scale == 0 {
		return 1
	}
	return 1 / (scale * scale)
}

// residual is that of a point, rounded to four decimals.
func (f Fit) residual(p Point, floor float64) float64 {
	scale := max(math.Abs(p.Measured), floor)
	if scale == 0 {
		return 0
	}
	r := (p.Measured - f.At(p.Driver)) / scale
	return math.Round(r*1e4)/1e4 + 0 // + 0 makes a 0 of -0
}

func roundSignificant(v float64) float64 {
	if v == 0 || math.IsNaN(v) || math.IsInf(v, 0) {
		return v
	}
	scale := math.Pow(10, significantFigures-1-math.Floor(math.Log10(math.Abs(v))))
	if math.IsInf(scale, 0) || scale == 0 {
		return v
	}
	return math.Round(v*scale) / scale
}

// equal reports whether two fits are the same but for rounding.
func (f Fit) equal(other Fit) bool {
	return f.Model == other.Model && nearlyEqual(f.Fixed, other.Fixed) && nearlyEqual(f.Slope, other.Slope) &&
		slices.EqualFunc(f.Residuals, other.Residuals, func(a, b float64) bool { return math.Abs(a-b) <= residualTolerance })
}

func nearlyEqual(a, b float64) bool {
	return math.Abs(a-b) <= fitTolerance*max(math.Abs(a), math.Abs(b), 1e-12)
}
