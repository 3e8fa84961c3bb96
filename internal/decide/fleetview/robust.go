package fleetview

import (
	"cmp"
	"math"
	"slices"
)

// BoundedValue is an estimate, and the bounds between which the true value lies if no more than the tolerated fraction of the
// reporters are faulty.
type BoundedValue struct {
	Value float64 `json:"Value"`
	Low   float64 `json:"Low"`
	High  float64 `json:"High"`
}

// maxFaulty returns how many of n reporters may be faulty. At least one correct value must be left on each side.
func maxFaulty(n int, faultyFraction float64) int {
	return max(0, min(int(math.Ceil(faultyFraction*float64(n))), (n-1)/3))
}

// WinsorizedSum estimates the sum of values of which some may be arbitrary: the given fraction of them, rounded up to f values, but
// fewer than a third. Each of the f least counts as the one above them, and each of the f greatest as the one below. The sum rises
// with every value: whatever f of them are replaced by, it stays between the sums with those f at minus and at plus infinity. These
// are Low and High; they bound the sum of the true values too, and are finite, as both ends are clipped at correct values.
func WinsorizedSum(values []float64, faultyFraction float64) BoundedValue {
	n := len(values)
	if n == 0 {
		return BoundedValue{}
	}
	sorted := slices.Sorted(slices.Values(values))
	faulty := maxFaulty(n, faultyFraction)
	// shiftedSum returns the sum with each value replaced by the one that is so many places further up the order. With +faulty it is the
	// sum with the faulty least values replaced by plus infinity, and clipped as above.
	shiftedSum := func(places int) float64 {
		total := 0.0
		for i := range n {
			clipped := min(max(i, faulty), n-1-faulty)
			total += sorted[min(max(clipped+places, 0), n-1)]
		}
		return total
	}
	return BoundedValue{shiftedSum(0), shiftedSum(-faulty), shiftedSum(faulty)}
}

// TrimmedMean estimates a fraction that reporters have observed, each with a weight (its attempts a second). Of n reporters f may be
// faulty, see WinsorizedSum. Weights are capped at the (f+1)th greatest. Of the fractions in rising order, those
// at each end are left out, up to f times that greatest weight. Whatever f reporters report, the result stays between the least and
// the greatest fraction that the others report.
func TrimmedMean(fractions, weights []float64, faultyFraction float64) BoundedValue {
	n := len(fractions)
	if n == 0 {
		return BoundedValue{}
	}
	faulty := maxFaulty(n, faultyFraction)
	w := newWeightedValues(fractions, weights, faulty)
	trimmedWeight := float64(faulty) * w.maxWeight
	low, high := w.mean(0, w.total-2*trimmedWeight), w.mean(2*trimmedWeight, w.total)
	value := w.mean(trimmedWeight, w.total-trimmedWeight)
	return BoundedValue{value, min(low, value), max(high, value)}
}

// weightedValues is values with weights, the latter capped.
type weightedValues struct {
	values, weights []float64
	order           []int // indexes, by rising value
	maxWeight       float64
	total           float64 // of the capped weights
}

// newWeightedValues caps all weights at the (faulty+1)th greatest.
func newWeightedValues(values, weights []float64, faulty int) weightedValues {
	n := len(values)
	sorted := slices.Sorted(slices.Values(weights))
	w := weightedValues{values: values, weights: weights, order: make([]int, n), maxWeight: sorted[n-1-faulty]}
	for i := range w.order {
		w.order[i] = i
		w.total += min(weights[i], w.maxWeight)
	}
	slices.SortFunc(w.order, func(a, b int) int { return cmp.Compare(values[a], values[b]) })
	return w
}

// mean returns the mean of the values between two points on the scale of the accumulated weight.
func (w *weightedValues) mean(from, to float64) float64 {
	if to <= from { // everything is cut off: take the value in the middle
		from, to = w.total/2-w.total*1e-9, w.total/2+w.total*1e-9
	}
	position, weightedSum, weight := 0.0, 0.0, 0.0
	for _, i := range w.order {
		capped := min(w.weights[i], w.maxWeight)
		if part := min(position+capped, to) - max(position, from); part > 0 {
			weightedSum += part * w.values[i]
			weight += part
		}
		position += capped
	}
	if weight == 0 {
		return 0
	}
	return weightedSum / weight
}

func sum(values []float64) (total float64) {
	for _, v := range values {
		total += v
	}
	return total
}
