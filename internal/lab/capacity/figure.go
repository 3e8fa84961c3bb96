package capacity

import "fmt"

// Basis says how a figure was obtained.
type Basis int

// The bases, from the strongest to the weakest. A figure computed from several figures has the weakest basis of these.
const (
	Given        Basis = iota // stated by the operators, or computed from such figures alone
	Measured                  // at this size, or interpolated between measured sizes
	Extrapolated              // beyond the measured sizes, by Figure.Extrapolation
	Assumed                   // not measured
)

// Figure is a value with its basis. The field or function that holds or returns a figure defines its unit.
type Figure struct {
	Value         float64
	Basis         Basis
	Extrapolation float64 // largest factor by which an input was extrapolated beyond the measured sizes; 0 if none was
}

// given is a figure that the operators stated, or that was computed from such figures.
func given(v float64) Figure { return Figure{Value: v} }

// assumed is a figure that was not measured.
func assumed(v float64) Figure { return Figure{Value: v, Basis: Assumed} }

// extrapolated is a figure that was measured at a size that is smaller by the factor.
func extrapolated(v, factor float64) Figure {
	return Figure{Value: v, Basis: Extrapolated, Extrapolation: factor}
}

// combine is a value that was computed from two figures.
func (f Figure) combine(v float64, other Figure) Figure {
	return Figure{Value: v, Basis: max(f.Basis, other.Basis), Extrapolation: max(f.Extrapolation, other.Extrapolation)}
}

// Plus is the sum. Adding 0 keeps the basis.
func (f Figure) Plus(other Figure) Figure {
	switch {
	case other.Value == 0:
		return f
	case f.Value == 0:
		return other
	}
	return f.combine(f.Value+other.Value, other)
}

// Times is the product.
func (f Figure) Times(other Figure) Figure { return f.combine(f.Value*other.Value, other) }

// DividedBy is the quotient.
func (f Figure) DividedBy(other Figure) Figure { return f.combine(f.Value/other.Value, other) }

// Scale is the figure times a factor. The basis stays.
func (f Figure) Scale(factor float64) Figure {
	f.Value *= factor
	return f
}

// sum is the sum of figures.
func sum(figures ...Figure) (total Figure) {
	for _, f := range figures {
		total = total.Plus(f)
	}
	return total
}

// Estimate is a recorded quantity at a size: the measured value if that size was measured, else the fitted value, but no less than
// 0. Beyond the measured sizes it is extrapolated. Estimate panics if there is no such recording.
func (s RecordingSet) Estimate(name string, size Figure) Figure {
	r := s.get(name)
	smallest, largest := r.bounds()
	estimate := Figure{Value: max(0, r.Fit.At(size.Value)), Basis: Measured}
	for _, p := range r.Points {
		if p.Driver == size.Value {
			estimate.Value = p.Measured
		}
	}
	switch {
	case size.Value > largest:
		estimate.Basis, estimate.Extrapolation = Extrapolated, size.Value/largest
	case size.Value < smallest && size.Value > 0:
		estimate.Basis, estimate.Extrapolation = Extrapolated, smallest/size.Value
	}
	return estimate.combine(estimate.Value, size)
}

// UnitCost is the amount by which a recorded quantity grows when its driver grows by one. It panics if there is no such recording,
// or if the recording's fit is not linear.
func (s RecordingSet) UnitCost(name string) Figure {
	r := s.get(name)
	if r.Model != Linear {
		panic(fmt.Sprintf("capacity: recording %s has a %s fit: only a linear fit has a unit cost", name, r.Model))
	}
	return Figure{Value: r.Slope, Basis: Measured}
}

// get returns a recording that a formula names. LoadFleet checks that all of these exist.
func (s RecordingSet) get(name string) Recording {
	r, known := s[name]
	if !known {
		panic(fmt.Sprintf("capacity: no recording %q", name))
	}
	return r
}
