// Package state stores the proxy's state that must survive a crash. A Recorder performs the I/O for package decide/recovery: it
// writes the events of one proxy to a journal, recovers them at the next start, and compacts the journal in the background. The
// decisions are made in decide/recovery, and no request waits for a Recorder.
package state

import (
	"errors"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/journal"
	"ravenwheel/internal/journal/vfs"
	"ravenwheel/internal/logs"
)

// Options configure a Recorder.
type Options struct {
	Dir           string
	FS            vfs.FS // nil: the machine's file system
	Clock         *clock.Clock
	Log           *logs.Log
	Settings      recovery.Settings
	BatchDelay    float64 // ms for which a batch of records waits for more records
	SnapshotEvery int     // records between snapshots; 0: 4096
}

const (
	// defaultSnapshotEvery is a number of records. That many are replayed within a few milliseconds.
	defaultSnapshotEvery = 4096
	// maxSegments is the number of segments above which Open writes a snapshot in their place.
	maxSegments = 16
)

// Recorder stores the state of one proxy. Its methods are safe for concurrent use.
type Recorder struct {
	opt Options

	reopenMu sync.Mutex // held while the journal is reopened
	submitMu sync.Mutex // held while events are passed to the journal, so that they reach it in order

	mu                   sync.Mutex
	journal              *journal.Journal // nil: it has failed and has not been reopened yet
	failed               *journal.Journal // the journal that has failed and must be closed; nil: none
	state                *recovery.State  // result of the events on disk
	lastRecord           uint64           // number of the last record included in state
	recordsSinceSnapshot int
	compacting           bool
	pending              []recovery.Event // events that are not on disk yet, in order
	dropped              int              // number of events that will never be on disk
	retryPending         bool             // a retry is scheduled
	retryDelay           float64          // ms until the next retry, before jitter
	closed               bool
}

// replayer reads a journal into a state.
type replayer struct {
	state   *recovery.State
	records int
}

// Restore implements journal.Target.
func (r *replayer) Restore(snapshot []byte) (err error) {
	r.state, err = recovery.DecodeState(snapshot)
	return err
}

// Replay implements journal.Target.
func (r *replayer) Replay(_ uint64, payload []byte) error {
	e, err := recovery.DecodeEvent(payload)
	if err != nil {
		return err
	}
	r.state.Apply(e)
	r.records++
	return nil
}

// Read recovers the state in a directory without locking or changing the directory. fs is nil for the machine's file system. Its
// errors are those of journal.Open and of decoding events.
func Read(dir string, fs vfs.FS) (*recovery.State, journal.Stats, error) {
	replayed := &replayer{state: recovery.NewState()}
	j, err := journal.Open(dir, journal.Options{FS: fs, ReadOnly: true}, replayed)
	if err != nil {
		return nil, journal.Stats{}, err
	}
	return replayed.state, j.Stats(), nil
}

// Open recovers the state in a directory and locks the directory. The plan is what the proxy must apply before its first
// request. Its errors are those of journal.Open and of decoding events.
func Open(o Options) (*Recorder, recovery.Plan, error) {
	if o.SnapshotEvery <= 0 {
		o.SnapshotEvery = defaultSnapshotEvery
	}
	r := &Recorder{opt: o, retryDelay: minRetryDelay}
	j, recovered, err := r.openJournal()
	if err != nil {
		return nil, recovery.Plan{}, err
	}
	r.install(j, recovered)
	now, shift := o.Clock.Now(), o.Clock.Shift(r.state.Epoch)
	plan := r.state.Plan(now-shift, o.Settings).Shifted(shift)
	boot := recovery.Event{At: now, Boot: true, Shift: shift}
	boot.Epoch, _ = o.Clock.Epoch()
	r.recordAsync(boot)
	// The boot event may already be on disk and have started a compaction: without the lock, two compactions would run.
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(j.Stats().Segments) > maxSegments && !r.compacting { // each start creates a segment
		r.compacting = true
		go r.compact(j)
	}
	return r, plan, nil
}

func (r *Recorder) openJournal() (*journal.Journal, *replayer, error) {
	recovered := &replayer{state: recovery.NewState()}
	j, err := journal.Open(r.opt.Dir, journal.Options{FS: r.opt.FS, Clock: r.opt.Clock, BatchDelay: r.opt.BatchDelay}, recovered)
	return j, recovered, err
}

// install puts an opened journal and the state recovered from it in use. The caller holds mu, or is the only user of r.
func (r *Recorder) install(j *journal.Journal, recovered *replayer) {
	r.journal, r.state, r.recordsSinceSnapshot = j, recovered.state, recovered.records
	r.lastRecord = j.Stats().Next - 1
}

// compact prunes the state, and stores a snapshot of it in place of the records that it includes.
func (r *Recorder) compact(j *journal.Journal) {
	r.mu.Lock()
	r.state.Prune(r.opt.Clock.Now(), r.opt.Settings)
	raw, err := r.state.Encode()
	lastRecord := r.lastRecord
	r.recordsSinceSnapshot = 0
	r.mu.Unlock()
	if err == nil {
		err = j.Compact(lastRecord, raw)
	}
	if err != nil && !errors.Is(err, journal.ErrClosed) {
		r.opt.Log.Warn("state").Err(err).Msg("snapshot failed; the journal grows until a later snapshot succeeds")
	}
	r.mu.Lock()
	r.compacting = false
	r.mu.Unlock()
}

// Compact stores a snapshot now. It does nothing while the journal is not open.
func (r *Recorder) Compact() {
	r.mu.Lock()
	j := r.journal
	r.mu.Unlock()
	if j != nil {
		r.compact(j)
	}
}

// Status describes a Recorder.
type Status struct {
	Purges  int           `json:"purges"`
	Members int           `json:"members"`
	Lists   int           `json:"lists"`
	Boots   int           `json:"boots"`   // number of starts of the proxy
	Pending int           `json:"waiting"` // number of events that are not on disk yet
	Dropped int           `json:"dropped"` // number of events that will never be on disk
	Journal journal.Stats `json:"journal"`
}

// Status returns the Recorder's current state.
func (r *Recorder) Status() Status {
	r.mu.Lock()
	j := r.journal
	s := Status{Boots: r.state.Boots, Pending: len(r.pending), Dropped: r.dropped}
	s.Purges, s.Members, s.Lists = r.state.Counts()
	r.mu.Unlock()
	if j != nil {
		s.Journal = j.Stats()
	} else {
		s.Journal.Failed = "not open"
	}
	return s
}

// Close tries once more to store the pending events, waits for the events that are being written, and releases the directory.
func (r *Recorder) Close() error {
	r.mu.Lock()
	retry := len(r.pending) > 0 && !r.closed
	r.mu.Unlock()
	if retry {
		r.retry()
	}
	r.mu.Lock()
	r.closed = true
	j, failed := r.journal, r.failed
	r.failed = nil
	r.mu.Unlock()
	var err error
	for _, opened := range []*journal.Journal{failed, j} {
		if opened != nil {
			err = errors.Join(err, opened.Close())
		}
	}
	return err
}
