package multiprocess

import "ravenwheel/internal/lab/loadmetrics"

// Result is what was observed while a scenario was played.
type Result struct {
	Scenario   Scenario     `json:"scenario"`
	Timeline   []Fault      `json:"timeline"`
	Seconds    []Second     `json:"windows"`
	Caches     []CacheLoad  `json:"caches"`
	Alive      []AliveCount `json:"agreed,omitempty"`
	Violations []string     `json:"broken"`
	NotPlayed  []string     `json:"missed,omitempty"` // faults that could not be injected, and why
	P50        float64      `json:"P50"`              // median latency of the requests served, ms
	P99        float64      `json:"P99"`              // 99th percentile, ms
	// How evenly load was spread over the caches, for each window length of spreadWindows: in the whole run, and before the first
	// fault.
	Spread             [2]loadmetrics.Spread `json:"Spread"`
	SpreadBeforeFaults [2]loadmetrics.Spread `json:"Calm"`
	Reactions          []Reaction            `json:"reactions,omitempty"`
}

// Reaction is how the processes reacted to a fault of a cache. Times are in seconds; -1 means that it did not happen in the time
// that was measured, which ends at the latest with the next fault or the scenario.
type Reaction struct {
	Fault           int     `json:"fault"` // index in the timeline
	Cache           string  `json:"cache"`
	TimeToAbandon   float64 `json:"left_s"` // from the start of the fault until the cache's fraction of its zone's load was halved
	TimeToRestore   float64 `json:"back_s"` // from the end of the fault until four fifths of that fraction were restored
	SurgeMultiplier float64 `json:"surge"`  // highest load of any cache in one second after the fault, divided by its mean before
}

// Second holds the numbers of requests sent, of outcomes and of attempts in one second, and how many processes ran at its end.
type Second struct {
	Requested int `json:"Asked"`
	Served    int `json:"Served"`
	Rejected  int `json:"Refused"`
	Failed    int `json:"Failed"`
	Lost      int `json:"Lost"`
	Attempts  int `json:"Attempts"` // at caches
	Filled    int `json:"Filled"`   // number of the attempts that caused a fill
	Running   int `json:"Up"`       // processes
}

// CacheLoad is the number of attempts at one cache, by second.
type CacheLoad struct {
	ID       string `json:"ID"`
	Zone     int    `json:"Zone"` // removedZone if the cache was removed during the run
	Attempts []int  `json:"Attempts"`
}

// removedZone stands for the zone of a cache that is no longer a member.
const removedZone = -1

// AliveCount holds the least and the highest number of members that a process considered alive in one second.
type AliveCount struct {
	Second int `json:"Second"`
	Least  int `json:"Least"`
	Most   int `json:"Most"`
}

// Totals returns the outcomes of the requests of all seconds.
func (r *Result) Totals() (totals Second) {
	for _, second := range r.Seconds {
		totals.Requested += second.Requested
		totals.Served += second.Served
		totals.Rejected += second.Rejected
		totals.Failed += second.Failed
		totals.Lost += second.Lost
	}
	return totals
}
