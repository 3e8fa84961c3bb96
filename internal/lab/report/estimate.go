package report

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
)

// Estimate is a mean over seeds and its 95 % confidence interval.
type Estimate struct{ Mean, Low, High float64 }

// String returns the mean, followed by the interval unless its ends are equal.
func (e Estimate) String() string {
	if e.Low == e.High {
		return threeDigits(e.Mean)
	}
	return threeDigits(e.Mean) + " [" + threeDigits(e.Low) + ", " + threeDigits(e.High) + "]"
}

// threeDigits formats a number without exponent: with three decimals below 1, with three digits in all from 1 to 999, and without
// decimals above.
func threeDigits(v float64) string {
	decimals := 3
	for rest := math.Abs(v); rest >= 1 && decimals > 0; rest /= 10 {
		decimals--
	}
	return strconv.FormatFloat(v, 'f', decimals, 64)
}

const (
	bootstrapSamples = 2000
	// samplesOutside is the number of samples below a 95 % interval, and the number above it.
	samplesOutside = bootstrapSamples / 40
)

// Bootstrap estimates the mean of values and its interval with the percentile bootstrap (Efron, 1979). Its random numbers have a
// fixed seed, so the same values in the same order give the same interval.
func Bootstrap(values []float64) Estimate {
	if len(values) == 0 {
		return Estimate{}
	}
	mean := func(value func(int) float64) float64 {
		sum := 0.0
		for i := range values {
			sum += value(i)
		}
		return sum / float64(len(values))
	}
	rng := rand.New(rand.NewPCG(1, uint64(len(values))))
	means := make([]float64, bootstrapSamples)
	for sample := range means {
		means[sample] = mean(func(int) float64 { return values[rng.IntN(len(values))] })
	}
	slices.Sort(means)
	return Estimate{
		Mean: mean(func(i int) float64 { return values[i] }), Low: means[samplesOutside], High: means[bootstrapSamples-1-samplesOutside],
	}
}
