package fleetview

import (
	"cmp"
	"math"
	"slices"

	"ravenwheel/policy"
)

// Estimate holds the estimated figures of one server.
type Estimate struct {
	Reporters int          `json:"Reporters"` // processes whose report has not expired
	Load      BoundedValue `json:"Load"`      // attempts per second, of all reporters together
	Failing   BoundedValue `json:"Failing"`   // fraction of the attempts
	Overdue   BoundedValue `json:"Overdue"`   // fraction of the attempts
	P50       float64      `json:"P50"`       // latency, ms
	P90       float64      `json:"P90"`       // latency, ms
	// OwnWeight is the weight, from 0 to 1, of this process's own report in Failing and Overdue. It is at least a half if this
	// process sends the server minOwnAttempts or more, and 0 otherwise.
	OwnWeight float64 `json:"OwnPart"`
}

const (
	// minOwnAttempts is the rate, in attempts per second, from which this process's own report outweighs the others. Below it there
	// are too few attempts to judge a server by, and the report counts like any other.
	minOwnAttempts = 0.6
	// maxLatencyWeight is the rate, in attempts per second, above which the weight of a reporter in the latencies grows no further.
	maxLatencyWeight = 1
)

// Estimate estimates the figures of a server from the reports of all processes. now is in ms.
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

// ownReport weighs this process's own report of a server against those of the other processes.
type ownReport struct {
	attempts      float64 // per second, of this process
	totalAttempts float64 // per second, of all reporters, this process among them
}

// weight returns the weight of this process's own report, from 0 to 1. If this process sends at least minOwnAttempts, all others
// together weigh no more than its own report. Otherwise the own report counts like any other, and the weight is 0.
func (o ownReport) weight() float64 {
	if o.attempts < minOwnAttempts {
		return 0
	}
	others := min(max(0, o.totalAttempts-o.attempts), o.attempts)
	return o.attempts / (o.attempts + others)
}

// blend returns the weighted mean of what all processes report and this process's own value. See weight.
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

// HeavyHitter is an object that is requested often across the fleet.
type HeavyHitter struct {
	Object    uint64       `json:"Object"`
	Rate      BoundedValue `json:"Rate"` // requests per second, of all processes
	Reporters int          `json:"Of"`   // processes that report the object
}

// HeavyHitters returns the n objects with the highest estimated rates, highest first. A process that does not report an object
// counts as reporting a rate of 0, so that a few processes cannot make an object a heavy hitter. now is in ms.
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
