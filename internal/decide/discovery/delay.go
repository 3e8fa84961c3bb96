package discovery

import "math"

// When the configuration is reloaded with the same address, an open call has reloadIntervals frame intervals, and a random part of
// reloadIntervalsJitter, to receive a frame before another call is opened beside it. It is more than one interval, as a frame is
// sent once per interval.
const (
	reloadIntervals       = 1.2
	reloadIntervalsJitter = 0.3
)

// backoff returns a random delay, in ms, after a call that ended. It lies between 0.5 and 1.5 times the mean.
func (w *Watcher) backoff() float64 {
	limit := w.settings.MaxBackoff
	if w.failures < w.settings.EarlyRetries {
		limit = w.settings.MaxEarlyBackoff
	}
	return min(w.settings.Backoff*math.Pow(2, float64(w.failures)), limit) * (0.5 + w.rng.Float64())
}

// hedgeDelay returns a random time, in ms, to wait for a complete frame before another call is opened beside the open ones. It
// lies between 5/6 and 7/6 of the mean.
func (w *Watcher) hedgeDelay() float64 {
	mean := min(w.settings.HedgeDelay*math.Pow(w.settings.HedgeGrowth, float64(w.unanswered)), w.settings.MaxHedgeDelay)
	return mean * (5 + 2*w.rng.Float64()) / 6
}

// silenceDelay returns a random time, in ms, for which a call that has just received a frame may be silent.
func (w *Watcher) silenceDelay() float64 {
	return w.settings.SilenceTimeout + w.settings.SilenceJitter*w.rng.Float64()
}

// reloadDelay returns a random time, in ms, for which an open call may be silent after a reload with the present address.
func (w *Watcher) reloadDelay() float64 {
	return w.settings.FrameInterval * (reloadIntervals + reloadIntervalsJitter*w.rng.Float64())
}
