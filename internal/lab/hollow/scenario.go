package hollow

import (
	"cmp"
	"encoding/json"
	"slices"

	"ravenwheel/internal/strictjson"
)

// Scenario is the content of a scenario file: JSON with comments. Times of faults are in seconds from the end of the warm-up. A KB
// is 1000 bytes.
type Scenario struct {
	Name          string  `json:"name"`
	Seed          uint64  `json:"seed"`
	Processes     []int   `json:"processes"` // sizes of the fleet to play, including the store's members
	Seconds       float64 `json:"seconds"`   // duration in which changes are proposed
	SettleSeconds float64 `json:"settle_s"`  // duration after that, at whose end no process may lack an entry

	Regions               int     `json:"regions"`
	ZoneProcesses         int     `json:"zone_processes"`  // proxies and distributors in a zone
	ProxiesPerDistributor int     `json:"per_distributor"` // in a zone, which has at least two distributors
	Voters                int     `json:"voters"`          // members of the store, spread over the regions
	RegionRelays          int     `json:"region_relays"`   // distributors in each region between the store and the zones
	FullProxies           int     `json:"whole"`           // number of proxies that apply what they receive; 0: all
	OutKBPerS             float64 `json:"out_kb_s"`        // most that a process can send
	BatchMs               float64 `json:"batch_ms"`        // interval at which proposed changes are committed together
	ElectionMs            float64 `json:"election_ms"`     // duration of an election, in which there is no leader
	HandshakeBytes        int     `json:"handshake_bytes"` // of a new connection, each way
	RecordBytes           int     `json:"record_bytes"`    // that framing and TLS add to a message

	PurgesPerS         float64 `json:"purges_per_s"`    // of the whole fleet
	GroupPurgeFraction float64 `json:"group_purges"`    // fraction of purges that are of a group
	ChangesPerDay      float64 `json:"changes_per_day"` // of lists, drains and the configuration
	Objects            int     `json:"objects"`         // number of objects that purges are of
	RevisionBytes      int     `json:"revision_bytes"`  // size of a revision of the configuration
	ZoneServers        int     `json:"zone_servers"`    // in a zone's list

	MaxLagMs       float64 `json:"bound_ms"`         // lag beyond which a process must close its freshness gate
	MaxClockSkewMs float64 `json:"clock_bound_ms"`   // most that two clocks may differ
	RecoveredLagMs float64 `json:"hold_healed_ms"`   // lag up to which a process counts as recovered
	PurgeWithinMs  float64 `json:"purge_within_ms"`  // limit of the time from a purge's commit to the last process; 0: none
	ChangeWithinMs float64 `json:"change_within_ms"` // the same for lists, drains and the configuration
	MaxProxyKBPerS float64 `json:"proxy_kb_s"`       // limit of a proxy's mean traffic, both ways together; 0: none
	SnapshotKB     float64 `json:"snapshot_kb"`      // that a restarted proxy may receive in addition

	LeaderOutKBPerS float64 `json:"leader_out_kb_s"` // most that the leader can send in ModeDirect; 0: OutKBPerS
	Direct          bool    `json:"direct"`          // whether to play ModeDirect too
	Faults          []Fault `json:"faults"`
}

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of fault.
const (
	FaultLeader  FaultKind = "leader"  // the store's leader is killed, and started again at the end
	FaultKill    FaultKind = "kill"    // distributors of zones are killed at one instant, and started again at the end
	FaultStop    FaultKind = "stop"    // distributors of zones are suspended, and resumed at the end
	FaultCut     FaultKind = "cut"     // a region is partitioned from the others
	FaultRestart FaultKind = "restart" // proxies restart at one instant and lose their state
	FaultSlow    FaultKind = "slow"    // proxies read slowly
	FaultClocks  FaultKind = "clocks"  // every clock gets a random offset
	FaultBurst   FaultKind = "burst"   // the rate of purges is multiplied
	FaultLoss    FaultKind = "loss"    // messages are lost and sent again
)

// Fault is one fault. Its kind determines which fields it uses; see faultUsages.
type Fault struct {
	AtSeconds  float64   `json:"at_s"`
	ForSeconds float64   `json:"for_s"`
	Kind       FaultKind `json:"kind"`
	Fraction   float64   `json:"share"`  // of the proxies, selected at random
	Count      int       `json:"count"`  // of processes, selected at random
	Region     int       `json:"region"` // that is partitioned
	Magnitude  float64   `json:"size"`   // burst: factor; slow: KB/s; clocks: range of offsets in s; loss: fraction of messages
}

// DefaultScenario returns the values of fields that a file leaves out.
func DefaultScenario() Scenario {
	return Scenario{
		Seed: 1, Processes: []int{100}, Seconds: 20, SettleSeconds: 12,
		Regions: 6, ZoneProcesses: 233, ProxiesPerDistributor: 75, Voters: 5, RegionRelays: 2,
		OutKBPerS: 125_000, BatchMs: 20, ElectionMs: 2500, HandshakeBytes: 3000, RecordBytes: 26,
		PurgesPerS: 87, GroupPurgeFraction: 0.05, ChangesPerDay: 91_000, Objects: 20_000, RevisionBytes: 1500, ZoneServers: 12,
		MaxLagMs: 6800, MaxClockSkewMs: 250, RecoveredLagMs: 1000, PurgeWithinMs: 6800, ChangeWithinMs: 10_000,
		MaxProxyKBPerS: 17, SnapshotKB: 400,
	}
}

// Parse reads a scenario file. It returns all defects of the file with their positions.
func Parse(file string, text []byte) (Scenario, strictjson.Defects) {
	s := DefaultScenario()
	s.Processes = nil // the decoder would overwrite only as many default sizes as the file has
	doc := strictjson.Decode(file, text, &s)
	if len(s.Processes) == 0 {
		s.Processes = DefaultScenario().Processes
	}
	if doc.Valid() {
		s.validate(doc)
	}
	doc.Defects.Sort()
	return s, doc.Defects
}

// Valid returns the defects of a scenario that was changed after Parse, or nil.
func (s Scenario) Valid() error {
	raw, err := json.Marshal(s)
	if err != nil {
		return err
	}
	_, defects := Parse(s.Name, raw)
	return defects.Err()
}

// Timeline returns the faults in the order of their starts.
func (s Scenario) Timeline() []Fault {
	faults := slices.Clone(s.Faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.AtSeconds, b.AtSeconds) })
	return faults
}

// minProcesses is the size of the smallest fleet: the members of the store, and for each region its relays and one zone with two
// distributors and two proxies.
func (s Scenario) minProcesses() int {
	return s.Voters + s.Regions*(s.RegionRelays+minZoneDistributors+2)
}
