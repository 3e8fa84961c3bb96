package state

import (
	"math/rand/v2"

	"ravenwheel/internal/decide/recovery"
)

// The delay before a retry doubles with each consecutive failure, and is jittered by a factor between 0.5 and 1.5. Its maximum
// bounds how long events stay unstored once the disk works again.
const (
	minRetryDelay = 500  // ms
	maxRetryDelay = 2000 // ms
	minJitter     = 0.5  // lowest factor of the jitter; the highest is 1 more
)

// maxPending bounds the number of events that wait for the journal. When it is exceeded, the oldest are dropped and counted.
const maxPending = 65_536

// addPending queues an event until the journal accepts it. The caller holds mu.
func (r *Recorder) addPending(e recovery.Event) {
	if len(r.pending) >= maxPending {
		r.pending = r.pending[1:]
		r.dropped++
	}
	r.pending = append(r.pending, e)
	r.scheduleRetry()
}

// scheduleRetry schedules a retry unless one is scheduled. The caller holds mu.
func (r *Recorder) scheduleRetry() {
	if r.retryPending || r.closed {
		return
	}
	r.retryPending = true
	delay := r.retryDelay * (minJitter + rand.Float64())
	r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
	r.opt.Clock.After(delay, r.retry)
}

// retry reopens the journal if it has failed, and resubmits the pending events. If the journal can't be reopened, retry schedules
// the next retry.
func (r *Recorder) retry() {
	r.reopenMu.Lock()
	defer r.reopenMu.Unlock()
	r.mu.Lock()
	r.retryPending = false
	closed := r.closed
	r.mu.Unlock()
	if closed {
		return
	}
	if err := r.reopen(); err != nil {
		r.opt.Log.Error("state").Err(err).Msg("journal could not be reopened; will be retried")
		r.mu.Lock()
		r.scheduleRetry()
		r.mu.Unlock()
		return
	}
	r.resubmit()
}

// reopen replaces a failed journal. The failed journal is closed at the first attempt only; later attempts find none to close.
func (r *Recorder) reopen() error {
	r.mu.Lock()
	failed, isOpen := r.failed, r.journal != nil
	r.failed = nil
	r.mu.Unlock()
	if failed != nil {
		_ = failed.Close()
	}
	if isOpen {
		return nil
	}
	j, recovered, err := r.openJournal()
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.install(j, recovered)
	return nil
}

// resubmit passes the pending events to the journal, before any event that is recorded meanwhile.
func (r *Recorder) resubmit() {
	r.submitMu.Lock()
	defer r.submitMu.Unlock()
	r.mu.Lock()
	events := r.pending
	r.pending = nil
	r.mu.Unlock()
	for i, e := range events {
		last := i == len(events)-1
		r.submit(e, func(err error) {
			if err == nil && last {
				r.pendingStored(len(events))
			}
		})
	}
}

// pendingStored resets the retry delay once the pending events are on disk.
func (r *Recorder) pendingStored(events int) {
	r.mu.Lock()
	r.retryDelay = minRetryDelay
	r.mu.Unlock()
	r.opt.Log.Info("state").Int("events", events).Msg("pending events stored")
}
