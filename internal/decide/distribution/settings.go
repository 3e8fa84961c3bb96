package distribution

// Settings of both machines; see DefaultSettings. Times and intervals are in ms, sizes in bytes as encoded.
type Settings struct {
	Stream Stream
	// Self is this process.
	Self Peer
	// Seed seeds the random draws. Each start of a process uses another one.
	Seed uint64

	// HeartbeatInterval is the time between two heartbeats to a subscriber that is sent nothing else. A shorter interval shows sooner
	// that a distributor has failed, and costs some 20 bytes for each heartbeat.
	HeartbeatInterval float64
	// SilenceTimeout is how long a distributor may send nothing, or nothing new although it has announced more entries. After the
	// former the subscriber leaves at once; after the latter it leaves when maxResubscribes new Subscribes have brought nothing.
	SilenceTimeout float64
	// ConnectTimeout is how long a link may take to be established, and a subscription to be answered.
	ConnectTimeout float64
	// KeepaliveInterval is the time between two keepalives of a subscriber. A distributor drops a subscriber after three missed ones.
	KeepaliveInterval float64

	// FailoverSpread is the span over which the subscribers of a distributor that has failed subscribe to others.
	FailoverSpread float64
	// MinBackoff and MaxBackoff bound how long a subscriber waits before it tries a distributor again that it could not reach, or
	// that has rejected the subscription.
	MinBackoff, MaxBackoff float64
	// CloserParentInterval is the mean time between two attempts to move to a closer distributor, if one is known.
	CloserParentInterval float64

	// Credit is how many bytes of batches and chunks may be in flight to one subscriber. No frame is larger than half of it.
	Credit int
	// MaxFrame bounds the total size of the entries of a batch or chunk; a larger entry is sent alone.
	MaxFrame int
	// MaxEntry bounds the size of one entry: the store rejects larger ones.
	MaxEntry int
	// MaxSnapshot bounds the size of a snapshot that a subscriber assembles.
	MaxSnapshot int
	// MaxBacklogEntries and MaxBacklogBytes bound the backlog that a distributor retains, from which subscribers resume. A subscriber
	// that is further behind gets a snapshot.
	MaxBacklogEntries, MaxBacklogBytes int

	// LoadFactor is the factor of bounded-load balancing: a distributor admits at most LoadFactor times its even share of subscribers.
	LoadFactor float64
	// MaxSubscribers limits a distributor's subscribers before the first Demand, and whatever the demand.
	MaxSubscribers int
	// AdmitPerSecond and AdmitBurst bound the rate at which subscriptions begin, and how many begin at once. Other subscribers are
	// rejected, and return spread over time.
	AdmitPerSecond, AdmitBurst float64

	// MaxLag is how far a process may be behind before strict classes are restricted. MaxClockSkew is the largest difference between
	// two processes' clocks, which is added to the measured lag.
	MaxLag, MaxClockSkew float64
	// RelaxSpread is the span over which processes that have caught up end the restriction, so that a fleet does not change its
	// behaviour in one instant.
	RelaxSpread float64
	// Classes is the policy of each class of requests once a process is too far behind. Other classes have PolicyServeStale.
	Classes map[string]StalePolicy
	// OriginFraction is the fraction of the requests refused by the strict policy that may go to the origin instead, and
	// OriginPerSecond the maximum of such requests per second.
	OriginFraction, OriginPerSecond float64
}

// StalePolicy says how a class of requests is served by a process that may be too far behind.
type StalePolicy uint8

// The policies.
const (
	PolicyServeStale StalePolicy = iota // serve the copy, and count the request
	PolicyStrict                        // serve no copy that is older than the watermark
)

// DefaultSettings returns the settings for 17,000 processes in 73 zones and 87 purges a second, each in effect everywhere within 6.8 s.
func DefaultSettings(stream Stream, self Peer) Settings {
	return Settings{
		Stream: stream, Self: self,
		HeartbeatInterval: 500,  // with three levels a watermark is up to 1.5 s old
		SilenceTimeout:    1800, // three lost heartbeats; the sum with ConnectTimeout, FailoverSpread and the watermark's 1.5 s is below MaxLag
		ConnectTimeout:    1000,
		KeepaliveInterval: 5000,
		FailoverSpread:    2000, // spreads the 75 subscribers of a lost distributor to 38 a second
		MinBackoff:        500, MaxBackoff: 8000,
		CloserParentInterval: 60_000,
		Credit:               256 << 10, MaxFrame: 32 << 10, MaxEntry: 96 << 10, MaxSnapshot: 64 << 20,
		MaxBacklogEntries: 1 << 14, MaxBacklogBytes: 4 << 20, // three minutes of purges at 87 a second
		LoadFactor: 1.25, MaxSubscribers: 512,
		AdmitPerSecond: 50, AdmitBurst: 50,
		MaxLag: 6800, MaxClockSkew: 250,
		RelaxSpread:    10_000,
		OriginFraction: 0.05, OriginPerSecond: 20,
	}
}
