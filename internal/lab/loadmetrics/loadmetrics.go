// Package loadmetrics measures, from what caches saw, how evenly load falls on them and how a fleet reacts to a change: the same for
// real processes (internal/lab/multiprocess) and for those of the emulator (internal/lab/sim). Times are in seconds.
package loadmetrics

import (
	"cmp"
	"math"
	"slices"

	"ravenwheel/policy"
)

// Attempt is one that came to a cache.
type Attempt struct {
	At    float64
	Cache policy.CacheID
}

// Cache is where one stands, and its size against the others'.
type Cache struct {
	Zone   int
	Weight float64
}

// Spread is how evenly load fell, over windows and zones: the load of a cache by its weight, against the mean of its zone. All
// is 0 where there was no window with load.
type Spread struct {
	Median, P95 float64 // of the highest
	Least       float64 // median of the lowest
}

// Record is what caches saw, by time.
type Record struct {
	attempts []Attempt
	caches   map[policy.CacheID]Cache
	ids      []policy.CacheID // by zone, then by id
}

// NewRecord sorts what caches saw. Attempts at others than these are left out.
func NewRecord(attempts []Attempt, caches map[policy.CacheID]Cache) *Record {
	r := &Record{caches: caches}
	for _, a := range attempts {
		if _, ok := caches[a.Cache]; ok {
			r.attempts = append(r.attempts, a)
		}
	}
	slices.SortFunc(r.attempts, func(a, b Attempt) int { return cmp.Compare(a.At, b.At) })
	for id := range caches {
		r.ids = append(r.ids, id)
	}
	slices.SortFunc(r.ids, func(a, b policy.CacheID) int {
		return cmp.Or(caches[a].Zone-caches[b].Zone, cmp.Compare(a, b))
	})
	return r
}

// counts are the attempts at each cache from a time on and before another.
func (r *Record) counts(from, to float64) map[policy.CacheID]float64 {
	at := func(t float64) int {
		i, _ := slices.BinarySearchFunc(r.attempts, t, func(a Attempt, t float64) int { return cmp.Compare(a.At, t) })
		return i
	}
	out := make(map[policy.CacheID]float64, len(r.ids))
	for _, a := range r.attempts[at(from):max(at(from), at(to))] {
		out[a.Cache]++
	}
	return out
}

// Over is the spread over windows of a span that follow each other from one time to another. Zones idle in a window count
// for nothing, and one with a single cache neither.
func (r *Record) Over(from, to, span float64) (s Spread) {
	var high, low []float64
	for t := from; t+span <= to+1e-9; t += span {
		n := r.counts(t, t+span)
		for i := 0; i < len(r.ids); {
			zone, first := r.caches[r.ids[i]].Zone, i
			sum, weights, most, least := 0.0, 0.0, 0.0, math.Inf(1)
			for ; i < len(r.ids) && r.caches[r.ids[i]].Zone == zone; i++ {
				w := r.caches[r.ids[i]].Weight
				sum, weights = sum+n[r.ids[i]], weights+w
				most, least = max(most, n[r.ids[i]]/w), min(least, n[r.ids[i]]/w)
			}
			if sum > 0 && i-first > 1 {
				high, low = append(high, most*weights/sum), append(low, least*weights/sum)
			}
		}
	}
	return Spread{quantile(high, 0.5), quantile(high, 0.95), quantile(low, 0.5)}
}

func quantile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[int(q*float64(len(xs)-1)+0.5)]
}

// The windows in which a reaction is looked for.
const (
	before, step, look = 5.0, 0.1, 1.0
	// leftAt and backAt: shares of its former part of the zone's load below which a cache was left, and from which it is back.
	leftAt, backAt = 0.5, 0.8
)

// part is a cache's share of its zone's load.
func (r *Record) part(id policy.CacheID, from, to float64) float64 {
	n, sum := r.counts(from, to), 0.0
	for _, x := range r.ids {
		if r.caches[x].Zone == r.caches[id].Zone {
			sum += n[x]
		}
	}
	if sum == 0 {
		return 0
	}
	return n[id] / sum
}

// Left is how long after a change, until an end, the fleet took to bring a cache's part of its zone's load down to half and
// below for a second; NaN: it did not.
func (r *Record) Left(id policy.CacheID, at, end float64) float64 {
	was := r.part(id, at-before, at)
	for t := at; t+look <= end; t += step {
		if was > 0 && r.part(id, t, t+look) <= leftAt*was {
			return t - at
		}
	}
	return math.NaN()
}

// Back is how long after a change ended a cache took to get nearly what it had before the change began.
func (r *Record) Back(id policy.CacheID, began, ended, end float64) float64 {
	was := r.part(id, began-before, began)
	for t := ended; t+look <= end; t += step {
		if was > 0 && r.part(id, t, t+look) >= backAt*was {
			return t - ended
		}
	}
	return math.NaN()
}

// surgeFor and leastRate: a surge is looked for this long after a change, at caches with so many attempts a second before.
const surgeFor, leastRate = 5.0, 2.0

// Surge is the most that one second, within surgeFor of a change, brought a cache, against its mean of the seconds before:
// what processes that all draw the same conclusion at once do to whom they turn to.
func (r *Record) Surge(at float64) (most float64) {
	mean := r.counts(at-before, at)
	for t := at; t <= at+surgeFor; t += step {
		for id, n := range r.counts(t, t+look) {
			if m := mean[id] / before; m >= leastRate {
				most = max(most, n/m)
			}
		}
	}
	return most
}
