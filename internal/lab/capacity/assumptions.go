package capacity

// Assumption is an assumed figure, as a row of the page's table.
type Assumption struct {
	Name   string
	Figure Figure
	Text   string // the figure, formatted
	Reason string
}

// nameBytes and revisionBytes are the assumed sizes of an object's name and of a revision. The recorders use the same sizes.
const (
	nameBytes     = 32
	revisionBytes = 4096
)

// Assumptions are the figures that formulas need and that were not measured at the target's size.
type Assumptions struct {
	RegionLatencyMs Figure // one-way latency between regions
	ZoneLatencyMs   Figure // one-way latency within a region
	SyncMs          Figure // of a synced write to disk

	PacketHeaderBytes Figure // of TCP/IP
	RecordHeaderBytes Figure // of TLS
	EntryBytes        Figure // of a purge as decide/distribution encodes it
	FrameBytes        Figure // of a frame as decide/distribution encodes it, without its entries

	FrameIntervalMs         Figure // in DesignDistribution
	ProposedFrameIntervalMs Figure // in DesignProposed
	SendMicros              Figure // CPU time of sending a frame
	ReceiveMicros           Figure // CPU time of receiving a frame

	ConnectionMemory Figure // bytes
	MemberMemory     Figure // bytes that a process uses for each known member
	ProbeBytes       Figure // of a probe or its response
	PeersMicrosPerS  Figure // CPU time of sending and receiving digests
	ProcessMemory    Figure // bytes of a proxy, without the parts that the formulas count
	DigestFraction   Figure // fraction of a process's servers that a digest includes

	// Resources of a control machine.
	MachineCores     Figure
	MachineBytesPerS Figure // capacity of its network link
	MachineMemory    Figure // bytes

	PurgeDurationMs Figure // time within which caches drop purged copies
	PurgeGraceMs    Figure // maximum delay of a cache's notification
}

// DefaultAssumptions are the assumptions of the page.
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

// Rows are the assumptions in the order of the page.
func (a Assumptions) Rows() []Assumption {
	return []Assumption{
		{"one way between regions", a.RegionLatencyMs,
			a.RegionLatencyMs.FormatMilliseconds(),
			"a round trip of 150 ms is a long way round the world; not stated by the operators"},
		{"one way within a region", a.ZoneLatencyMs,
			a.ZoneLatencyMs.FormatMilliseconds(),
			"zones of one region, sites at the edge among them"},
		{"a write to disk", a.SyncMs, a.SyncMs.FormatMilliseconds(), "a busy flash disk"},
		{"header of a TCP/IP packet, of a TLS record", a.PacketHeaderBytes,
			a.PacketHeaderBytes.FormatBytes() + ", " + a.RecordHeaderBytes.FormatBytes(),
			"IPv4 with timestamps; TLS 1.3"},
		{"a purge's name, a revision's text", assumed(nameBytes),
			assumed(nameBytes).FormatBytes() + ", " + assumed(revisionBytes).FormatBytes(),
			"recordings use the same"},
		{"a purge, a frame without entries in the distribution", a.EntryBytes,
			a.EntryBytes.FormatBytes() + ", " + a.FrameBytes.FormatBytes(),
			"by its encoding, not run here"},
		{"between two frames", a.FrameIntervalMs,
			a.FrameIntervalMs.FormatMilliseconds() + ", proposed " + a.ProposedFrameIntervalMs.FormatMilliseconds(),
			"the distribution's note for its roots"},
		{"processor of sending, of receiving a frame", a.SendMicros,
			formatNumber(a.SendMicros.Value) + " us, " + a.ReceiveMicros.FormatMicroseconds(),
			"a system call, TLS and a wake-up"},
		{"memory of a connection, of a member in membership", a.ConnectionMemory,
			a.ConnectionMemory.FormatBytes() + ", " + a.MemberMemory.FormatBytes(),
			"TLS buffers of both directions; certificate, keys, window"},
		{"a probe or its response", a.ProbeBytes, a.ProbeBytes.FormatBytes(), "envelope, MAC and UDP header; one in each direction in 700 ms"},
		{"processor of peers with digests", a.PeersMicrosPerS,
			a.PeersMicrosPerS.FormatCPU(),
			"measured with 60 members in one process (docs/measurements/peers.md)"},
		{"a process without what is counted here", a.ProcessMemory,
			a.ProcessMemory.FormatBytes(),
			"measured in the field at 300 (docs/measurements/peers.md)"},
		{"a control machine", a.MachineCores,
			formatNumber(a.MachineCores.Value) + " cores, 1 Gbit/s, 16 GB a",
			"not stated by the operators"},
		{"a purge is in effect for", a.PurgeDurationMs,
			a.purgesInEffect(1).withBasis("14.6 s"),
			"twice 6.8 s and 1 s of grace, as the proxy keeps it (default: twice 6 s and 1 s)"},
		{"servers in a digest, of those of the process", a.DigestFraction,
			a.DigestFraction.FormatPercent(),
			"a sixth in turn, and those that have changed by three steps"},
	}
}
