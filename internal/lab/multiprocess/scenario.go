package multiprocess

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"ravenwheel/internal/lab/bounds"
	"ravenwheel/internal/strictjson"
)

// Scenario describes a cluster, its traffic and its faults. Its file is JSON with comments. Times of faults are in seconds since
// all processes were ready and traffic started.
type Scenario struct {
	Name             string  `json:"name"`
	Seed             uint64  `json:"seed"`
	Seconds          float64 `json:"seconds"`
	Zones            int     `json:"zones"`
	ProcessesPerZone int     `json:"processes"`
	CachesPerZone    int     `json:"caches"`
	Parents          int     `json:"parents"`
	TransferTime     float64 `json:"serve_ms"`
	FillTime         float64 `json:"fill_ms"`
	Rate             float64 `json:"rate"` // requests per second at each process
	Objects          int     `json:"objects"`
	Peers            bool    `json:"peers"`
	Faults           []Fault `json:"faults"`
	RandomFaults     int     `json:"draw"` // number of random faults, drawn from the seed, in addition to Faults
}

// DefaultScenario returns the values of the keys that a file leaves out.
func DefaultScenario() Scenario {
	return Scenario{
		Seed: 1, Seconds: 30, Zones: 2, ProcessesPerZone: 4, CachesPerZone: 3, Parents: 1, TransferTime: 3, FillTime: 15, Rate: 10,
		Objects: 300, Peers: true,
	}
}

// Bounds of a scenario that one machine can run.
const (
	maxProcesses    = 400 // in all zones
	maxCaches       = 400 // in all zones
	maxZones        = 100
	maxParents      = 100
	maxSeconds      = 3600
	maxServerTime   = 10_000 // time of a transfer or a fill, in ms
	minRate         = 0.1    // requests per second
	maxRate         = 2000
	maxObjects      = 1e6
	maxRandomFaults = 100
	// minPositive is the least fraction or magnitude of a fault, so that every fault has an effect.
	minPositive = 0.0001
)

// ParseScenario parses the text of a scenario file. It returns all defects, with their lines.
func ParseScenario(file string, text []byte) (Scenario, strictjson.Defects) {
	s := DefaultScenario()
	doc := strictjson.Decode(file, text, &s)
	if doc.Valid() {
		s.check(bounds.Checker{Document: doc})
	}
	doc.Defects.Sort()
	return s, doc.Defects
}

func (s *Scenario) check(c bounds.Checker) {
	zones := max(1, s.Zones)
	c.Within("seconds", s.Seconds, 1, maxSeconds)
	c.CountWithin("zones", s.Zones, 1, maxZones)
	c.CountWithin("processes", s.ProcessesPerZone, 1, maxProcesses/zones)
	c.CountWithin("caches", s.CachesPerZone, 1, maxCaches/zones)
	c.CountWithin("parents", s.Parents, 0, maxParents)
	c.Within("serve_ms", s.TransferTime, 0, maxServerTime)
	c.Within("fill_ms", s.FillTime, 0, maxServerTime)
	c.Within("rate", s.Rate, minRate, maxRate)
	c.CountWithin("objects", s.Objects, 1, maxObjects)
	c.CountWithin("draw", s.RandomFaults, 0, maxRandomFaults)
	for i, fault := range s.Faults {
		s.checkFault(c, fmt.Sprintf("faults[%d]", i), fault)
	}
}

func (s *Scenario) checkFault(c bounds.Checker, path string, f Fault) {
	traits, known := faultKinds[f.Kind]
	if !known {
		c.Failf(path+".kind", "kind %q is not one of %s", f.Kind, kindNames())
		return
	}
	lastZone := s.Zones - 1
	c.Within(path+".at_s", f.At, 0, s.Seconds)
	c.Within(path+".for_s", f.Duration, 0, s.Seconds)
	c.CountWithin(path+".zone", f.Zone, AllZones, lastZone)
	if traits.fraction {
		c.Within(path+".share", f.Fraction, minPositive, 1)
	}
	if traits.link {
		c.CountWithin(path+".from", f.From, 0, lastZone)
		c.CountWithin(path+".to", f.To, 0, lastZone)
		if f.From == f.To {
			c.Failf(path, "%s needs two different zones, but from and to are both %d", f.Kind, f.From)
		}
		if !s.Peers {
			c.Failf(path+".kind", "%s needs \"peers\": true, since only processes that gossip send to each other", f.Kind)
		}
	}
	if traits.maxMagnitude > 0 {
		c.Within(path+".size", f.Magnitude, minPositive, traits.maxMagnitude)
	}
}

// kindNames returns the names of the kinds of faults, sorted, for messages.
func kindNames() string {
	names := make([]string, 0, len(faultKinds))
	for _, kind := range slices.Sorted(maps.Keys(faultKinds)) {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// JSON returns the scenario as the content of a scenario file.
func (s Scenario) JSON() []byte {
	encoded, _ := json.MarshalIndent(s, "", "  ") // cannot fail: plain values
	return append(encoded, '\n')
}
