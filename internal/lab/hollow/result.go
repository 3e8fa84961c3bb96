package hollow

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is one run at one size, as its JSON has it.
type Result struct {
	Name      string         `json:"name"`
	Way       string         `json:"way"` // levels or direct
	Processes int            `json:"processes"`
	Roles     map[string]int `json:"roles"`
	Whole     int            `json:"whole_proxies"` // that hold all that a process holds
	Zones     int            `json:"zones"`
	Spec      Spec           `json:"scenario"`

	Entries    [2]int     `json:"entries"` // committed: purges; lists, drains and revisions
	Everywhere [2]Spread  `json:"everywhere_ms"`
	Each       [2]Spread  `json:"each_ms"`
	After      [2]Spread  `json:"after_fault_ms"`
	Healed     []Healed   `json:"healed"`
	Phases     []Phase    `json:"phases"`
	PerRole    []RoleCost `json:"per_role"`

	Events       uint64         `json:"events"`
	Virtual      float64        `json:"virtual_s"`
	Processor    float64        `json:"processor_s"` // of this operating system's process in the run
	Harness      float64        `json:"harness_s"`   // of it in the same loop with empty machines; below 0: not measured
	HarnessEnded bool           `json:"harness_whole"`
	Wall         float64        `json:"wall_s"`
	HeapMB       float64        `json:"heap_mb"` // at the end, after a collection, fleet and harness
	Handshakes   int            `json:"handshakes"`
	Snapshots    int            `json:"snapshots"`
	Causes       map[string]int `json:"left"`
	HeldShare    float64        `json:"held_share"`     // of the time of all processes, a stream each
	Needless     float64        `json:"needless_share"` // of the same: held without being behind
	Broken       int            `json:"broken"`
	Rules        []string       `json:"rules"`
	Beyond       []string       `json:"beyond"` // limits that today's way, which is there to be compared with, is beyond
}

// Spread is a distribution of times, in ms.
type Spread struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
	Last  float64 `json:"last"`
}

// RoleCost is what a process of a role costs, on average over the time in which changes are committed.
type RoleCost struct {
	Role       string  `json:"role"`
	Processes  int     `json:"processes"`
	InKBPerS   float64 `json:"in_kb_s"`
	OutKBPerS  float64 `json:"out_kb_s"`
	InPerS     float64 `json:"messages_in_s"`
	OutPerS    float64 `json:"messages_out_s"`
	MostOut    float64 `json:"most_out_kb_s"` // of one process
	CallsPerS  float64 `json:"calls_s"`
	MicrosCall float64 `json:"us_a_call"`     // of processes that hold all, timed on the wall
	Percent    float64 `json:"cpu_percent"`   // of a core: calls a second times their time
	HeapMB     float64 `json:"heap_mb"`       // of one that holds all; 0: none does
	LightMB    float64 `json:"light_heap_mb"` // of one that only receives; 0: none does
	Sampled    int64   `json:"calls_timed"`
}

func spread(h *hdrhistogram.Histogram) Spread {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Spread{h.TotalCount(), at(50), at(99), float64(h.Max()) / 1000}
}

// everywhere is how long entries took to the last process that was there all the time.
func (w *world) everywhere(stream int) Spread {
	h := hdrhistogram.New(1, 1_000_000_000, 3)
	for _, c := range w.history.log[stream] {
		if c.at >= warmUp {
			_ = h.RecordValue(int64(c.worst*1000) + 1)
		}
	}
	return spread(h)
}

// result is what a run showed, but for what is measured round it.
func (w *world) result(n int, name string) *Result {
	seconds := w.now / 1000
	r := &Result{
		Name: w.spec.Name, Way: name, Processes: n, PerRole: []RoleCost{}, Roles: map[string]int{}, Zones: w.zones, Spec: w.spec, Healed: w.healed, Phases: w.phases,
		Events: w.done, Virtual: seconds, Handshakes: w.handshakes, Snapshots: w.snapshots, Broken: w.check.broken, Rules: w.check.texts, Harness: -1,
	}
	for stream := range streams {
		r.Entries[stream] = len(w.history.log[stream])
		r.Everywhere[stream] = w.everywhere(stream)
		r.Each[stream], r.After[stream] = spread(w.check.each[stream]), spread(w.check.after[stream])
	}
	if l, ok := w.way.(*levels); ok {
		r.Causes = l.causes
		total := 2 * float64(n-len(w.byRole[Store])) * (w.now - warmUp)
		r.HeldShare, r.Needless = w.check.held/total, w.check.needless/total
	}
	for _, c := range w.costs {
		r.Roles[c.Role] = c.Processes
		r.PerRole = append(r.PerRole, c)
	}
	if last := len(r.Phases) - 1; last >= 0 && r.Phases[last].To == 0 {
		r.Phases = r.Phases[:last] // it had just begun
	}
	for _, p := range w.byRole[Proxy] {
		r.Whole += boolean(p.whole)
		if p.applier != nil && p.applier.bad != nil {
			w.check.fail("%s: %v", p.name, p.applier.bad)
			r.Broken, r.Rules = w.check.broken, w.check.texts
		}
	}
	return r
}

