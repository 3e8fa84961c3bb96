package state

import (
	"math/rand/v2"

	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/journal"
)

// retryAfter: ms after which what was not kept is tried again, half to one and a half of it; it doubles with each try in a row, up to
// retryMost. Longer leaves what was told unkept when the folder is well again.
const retryAfter, retryMost = 500, 2000

// lose puts an event with those that wait for the journal to take them. The caller holds mu.
func (k *Keeper) lose(e recovery.Event) {
	if len(k.lost) >= mostLost {
		k.lost = k.lost[1:]
		k.dropped++
	}
	k.lost = append(k.lost, e)
	k.retryLater()
}

// retryLater sets the one retry, if none is set. The caller holds mu.
func (k *Keeper) retryLater() {
	if k.retrying || k.closed {
		return
	}
	k.retrying = true
	wait := k.pause * (0.5 + rand.Float64())
	k.pause = min(2*k.pause, retryMost)
	k.opt.Clock.After(wait, k.retry)
}

// retry opens the journal anew where it failed, and hands it what waits. A retry that fails sets the next one.
func (k *Keeper) retry() {
	k.reopening.Lock()
	defer k.reopening.Unlock()
	k.mu.Lock()
	k.retrying = false
	closed := k.closed
	k.mu.Unlock()
	if closed {
		return
	}
	if err := k.reopen(); err != nil {
		k.opt.Log.Error("state").Err(err).Msg("the state's journal can't be opened anew")
		k.mu.Lock()
		k.retryLater()
		k.mu.Unlock()
		return
	}
	k.resubmit()
}

// reopen puts a journal that is opened anew in place of one that failed. There is none to close when the try before failed too:
// closing it all the same ended the process.
func (k *Keeper) reopen() error {
	k.mu.Lock()
	failed, open := k.failed, k.j != nil
	k.failed = nil
	k.mu.Unlock()
	if failed != nil {
		_ = failed.Close()
	}
	if open {
		return nil
	}
	t := &target{state: recovery.NewState()}
	j, err := journal.Open(k.opt.Dir, journal.Options{FS: k.opt.FS, Clock: k.opt.Clock, Delay: k.opt.Delay}, t)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.j, k.state, k.since, k.number = j, t.state, t.count, j.Stats().Next-1
	return nil
}

// resubmit hands the journal what waits, before anything that comes meanwhile.
func (k *Keeper) resubmit() {
	k.order.Lock()
	defer k.order.Unlock()
	k.mu.Lock()
	lost := k.lost
	k.lost = nil
	k.mu.Unlock()
	for i, e := range lost {
		last := i == len(lost)-1
		k.submit(e, func(err error) {
			if err == nil && last {
				k.keptAgain(len(lost))
			}
		})
	}
}

// keptAgain notes that what waited is on disk.
func (k *Keeper) keptAgain(events int) {
	k.mu.Lock()
	k.pause = retryAfter
	k.mu.Unlock()
	k.opt.Log.Info("state").Int("events", events).Msg("state is kept again")
}
