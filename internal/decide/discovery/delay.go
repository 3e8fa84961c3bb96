package discovery

import "math"

// Delay before a call is opened beside one that was open when the configuration was reloaded with the same address: the call has
// this many frame intervals to bring a frame. More than one, as frames come once an interval.
const (
	reloadIntervals       = 1.2
	reloadIntervalsJitter = 0.3
)

// backoff draws the delay, in ms, after a call that ended. It lies between half and one and a half times the mean.
func (w *Watcher) backoff() float64 {
	limit := w.settings.MaxBackoff
	if w.failures < w.settings.EarlyRetries {
		limit = w.settings.MaxEarlyBackoff
	}
	return min(w.settings.Backoff*math.Pow(2, float64(w.failures)), limit) * (0.5 + w.rng.Float64())
}

// hedgeDelay draws how long to wait, in ms, for a complete frame before another call is opened beside those that are open. It lies
// between 5/6 and 7/6 of the mean.
func (w *Watcher) hedgeDelay() float64 {
	mean := min(w.settings.HedgeDelay*math.Pow(w.settings.HedgeGrowth, float64(w.unanswered)), w.settings.MaxHedgeDelay)
	return mean * (5 + 2*w.rng.Float64()) / 6
}

// silenceDelay draws how long a call that has just brought a frame may be silent, in ms.
func (w *Watcher) silenceDelay() float64 {
	return w.settings.SilenceTimeout + w.settings.SilenceJitter*w.rng.Float64()
}

// reloadDelay draws how long an open call may be silent, in ms, after a reload that names the present address.
func (w *Watcher) reloadDelay() float64 {
	return w.settings.FrameInterval * (reloadIntervals + reloadIntervalsJitter*w.rng.Float64())
}
