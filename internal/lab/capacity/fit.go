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

// Models are all models, in the order of preference.
var Models = []Model{Linear, NLogN, Quadratic}

const (
	// maxLinearResidual is the largest residual at which the linear fit is accepted without trying the other models. Timings vary
	// by this much between runs, so a steeper model that fits better would fit noise.
	maxLinearResidual = 0.15
	// maxResidualRatio bounds the largest residual of another model, as a fraction of the linear fit's, for that model to be
	// chosen.
	maxResidualRatio = 0.5
	// residualFloor is a fraction of the recording's largest measured value. The residual of a smaller value is relative to this
	// floor instead of the value.
	residualFloor = 1e-4
	// significantFigures is the precision of fixed and slope. It is low enough for a reader to check the figures in a file.
	significantFigures = 6
)

// Tolerances of Fit.equal. Fits that were computed on different processors differ in the last digit.
const (
	fitTolerance      = 1e-4 // relative
	residualTolerance = 2e-4 // absolute
)

// Fit is a least-squares fit of a model.
type Fit struct {
	Fixed     float64   `json:"fixed"`
	Slope     float64   `json:"slope"`
	Model     Model     `json:"model"`
	Residuals []float64 `json:"residuals"` // (measured - fitted) / measured, in the order of the points
}

// term is the factor by which a model multiplies the slope.
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

// FitPoints returns the linear fit, unless its largest residual exceeds maxLinearResidual and another model fits much better.
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

// fitModel is the least-squares fit of one model, weighted by the inverse square of the measured values. Without weights the
// largest point alone would determine the fit, as sizes span a factor of 30.
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

// pointWeight is the inverse square of a measured value or, if its magnitude is smaller, of the floor. It is 1 if both are 0.
func pointWeight(measured, floor float64) float64 {
	scale := max(math.Abs(measured), floor)
	if scale == 0 {
		return 1
	}
	return 1 / (scale * scale)
}

// residual is the residual of a point, rounded to four decimals.
func (f Fit) residual(p Point, floor float64) float64 {
	scale := max(math.Abs(p.Measured), floor)
	if scale == 0 {
		return 0
	}
	r := (p.Measured - f.At(p.Driver)) / scale
	return math.Round(r*1e4)/1e4 + 0 // + 0 turns -0 into 0
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

// equal reports whether two fits differ by rounding only.
func (f Fit) equal(other Fit) bool {
	return f.Model == other.Model && nearlyEqual(f.Fixed, other.Fixed) && nearlyEqual(f.Slope, other.Slope) &&
		slices.EqualFunc(f.Residuals, other.Residuals, func(a, b float64) bool { return math.Abs(a-b) <= residualTolerance })
}

func nearlyEqual(a, b float64) bool {
	return math.Abs(a-b) <= fitTolerance*max(math.Abs(a), math.Abs(b), 1e-12)
}
