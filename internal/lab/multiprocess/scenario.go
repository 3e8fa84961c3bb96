package multiprocess

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"ravenwheel/internal/strictjson"
)

// Scenario is a field and what befalls it, as a file has it: JSON with comments. Times in faults are seconds from when all
// processes were ready and clients began.
type Scenario struct {
	Name      string  `json:"name"`
	Seed      uint64  `json:"seed"`
	Seconds   float64 `json:"seconds"`
	Zones     int     `json:"zones"`
	Processes int     `json:"processes"` // in a zone
	Caches    int     `json:"caches"`    // in a zone
	Parents   int     `json:"parents"`
	Serve     float64 `json:"serve_ms"`
	Fill      float64 `json:"fill_ms"`
	Rate      float64 `json:"rate"` // requests a second at each process
	Objects   int     `json:"objects"`
	Peers     bool    `json:"peers"`
	Faults    []Fault `json:"faults"`
	Draw      int     `json:"draw"` // so many faults more, drawn from the seed
}

// Fault is one thing that goes wrong, and right again after For where that has a meaning.
type Fault struct {
	At    float64 `json:"at_s"`
	For   float64 `json:"for_s"`
	Kind  string  `json:"kind"`
	Share float64 `json:"share"` // of processes or caches, drawn from the seed
	Zone  int     `json:"zone"`  // -1: all
	From  int     `json:"from"`  // of cut and loss: the zone that sends
	To    int     `json:"to"`
	Both  bool    `json:"both"` // ways
	Size  float64 `json:"size"` // loss: share; jitter, slow: ms; narrow: KB a second; purge: share of groups
}

// kinds of fault: what each is, whether it wants a share, and whether caches are struck.
var kinds = map[string]struct {
	share, links, caches bool
	size                 float64 // the most; 0: none
}{
	"kill":    {share: true}, // processes, at one instant; with for_s they start again after that
	"restart": {share: true}, // processes by SIGTERM, one after the other, and up again
	"stop":    {share: true}, // processes stand still (SIGSTOP), for for_s
	"cut":     {links: true},
	"loss":    {links: true, size: 1},
	"jitter":  {links: true, size: 10_000},
	"narrow":  {links: true, size: 1e6},                  // a link passes so many KB a second
	"reset":   {links: true},                             // streams are broken off
	"lose":    {caches: true},                            // all caches of a zone, back cold after for_s
	"crash":   {share: true, caches: true},               // caches end, and are back cold after for_s
	"replace": {share: true, caches: true},               // caches, at one instant
	"slow":    {share: true, caches: true, size: 10_000}, // caches
	"fail":    {share: true, caches: true},               // caches answer that they crashed
	"silent":  {share: true, caches: true},               // caches answer nothing
	"purge":   {size: 1},                                 // groups of objects
	"move":    {},                                        // the notice board, by SIGHUP
}

// Usual is what a file that says nothing has.
func Usual() Scenario {
	return Scenario{Seed: 1, Seconds: 30, Zones: 2, Processes: 4, Caches: 3, Parents: 1, Serve: 3, Fill: 15, Rate: 10, Objects: 300, Peers: true}
}

// Bounds of a field: what one machine can hold.
const (
	mostProcesses = 400
	mostCaches    = 400
	mostSeconds   = 3600
	mostRate      = 2000
)

// ParseScenario reads the text of a file. Defects are all that is wrong, by line.
func ParseScenario(file string, text []byte) (Scenario, strictjson.Defects) {
	s := Usual()
	doc := strictjson.Decode(file, text, &s)
	if doc.Valid() {
		s.check(doc)
	}
	doc.Defects.Sort()
	return s, doc.Defects
}

func (s *Scenario) check(doc *strictjson.Document) {
	within := func(path string, v, least, most float64) {
		if !(v >= least && v <= most) {
			doc.Failf(path, "%s %.10g is not %.10g to %.10g", path[strings.LastIndexByte(path, '.')+1:], v, least, most)
		}
	}
	within("seconds", s.Seconds, 1, mostSeconds)
	within("zones", float64(s.Zones), 1, 100)
	within("processes", float64(s.Processes), 1, float64(mostProcesses/max(1, s.Zones)))
	within("caches", float64(s.Caches), 1, float64(mostCaches/max(1, s.Zones)))
	within("parents", float64(s.Parents), 0, 100)
	within("serve_ms", s.Serve, 0, 10_000)
	within("fill_ms", s.Fill, 0, 10_000)
	within("rate", s.Rate, 0.1, mostRate)
	within("objects", float64(s.Objects), 1, 1e6)
	within("draw", float64(s.Draw), 0, 100)
	names := make([]string, 0, len(kinds))
	for k := range kinds {
		names = append(names, k)
	}
	slices.Sort(names)
	for i, f := range s.Faults {
		at := fmt.Sprintf("faults[%d]", i)
		k, known := kinds[f.Kind]
		if !known {
			doc.Failf(at+".kind", "kind %q is none of %s", f.Kind, strings.Join(names, ", "))
			continue
		}
		within(at+".at_s", f.At, 0, s.Seconds)
		within(at+".for_s", f.For, 0, s.Seconds)
		within(at+".zone", float64(f.Zone), -1, float64(s.Zones-1))
		if k.share {
			within(at+".share", f.Share, 0.0001, 1)
		}
		if k.links {
			within(at+".from", float64(f.From), 0, float64(s.Zones-1))
			within(at+".to", float64(f.To), 0, float64(s.Zones-1))
			if f.From == f.To {
				doc.Failf(at, "%s is between two zones, not within zone %d", f.Kind, f.From)
			}
			if !s.Peers {
				doc.Failf(at+".kind", "%s needs peers: without them no process sends to another", f.Kind)
			}
		}
		if k.size > 0 {
			within(at+".size", f.Size, 0.0001, k.size)
		}
	}
}

// Timeline is the faults of a scenario, those that are drawn among them, in the order of their times. Equal seeds draw
// equal ones.
func (s Scenario) Timeline() []Fault {
	out := slices.Clone(s.Faults)
	rng := rand.New(rand.NewPCG(s.Seed, 3))
	draws := []string{"kill", "restart", "stop", "lose", "crash", "replace", "slow", "fail", "silent", "purge", "move"}
	if s.Peers && s.Zones > 1 {
		draws = append(draws, "cut", "loss", "jitter", "narrow", "reset")
	}
	for range s.Draw {
		f := Fault{
			At: rng.Float64() * s.Seconds * 0.7, For: 1 + rng.Float64()*s.Seconds*0.2, Kind: draws[rng.IntN(len(draws))],
			Share: 0.1 + rng.Float64()*0.4, Zone: rng.IntN(s.Zones+1) - 1, From: rng.IntN(s.Zones), Both: rng.IntN(2) == 0,
		}
		f.To = (f.From + 1 + rng.IntN(max(1, s.Zones-1))) % s.Zones
		switch f.Kind {
		case "loss":
			f.Size = 0.05 + rng.Float64()*0.4
		case "narrow":
			f.Size = 1 + rng.Float64()*30
		case "jitter", "slow":
			f.Size = 20 + rng.Float64()*300
		case "purge":
			f.Size = rng.Float64()
		case "lose":
			f.Zone = max(0, f.Zone)
		}
		out = append(out, f)
	}
	slices.SortStableFunc(out, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return out
}

// JSON is the scenario as a file holds it.
func (s Scenario) JSON() []byte {
	raw, _ := json.MarshalIndent(s, "", "  ") // of plain values
	return append(raw, '\n')
}

// String is the fault as a line.
func (f Fault) String() string {
	raw, _ := json.Marshal(f)
	return string(raw)
}
