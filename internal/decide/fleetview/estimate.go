package fleetview

import (
	"cmp"
	"math"
	"slices"

	"ravenwheel/policy"
)

// Estimate is the view's estimate of the figures of one server.
type Estimate struct {
	Reporters int          `json:"Reporters"` // processes that reported lately
	Load      BoundedValue `json:"Load"`      // attempts a second of all of them
	Failing   BoundedValue `json:"Failing"`   // fraction of the attempts
	Overdue   BoundedValue `json:"Overdue"`   // fraction of the attempts
	P50       float64      `json:"P50"`       // latency, ms
	P90       float64      `json:"P90"`       // latency, ms
	// OwnWeight is the weight, from 0 to 1, of this process's own report in Failing and Overdue: at least a half, once the process
	// has sent the server enough attempts itself.
	OwnWeight float64 `json:"OwnPart"`
}

const (
	// minOwnAttempts is the rate of attempts a second from which this process's own report outweighs the others; below it there are
	// too few attempts to judge by, and the report counts as any other.
	minOwnAttempts = 0.6
	// maxLatencyWeight is the rate of attempts a second above which a reporter has no more weight in the latencies.
	maxLatencyWeight = 1
)

// Estimate estimates the figures of a server from all reports. now is in ms.
func (v *View) Estimate(now float64, id policy.ServerID) Estimate {
	var loads, weights, failing, overdue []float64
	var latency [LatencyBuckets]float64
	var ownLoad ServerLoad
	estimate := Estimate{}
	for name, p := range v.peers {
		e, ok := p.servers[id]
		weight := v.weight(now - e.receivedAt)
		if !ok || weight == 0 {
			continue
		}
		estimate.Reporters++
		if name == v.self {
			ownLoad = e.ServerLoad
		}
		attempts := weight * e.Attempts.Value()
		loads = append(loads, attempts)
		if attempts > 0 {
			weights = append(weights, attempts)
			failing = append(failing, fraction(e.Failures, e.Attempts))
			overdue = append(overdue, fraction(e.Overdue, e.Attempts))
		}
		for i := range e.Latency {
			latency[i] += min(attempts, maxLatencyWeight) * e.Latency.fraction(i)
		}
	}
	faulty := v.settings.FaultyFraction
	estimate.Load = WinsorizedSum(loads, faulty)
	report := ownReport{attempts: ownLoad.Attempts.Value(), totalAttempts: sum(weights)}
	estimate.OwnWeight = report.weight()
	estimate.Failing = report.blend(TrimmedMean(failing, weights, faulty), fraction(ownLoad.Failures, ownLoad.Attempts))
	estimate.Overdue = report.blend(TrimmedMean(overdue, weights, faulty), fraction(ownLoad.Overdue, ownLoad.Attempts))
	estimate.P50, estimate.P90 = quantiles(latency)
	return estimate
}

// ownReport weighs this process's own report of a server against those of others.
type ownReport struct {
	attempts      float64 // a second, of this process
	totalAttempts float64 // a second, of all reporters, this process among them
}

// weight returns the weight of the own report, from 0 to 1. All others together weigh no more than the own report, once this process
// sends enough attempts to judge for itself; before that its report has no weight of its own.
func (o ownReport) weight() float64 {
	if o.attempts < minOwnAttempts {
		return 0
	}
	others := min(max(0, o.totalAttempts-o.attempts), o.attempts)
	return o.attempts / (o.attempts + others)
}

// blend returns the mean of what all processes report and the own value, with the weight of the own report.
func (o ownReport) blend(reported BoundedValue, own float64) BoundedValue {
	if o.attempts < minOwnAttempts {
		return reported
	}
	weight := o.weight()
	mix := func(x float64) float64 { return weight*own + (1-weight)*x }
	return BoundedValue{mix(reported.Value), mix(reported.Low), mix(reported.High)}
}

// quantiles returns the median and the 90th percentile, in ms, of weighted latencies.
func quantiles(weights [LatencyBuckets]float64) (p50, p90 float64) {
	total := sum(weights[:])
	histogram := make(Latency, LatencyBuckets)
	for i := range histogram {
		histogram[i] = byte(math.Round(latencyScale * weights[i] / max(total, 1e-9)))
	}
	return histogram.Quantile(0.5), histogram.Quantile(0.9)
}

// HeavyHitter is an object that the fleet requests often.
type HeavyHitter struct {
	Object    uint64       `json:"Object"`
	Rate      BoundedValue `json:"Rate"` // requests a second, of all processes
	Reporters int          `json:"Of"`   // processes that name the object
}

// HeavyHitters returns the n objects that processes report at the highest rate, highest first. A process that does not name an object
// counts as one that does not request it, so that a few processes cannot make an object a heavy hitter. now is in ms.
func (v *View) HeavyHitters(now float64, n int) []HeavyHitter {
	ratesByObject, reporters := map[uint64][]float64{}, 0
	for _, p := range v.peers {
		weight := v.weight(now - p.receivedAt)
		if weight == 0 {
			continue
		}
		reporters++
		for _, o := range p.objects {
			ratesByObject[o.Object] = append(ratesByObject[o.Object], weight*o.Rate.Value())
		}
	}
	out := make([]HeavyHitter, 0, len(ratesByObject))
	for object, rates := range ratesByObject {
		reportedBy := len(rates)
		for len(rates) < reporters {
			rates = append(rates, 0)
		}
		out = append(out, HeavyHitter{object, WinsorizedSum(rates, v.settings.FaultyFraction), reportedBy})
	}
	slices.SortFunc(out, func(a, b HeavyHitter) int {
		return cmp.Or(cmp.Compare(b.Rate.Value, a.Rate.Value), cmp.Compare(a.Object, b.Object))
	})
	return out[:min(n, len(out))]
}
