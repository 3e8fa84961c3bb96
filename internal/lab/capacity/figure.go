package capacity

import (
	"fmt"
	"math"
	"strings"
)

// Mark says where a figure comes from.
type Mark int

// The marks, from the surest to the weakest: what is made of several has the weakest.
const (
	Given        Mark = iota // by the operators' letter, or by arithmetic on it
	Measured                 // at this size, or between sizes that were measured
	Extrapolated             // beyond what was measured: Figure.Beyond says how far
	Assumed                  // not measured here
)

// Figure is a value and what it rests on.
type Figure struct {
	Value  float64
	Mark   Mark
	Beyond float64 // by the largest measured size, of whichever part of it was stretched furthest; 0: none
}

// given is a figure of the operators' letter.
func given(v float64) Figure { return Figure{Value: v} }

// assumed is one that nobody here measured.
func assumed(v float64) Figure { return Figure{Value: v, Mark: Assumed} }

// stretched is one that was measured at a size so many times smaller.
func stretched(v, beyond float64) Figure { return Figure{Value: v, Mark: Extrapolated, Beyond: beyond} }

func (f Figure) with(v float64, o Figure) Figure {
	return Figure{Value: v, Mark: max(f.Mark, o.Mark), Beyond: max(f.Beyond, o.Beyond)}
}

// Plus is the sum. Nothing added leaves the mark as it is.
func (f Figure) Plus(o Figure) Figure {
	switch {
	case o.Value == 0:
		return f
	case f.Value == 0:
		return o
	}
	return f.with(f.Value+o.Value, o)
}

// Times is the product.
func (f Figure) Times(o Figure) Figure { return f.with(f.Value*o.Value, o) }

// Over is the quotient.
func (f Figure) Over(o Figure) Figure { return f.with(f.Value/o.Value, o) }

// By is the figure times a plain number.
func (f Figure) By(n float64) Figure {
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
func (b Book) At(name string, size Figure) Figure {
	r := b.must(name)
	least, most := r.bounds()
	f := Figure{Value: max(0, r.Fit.At(size.Value)), Mark: Measured}
	for _, p := range r.Points {
		if p.Driver == size.Value {
			f.Value = p.Measured
		}
	}
	switch {
	case size.Value > most:
		f.Mark, f.Beyond = Extrapolated, size.Value/most
	case size.Value < least && size.Value > 0:
		f.Mark, f.Beyond = Extrapolated, least/size.Value
	}
	return f.with(f.Value, size)
}

// Each is what one more of the driver costs, where the fit is linear.
func (b Book) Each(name string) Figure {
	r := b.must(name)
	if r.Model != Linear {
		panic(fmt.Sprintf("capacity: %s is %s: it has no cost of one more", name, r.Model))
	}
	return Figure{Value: r.Slope, Mark: Measured}
}

// must is a recording that a formula names. ReadBook's caller checks that all of them are there.
func (b Book) must(name string) Recording {
	r, known := b[name]
	if !known {
		panic(fmt.Sprintf("capacity: no recording %q", name))
	}
	return r
}

// String is the value in three figures with its mark.
func (f Figure) String() string { return f.as(number(f.Value)) }

// as puts the mark behind a value that was written.
func (f Figure) as(text string) string {
	switch f.Mark {
	case Measured:
		return text + " m"
	case Extrapolated:
		return text + " x" + factor(f.Beyond)
	case Assumed:
		if f.Beyond > 0 {
			return text + " a, x" + factor(f.Beyond)
		}
		return text + " a"
	}
	return text
}

func factor(v float64) string {
	switch {
	case v < 2:
		return fmt.Sprintf("%.2f", v)
	case v < 10:
		return fmt.Sprintf("%.1f", v)
	}
	return number(math.Round(v))
}

// Bytes writes it in decimal units.
func (f Figure) Bytes() string { return f.as(scaled(f.Value, " B", " KB", " MB", " GB", " TB")) }

// Rate writes bytes a second.
func (f Figure) Rate() string {
	return f.as(scaled(f.Value, " B/s", " KB/s", " MB/s", " GB/s", " TB/s"))
}

// Core writes us of processor a second as a share of a core.
func (f Figure) Core() string {
	if f.Value >= 1e6 {
		return f.as(number(f.Value/1e6) + " cores")
	}
	return f.as(number(f.Value/1e4) + " %")
}

// Percent writes a share.
func (f Figure) Percent() string { return f.as(number(100*f.Value) + " %") }

// Microseconds writes a time.
func (f Figure) Microseconds() string { return f.as(number(f.Value) + " us") }

// Milliseconds writes a time.
func (f Figure) Milliseconds() string {
	if f.Value < 1 {
		return f.as(number(f.Value) + " ms")
	}
	return f.as(number(math.Round(f.Value)) + " ms")
}

func scaled(v float64, units ...string) string {
	at := 0
	for at < len(units)-1 && math.Abs(v) >= 1000 {
		v, at = v/1000, at+1
	}
	return number(v) + units[at]
}

// number writes three figures, and groups of thousands.
func number(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 0:
		return "-" + number(-v)
	}
	digits := 2 - int(math.Floor(math.Log10(math.Abs(v))))
	if digits > 0 {
		text := fmt.Sprintf("%.*f", digits, v)
		return strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	scale := math.Pow(10, float64(-digits))
	return whole(math.Round(v/scale) * scale)
}

// whole writes a number without its fraction, in groups of thousands.
func whole(v float64) string {
	text := fmt.Sprintf("%.0f", v)
	for at := len(text) - 3; at > 0; at -= 3 {
		text = text[:at] + "," + text[at:]
	}
	return text
}
