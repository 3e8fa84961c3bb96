package distribution

// Settings of both machines; see DefaultSettings. Times and intervals are in ms, sizes in bytes as encoded.
type Settings struct {
	Stream Stream
	// Self is this process.
	Self Peer
	// Seed of the random draws: another one for each start.
	Seed uint64

	// HeartbeatInterval is the time between two watermarks if nothing else is sent. A shorter one shows sooner that a distributor is
	// gone, and costs some 20 bytes a heartbeat.
	HeartbeatInterval float64
	// SilenceTimeout is how long a distributor may send nothing, or nothing new although it has announced more. After the former it is
	// left at once, after the latter once maxResubscribes requests have not helped.
	SilenceTimeout float64
	// ConnectTimeout is how long a link may take to be established, and a subscription to be answered.
	ConnectTimeout float64
	// KeepaliveInterval is the time between two keepalives of a subscriber. A distributor drops it after three missed ones.
	KeepaliveInterval float64

	// FailoverSpread is the span over which the subscribers of a distributor that is gone subscribe elsewhere.
	FailoverSpread float64
	// MinBackoff and MaxBackoff bound the backoff of a distributor that could not be reached or has rejected the subscription.
	MinBackoff, MaxBackoff float64
	// CloserParentInterval is the mean time between two attempts to move to a closer distributor, if one is known.
	CloserParentInterval float64

	// Credit is how many bytes of batches and chunks may be in flight to one subscriber. No frame is larger than half of it.
	Credit int
	// MaxFrame bounds the entries of a batch or chunk; an entry that is larger is sent alone.
	MaxFrame int
	// MaxEntry bounds one entry: the store rejects larger ones.
	MaxEntry int
	// MaxSnapshot bounds a snapshot that a subscriber assembles.
	MaxSnapshot int
	// MaxBacklogEntries and MaxBacklogBytes bound what a distributor retains to resume from: a subscriber that is further behind
	// gets a snapshot.
	MaxBacklogEntries, MaxBacklogBytes int

	// LoadFactor is the factor of bounded-load balancing: a distributor admits up to so many times its even share of subscribers.
	LoadFactor float64
	// MaxSubscribers is the limit before the first Demand, and at any demand.
	MaxSubscribers int
	// AdmitPerSecond and AdmitBurst bound how many subscriptions begin; others are rejected, and return spread over time.
	AdmitPerSecond, AdmitBurst float64

	// MaxLag is how far a process may be behind before strict classes are restricted, and MaxClockSkew how far two clocks may be
	// apart, which is added to what is measured.
	MaxLag, MaxClockSkew float64
	// RelaxSpread is the span over which processes that have caught up end the restriction, so that a fleet does not change its
	// behaviour in one instant.
	RelaxSpread float64
	// Classes is the policy of each class of requests once a process is too far behind: by default PolicyServeStale.
	Classes map[string]StalePolicy
	// OriginFraction is the fraction of the requests that are not served from a copy which may go to the origin instead, and
	// OriginPerSecond the most of them a second.
	OriginFraction, OriginPerSecond float64
}

// StalePolicy is what a class of requests does in a process that may be too far behind.
type StalePolicy uint8

// The policies.
const (
	PolicyServeStale StalePolicy = iota // serve the copy, and count it
	PolicyStrict                        // serve no copy from before the watermark
)

// DefaultSettings returns the settings for 17,000 processes in 73 zones and 87 purges a second, each in force everywhere within 6.8 s.
func DefaultSettings(stream Stream, self Peer) Settings {
	return Settings{
		Stream: stream, Self: self,
		HeartbeatInterval: 500,  // with three levels a watermark is up to 1.5 s old
		SilenceTimeout:    1800, // three lost heartbeats; with ConnectTimeout, FailoverSpread and the watermark's 1.5 s below MaxLag
		ConnectTimeout:    1000,
		KeepaliveInterval: 5000,
		FailoverSpread:    2000, // spreads the 75 subscribers of a lost distributor to 38 a second
		MinBackoff:        500, MaxBackoff: 8000,
		CloserParentInterval: 60_000,
		Credit:               256 << 10, MaxFrame: 32 << 10, MaxEntry: 96 << 10, MaxSnapshot: 64 << 20,
		MaxBacklogEntries: 1 << 14, MaxBacklogBytes: 4 << 20, // three minutes of purges
		LoadFactor: 1.25, MaxSubscribers: 512,
		AdmitPerSecond: 50, AdmitBurst: 50,
		MaxLag: 6800, MaxClockSkew: 250,
		RelaxSpread:    10_000,
		OriginFraction: 0.05, OriginPerSecond: 20,
	}
}
