package capacity

// Bounds, rates and defaults of other packages that the formulas use. They are copies; a test compares maxResults and maxRevisions
// with decide/storestate.
const (
	// Copied from decide/storestate.
	resultRetentionS = 600.0 // resultRetention, in seconds
	maxResults       = 65_536
	maxRevisions     = 100

	// Copied from raft's default configuration.
	raftTrailingLogs = 10_240 // entries kept behind a snapshot

	// Copied from peers, decide/fleetview and memberlist. Digests are sent to processes of the same zone (near) and to processes of
	// other zones (far).
	maxSenders            = 8192
	nearDigestsPerS       = 16.0
	farDigestsPerS        = 2.0
	probeIntervalS        = 0.7
	stateRequestsPerStart = 3.0 // exchanges of the whole membership when a process starts
	gossipMultiplier      = 4.0 // retransmissions of an update, per unit of log10(members + 1) rounded up
	digestMaxAgeS         = 15  // in seconds; a view drops older digests
	datagramsPerDigest    = 6   // that a complete digest takes

	// Copied from distribution.DefaultSettings.
	maxEntryBytes         = 96 << 10 // MaxEntry
	backlogEntries        = 1 << 14  // MaxBacklogEntries
	originRequestsPerS    = 20.0     // OriginPerSecond
	maxSubscribers        = 512      // MaxSubscribers
	proxiesPerDistributor = 75       // subscribers of one distributor, for which FailoverSpread is set

	// Copied from the policy module.
	maxPurges = 16_384 // recentHitsMaxEntries
)
