// Package loadmetrics computes, from the attempts that cache servers received, how evenly load is spread over the servers and how
// fast a fleet of proxies reacts to a change of one server. internal/lab/multiprocess uses it. It keeps no state between calls. All
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
	At    float64 // when it was received, in seconds
	Cache policy.ServerID
}

// Cache has a cache server's zone, and its weight relative to the other servers'.
type Cache struct {
	Zone   int
	Weight float64
}

// Spread tells how evenly load was spread over the servers of each zone. A server's relative load in a window is its load per
// weight divided by the load per weight of its whole zone, so 1 is perfectly even. The quantiles are over all windows and zones.
// All figures are 0 if no window had load.
type Spread struct {
	Median float64 // median of the highest relative load in a zone
	P95    float64 // 95th percentile of the highest relative load in a zone
	Least  float64 // median of the lowest relative load in a zone
}

// Trace holds the attempts of one run, ordered by time.
type Trace struct {
	attempts []Attempt
	caches   map[policy.ServerID]Cache
	ids      []policy.ServerID // by zone, then by id
}

// NewTrace returns a trace of the attempts at the servers in caches. It leaves out attempts at other servers.
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

// counts returns the number of attempts at each server in [from, to).
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

// roundingError is how far, in seconds, the last window may extend past the end of the measured time, as the sum of its bounds is
// rounded.
const roundingError = 1e-9

// Spread computes the spread over the successive windows in [from, to]. In each window it leaves out zones without load and zones
// with a single server.
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

// firstZone splits ids, which are ordered by zone, into the ids of the first zone and the other ids.
func (t *Trace) firstZone(ids []policy.ServerID) (zone, rest []policy.ServerID) {
	end := 0
	for end < len(ids) && t.caches[ids[end]].Zone == t.caches[ids[0]].Zone {
		end++
	}
	return ids[:end], ids[end:]
}

// zoneSpread returns the highest and the lowest relative load (see Spread) of a zone's servers. ok is false if the zone had no load
// or has a single server.
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

// quantile returns the q-quantile of values, which it sorts; 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}

// Times for measuring a reaction, in seconds: the load in the baselineSpan before a change is compared with the load in windows of
// length reactionWindow, which start windowStep apart.
const (
	baselineSpan   = 5.0
	windowStep     = 0.1
	reactionWindow = 1.0
)

// Limits of a server's fraction of its zone's load, relative to that fraction before the change: the fleet has abandoned a server
// at abandonedFraction or less, and uses it again at restoredFraction or more.
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

// TimeToAbandon returns the seconds from a change until the start of the first reactionWindow in which a server's fraction of its
// zone's load was at most half of the fraction before the change. It returns NaN if there is no such window before end, or if the
// server had no load before the change.
func (t *Trace) TimeToAbandon(id policy.ServerID, changed, end float64) float64 {
	baseline := t.zoneFraction(id, changed-baselineSpan, changed)
	for start := changed; start+reactionWindow <= end; start += windowStep {
		if baseline > 0 && t.zoneFraction(id, start, start+reactionWindow) <= abandonedFraction*baseline {
			return start - changed
		}
	}
	return math.NaN()
}

// TimeToRestore returns the seconds from the end of a change (ended) until the start of the first reactionWindow in which a
// server's fraction of its zone's load was at least four fifths of the fraction before the change began. It returns NaN if there is
// no such window before end, or if the server had no load before the change.
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
	// surgeSpan is how long after a change Surge looks for a surge, in seconds.
	surgeSpan = 5.0
	// minRate is the lowest rate before the change, in attempts per second, at which Surge considers a server. At lower rates a
	// few more attempts would look like a surge.
	minRate = 2.0
)

// Surge returns the highest load of any server in one second within surgeSpan after a change, relative to the server's mean rate
// before the change. It shows the herd effect: processes that reach the same conclusion at the same time move their load to the
// same server.
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
