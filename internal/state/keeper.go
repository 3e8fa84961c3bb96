// Package state is the shell round decide/recovery: it keeps what must survive a crash on a journal, gives it back at
// the start, and prunes it in the background. It decides nothing, and is never on a request's path.
package state

import (
	"errors"
	"slices"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/journal"
	"ravenwheel/internal/journal/vfs"
	"ravenwheel/internal/logs"
)

// Options set up a keeper.
type Options struct {
	Dir      string
	FS       vfs.FS // nil: the machine's
	Clock    *clock.Clock
	Log      *logs.Log
	Settings recovery.Settings
	Delay    float64 // ms that a batch waits for more writers
	Each     int     // records between snapshots; 0: 4096
}

const (
	// usualEach records are replayed in a few milliseconds, and a snapshot costs as much as writing them again.
	usualEach = 4096
	// mostSegments are read at a start before a snapshot is put in their place.
	mostSegments = 16
	// mostLost events wait for a journal to come back; more are dropped, oldest first, and said so.
	mostLost = 65_536
)

// Keeper keeps the state of one proxy.
type Keeper struct {
	opt Options

	reopening sync.Mutex // held by who opens the journal anew
	order     sync.Mutex // held while events are handed to the journal, so that none overtakes an older one

	mu         sync.Mutex
	j          *journal.Journal // nil: failed, and not open again yet
	failed     *journal.Journal // the one before, to be closed
	state      *recovery.State  // of what is on disk
	number     uint64           // of the last record in it
	since      int              // records since the last snapshot
	compacting bool
	lost       []recovery.Event // not on disk, in order
	dropped    int
	retrying   bool    // a retry is set
	pause      float64 // ms until the next one
	closed     bool
}

// target reads a journal into a state.
type target struct {
	state  *recovery.State
	number uint64
	count  int
}

// Restore implements journal.Target.
func (t *target) Restore(b []byte) (err error) {
	t.state, err = recovery.DecodeState(b)
	return err
}

// Replay implements journal.Target.
func (t *target) Replay(number uint64, b []byte) error {
	e, err := recovery.DecodeEvent(b)
	if err != nil {
		return err
	}
	t.state.Apply(e)
	t.number = number
	t.count++
	return nil
}

// Read recovers a directory without taking or changing it.
func Read(dir string, fs vfs.FS) (*recovery.State, journal.Stats, error) {
	t := &target{state: recovery.NewState()}
	j, err := journal.Open(dir, journal.Options{FS: fs, ReadOnly: true}, t)
	if err != nil {
		return nil, journal.Stats{}, err
	}
	return t.state, j.Stats(), nil
}

// Open recovers a directory and takes it. The plan says what to heed before the first request.
func Open(o Options) (*Keeper, recovery.Plan, error) {
	if o.Each <= 0 {
		o.Each = usualEach
	}
	k := &Keeper{opt: o, pause: retryAfter}
	t := &target{state: recovery.NewState()}
	j, err := journal.Open(o.Dir, journal.Options{FS: o.FS, Clock: o.Clock, Delay: o.Delay}, t)
	if err != nil {
		return nil, recovery.Plan{}, err
	}
	k.j, k.state, k.since = j, t.state, t.count
	k.number = j.Stats().Next - 1
	now, shift := o.Clock.Now(), o.Clock.Shift(k.state.Epoch)
	plan := k.state.Plan(now-shift, o.Settings).Shifted(shift)
	boot := recovery.Event{At: now, Boot: true, Shift: shift}
	boot.Epoch, _ = o.Clock.Epoch()
	k.keep(boot)
	// The boot event's end may begin one in this very moment: without the lock two would have run.
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(j.Stats().Segments) > mostSegments && !k.compacting { // every start begins one
		k.compacting = true
		go k.compact(j)
	}
	return k, plan, nil
}

// Purged keeps a purge, and returns once it is on disk. It is in force all the same if that fails.
func (k *Keeper) Purged(p recovery.Purge) error {
	done := make(chan error, 1)
	k.start(recovery.Event{At: k.opt.Clock.Now(), Purge: &p}, func(err error) { done <- err })
	return <-done
}

// Purging keeps a purge without waiting for the disk: its source tells it again after a restart.
func (k *Keeper) Purging(p recovery.Purge) { k.keep(recovery.Event{At: k.opt.Clock.Now(), Purge: &p}) }

// Published keeps what a ledger published.
func (k *Keeper) Published(p membership.Publish) {
	now := k.opt.Clock.Now()
	for _, m := range p.Members {
		k.keep(recovery.MemberEvent(m, now))
	}
}

// Moved keeps the ends of lives that are published to nobody: of drains from before a restart.
func (k *Keeper) Moved(m membership.Transition) {
	if m.To == membership.Gone || m.To == membership.Draining {
		k.keep(recovery.MemberEvent(m.Member, k.opt.Clock.Now()))
	}
}

// Took keeps a list that was taken from a source, and returns once it is on disk: it is to be in force only then, or a
// crash would forget whom it drains.
func (k *Keeper) Took(source string, set *serverlist.Set) error {
	done := make(chan error, 1)
	k.start(recovery.Event{
		At: k.opt.Clock.Now(), List: &recovery.List{Source: source, Generation: set.Generation, Servers: set.Servers},
	}, func(err error) { done <- err })
	return <-done
}

