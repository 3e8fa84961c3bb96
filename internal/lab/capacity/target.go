package capacity

import "strings"

// Target is the size of the fleet that the operators expect within two years, and the budgets that they set for control traffic.
type Target struct {
	Proxies, Sites, Caches, Regions, Zones float64
	RequestsPerS, BitsPerS, Objects        float64

	PurgesPerS     float64
	PurgeWithinMs  float64 // until a purge is applied everywhere
	ConfigPerDay   float64 // changes of lists and of the configuration
	ConfigWithinMs float64 // until such a change is applied everywhere

	// Budgets of a proxy.
	ProxyCores       float64
	ProxyMemoryBytes float64
	ProxyBytesPerS   float64

	ControlMachines    float64 // reserved for voting store members and distributors
	FailuresPerDay     float64 // of machines
	ReplacementsPerDay float64 // of machines

	// Situations in which the budgets must hold.
	BurstFactor     float64 // rate of purges in a burst, as a multiple of PurgesPerS
	RestartsPerHour float64 // of proxies
	PartitionMs     float64 // for which two regions cannot reach each other
}

// OperatorTarget holds the figures that the operators stated.
var OperatorTarget = Target{
	Proxies: 17_000, Sites: 890, Caches: 6000, Regions: 32, Zones: 73,
	RequestsPerS: 13e6, BitsPerS: 28e12, Objects: 30e9,
	PurgesPerS: 87, PurgeWithinMs: 6800,
	ConfigPerDay: 9100, ConfigWithinMs: 10_000,
	ProxyCores: 0.016, ProxyMemoryBytes: 256e6, ProxyBytesPerS: 17e3, ControlMachines: 42,
	FailuresPerDay: 100, ReplacementsPerDay: 2400,
	BurstFactor: 10, RestartsPerHour: 17_000, PartitionMs: 5 * 60_000,
}

// Derivation is a figure that follows from the target.
type Derivation struct {
	Name    string
	Formula string
	Value   float64
	Stated  float64 // by the operators, in the issue that requested the page
	Unit    string
}

// format formats a value with the derivation's unit.
func (d Derivation) format(v float64) string {
	return strings.TrimSpace(formatNumber(v) + " " + d.Unit)
}

// Derivations are the figures that the issue states, computed from the target.
func (t Target) Derivations() []Derivation {
	return []Derivation{
		{"proxies a site", "17,000 / 890", t.Proxies / t.Sites, 19, ""},
		{"caches a site", "6,000 / 890", t.Caches / t.Sites, 6.7, ""},
		{"proxies a zone", "17,000 / 73", t.Proxies / t.Zones, 233, ""},
		{"caches a zone", "6,000 / 73", t.Caches / t.Zones, 82, ""},
		{"proxies a region", "17,000 / 32", t.Proxies / t.Regions, 531, ""},
		{"requests a proxy", "13,000,000 / 17,000", t.RequestsPerS / t.Proxies, 765, "/s"},
		{"traffic a proxy", "28 Tbit/s / 17,000", t.BitsPerS / t.Proxies / 1e9, 1.65, "Gbit/s"},
		{"proxies a control machine", "17,000 / 42", t.Proxies / t.ControlMachines, 405, ""},
		{"bytes a purge, if nothing else were sent", "17,000 B/s / 87", t.ProxyBytesPerS / t.PurgesPerS, 195, "B"},
		{"changes of the configuration", "9,100 / 86,400 s", t.ConfigPerDay / secondsPerDay, 0.105, "/s"},
	}
}
