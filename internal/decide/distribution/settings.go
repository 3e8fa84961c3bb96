package distribution

// Settings of both machines; see Defaults. Times are in ms, sizes in bytes as encoded.
type Settings struct {
	Stream Stream
	// Self is where this process stands. Rank is above that of every distributor that it may subscribe at.
	Self Peer
	// Seed of the draws: another one for each start.
	Seed uint64

	// HeartbeatEvery is between two watermarks where nothing else is sent. Shorter is known sooner, and costs some 20
	// bytes each.
	HeartbeatInterval float64
	// SilentFor: a distributor that says nothing for so long is left; one that is heard but does not get on, too.
	SilenceTimeout float64
	// ConnectFor is how long a link may take to open and to be answered on.
	ConnectTimeout float64
	// AliveEvery: a subscriber says that it lives; after three of them without a word its distributor forgets it.
	KeepaliveInterval float64

	// FailoverOver is the span over which the subscribers of a distributor that is gone are drawn.
	FailoverSpread float64
	// RetryFrom and RetryMost bound the doubling pause after all candidates were tried in vain.
	MinBackoff, MaxBackoff float64
	// ReturnEvery is the mean between two tries to get nearer, where a nearer distributor is known.
	CloserParentInterval float64

	// Credit is what may be under way to one subscriber. A frame is never larger than half of it.
	Credit int
	// MostFrame bounds the entries of a batch or chunk; an entry that is larger goes alone.
	MaxFrame int
	// MostEntry bounds one entry: larger ones are the store's to refuse.
	MaxEntry int
	// MostSnapshot bounds what a subscriber gathers before it puts it in force.
	MaxSnapshot int
	// BacklogEntries and BacklogBytes bound what a distributor keeps to resume from; who is further back gets a snapshot.
	MaxBacklogEntries, MaxBacklogBytes int

	// LoadBound is the c of bounded load: a distributor takes up to c times its even share.
	LoadFactor float64
	// MostSubscribers is the bound while no Demand was told, and above any share.
	MaxSubscribers int
	// AdmitPerSecond and AdmitBurst bound subscriptions that begin; beyond, RetryAfter spreads them.
	AdmitPerSecond, AdmitBurst float64

	// Bound is how far a process may be behind before its strict classes are held, and ClockBound how far two clocks may
	// be apart: it is added to what is measured.
	MaxLag, MaxClockSkew float64
	// EaseOver is the span over which processes that are no longer behind end being strict.
	RelaxSpread float64
	// Classes says what each class of requests does past the bound. One that is not named continues.
	Classes map[string]Policy
	// ShieldShare of the requests that need it, and at most ShieldPerSecond, go to the origin past the bound.
	OriginFraction, OriginPerSecond float64
}

// Policy is what a class does in a process that may be too far behind.
type Policy uint8

// The policies.
const (
	PolicyServeStale Policy = iota // serve, and count
	PolicyStrict                   // nothing older than the watermark
)

// Defaults are for 17,000 processes in 73 zones, 87 purges a second, in force everywhere within 6.8 s.
func DefaultSettings(stream Stream, self Peer) Settings {
	return Settings{
		Stream: stream, Self: self,
		HeartbeatInterval: 500,  // 40 bytes a second; with three levels a watermark is some 1.5 s old at worst
		SilenceTimeout:    1800, // three heartbeats lost; with FailoverOver and ConnectFor within 6.8 s
		ConnectTimeout:    1000,
		KeepaliveInterval: 5000,
		FailoverSpread:    2000, // 75 processes of a dead distributor: 38 a second over its neighbours
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