// Drained keeps a drain by hand or its end, and returns once it is on disk.
func (k *Keeper) Drained(id uint64, on bool) error {
	done := make(chan error, 1)
	k.start(recovery.Event{At: k.opt.Clock.Now(), ManualDrain: &recovery.ManualDrain{ID: id, Active: on}}, func(err error) { done <- err })
	return <-done
}

// Revised keeps which revision of the configuration is in use.
func (k *Keeper) Revised(revision uint64) {
	k.keep(recovery.Event{At: k.opt.Clock.Now(), Revision: revision})
}

func (k *Keeper) keep(e recovery.Event) { k.start(e, func(error) {}) }

// start hands an event to the journal. What the journal could not take is kept for when it can, and so is all that comes behind it.
func (k *Keeper) start(e recovery.Event, end func(error)) {
	k.order.Lock()
	defer k.order.Unlock()
	k.mu.Lock()
	closed, waits := k.closed && k.j == nil, k.j == nil || len(k.lost) > 0
	if waits && !closed {
		k.lose(e)
	}
	k.mu.Unlock()
	switch {
	case closed:
		end(journal.ErrClosed)
	case waits:
		end(journal.ErrFailed)
	default:
		k.submit(e, end)
	}
}

// submit hands an event to the journal that is open. The caller holds order.
func (k *Keeper) submit(e recovery.Event, end func(error)) {
	raw, err := e.Encode()
	if err != nil {
		end(err)
		return
	}
	k.mu.Lock()
	j := k.j
	if j == nil { // it has failed meanwhile
		k.lose(e)
	}
	k.mu.Unlock()
	if j == nil {
		end(journal.ErrFailed)
		return
	}
	j.Start(raw, func(number uint64, err error) {
		k.ended(j, e, number, err)
		end(err)
	})
}

// ended books what became of an event, in the journal's order.
func (k *Keeper) ended(j *journal.Journal, e recovery.Event, number uint64, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		if errors.Is(err, journal.ErrClosed) && k.closed {
			return
		}
		if errors.Is(err, journal.ErrTooLarge) { // it never will be taken
			k.dropped++
			return
		}
		k.lose(e)
		k.opt.Log.Error("state").Err(err).Int("waiting", len(k.lost)).Msg("state is not kept: in force all the same, and lost in a crash")
		if k.j == j && !errors.Is(err, journal.ErrFull) {
			k.j, k.failed = nil, j // after a sync that failed the journal is opened anew
		}
		return
	}
	k.state.Apply(e)
	k.number = number
	// Guards against an older event that was not kept and is kept later than this one, which it would undo.
	k.lost = slices.DeleteFunc(k.lost, e.Supersedes)
	if k.since++; k.since >= k.opt.Each && !k.compacting && !k.closed {
		k.compacting = true
		go k.compact(j)
	}
}

// compact prunes the state and puts a snapshot in place of its records.
func (k *Keeper) compact(j *journal.Journal) {
	k.mu.Lock()
	k.state.Prune(k.opt.Clock.Now(), k.opt.Settings)
	raw, err := k.state.Encode()
	number := k.number
	k.since = 0
	k.mu.Unlock()
	if err == nil {
		err = j.Compact(number, raw)
	}
	if err != nil && !errors.Is(err, journal.ErrClosed) {
		k.opt.Log.Warn("state").Err(err).Msg("no snapshot: the journal grows")
	}
	k.mu.Lock()
	k.compacting = false
	k.mu.Unlock()
}

// Compact writes a snapshot now.
func (k *Keeper) Compact() {
	k.mu.Lock()
	j := k.j
	k.mu.Unlock()
	if j != nil {
		k.compact(j)
	}
}

// Status is how the state stands.
type Status struct {
	Purges  int           `json:"purges"`
	Members int           `json:"members"`
	Lists   int           `json:"lists"`
	Boots   int           `json:"boots"`
	Waiting int           `json:"waiting"` // not on disk
	Dropped int           `json:"dropped"` // never will be
	Journal journal.Stats `json:"journal"`
}

// Status tells how the state stands.
func (k *Keeper) Status() Status {
	k.mu.Lock()
	j := k.j
	s := Status{Boots: k.state.Boots, Waiting: len(k.lost), Dropped: k.dropped}
	s.Purges, s.Members, s.Lists = k.state.Counts()
	k.mu.Unlock()
	if j != nil {
		s.Journal = j.Stats()
	} else {
		s.Journal.Failed = "not open"
	}
	return s
}

// Close keeps what is under way, and what waited for the journal if it takes that now, and lets go of the directory.
func (k *Keeper) Close() error {
	k.mu.Lock()
	waiting := len(k.lost) > 0 && !k.closed
	k.mu.Unlock()
	if waiting {
		k.retry()
	}
	k.mu.Lock()
	k.closed = true
	j, failed := k.j, k.failed
	k.failed = nil
	k.mu.Unlock()
	var err error
	for _, open := range []*journal.Journal{failed, j} {
		if open != nil {
			err = errors.Join(err, open.Close())
		}
	}
	return err
}
