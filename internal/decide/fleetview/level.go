package fleetview

import "math"

// Level is an amount on a logarithmic scale, in steps of an eighth of an octave: within 4.5 % of the amount, in one byte. 0 stands
// for none; amounts below a sixteenth count as the least.
type Level uint8

const (
	stepsPerOctave = 8 // of an octave
	levelOffset    = 1.0 / 16
)

// LevelOf returns the level nearest to an amount.
func LevelOf(amount float64) Level {
	if !(amount > 0) { // also of what is no number
		return 0
	}
	return Level(min(math.MaxUint8, max(1, math.Round(stepsPerOctave*math.Log2(1+amount/levelOffset)))))
}

// Value returns the amount that a level stands for.
func (l Level) Value() float64 { return levelOffset * (math.Exp2(float64(l)/stepsPerOctave) - 1) }

// near reports whether two levels are fewer than so many steps apart; a step is an eighth of an octave.
func (l Level) near(other Level, steps Level) bool { return max(l, other)-min(l, other) < steps }
