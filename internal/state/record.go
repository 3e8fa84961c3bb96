package state

import (
	"errors"
	"slices"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/journal"
)

// RecordPurge stores a purge and returns once it is on disk. An error is one of journal.Append's: the purge is in force all
// the same, and is stored later if possible.
func (r *Recorder) RecordPurge(p recovery.Purge) error {
	return r.recordSync(recovery.Event{At: r.opt.Clock.Now(), Purge: &p})
}

// RecordPurgeAsync stores a purge without waiting for the disk, for a source that sends it again after a restart.
func (r *Recorder) RecordPurgeAsync(p recovery.Purge) {
	r.recordAsync(recovery.Event{At: r.opt.Clock.Now(), Purge: &p})
}

// RecordPublish stores the members that the registry published, without waiting for the disk.
func (r *Recorder) RecordPublish(p membership.Publish) {
	now := r.opt.Clock.Now()
	for _, m := range p.Members {
		r.recordAsync(recovery.MemberEvent(m, now))
	}
}

// RecordTransition stores a transition to draining or gone, without waiting for the disk. RecordPublish does not cover all of them:
// a server whose drain began before a restart is not always published again.
func (r *Recorder) RecordTransition(m membership.Transition) {
	if m.To == membership.Gone || m.To == membership.Draining {
		r.recordAsync(recovery.MemberEvent(m.Member, r.opt.Clock.Now()))
	}
}

// RecordList stores a list that was accepted from a source and returns once it is on disk. The list must not take effect before
// that, or a crash would lose which servers it drains. An error is one of journal.Append's.
func (r *Recorder) RecordList(source string, list *serverlist.List) error {
	return r.recordSync(recovery.Event{
		At: r.opt.Clock.Now(), List: &recovery.List{Source: source, Generation: list.Generation, Servers: list.Servers},
	})
}

// RecordManualDrain stores the start or the end of an operator's drain and returns once it is on disk. An error is one of
// journal.Append's.
func (r *Recorder) RecordManualDrain(id uint64, active bool) error {
	return r.recordSync(recovery.Event{At: r.opt.Clock.Now(), ManualDrain: &recovery.ManualDrain{ID: id, Active: active}})
}

// RecordRevision stores which revision of the configuration is in use, without waiting for the disk.
func (r *Recorder) RecordRevision(revision uint64) {
	r.recordAsync(recovery.Event{At: r.opt.Clock.Now(), Revision: revision})
}

func (r *Recorder) recordSync(e recovery.Event) error {
	done := make(chan error, 1)
	r.record(e, func(err error) { done <- err })
	return <-done
}

func (r *Recorder) recordAsync(e recovery.Event) { r.record(e, func(error) {}) }

// record passes an event to the journal, which calls done with the result. While the journal is not open, or other events are
// pending, the event is queued after them for a retry, and done is called with journal.ErrFailed. After Close, done is called with
// journal.ErrClosed.
func (r *Recorder) record(e recovery.Event, done func(error)) {
	r.submitMu.Lock()
	defer r.submitMu.Unlock()
	r.mu.Lock()
	closed := r.closed && r.journal == nil
	mustQueue := r.journal == nil || len(r.pending) > 0
	if mustQueue && !closed {
		r.addPending(e)
	}
	r.mu.Unlock()
	switch {
	case closed:
		done(journal.ErrClosed)
	case mustQueue:
		done(journal.ErrFailed)
	default:
		r.submit(e, done)
	}
}

// submit appends an event to the open journal. The caller holds submitMu.
func (r *Recorder) submit(e recovery.Event, done func(error)) {
	raw, err := e.Encode()
	if err != nil {
		done(err)
		return
	}
	r.mu.Lock()
	j := r.journal
	if j == nil { // the journal has failed since the caller checked it
		r.addPending(e)
	}
	r.mu.Unlock()
	if j == nil {
		done(journal.ErrFailed)
		return
	}
	j.AppendAsync(raw, func(number uint64, err error) {
		r.appended(j, e, number, err)
		done(err)
	})
}

// appended handles the journal's result for an event. The journal calls it in the order of the events.
func (r *Recorder) appended(j *journal.Journal, e recovery.Event, number uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.appendFailed(j, e, err)
		return
	}
	r.state.Apply(e)
	r.lastRecord = number
	// A pending older event would undo this one if it were stored after it.
	r.pending = slices.DeleteFunc(r.pending, e.Supersedes)
	if r.recordsSinceSnapshot++; r.recordsSinceSnapshot >= r.opt.SnapshotEvery && !r.compacting && !r.closed {
		r.compacting = true
		go r.compact(j)
	}
}

// appendFailed queues an event that the journal did not store for a retry. The caller holds mu.
func (r *Recorder) appendFailed(j *journal.Journal, e recovery.Event, err error) {
	if errors.Is(err, journal.ErrClosed) && r.closed {
		return
	}
	if errors.Is(err, journal.ErrRecordTooLarge) { // a retry would fail in the same way
		r.dropped++
		return
	}
	r.addPending(e)
	r.opt.Log.Error("state").Err(err).Int("pending", len(r.pending)).
		Msg("event not stored; it is in force, but a crash would lose it until a retry succeeds")
	if r.journal == j && !errors.Is(err, journal.ErrDiskFull) {
		r.journal, r.failed = nil, j // after a failed sync the journal must be reopened
	}
}
