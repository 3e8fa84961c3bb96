package discovery

// Settings of a Watcher. Times are in ms. Delays are random, so that a fleet whose calls fall silent or end at the same moment does
// not call again at the same moment.
type Settings struct {
	Seed uint64 // of the random delays

	// HedgeDelay is the mean time to wait for the first complete frame of a call before another call is opened beside it. Each
	// consecutive delay is HedgeGrowth times as long, up to MaxHedgeDelay. A healthy service answers within milliseconds: a shorter
	// delay adds load to an overloaded service, a longer one leaves time for fewer calls before its events must be applied.
	HedgeDelay, HedgeGrowth, MaxHedgeDelay float64
	// SilenceTimeout is how long a call that has received a frame may receive no other one before another call is opened beside
	// it. A random time of at most SilenceJitter is added to it. Frames are sent each second, and one may be a second late.
	SilenceTimeout, SilenceJitter float64
	// FrameInterval is the time between two frames of a service that has nothing new to send. A call that ends after at least as
	// long does not count as a failure.
	FrameInterval float64
	// Backoff is the mean delay after a call that ended. It doubles with each consecutive failure, up to MaxEarlyBackoff for the
	// first EarlyRetries, which cover about the time in which all events have to be received, and up to MaxBackoff after them.
	Backoff, MaxEarlyBackoff, MaxBackoff float64
	EarlyRetries                         int
	// MaxCalls is how many calls may be open at once; at least 2.
	MaxCalls int

	// The grace period of a purge or drain begins when it counts as notified. One that the service has published but that has not
	// been received counts as notified this long after the start of the process, after a reload of the configuration, after a call
	// was disconnected, and after the last frame before a silence.
	NotifiedAfterStart, NotifiedAfterReload, NotifiedAfterDisconnect, NotifiedAfterSilence float64
	// GracePeriod is the time from the notification of a purge or drain until it must be applied: the shortest in the deployment.
	GracePeriod float64
	// OverdueMargin is how long before the end of the grace period Overdue is reported. The margin is needed because requests
	// that are forwarded at that time arrive later.
	OverdueMargin float64
}

// NotifiedAfterTakeover is Settings.NotifiedAfterStart, in ms, for a process that replaces a running one. It counts from the time
// at which the new process reports that it is ready.
const NotifiedAfterTakeover = 2000

// DefaultSettings returns the settings for a deployment whose grace period is gracePeriod ms.
func DefaultSettings(seed uint64, gracePeriod float64) Settings {
	return Settings{
		Seed:       seed,
		HedgeDelay: 850, HedgeGrowth: 1.25, MaxHedgeDelay: 2500,
		SilenceTimeout: 2000, SilenceJitter: 600,
		FrameInterval: 1000,
		Backoff:       100, MaxEarlyBackoff: 400, EarlyRetries: 8, MaxBackoff: 1600,
		MaxCalls:           3,
		NotifiedAfterStart: 4000, NotifiedAfterReload: 4000, NotifiedAfterDisconnect: 2000, NotifiedAfterSilence: 4000,
		GracePeriod:   gracePeriod,
		OverdueMargin: 100,
	}
}
