package sim

import (
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Window is a second of a run, by when requests were first wanted.
type Window struct {
	Asked  float64 `json:"asked"`  // worth
	Got    float64 `json:"served"` // worth
	Wants  int     `json:"wants"`
	Tries  int     `json:"tries"`
	Origin int     `json:"origin"` // fills that the origin gave
	Hits   int     `json:"hits"`
	Served int     `json:"answers"`
}

// ClassResult is what became of one class.
type ClassResult struct {
	Name   string  `json:"name"`
	Wants  int     `json:"wants"`
	Served int     `json:"served"`
	Lost   int     `json:"lost"`
	Asked  float64 `json:"asked_worth"`
	Got    float64 `json:"served_worth"`
	P50    float64 `json:"p50_ms"`
	P99    float64 `json:"p99_ms"`
	Thirds [3]Part `json:"thirds"` // of the run, by when requests were first wanted
}

// Part is the worth that was asked and served in a part of a run.
type Part struct {
	Asked float64 `json:"asked"`
	Got   float64 `json:"served"`
}

// Result is what became of a run. Equal scenarios and seeds give equal ones, to the byte.
type Result struct {
	Name     string        `json:"name"`
	Seed     uint64        `json:"seed"`
	Worth    float64       `json:"worth"`    // served over asked
	Worst10s float64       `json:"worst"`    // the same in the worst ten seconds
	Tries    float64       `json:"tries"`    // of clients, a want
	Attempts float64       `json:"attempts"` // of proxies, a try
	HitShare float64       `json:"hits"`
	Slow     float64       `json:"slow"` // share of wants that were not served within their target
	Origin   int           `json:"origin_fills"`
	Refused  int           `json:"refused"`
	Failed   int           `json:"failed"`
	Missed   int           `json:"missed"` // tries that no answer came to in time
	Events   uint64        `json:"events"`
	Broken   int           `json:"broken"`
	Rules    []string      `json:"rules,omitempty"`
	Classes  []ClassResult `json:"classes"`
	Windows  []Window      `json:"windows"`
	Loads    []float64     `json:"loads"` // KB that each cache sent, by id

	spec     Spec
	hist     []*hdrhistogram.Histogram
	tries    int
	attempts int
	hits     int
	quick    int
	answers  int
	at       func() float64
	zero     float64 // ms at which the warm-up is over
}

func newResult(s Spec, seed uint64) *Result {
	r := &Result{Name: s.Name, Seed: seed, spec: s, zero: s.Warmup * 1000, Windows: make([]Window, int(s.Seconds)+1)}
	for _, c := range s.Traffic.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name})
		r.hist = append(r.hist, hdrhistogram.New(1, 600_000_000, 3))
	}
	return r
}

// window is the second of a time; what comes before or behind all is not counted here.
func (r *Result) window(ms float64) *Window {
	return &r.Windows[min(len(r.Windows)-1, max(0, int((ms-r.zero)/1000)))]
}

// third is a class's part of the run at a time.
func (r *Result) third(class int, ms float64) *Part {
	return &r.Classes[class].Thirds[min(2, max(0, int((ms-r.zero)*3/(r.spec.Seconds*1000))))]
}

// counts tells whether a time is past the warm-up.
func (r *Result) counts(ms float64) bool { return ms >= r.zero }

func (r *Result) asked(class int, at, worth float64) {
	if !r.counts(at) {
		return
	}
	w := r.window(at)
	w.Asked += worth
	w.Wants++
	r.Classes[class].Wants++
	r.Classes[class].Asked += worth
	r.third(class, at).Asked += worth
}

func (r *Result) served(class int, first, took, worth float64) {
	if !r.counts(first) {
		return
	}
	r.window(first).Got += worth
	if took <= r.spec.Traffic.Classes[class].Target {
		r.quick++
	}
	r.Classes[class].Served++
	r.Classes[class].Got += worth
	r.third(class, first).Got += worth
	_ = r.hist[class].RecordValue(max(1, int64(took*1000)))
}

func (r *Result) lost(class int, first float64) {
	if r.counts(first) {
		r.Classes[class].Lost++
	}
}

func (r *Result) turned(v verdict) {
	if !r.counts(r.at()) {
		return
	}
	switch v {
	case refused:
		r.Refused++
	case failed:
		r.Failed++
	case missed:
		r.Missed++
	}
}