func (w *world) cost(role Role, ps []*process, seconds float64) RoleCost {
	c := RoleCost{Role: role.String(), Processes: len(ps)}
	whole := 0
	for _, p := range ps {
		c.InKBPerS += float64(p.in.Bytes)
		c.OutKBPerS += float64(p.out.Bytes)
		c.InPerS += float64(p.in.Messages)
		c.OutPerS += float64(p.out.Messages)
		c.MostOut = max(c.MostOut, float64(p.out.Bytes)/seconds/1000)
		whole += boolean(p.whole)
	}
	n := float64(len(ps)) * seconds
	c.InKBPerS, c.OutKBPerS, c.InPerS, c.OutPerS = c.InKBPerS/n/1000, c.OutKBPerS/n/1000, c.InPerS/n, c.OutPerS/n
	s := w.meter.roles[role]
	c.CallsPerS = float64(s.Calls) / n
	if c.Sampled = s.Sampled; s.Sampled > 0 && whole > 0 {
		c.MicrosCall = float64(s.Nanos) / float64(s.Sampled) / 1000
		c.Percent = 100 * c.MicrosCall / 1e6 * float64(s.Whole) / (float64(whole) * seconds)
	}
	return c
}

// judge holds a run against what the scenario says must hold, beside what the checker saw on the way. Today's way is there to
// be compared with: where it is beyond a limit, that is told and breaks nothing.
func (w *world) judge(r *Result) {
	s := w.spec
	beyond := w.check.fail
	if !w.way.guards() {
		beyond = func(format string, args ...any) { r.Beyond = append(r.Beyond, fmt.Sprintf(format, args...)) }
	}
	if w.check.behind > 0 {
		beyond("%d processes lack up to %d entries at the end, %.0f s after the last was committed", w.check.behind, w.check.lacks, s.Settle)
	}
	for stream, most := range []float64{s.PurgeWithin, s.ChangeWithin} {
		if e := r.Everywhere[stream]; most > 0 && e.Last > most {
			x := w.slowest(stream)
			beyond("stream %d: entry %d of %.1f s took %.0f ms to %s, the last process, %.0f are allowed", stream, x.entry.Sequence, x.at/1000,
				x.worst, w.processes[x.who].name, most)
		}
	}
	for _, x := range r.Phases {
		if s.ProxyKBPerS == 0 {
			break
		}
		p := x.Traffic[Proxy]
		most := s.ProxyKBPerS * math.Max(1, x.Burst)
		most += s.SnapshotKB * float64(x.Begun) / float64(r.Roles[Proxy.String()]) / max(1, x.To-x.From)
		if p.In+p.Out > most {
			beyond("from %.1f to %.1f s a proxy passes %.1f KB/s on average, %.1f are allowed", x.From, x.To, p.In+p.Out, most)
		}
		// What goes down is what comes in, once for each below: a bounded load's share of them, and a relay's among them.
		below := loadBound*float64(s.PerDistributor) + 2
		if d := x.Traffic[Zone]; d.Out > most*below {
			beyond("from %.1f to %.1f s a distributor sends %.1f KB/s on average, %.1f are allowed", x.From, x.To, d.Out, most*below)
		}
	}
	r.Broken, r.Rules = w.check.broken, w.check.texts
}

// slowest is the entry that took longest to the last process.
func (w *world) slowest(stream int) *committed {
	x := &committed{}
	for _, c := range w.history.log[stream] {
		if c.at >= warmUp && c.worst >= x.worst {
			x = c
		}
	}
	return x
}

// loadBound is how much more than its even share a distributor may have below it, as distribution.Defaults has it.
const loadBound = 1.25
