package capacity

// Bounds and rates of the program that formulas use. They are copies of constants elsewhere; tests compare maxResults and
// maxRevisions with these.
const (
	// Of decide/storestate.
	resultRetentionS = 600.0
	maxResults       = 65_536
	maxRevisions     = 100

	// Of raft's configuration.
	raftTrailingLogs = 10_240

	// Of peers.
	maxSenders            = 8192
	nearDigestsPerS       = 16.0
	farDigestsPerS        = 2.0
	probeIntervalS        = 0.7
	stateRequestsPerStart = 3.0
	gossipMultiplier      = 4.0 // retransmissions, by the logarithm of the number of members
	digestMaxAgeS         = 15
	datagramsPerDigest    = 6 // of a complete digest, with servers of as many versions

	// Of decide/distribution.
	maxEntryBytes         = 96 << 10
	backlogEntries        = 1 << 14
	originRequestsPerS    = 20.0 // that a process may send to the origin while its freshness gate is closed
	maxSubscribers        = 512
	proxiesPerDistributor = 75

	// Of the policy module.
	maxPurges = 16_384
)
