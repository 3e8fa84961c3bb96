package fleetview

import (
	"cmp"
	"math"
	"slices"
)

// minCount is the count below which Sketch.Decay removes an object.
const minCount = 0.5

// Sketch finds the objects requested most in bounded memory, by the space-saving algorithm (Metwally, Agrawal, El Abbadi, 2005).
// The count of an object is never below the true one, and exceeds it by at most the sum of all counts divided by the sketch's size.
// A Sketch is not safe for concurrent use.
type Sketch struct {
	size   int
	counts map[uint64]float64
}

// NewSketch returns a sketch that counts at most size objects.
func NewSketch(size int) *Sketch { return &Sketch{size, make(map[uint64]float64, size)} }

// Add counts one request for an object.
func (s *Sketch) Add(object uint64) {
	if _, known := s.counts[object]; known || len(s.counts) < s.size {
		s.counts[object]++
		return
	}
	least, evicted := math.Inf(1), uint64(0)
	for candidate, count := range s.counts {
		if count < least || count == least && candidate < evicted {
			least, evicted = count, candidate
		}
	}
	delete(s.counts, evicted)
	s.counts[object] = least + 1
}

// Decay multiplies all counts by a factor, so that objects that are no longer requested are removed in time.
func (s *Sketch) Decay(factor float64) {
	for object := range s.counts {
		if s.counts[object] *= factor; s.counts[object] < minCount {
			delete(s.counts, object)
		}
	}
}

// Top returns the n objects with the highest counts, highest first. The rate of an object is its count times scale.
func (s *Sketch) Top(n int, scale float64) []ObjectRate {
	out := make([]ObjectRate, 0, len(s.counts))
	for object, count := range s.counts {
		out = append(out, ObjectRate{Object: object, Rate: LevelOf(count * scale)})
	}
	slices.SortFunc(out, func(a, b ObjectRate) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Object, b.Object))
	})
	return out[:min(n, len(out))]
}
