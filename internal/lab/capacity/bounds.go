package capacity

// Bounds, rates and defaults of the program that formulas use. They are copies; a test compares maxResults and maxRevisions with
// decide/storestate.
const (
	// Of decide/storestate.
	resultRetentionS = 600.0 // resultRetention, in seconds
	maxResults       = 65_536
	maxRevisions     = 100

	// Of raft's configuration.
	raftTrailingLogs = 10_240 // entries kept behind a snapshot

	// Of peers. Digests are sent to processes of the zone (near) and to others (far).
	maxSenders            = 8192
	nearDigestsPerS       = 16.0
	farDigestsPerS        = 2.0
	probeIntervalS        = 0.7
	stateRequestsPerStart = 3.0 // exchanges of the whole membership
	gossipMultiplier      = 4.0 // retransmissions, by the logarithm of the number of members
	digestMaxAgeS         = 15  // after which a view drops a digest
	datagramsPerDigest    = 6   // of a complete digest

	// Of distribution.DefaultSettings.
	maxEntryBytes         = 96 << 10 // MaxEntry
	backlogEntries        = 1 << 14  // MaxBacklogEntries
	originRequestsPerS    = 20.0     // OriginPerSecond
	maxSubscribers        = 512      // MaxSubscribers
	proxiesPerDistributor = 75       // that FailoverSpread is meant for

	// Of the policy module.
	maxPurges = 16_384 // recentHitsMaxEntries
)
