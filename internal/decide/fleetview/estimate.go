package fleetview

import (
	"cmp"
	"math"
	"slices"

	"ravenwheel/policy"
)

// Figure is an estimate with the bounds between which the truth lies if no more than the share Liars of the reporters lie.
type Figure struct {
	Value float64 `json:"Value"`
	Low   float64 `json:"Low"`
	High  float64 `json:"High"`
}

// Estimate is what the view says of one server.
type Estimate struct {
	Reporters int     `json:"Reporters"` // who spoke of it lately
	Load      Figure  `json:"Load"`      // attempts a second of all of them
	Failing   Figure  `json:"Failing"`   // share of attempts
	Overdue   Figure  `json:"Overdue"`   // share of attempts
	P50       float64 `json:"P50"`
	P90       float64 `json:"P90"`
	// OwnPart is the part of Failing and Overdue that is this process's own word: at least half, once it has seen
	// enough itself.
	OwnPart float64 `json:"OwnPart"`
}

// ownEnough attempts within the last window, a second: fewer tell nothing, and what others say stands alone.
const ownEnough = 0.6

// Server estimates one server. What this process saw itself outweighs what it heard; see combine.
func (v *View) Server(now float64, id policy.CacheID) Estimate {
	var loads, weights, failing, overdue []float64
	var late [Buckets]float64
	e := Estimate{}
	var own Seen
	for name, p := range v.peers {
		h, ok := p.servers[id]
		w := v.weight(now - h.at)
		if !ok || w == 0 {
			continue
		}
		e.Reporters++
		if name == v.self {
			own = h.Seen
		}
		attempts := w * h.Attempts.Value()
		loads = append(loads, attempts)
		if attempts > 0 {
			weights = append(weights, attempts)
			failing = append(failing, share(h.Failures, h.Attempts))
			overdue = append(overdue, share(h.Overdue, h.Attempts))
		}
		for i := range h.Latency {
			late[i] += min(attempts, 1) * h.Latency.at(i) // no reporter weighs more than one that asks once a second
		}
	}
	e.Load = Sum(loads, v.opt.Liars)
	heard := func(shares []float64, part Level) Figure {
		f := Share(shares, weights, v.opt.Liars)
		return combine(f, total(weights), share(part, own.Attempts), own.Attempts.Value(), &e.OwnPart)
	}
	e.Failing = heard(failing, own.Failures)
	e.Overdue = heard(overdue, own.Overdue)
	all := make(Latency, Buckets)
	sum := 0.0
	for _, x := range late {
		sum += x
	}
	for i := range all {
		all[i] = byte(math.Round(255 * late[i] / max(sum, 1e-9)))
	}
	e.P50, e.P90 = all.Quantile(0.5), all.Quantile(0.9)
	return e
}

// combine weighs what is heard of a share with one's own: heard counts no more than one's own does, once that is enough.
func combine(heard Figure, weight, own, ownWeight float64, ownPart *float64) Figure {
	if ownWeight < ownEnough {
		*ownPart = 0
		return heard
	}
	weight = min(max(0, weight-ownWeight), ownWeight)
	*ownPart = ownWeight / (ownWeight + weight)
	mix := func(x float64) float64 { return *ownPart*own + (1-*ownPart)*x }
	return Figure{mix(heard.Value), mix(heard.Low), mix(heard.High)}
}

// may is how many of n may lie. At least one honest value must be left on each side.
func may(n int, liars float64) int {
	return max(0, min(int(math.Ceil(liars*float64(n))), (n-1)/3))
}

// Sum estimates the sum of n values of which g = ceil(liars*n), but less than a third, may be anything: each of the g least
// counts as the one above them, each of the g greatest as the one below (winsorised). It rises with every value, so that
// whatever g of them are replaced by, it stays between what it is with them at minus and at plus infinity: Low and High,
// which hold the sum of the true values too. Both are finite, as both are clipped at honest values.
func Sum(values []float64, liars float64) Figure {
	n := len(values)
	if n == 0 {
		return Figure{}
	}
	s := slices.Sorted(slices.Values(values))
	g := may(n, liars)
	// at is the sum with the order shifted: by +g the g least are gone, and g infinite stand at the end.
	at := func(shift int) float64 {
		sum := 0.0
		for i := range n {
			sum += s[min(max(min(max(i, g), n-1-g)+shift, 0), n-1)]
		}
		return sum
	}
	return Figure{at(0), at(-g), at(g)}
}

// Share estimates a share that reporters saw, each by its weight (its attempts): no weight counts for more than that of
// the (g+1)th greatest, and the least and greatest shares are left out up to the weight that g such reporters can have.
// Whatever g of them say, of share or weight, it stays between the least and the greatest share of the honest.
func Share(shares, weights []float64, liars float64) Figure {
	n := len(shares)
	if n == 0 {
		return Figure{}
	}
	g := may(n, liars)
	sorted := slices.Sorted(slices.Values(weights))
	most := sorted[n-1-g]
	order := make([]int, n)
	sum := 0.0
	for i := range order {
		order[i] = i
		sum += min(weights[i], most)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(shares[a], shares[b]) })
	// between is the mean of the shares between two points of the weight.
	between := func(from, to float64) float64 {
		if to <= from { // too few are left: the one in the middle
			from, to = sum/2-sum*1e-9, sum/2+sum*1e-9
		}
		at, got, weight := 0.0, 0.0, 0.0
		for _, i := range order {
			w := min(weights[i], most)
			if part := min(at+w, to) - max(at, from); part > 0 {
				got += part * shares[i]
				weight += part
			}
			at += w
		}
		if weight == 0 {
			return 0
		}
		return got / weight
	}
	cut := float64(g) * most
	low, high := between(0, sum-2*cut), between(2*cut, sum)
	mid := between(cut, sum-cut)
	return Figure{mid, min(low, mid), max(high, mid)}
}

func total(values []float64) (sum float64) {
	for _, v := range values {
		sum += v
	}
	return sum
}

// HeavyObject is an object that the fleet asks for often.
type HeavyObject struct {
	Object uint64 `json:"Object"`
	Rate   Figure `json:"Rate"` // requests a second, of all processes
	Of     int    `json:"Of"`   // processes that name it
}

// Heavy are the objects that processes name, heaviest first, n at most. A process that does not name one counts as none,
// so that no few can make an object heavy.
func (v *View) Heavy(now float64, n int) []HeavyObject {
	values, fresh := map[uint64][]float64{}, 0
	for _, p := range v.peers {
		w := v.weight(now - p.heard)
		if w == 0 {
			continue
		}
		fresh++
		for _, h := range p.heavy {
			values[h.Object] = append(values[h.Object], w*h.Rate.Value())
		}
	}
	out := make([]HeavyObject, 0, len(values))
	for object, rates := range values {
		of := len(rates)
		for len(rates) < fresh {
			rates = append(rates, 0)
		}
		out = append(out, HeavyObject{object, Sum(rates, v.opt.Liars), of})
	}
	slices.SortFunc(out, func(a, b HeavyObject) int {
		return cmp.Or(cmp.Compare(b.Rate.Value, a.Rate.Value), cmp.Compare(a.Object, b.Object))
	})
	return out[:min(n, len(out))]
}
