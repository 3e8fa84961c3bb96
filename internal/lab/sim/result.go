package sim

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenwheel/policy"
)

// Result is the result of a run. Equal scenarios and seeds give equal results. The value of a request is the priority weight of its
// class, or a fraction of it if the request is served late. Counts leave out the warm-up.
type Result struct {
	Name             string        `json:"name"`
	Seed             uint64        `json:"seed"`
	ServedValue      float64       `json:"worth"`    // as a fraction of the value requested
	WorstServedValue float64       `json:"worst"`    // the same in the ten consecutive seconds in which it is lowest
	ClientAttempts   float64       `json:"tries"`    // per request
	UpstreamAttempts float64       `json:"attempts"` // attempts of proxies per client attempt
	HitRatio         float64       `json:"hits"`
	SlowFraction     float64       `json:"slow"` // fraction of requests not served within their latency objective
	OriginFills      int           `json:"origin_fills"`
	Rejected         int           `json:"refused"` // client attempts
	Failed           int           `json:"failed"`  // client attempts
	Unanswered       int           `json:"missed"`  // client attempts that got no answer in time
	Events           uint64        `json:"events"`
	Violations       int           `json:"broken"` // violations of the rules
	ViolationTexts   []string      `json:"rules,omitempty"`
	Classes          []ClassResult `json:"classes"`
	Seconds          []Second      `json:"windows"`
	CacheLoads       []float64     `json:"loads"` // KB that each cache sent, by id

	scenario         Scenario
	measuredFrom     float64                   // ms; the end of the warm-up
	latencies        []*hdrhistogram.Histogram // by class, in µs
	clientAttempts   int
	upstreamAttempts int
	answers          int
	hits             int
	withinObjective  int // requests served within their latency objective
}

// Second is what happened in one second. A request counts in the second in which the client made it.
type Second struct {
	RequestedValue float64 `json:"asked"`
	ServedValue    float64 `json:"served"`
	Requests       int     `json:"wants"`
	ClientAttempts int     `json:"tries"` // not counted by second: always 0
	OriginFills    int     `json:"origin"`
	Hits           int     `json:"hits"`
	Served         int     `json:"answers"` // upstream attempts that were served
}

// ClassResult is the result of one class.
type ClassResult struct {
	Name           string    `json:"name"`
	Requests       int       `json:"wants"`
	Served         int       `json:"served"`
	Abandoned      int       `json:"lost"` // by the client, after its last attempt
	RequestedValue float64   `json:"asked_worth"`
	ServedValue    float64   `json:"served_worth"`
	P50            float64   `json:"p50_ms"`
	P99            float64   `json:"p99_ms"`
	Thirds         [3]Period `json:"thirds"` // of the run; a request counts in the one in which the client made it
}

// Period is the value requested and served in a part of a run.
type Period struct {
	RequestedValue float64 `json:"asked"`
	ServedValue    float64 `json:"served"`
}

// maxLatency is the longest latency that is recorded, in µs; latencies have latencyDigits significant digits.
const (
	maxLatency    = 600_000_000
	latencyDigits = 3
)

func newResult(s Scenario, seed uint64) *Result {
	r := &Result{Name: s.Name, Seed: seed, scenario: s, measuredFrom: s.WarmUpSeconds * 1000, Seconds: make([]Second, int(s.Seconds)+1)}
	for _, c := range s.Traffic.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name})
		r.latencies = append(r.latencies, hdrhistogram.New(1, maxLatency, latencyDigits))
	}
	return r
}

// isMeasured reports whether a time, in ms, is after the warm-up.
func (r *Result) isMeasured(ms float64) bool { return ms >= r.measuredFrom }

// secondAt returns the second that a time, in ms, is in, or the last one if the time is after the end.
func (r *Result) secondAt(ms float64) *Second {
	return &r.Seconds[min(len(r.Seconds)-1, max(0, int((ms-r.measuredFrom)/1000)))]
}

// thirdAt returns a class's values for the third of the run that a time, in ms, is in.
func (r *Result) thirdAt(class int, ms float64) *Period {
	return &r.Classes[class].Thirds[min(2, max(0, int((ms-r.measuredFrom)*3/(r.scenario.Seconds*1000))))]
}

