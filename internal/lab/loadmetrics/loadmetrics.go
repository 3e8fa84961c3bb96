// Package loadmetrics measures, from the attempts that cache servers received, how evenly load is spread over them and how a
// fleet of proxies reacts to a change of one server (used by internal/lab/multiprocess). It keeps no state between calls. All
// times are in seconds.
package loadmetrics

import (
	"cmp"
	"math"
	"slices"

	"ravenwheel/policy"
)

// Attempt is one attempt as a cache server received it.
type Attempt struct {
	At    float64 // seconds
	Cache policy.ServerID
}

// Cache is a cache server's zone, and its weight relative to the others'.
type Cache struct {
	Zone   int
	Weight float64
}

// Spread is how evenly load was distributed over windows and zones. Each figure is a server's load by weight over the mean of
// its zone, so 1 is perfectly even. All are 0 where no window had load.
type Spread struct {
	Median float64 // over the windows, of the most loaded server
	P95    float64 // 95th percentile over the windows, of the most loaded server
	Least  float64 // median over the windows, of the least loaded server
}

// Trace holds the attempts of one run, ordered by time.
type Trace struct {
	attempts []Attempt
	caches   map[policy.ServerID]Cache
	ids      []policy.ServerID // by zone, then by id
}

// NewTrace orders the attempts by time. Attempts at servers that are not among caches are dropped.
func NewTrace(attempts []Attempt, caches map[policy.ServerID]Cache) *Trace {
	t := &Trace{caches: caches}
	for _, attempt := range attempts {
		if _, ok := caches[attempt.Cache]; ok {
			t.attempts = append(t.attempts, attempt)
		}
	}
	slices.SortFunc(t.attempts, func(a, b Attempt) int { return cmp.Compare(a.At, b.At) })
	for id := range caches {
		t.ids = append(t.ids, id)
	}
	slices.SortFunc(t.ids, func(a, b policy.ServerID) int {
		return cmp.Or(caches[a].Zone-caches[b].Zone, cmp.Compare(a, b))
	})
	return t
}

// counts returns the attempts at each server in [from, to).
func (t *Trace) counts(from, to float64) map[policy.ServerID]float64 {
	first := t.indexAt(from)
	last := max(first, t.indexAt(to))
	counts := make(map[policy.ServerID]float64, len(t.ids))
	for _, attempt := range t.attempts[first:last] {
		counts[attempt.Cache]++
	}
	return counts
}

// indexAt returns the index of the first attempt at or after a time.
func (t *Trace) indexAt(at float64) int {
	index, _ := slices.BinarySearchFunc(t.attempts, at, func(a Attempt, at float64) int { return cmp.Compare(a.At, at) })
	return index
}

// roundingError is how far, in seconds, the end of the last window may lie past the end of the span.
const roundingError = 1e-9

// Spread measures the windows that follow each other in [from, to]. A zone without load in a window is left out of that
// window, and so is a zone with a single server.
func (t *Trace) Spread(from, to, window float64) Spread {
	var highest, lowest []float64
	for start := from; start+window <= to+roundingError; start += window {
		counts := t.counts(start, start+window)
		for rest := t.ids; len(rest) > 0; {
			var zone []policy.ServerID
			zone, rest = t.firstZone(rest)
			high, low, ok := t.zoneSpread(zone, counts)
			if ok {
				highest = append(highest, high)
				lowest = append(lowest, low)
			}
		}
	}
	return Spread{Median: quantile(highest, 0.5), P95: quantile(highest, 0.95), Least: quantile(lowest, 0.5)}
}

// firstZone splits ids, which are ordered by zone, into those of the first zone and the others.
func (t *Trace) firstZone(ids []policy.ServerID) (zone, rest []policy.ServerID) {
	end := 0
	for end < len(ids) && t.caches[ids[end]].Zone == t.caches[ids[0]].Zone {
		end++
	}
	return ids[:end], ids[end:]
}

// zoneSpread returns the highest and the lowest load by weight of a zone's servers, over the zone's mean. ok is false where
// the zone had no load or has a single server.
func (t *Trace) zoneSpread(zone []policy.ServerID, counts map[policy.ServerID]float64) (high, low float64, ok bool) {
	sum, weights := 0.0, 0.0
	most, least := 0.0, math.Inf(1)
	for _, id := range zone {
		weight := t.caches[id].Weight
		sum += counts[id]
		weights += weight
		most = max(most, counts[id]/weight)
		least = min(least, counts[id]/weight)
	}
	if sum == 0 || len(zone) < 2 {
		return 0, 0, false
	}
	return most * weights / sum, least * weights / sum, true
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}

// How a reaction is looked for, in seconds: the load of baselineSpan before the change is compared with that of windows of
// reactionWindow, which begin windowStep apart.
const (
	baselineSpan   = 5.0
	windowStep     = 0.1
	reactionWindow = 1.0
)

// Fractions of a server's former part of its zone's load: at abandonedFraction and below the fleet has abandoned it, from
// restoredFraction on it is used again.
const (
	abandonedFraction = 0.5
	restoredFraction  = 0.8
)

// zoneFraction returns a server's fraction of its zone's attempts in [from, to).
func (t *Trace) zoneFraction(id policy.ServerID, from, to float64) float64 {
	counts, sum := t.counts(from, to), 0.0
	for _, other := range t.ids {
		if t.caches[other].Zone == t.caches[id].Zone {
			sum += counts[other]
		}
	}
	if sum == 0 {
		return 0
	}
	return counts[id] / sum
}

// TimeToAbandon returns the seconds from a change until the fleet had reduced a server's fraction of its zone's load to half
// of what it was before, for one second; NaN if it did not until end.
func (t *Trace) TimeToAbandon(id policy.ServerID, changed, end float64) float64 {
	baseline := t.zoneFraction(id, changed-baselineSpan, changed)
	for start := changed; start+reactionWindow <= end; start += windowStep {
		if baseline > 0 && t.zoneFraction(id, start, start+reactionWindow) <= abandonedFraction*baseline {
			return start - changed
		}
	}
	return math.NaN()
}

// TimeToRestore returns the seconds from the end of a change until a server had four fifths of the fraction of its zone's load
// that it had before the change began; NaN if it had not until end.
func (t *Trace) TimeToRestore(id policy.ServerID, began, ended, end float64) float64 {
	baseline := t.zoneFraction(id, began-baselineSpan, began)
	for start := ended; start+reactionWindow <= end; start += windowStep {
		if baseline > 0 && t.zoneFraction(id, start, start+reactionWindow) >= restoredFraction*baseline {
			return start - ended
		}
	}
	return math.NaN()
}

const (
	// surgeSpan is how long after a change a surge is looked for, in seconds.
	surgeSpan = 5.0
	// minRate is the rate before the change, in attempts a second, under which a server is left out: a few attempts more
	// would look like a surge.
	minRate = 2.0
)

// Surge returns the highest load that a server received in one second within surgeSpan of a change, over its mean rate before
// the change. It shows the herd effect: processes that reach the same conclusion at once move their load to the same server.
func (t *Trace) Surge(changed float64) float64 {
	highest := 0.0
	baseline := t.counts(changed-baselineSpan, changed)
	for start := changed; start <= changed+surgeSpan; start += windowStep {
		for id, count := range t.counts(start, start+reactionWindow) {
			if rate := baseline[id] / baselineSpan; rate >= minRate {
				highest = max(highest, count/rate)
			}
		}
	}
	return highest
}
