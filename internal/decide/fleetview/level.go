package fleetview

import "math"

// Level is an amount on a logarithmic scale with steps of an eighth of an octave, in one byte. It gives the amount to within 4.5 %,
// less exactly where the amount is not large compared with a sixteenth (levelOffset). Level 0 stands for an amount of 0 only; the
// smallest other amounts are rounded up to level 1.
type Level uint8

const (
	stepsPerOctave = 8
	// levelOffset is added to an amount before its logarithm is taken, so that amounts near 0 have levels near 0.
	levelOffset = 1.0 / 16
)

// LevelOf returns the level nearest to an amount.
func LevelOf(amount float64) Level {
	if !(amount > 0) { // true for NaN too
		return 0
	}
	return Level(min(math.MaxUint8, max(1, math.Round(stepsPerOctave*math.Log2(1+amount/levelOffset)))))
}

// Value returns the amount that a level stands for.
func (l Level) Value() float64 { return levelOffset * (math.Exp2(float64(l)/stepsPerOctave) - 1) }

// near reports whether two levels are fewer than the given number of steps apart. A step is an eighth of an octave.
func (l Level) near(other Level, steps Level) bool { return max(l, other)-min(l, other) < steps }
