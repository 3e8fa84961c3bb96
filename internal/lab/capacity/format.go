package capacity

import (
	"fmt"
	"math"
	"strings"
)

// significantDigits is the number of significant digits that the page shows.
const significantDigits = 3

// microsPerCore is the CPU time of a core in a second, in µs.
const microsPerCore = 1e6

// String formats the value with its basis.
func (f Figure) String() string { return f.withBasis(formatNumber(f.Value)) }

// withBasis appends the basis to a formatted value: m for measured, x and the factor for extrapolated, a for assumed, and nothing
// for given.
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

// FormatBytes formats bytes in decimal units.
func (f Figure) FormatBytes() string {
	return f.withBasis(formatScaled(f.Value, " B", " KB", " MB", " GB", " TB"))
}

// FormatRate formats bytes a second.
func (f Figure) FormatRate() string {
	return f.withBasis(formatScaled(f.Value, " B/s", " KB/s", " MB/s", " GB/s", " TB/s"))
}

// FormatCPU formats µs of CPU time a second, in cores from one core on, else in percent of a core.
func (f Figure) FormatCPU() string {
	if f.Value >= microsPerCore {
		return f.withBasis(formatNumber(f.Value/microsPerCore) + " cores")
	}
	return f.withBasis(formatNumber(f.Value/(microsPerCore/100)) + " %")
}

// FormatPercent formats a fraction.
func (f Figure) FormatPercent() string { return f.withBasis(formatNumber(100*f.Value) + " %") }

// FormatMicroseconds formats a time in µs.
func (f Figure) FormatMicroseconds() string { return f.withBasis(formatNumber(f.Value) + " us") }

// FormatMilliseconds formats a time in ms, from 1 ms on rounded to whole milliseconds.
func (f Figure) FormatMilliseconds() string {
	if f.Value < 1 {
		return f.withBasis(formatNumber(f.Value) + " ms")
	}
	return f.withBasis(formatNumber(math.Round(f.Value)) + " ms")
}

// formatPerS formats a number of events a second.
func (f Figure) formatPerS() string { return f.withBasis(formatNumber(f.Value) + "/s") }

// formatCount formats a whole number.
func formatCount(f Figure) string { return f.withBasis(formatWhole(f.Value)) }

// formatScaled formats a value in the largest unit in which it is 1 or more. Each unit is 1000 of the one before.
func formatScaled(v float64, units ...string) string {
	i := 0
	for i < len(units)-1 && math.Abs(v) >= 1000 {
		v, i = v/1000, i+1
	}
	return formatNumber(v) + units[i]
}

// formatNumber formats a number with three significant digits, and with commas between groups of thousands.
func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 0:
		return "-" + formatNumber(-v)
	}
	decimals := significantDigits - 1 - int(math.Floor(math.Log10(math.Abs(v))))
	if decimals > 0 {
		text := fmt.Sprintf("%.*f", decimals, v)
		return strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	scale := math.Pow(10, float64(-decimals))
	return formatWhole(math.Round(v/scale) * scale)
}

// formatWhole formats a number without its fraction, with commas between groups of thousands.
func formatWhole(v float64) string {
	text := fmt.Sprintf("%.0f", v)
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// formatFactor formats the ratio of two values.
func formatFactor(v float64) string {
	switch {
	case v < 2:
		return fmt.Sprintf("%.2f", v)
	case v < 10:
		return fmt.Sprintf("%.1f", v)
	}
	return formatNumber(math.Round(v))
}

// formatSignificant formats a number of any size with four significant digits.
func formatSignificant(v float64) string { return fmt.Sprintf("%.4g", v) }

// formatShare formats the fraction of a budget that is spent, in bold if the budget is exceeded.
func formatShare(spent Figure, budget float64) string {
	part := spent.Scale(1 / budget)
	if part.Value > 1 {
		return "**" + part.FormatPercent() + "**"
	}
	return part.FormatPercent()
}