// countRequest counts a request that a client makes at a time, in ms.
func (r *Result) countRequest(class int, at, value float64) {
	if !r.isMeasured(at) {
		return
	}
	second := r.secondAt(at)
	second.RequestedValue += value
	second.Requests++
	r.Classes[class].Requests++
	r.Classes[class].RequestedValue += value
	r.thirdAt(class, at).RequestedValue += value
}

// countClientAttempt counts an attempt of a client for a request that it made at madeAt, in ms.
func (r *Result) countClientAttempt(madeAt float64) {
	if r.isMeasured(madeAt) {
		r.clientAttempts++
	}
}

// countUpstreamAttempt counts an attempt of a proxy for a request that the client made at madeAt, in ms.
func (r *Result) countUpstreamAttempt(madeAt float64) {
	if r.isMeasured(madeAt) {
		r.upstreamAttempts++
	}
}

// countServed counts a request that the client made at madeAt, and that was served after latency, both in ms.
func (r *Result) countServed(class int, madeAt, latency, value float64) {
	if !r.isMeasured(madeAt) {
		return
	}
	r.secondAt(madeAt).ServedValue += value
	if latency <= r.scenario.Traffic.Classes[class].LatencyObjective {
		r.withinObjective++
	}
	r.Classes[class].Served++
	r.Classes[class].ServedValue += value
	r.thirdAt(class, madeAt).ServedValue += value
	_ = r.latencies[class].RecordValue(max(1, int64(latency*1000)))
}

// countAbandoned counts a request that was not served and whose client makes no further attempt.
func (r *Result) countAbandoned(class int, madeAt float64) {
	if r.isMeasured(madeAt) {
		r.Classes[class].Abandoned++
	}
}

// countFailedAttempt counts a client attempt that was not served.
func (r *Result) countFailedAttempt(at float64, o outcome) {
	if !r.isMeasured(at) {
		return
	}
	switch o {
	case outcomeRejected:
		r.Rejected++
	case outcomeFailed:
		r.Failed++
	case outcomeUnanswered:
		r.Unanswered++
	}
}

// countOriginFill counts a fill from the origin.
func (r *Result) countOriginFill(at float64) {
	if r.isMeasured(at) {
		r.OriginFills++
		r.secondAt(at).OriginFills++
	}
}

// countAnswer counts an upstream attempt that was served at a time; note says how.
func (r *Result) countAnswer(at float64, note policy.Note) {
	if !r.isMeasured(at) {
		return
	}
	r.answers++
	second := r.secondAt(at)
	second.Served++
	if note == policy.NoteHit {
		r.hits++
		second.Hits++
	}
}

// worstWindowSeconds is the length of the window that WorstServedValue is about.
const worstWindowSeconds = 10

// finish computes the fractions and quantiles from the counts.
func (r *Result) finish() {
	r.ServedValue, r.WorstServedValue = servedValue(r.Seconds), 1
	for i := 0; i+worstWindowSeconds <= len(r.Seconds); i++ {
		window := r.Seconds[i : i+worstWindowSeconds]
		if requestedValue(window) > 0 {
			r.WorstServedValue = min(r.WorstServedValue, servedValue(window))
		}
	}
	requests := 0
	for i := range r.Classes {
		class := &r.Classes[i]
		requests += class.Requests
		class.P50 = float64(r.latencies[i].ValueAtQuantile(50)) / 1000
		class.P99 = float64(r.latencies[i].ValueAtQuantile(99)) / 1000
	}
	r.ClientAttempts = ratio(float64(r.clientAttempts), float64(requests))
	r.UpstreamAttempts = ratio(float64(r.upstreamAttempts), float64(r.clientAttempts))
	if requests > 0 {
		r.SlowFraction = 1 - ratio(float64(r.withinObjective), float64(requests))
	}
	r.HitRatio = ratio(float64(r.hits), float64(r.answers))
}

// requestedValue returns the value requested in some seconds.
func requestedValue(seconds []Second) (sum float64) {
	for _, second := range seconds {
		sum += second.RequestedValue
	}
	return sum
}

// servedValue returns the value served in some seconds as a fraction of the value requested, or 0 if nothing was requested.
func servedValue(seconds []Second) float64 {
	served := 0.0
	for _, second := range seconds {
		served += second.ServedValue
	}
	return ratio(served, requestedValue(seconds))
}

// ratio returns a/b, or 0 for b = 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
