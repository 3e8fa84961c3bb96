package discovery

// Settings of a Watcher. Times are in ms. Delays are drawn at random, so that a fleet whose calls fall silent or end in the same
// instant does not call again in the same instant.
type Settings struct {
	Seed uint64 // of the random draws

	// HedgeDelay is the mean time to wait for the first complete frame of a call before another call is opened beside it. Each
	// consecutive delay is HedgeGrowth times as long, up to MaxHedgeDelay. A healthy service answers within milliseconds: a shorter
	// delay adds load to an overloaded service, a longer one leaves time for fewer calls before what it holds must be applied.
	HedgeDelay, HedgeGrowth, MaxHedgeDelay float64
	// SilenceTimeout is how long a call that has brought a frame may bring no other before another call is opened beside it, and
	// SilenceJitter the most that is drawn on top of it. Frames come each second, and one may be a second late.
	SilenceTimeout, SilenceJitter float64
	// FrameInterval is the time between two frames of a service that has nothing to send. A call that lasted as long was no failure.
	FrameInterval float64
	// Backoff is the mean delay after a call that ended. It doubles with each consecutive failure, up to MaxEarlyBackoff for the
	// first EarlyRetries, which cover about the time in which everything has to be received, and up to MaxBackoff after them.
	Backoff, MaxEarlyBackoff, MaxBackoff float64
	EarlyRetries                         int
	// MaxCalls is how many calls may be open at once, two at least.
	MaxCalls int

	// A purge or drain that the service holds and that has not been received counts as notified, so that its grace period begins,
	// so long after the start of the process, after a reload of the configuration, after a call that was disconnected, and after
	// the last frame before a silence.
	NotifiedAfterStart, NotifiedAfterReload, NotifiedAfterDisconnect, NotifiedAfterSilence float64
	// GracePeriod is the time from the notification until what was notified must be applied: the shortest of the deployment.
	GracePeriod float64
	// OverdueMargin is how long before the end of the grace period Overdue is reported, since requests that are forwarded at that
	// time arrive later.
	OverdueMargin float64
}

// NotifiedAfterTakeover is Settings.NotifiedAfterStart, in ms, of a process that replaces a running one. It counts from when the
// new process reports that it is ready.
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
