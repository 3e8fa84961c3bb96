package sim

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenwheel/policy"
)

// Result is the result of a run. Equal scenarios and seeds give equal results. "Value" is the priority weight of requests, less
// for those that are served late. Counts leave out the warm-up.
type Result struct {
	Name             string        `json:"name"`
	Seed             uint64        `json:"seed"`
	ServedValue      float64       `json:"worth"`    // over the value requested
	WorstServedValue float64       `json:"worst"`    // the same in the worst ten seconds
	ClientAttempts   float64       `json:"tries"`    // per request
	UpstreamAttempts float64       `json:"attempts"` // of proxies, per client attempt
	HitRatio         float64       `json:"hits"`
	SlowFraction     float64       `json:"slow"` // of the requests, which were not served within their latency objective
	OriginFills      int           `json:"origin_fills"`
	Rejected         int           `json:"refused"` // client attempts
	Failed           int           `json:"failed"`  // client attempts
	Unanswered       int           `json:"missed"`  // client attempts that got no answer in time
	Events           uint64        `json:"events"`
	Violations       int           `json:"broken"` // of rules
	ViolationTexts   []string      `json:"rules,omitempty"`
	Classes          []ClassResult `json:"classes"`
	Seconds          []Second      `json:"windows"`
	CacheLoads       []float64     `json:"loads"` // KB that each cache sent, by id

	scenario         Scenario
	begin            float64                   // ms at which the warm-up has ended
	latencies        []*hdrhistogram.Histogram // by class, in µs
	clientAttempts   int
	upstreamAttempts int
	answers          int
	hits             int
	quick            int // requests served within their latency objective
}

// Second is what happened in one second. Requests count in the second in which they were made first.
type Second struct {
	RequestedValue float64 `json:"asked"`
	ServedValue    float64 `json:"served"`
	Requests       int     `json:"wants"`
	ClientAttempts int     `json:"tries"` // not counted by second: always 0
	OriginFills    int     `json:"origin"`
	Hits           int     `json:"hits"`
	Served         int     `json:"answers"` // upstream attempts
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
	Thirds         [3]Period `json:"thirds"` // of the run; requests count in the one in which they were made first
}

// Period is the value requested and served in a part of a run.
type Period struct {
	RequestedValue float64 `json:"asked"`
	ServedValue    float64 `json:"served"`
}

// maxLatency is the longest latency that is recorded, in µs, with latencyDigits significant digits.
const (
	maxLatency    = 600_000_000
	latencyDigits = 3
)

func newResult(s Scenario, seed uint64) *Result {
	r := &Result{Name: s.Name, Seed: seed, scenario: s, begin: s.WarmUpSeconds * 1000, Seconds: make([]Second, int(s.Seconds)+1)}
	for _, c := range s.Traffic.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name})
		r.latencies = append(r.latencies, hdrhistogram.New(1, maxLatency, latencyDigits))
	}
	return r
}

// counts reports whether a time is after the warm-up.
func (r *Result) counts(ms float64) bool { return ms >= r.begin }

// second returns the second of a time; the last one for times after the end.
func (r *Result) second(ms float64) *Second {
	return &r.Seconds[min(len(r.Seconds)-1, max(0, int((ms-r.begin)/1000)))]
}

// third returns the third of the run in which a time is, for a class.
func (r *Result) third(class int, ms float64) *Period {
	return &r.Classes[class].Thirds[min(2, max(0, int((ms-r.begin)*3/(r.scenario.Seconds*1000))))]
}

// requested counts a request that a client makes at a time.
func (r *Result) requested(class int, at, value float64) {
	if !r.counts(at) {
		return
	}
	second := r.second(at)
	second.RequestedValue += value
	second.Requests++
	r.Classes[class].Requests++
	r.Classes[class].RequestedValue += value
	r.third(class, at).RequestedValue += value
}

// clientAttempt counts an attempt for a request that was made first at a time.
func (r *Result) clientAttempt(first float64) {
	if r.counts(first) {
		r.clientAttempts++
	}
}

// upstreamAttempt counts an attempt of a proxy for a request that was made first at a time.
func (r *Result) upstreamAttempt(first float64) {
	if r.counts(first) {
		r.upstreamAttempts++
	}
}

// served counts a request that was made first at a time and served after its latency.
func (r *Result) served(class int, first, latency, value float64) {
	if !r.counts(first) {
		return
	}
	r.second(first).ServedValue += value
	if latency <= r.scenario.Traffic.Classes[class].LatencyObjective {
		r.quick++
	}
	r.Classes[class].Served++
	r.Classes[class].ServedValue += value
	r.third(class, first).ServedValue += value
	_ = r.latencies[class].RecordValue(max(1, int64(latency*1000)))
}

// abandoned counts a request whose client makes no further attempt.
func (r *Result) abandoned(class int, first float64) {
	if r.counts(first) {
		r.Classes[class].Abandoned++
	}
}

// attemptFailed counts a client attempt that was not served.
func (r *Result) attemptFailed(at float64, o outcome) {
	if !r.counts(at) {
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

// originFill counts a fill from the origin.
func (r *Result) originFill(at float64) {
	if r.counts(at) {
		r.OriginFills++
		r.second(at).OriginFills++
	}
}

// answered counts an upstream attempt that was served.
func (r *Result) answered(at float64, note policy.Note) {
	if !r.counts(at) {
		return
	}
	r.answers++
	second := r.second(at)
	second.Served++
	if note == policy.NoteHit {
		r.hits++
		second.Hits++
	}
}

// worstSpan is the length, in seconds, of the part of a run with the least served value.
const worstSpan = 10

// finish computes what follows from the counts.
func (r *Result) finish() {
	r.ServedValue, r.WorstServedValue = servedValue(r.Seconds), 1
	for i := 0; i+worstSpan <= len(r.Seconds); i++ {
		span := r.Seconds[i : i+worstSpan]
		if requestedValue(span) > 0 {
			r.WorstServedValue = min(r.WorstServedValue, servedValue(span))
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
		r.SlowFraction = 1 - ratio(float64(r.quick), float64(requests))
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

// servedValue returns the value served over the value requested in some seconds, or 0 if nothing was requested.
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
