package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Mark says where a figure comes from.
type Basis int

// The marks, from the surest to the weakest: what is made of several has the weakest.
const (
	Given        Basis = iota // by the operators' letter, or by arithmetic on it
	Measured                  // at this size, or between sizes that were measured
	Extrapolated              // beyond what was measured: Figure.Beyond says how far
	Assumed                   // not measured here
)

// Figure is a value and what it rests on.
type Figure struct {
	Value         float64
	Basis         Basis
	Extrapolation float64 // by the largest measured size, of whichever part of it was stretched furthest; 0: none
}

// given is a figure of the operators' letter.
func given(v float64) Figure { return Figure{Value: v} }

// assumed is one that nobody here measured.
func assumed(v float64) Figure { return Figure{Value: v, Basis: Assumed} }

// stretched is one that was measured at a size so many times smaller.
func extrapolated(v, beyond float64) Figure {
	return Figure{Value: v, Basis: Extrapolated, Extrapolation: beyond}
}

func (f Figure) combine(v float64, o Figure) Figure {
	return Figure{Value: v, Basis: max(f.Basis, o.Basis), Extrapolation: max(f.Extrapolation, o.Extrapolation)}
}

// Plus is the sum. Nothing added leaves the mark as it is.
func (f Figure) Plus(o Figure) Figure {
	switch {
	case o.Value == 0:
		return f
	case f.Value == 0:
		return o
	}
	return f.combine(f.Value+o.Value, o)
}

// Times is the product.
func (f Figure) Times(o Figure) Figure { return f.combine(f.Value*o.Value, o) }

// Over is the quotient.
func (f Figure) DividedBy(o Figure) Figure { return f.combine(f.Value/o.Value, o) }

// By is the figure times a plain number.
func (f Figure) Scale(n float64) Figure {
	f.Value *= n
	return f
}

// AtMost is the figure, bounded.
func (f Figure) AtMost(o Figure) Figure {
	if f.Value <= o.Value {
		return f
	}
	return o
}

func sum(figures ...Figure) (total Figure) {
	for _, f := range figures {
		total = total.Plus(f)
	}
	return total
}

// At is what was measured at a size, or the recording's fit: measured between the sizes that were, extrapolated beyond.
func (b RecordingSet) Estimate(name string, size Figure) Figure {
	r := b.get(name)
	least, most := r.bounds()
	f := Figure{Value: max(0, r.Fit.At(size.Value)), Basis: Measured}
	for _, p := range r.Points {
		if p.Driver == size.Value {
			f.Value = p.Measured
		}
	}
	switch {
	case size.Value > most:
		f.Basis, f.Extrapolation = Extrapolated, size.Value/most
	case size.Value < least && size.Value > 0:
		f.Basis, f.Extrapolation = Extrapolated, least/size.Value
	}
	return f.combine(f.Value, size)
}

// Each is what one more of the driver costs, where the fit is linear.
func (b RecordingSet) UnitCost(name string) Figure {
	r := b.get(name)
	if r.Model != Linear {
		panic(fmt.Sprintf("capacity: %s is %s: it has no cost of one more", name, r.Model))
	}
	return Figure{Value: r.Slope, Basis: Measured}
}

// must is a recording that a formula names. ReadBook's caller checks that all of them are there.
func (b RecordingSet) get(name string) Recording {
	r, known := b[name]
	if !known {
		panic(fmt.Sprintf("capacity: no recording %q", name))
	}
	return r
}

// String is the value in three figures with its mark.
func (f Figure) String() string { return f.withBasis(formatNumber(f.Value)) }

// as puts the mark behind a value that was written.
func (f Figure) withBasis(text string) string {
	switch f.Basis {
	case Measured:
		return text + " m"
	case Extrapolated:
		return text + " x" + formatFactor(f.Extrapolation)
	case Assumed:
		if f.Extrapolation > 0 {
			return text + " a, x" + formatFactor(f.Extrapolation)
		}
		return text + " a"
	}
	return text
}

func formatFactor(v float64) string {
	switch {
	case v < 2:
		return fmt.Sprintf("%.2f", v)
	case v < 10:
		return fmt.Sprintf("%.1f", v)
	}
	return formatNumber(math.Round(v))
}

// Bytes writes it in decimal units.
func (f Figure) FormatBytes() string {
	return f.withBasis(formatScaled(f.Value, " B", " KB", " MB", " GB", " TB"))
}

// Rate writes bytes a second.
func (f Figure) FormatRate() string {
	return f.withBasis(formatScaled(f.Value, " B/s", " KB/s", " MB/s", " GB/s", " TB/s"))
}

// Core writes us of processor a second as a share of a core.
func (f Figure) FormatCPU() string {
	if f.Value >= 1e6 {
		return f.withBasis(formatNumber(f.Value/1e6) + " cores")
	}
	return f.withBasis(formatNumber(f.Value/1e4) + " %")
}

// Percent writes a share.
func (f Figure) FormatPercent() string { return f.withBasis(formatNumber(100*f.Value) + " %") }

// Microseconds writes a time.
func (f Figure) FormatMicroseconds() string { return f.withBasis(formatNumber(f.Value) + " us") }

// Milliseconds writes a time.
func (f Figure) FormatMilliseconds() string {
	if f.Value < 1 {
		return f.withBasis(formatNumber(f.Value) + " ms")
	}
	return f.withBasis(formatNumber(math.Round(f.Value)) + " ms")
}

func formatScaled(v float64, units ...string) string {
	at := 0
	for at < len(units)-1 && math.Abs(v) >= 1000 {
		v, at = v/1000, at+1
	}
	return formatNumber(v) + units[at]
}

// number writes three figures, and groups of thousands.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 0:
		return "-" + formatNumber(-v)
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits > 0 {
		text := fmt.Sprintf("%.*f", digits, v)
		return strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	scale := math.Pow(10, float64(-digits))
	return formatWhole(math.Round(v/scale) * scale)
}

// whole writes a number without its fraction, in groups of thousands.
func formatWhole(v float64) string {
	text := fmt.Sprintf("%.0f", v)
	for at := len(text) - 3; at > 0; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return text
}
