package capacity

// Target is the size that the operators expect within two years, and what they allow for control.
type Target struct {
	Proxies, Sites, Caches, Regions, Zones float64
	RequestsPerS, BitsPerS, Objects        float64
	PurgesPerS, PurgeWithinMs              float64
	ConfigPerDay, ConfigWithinMs           float64
	ProxyCore, ProxyMemory, ProxyBytesPerS float64 // share of a core, bytes, bytes/s
	Machines                               float64 // set aside for control
	FailPerDay, ReplacedPerDay             float64 // machines
	BurstFactor, RestartsPerHour           float64
	ApartMs                                float64
}

// Operators is the target of the operators' letter.
var Operators = Target{
	Proxies: 17_000, Sites: 890, Caches: 6000, Regions: 32, Zones: 73,
	RequestsPerS: 13e6, BitsPerS: 28e12, Objects: 30e9,
	PurgesPerS: 87, PurgeWithinMs: 6800,
	ConfigPerDay: 9100, ConfigWithinMs: 10_000,
	ProxyCore: 0.016, ProxyMemory: 256e6, ProxyBytesPerS: 17e3, Machines: 42,
	FailPerDay: 100, ReplacedPerDay: 2400,
	BurstFactor: 10, RestartsPerHour: 17_000, ApartMs: 5 * 60_000,
}

const day = 24 * 60 * 60.0 // seconds

// Derivation is a figure that follows from the letter, beside the one that the issue names.
type Derivation struct {
	What, Sum string
	Value     float64
	Named     float64 // by the issue
	Unit      string
}

// Derivations are those of the issue, worked out again.
func (t Target) Derivations() []Derivation {
	return []Derivation{
		{"proxies a site", "17,000 / 890", t.Proxies / t.Sites, 19, ""},
		{"caches a site", "6,000 / 890", t.Caches / t.Sites, 6.7, ""},
		{"proxies a zone", "17,000 / 73", t.Proxies / t.Zones, 233, ""},
		{"caches a zone", "6,000 / 73", t.Caches / t.Zones, 82, ""},
		{"proxies a region", "17,000 / 32", t.Proxies / t.Regions, 531, ""},
		{"requests a proxy", "13,000,000 / 17,000", t.RequestsPerS / t.Proxies, 765, "/s"},
		{"traffic a proxy", "28 Tbit/s / 17,000", t.BitsPerS / t.Proxies / 1e9, 1.65, "Gbit/s"},
		{"proxies a control machine", "17,000 / 42", t.Proxies / t.Machines, 405, ""},
		{"bytes a purge, if nothing else were sent", "17,000 B/s / 87", t.ProxyBytesPerS / t.PurgesPerS, 195, "B"},
		{"changes of the configuration", "9,100 / 86,400 s", t.ConfigPerDay / day, 0.105, "/s"},
	}
}

// Assumption is a figure that no run here gave.
type Assumption struct {
	What   string
	Figure Figure
	Text   string // the figure as the page shows it
	Why    string
}

// Assumptions are all that the formulas take for granted. Times are in ms, sizes in bytes, processor in us.
type Assumptions struct {
	RegionTrip, ZoneTrip, Sync                  Figure // one way between regions and within one; a write that is on disk
	PacketHead, RecordHead                      Figure
	EntryBytes, FrameBytes                      Figure // of the distribution's encoding
	FrameMs, SmallFrameMs                       Figure // between two frames
	SendCost, ReceiveCost                       Figure // of a frame
	Connection, MemberMemory                    Figure
	ProbeBytes, PeersCore                       Figure
	ProcessMemory                               Figure
	MachineCores, MachineBytesPerS, MachineHeap Figure
	PurgeTakes, PurgeGrace                      Figure
	DigestPart                                  Figure
}

// Usual are the assumptions of the page.
var Usual = Assumptions{
	RegionTrip: assumed(75), ZoneTrip: assumed(5), Sync: assumed(5),
	PacketHead: assumed(52), RecordHead: assumed(22),
	EntryBytes: assumed(8 + nameBytes), FrameBytes: assumed(25),
	FrameMs: assumed(20), SmallFrameMs: assumed(100),
	SendCost: assumed(10), ReceiveCost: assumed(20),
	Connection: assumed(64e3), MemberMemory: assumed(4e3),
	ProbeBytes: assumed(160), PeersCore: stretched(2500, 17_000/60.0),
	ProcessMemory: stretched(35e6, 17_000/300.0),
	MachineCores:  assumed(8), MachineBytesPerS: assumed(1.25e8), MachineHeap: assumed(16e9),
	PurgeTakes: assumed(6800), PurgeGrace: assumed(1000),
	DigestPart: assumed(0.25),
}

// Rows are the assumptions as the page lists them.
func (a Assumptions) Rows() []Assumption {
	return []Assumption{
		{"one way between regions", a.RegionTrip, a.RegionTrip.Milliseconds(), "150 ms there and back is a long way round the world; not told by the operators"},
		{"one way within a region", a.ZoneTrip, a.ZoneTrip.Milliseconds(), "zones of one region, sites at the edge among them"},
		{"a write that is on disk", a.Sync, a.Sync.Milliseconds(), "a disk of flash, busy"},
		{"head of a TCP/IP packet, of a TLS record", a.PacketHead, a.PacketHead.Bytes() + ", " + a.RecordHead.Bytes(), "IPv4 with timestamps; TLS 1.3"},
		{"a purge's name, a revision's text", assumed(nameBytes), assumed(nameBytes).Bytes() + ", " + assumed(revisionBytes).Bytes(), "recordings use the same"},
		{"a purge, a frame's own bytes in the distribution", a.EntryBytes, a.EntryBytes.Bytes() + ", " + a.FrameBytes.Bytes(), "read off its encoding, not run here"},
		{"between two frames", a.FrameMs, a.FrameMs.Milliseconds() + ", proposed " + a.SmallFrameMs.Milliseconds(), "the distribution's note for its roots"},
		{"processor of sending, of receiving a frame", a.SendCost, number(a.SendCost.Value) + " us, " + number(a.ReceiveCost.Value) + " us a", "one system call, TLS and what wakes up"},
		{"memory of a connection, of a member in membership", a.Connection, a.Connection.Bytes() + ", " + a.MemberMemory.Bytes(), "TLS buffers of both ways; certificate, keys, window"},
		{"a probe or its answer", a.ProbeBytes, a.ProbeBytes.Bytes(), "envelope, MAC and UDP head; one of each way in 700 ms"},
		{"processor of peers with digests", a.PeersCore, a.PeersCore.Core(), "measured with 60 members in one process (docs/measurements/peers.md)"},
		{"a process beside what is told apart here", a.ProcessMemory, a.ProcessMemory.Bytes(), "measured in the field at 300 (docs/measurements/peers.md)"},
		{"a control machine", a.MachineCores, number(a.MachineCores.Value) + " cores, 1 Gbit/s, 16 GB a", "not told by the operators"},
		{"a purge binds for", a.PurgeTakes, held(a, 1).as("14.6 s"), "twice 6.8 s and 1 s of grace, as the proxy keeps it (default: twice 6 s and 1 s)"},
		{"of its servers a digest tells", a.DigestPart, a.DigestPart.Percent(), "a sixth in turn and what has changed by three steps"},
	}
}

// held is how many purges bind at a rate.
func held(a Assumptions, purgesPerS float64) Figure {
	return a.PurgeTakes.By(2).Plus(a.PurgeGrace).By(purgesPerS / 1000)
}
