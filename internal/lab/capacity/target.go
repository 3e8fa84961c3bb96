package capacity

// Target is the size that the operators expect within two years, and what they allow for control.
type Target struct {
	Proxies, Sites, Caches, Regions, Zones       float64
	RequestsPerS, BitsPerS, Objects              float64
	PurgesPerS, PurgeWithinMs                    float64
	ConfigPerDay, ConfigWithinMs                 float64
	ProxyCores, ProxyMemoryBytes, ProxyBytesPerS float64 // share of a core, bytes, bytes/s
	ControlMachines                              float64 // set aside for control
	FailuresPerDay, ReplacementsPerDay           float64 // machines
	BurstFactor, RestartsPerHour                 float64
	PartitionMs                                  float64
}

// Operators is the target of the operators' letter.
var OperatorTarget = Target{
	Proxies: 17_000, Sites: 890, Caches: 6000, Regions: 32, Zones: 73,
	RequestsPerS: 13e6, BitsPerS: 28e12, Objects: 30e9,
	PurgesPerS: 87, PurgeWithinMs: 6800,
	ConfigPerDay: 9100, ConfigWithinMs: 10_000,
	ProxyCores: 0.016, ProxyMemoryBytes: 256e6, ProxyBytesPerS: 17e3, ControlMachines: 42,
	FailuresPerDay: 100, ReplacementsPerDay: 2400,
	BurstFactor: 10, RestartsPerHour: 17_000, PartitionMs: 5 * 60_000,
}

const secondsPerDay = 24 * 60 * 60.0 // seconds

// Derivation is a figure that follows from the letter, beside the one that the issue names.
type Derivation struct {
	Name, Formula string
	Value         float64
	Stated        float64 // by the issue
	Unit          string
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
		{"proxies a control machine", "17,000 / 42", t.Proxies / t.ControlMachines, 405, ""},
		{"bytes a purge, if nothing else were sent", "17,000 B/s / 87", t.ProxyBytesPerS / t.PurgesPerS, 195, "B"},
		{"changes of the configuration", "9,100 / 86,400 s", t.ConfigPerDay / secondsPerDay, 0.105, "/s"},
	}
}

// Assumption is a figure that no run here gave.
type Assumption struct {
	Name   string
	Figure Figure
	Text   string // the figure as the page shows it
	Reason string
}

// Assumptions are all that the formulas take for granted. Times are in ms, sizes in bytes, processor in us.
type Assumptions struct {
	RegionLatencyMs, ZoneLatencyMs, SyncMs        Figure // one way between regions and within one; a write that is on disk
	PacketHeaderBytes, RecordHeaderBytes          Figure
	EntryBytes, FrameBytes                        Figure // of the distribution's encoding
	FrameIntervalMs, ProposedFrameIntervalMs      Figure // between two frames
	SendMicros, ReceiveMicros                     Figure // of a frame
	ConnectionMemory, MemberMemory                Figure
	ProbeBytes, PeersMicrosPerS                   Figure
	ProcessMemory                                 Figure
	MachineCores, MachineBytesPerS, MachineMemory Figure
	PurgeDurationMs, PurgeGraceMs                 Figure
	DigestFraction                                Figure
}

// Usual are the assumptions of the page.
var DefaultAssumptions = Assumptions{
	RegionLatencyMs: assumed(75), ZoneLatencyMs: assumed(5), SyncMs: assumed(5),
	PacketHeaderBytes: assumed(52), RecordHeaderBytes: assumed(22),
	EntryBytes: assumed(8 + nameBytes), FrameBytes: assumed(25),
	FrameIntervalMs: assumed(20), ProposedFrameIntervalMs: assumed(100),
	SendMicros: assumed(10), ReceiveMicros: assumed(20),
	ConnectionMemory: assumed(64e3), MemberMemory: assumed(4e3),
	ProbeBytes: assumed(160), PeersMicrosPerS: extrapolated(2500, 17_000/60.0),
	ProcessMemory: extrapolated(35e6, 17_000/300.0),
	MachineCores:  assumed(8), MachineBytesPerS: assumed(1.25e8), MachineMemory: assumed(16e9),
	PurgeDurationMs: assumed(6800), PurgeGraceMs: assumed(1000),
	DigestFraction: assumed(0.25),
}

// Rows are the assumptions as the page lists them.
func (a Assumptions) Rows() []Assumption {
	return []Assumption{
		{"one way between regions", a.RegionLatencyMs, a.RegionLatencyMs.FormatMilliseconds(), "150 ms there and back is a long way round the world; not told by the operators"},
		{"one way within a region", a.ZoneLatencyMs, a.ZoneLatencyMs.FormatMilliseconds(), "zones of one region, sites at the edge among them"},
		{"a write that is on disk", a.SyncMs, a.SyncMs.FormatMilliseconds(), "a disk of flash, busy"},
		{"head of a TCP/IP packet, of a TLS record", a.PacketHeaderBytes, a.PacketHeaderBytes.FormatBytes() + ", " + a.RecordHeaderBytes.FormatBytes(), "IPv4 with timestamps; TLS 1.3"},
		{"a purge's name, a revision's text", assumed(nameBytes), assumed(nameBytes).FormatBytes() + ", " + assumed(revisionBytes).FormatBytes(), "recordings use the same"},
		{"a purge, a frame's own bytes in the distribution", a.EntryBytes, a.EntryBytes.FormatBytes() + ", " + a.FrameBytes.FormatBytes(), "read off its encoding, not run here"},
		{"between two frames", a.FrameIntervalMs, a.FrameIntervalMs.FormatMilliseconds() + ", proposed " + a.ProposedFrameIntervalMs.FormatMilliseconds(), "the distribution's note for its roots"},
		{"processor of sending, of receiving a frame", a.SendMicros, formatNumber(a.SendMicros.Value) + " us, " + formatNumber(a.ReceiveMicros.Value) + " us a", "one system call, TLS and what wakes up"},
		{"memory of a connection, of a member in membership", a.ConnectionMemory, a.ConnectionMemory.FormatBytes() + ", " + a.MemberMemory.FormatBytes(), "TLS buffers of both ways; certificate, keys, window"},
		{"a probe or its answer", a.ProbeBytes, a.ProbeBytes.FormatBytes(), "envelope, MAC and UDP head; one of each way in 700 ms"},
		{"processor of peers with digests", a.PeersMicrosPerS, a.PeersMicrosPerS.FormatCPU(), "measured with 60 members in one process (docs/measurements/peers.md)"},
		{"a process beside what is told apart here", a.ProcessMemory, a.ProcessMemory.FormatBytes(), "measured in the field at 300 (docs/measurements/peers.md)"},
		{"a control machine", a.MachineCores, formatNumber(a.MachineCores.Value) + " cores, 1 Gbit/s, 16 GB a", "not told by the operators"},
		{"a purge binds for", a.PurgeDurationMs, purgesInEffect(a, 1).withBasis("14.6 s"), "twice 6.8 s and 1 s of grace, as the proxy keeps it (default: twice 6 s and 1 s)"},
		{"of its servers a digest tells", a.DigestFraction, a.DigestFraction.FormatPercent(), "a sixth in turn and what has changed by three steps"},
	}
}

// held is how many purges bind at a rate.
func purgesInEffect(a Assumptions, purgesPerS float64) Figure {
	return a.PurgeDurationMs.Scale(2).Plus(a.PurgeGraceMs).Scale(purgesPerS / 1000)
}
