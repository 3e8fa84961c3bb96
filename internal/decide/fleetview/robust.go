package fleetview

import (
	"cmp"
	"math"
	"slices"
)

// BoundedValue is an estimate with the bounds between which the true value lies if no more than the tolerated fraction of the
// reporters is faulty.
type BoundedValue struct {
	Value float64 `json:"Value"`
	Low   float64 `json:"Low"`
	High  float64 `json:"High"`
}

// maxFaulty returns how many of n reporters may be faulty: the given fraction, rounded up, but fewer than a third, because at least
// one correct value must be left at each end after those of the faulty reporters are cut off.
func maxFaulty(n int, faultyFraction float64) int {
	return max(0, min(int(math.Ceil(faultyFraction*float64(n))), (n-1)/3))
}

// WinsorizedSum estimates the sum of values of which f = maxFaulty may be arbitrary. Each of the f lowest values counts as the
// lowest of the others, and each of the f highest as the highest of the others. The sum never falls when a value rises: whatever f
// of the values are replaced by, it stays between the sums in which those f are at minus and at plus infinity. These two sums are
// Low and High. They bound the sum of the true values too, and are finite, because both ends are clipped at values of correct
// reporters.
func WinsorizedSum(values []float64, faultyFraction float64) BoundedValue {
	n := len(values)
	if n == 0 {
		return BoundedValue{}
	}
	sorted := slices.Sorted(slices.Values(values))
	faulty := maxFaulty(n, faultyFraction)
	// shiftedSum returns the clipped sum with each value replaced by the one that many places higher in the sorted order. With
	// places = +faulty it equals the sum in which the faulty lowest values are replaced by plus infinity before clipping.
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

// TrimmedMean estimates a fraction that reporters have observed, each with a weight (its attempts per second). f = maxFaulty of the
// n reporters may be faulty. Weights are capped at the (f+1)th highest. The fractions are sorted, and at each end fractions with a
// total weight of f times that cap are left out. Whatever f reporters report, the result stays between the lowest and the highest
// fraction that the others report.
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

// weightedValues are values with weights. Each weight counts as maxWeight at most.
type weightedValues struct {
	values, weights []float64
	order           []int // indexes of values, lowest value first
	maxWeight       float64
	total           float64 // of the capped weights
}

// newWeightedValues returns values with all weights capped at the (faulty+1)th highest.
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

// mean returns the weighted mean of the sorted values between two points of the accumulated weight, which runs from 0 to w.total.
func (w *weightedValues) mean(from, to float64) float64 {
	if to <= from { // nothing is left: use the value in the middle
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
