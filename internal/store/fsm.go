package store

import (
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"ravenwheel/internal/decide/storestate"
)

// fsm implements raft.FSM with the state machine of decide/storestate.
type fsm struct {
	mu        sync.RWMutex
	state     *storestate.State
	watchers  []chan storestate.Revision
	observers []Observer
	onChange  func(storestate.Change) // see Options.OnChange; set before raft starts, so that it misses no entry
	// storedIndex is that of the last entry that the log had when the member was started. While opening, raft loads what is stored.
	storedIndex uint64
	opening     bool
}

// opened records that raft has loaded what was stored.
func (f *fsm) opened() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opening = false
}

// Apply implements raft.FSM. Its result is a storestate.Result.
func (f *fsm) Apply(entry *raft.Log) any {
	c, err := storestate.DecodeChange(entry.Data)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.AppliedIndex = entry.Index
	if err != nil {
		// A later version of the proxy wrote the entry. All members of this version ignore it, so that their states stay equal.
		return storestate.Result{Verdict: storestate.Invalid}
	}
	before := f.state.Revision().Number
	repeated := f.state.HasApplied(c.ID)
	r := f.state.Apply(c)
	if repeated { // it was announced when it was first applied, and its effect may have been undone since
		return r
	}
	f.notifyWatchers(before)
	if r.Verdict == storestate.OK {
		f.announce(entry.Index, c)
	}
	return r
}

// isListDrainOrPurge reports whether Options.OnChange is called with changes of a kind.
func isListDrainOrPurge(k storestate.Kind) bool {
	switch k {
	case storestate.SetList, storestate.StartDrain, storestate.EndDrain, storestate.AddPurge:
		return true
	}
	return false
}

// announce passes an applied change to the observers and, if it is of a list, drain or purge, to onChange. The caller holds mu.
func (f *fsm) announce(index uint64, c storestate.Change) {
	if f.onChange != nil && isListDrainOrPurge(c.Kind) {
		c.Replayed = index <= f.storedIndex
		f.onChange(c)
	}
	for _, o := range f.observers {
		o.ChangeApplied(index, c, f.state.Revision())
	}
}

// announceState passes the lists, drains and purges of a new state to onChange, and the end of each drain that the old state had
// and the new state does not: a member far behind receives a snapshot in place of the entries that ended these drains. The caller
// holds mu.
func (f *fsm) announceState(old *storestate.State) {
	if f.onChange == nil {
		return
	}
	for name := range old.Drains {
		if _, draining := f.state.Drains[name]; !draining {
			f.onChange(storestate.Change{Kind: storestate.EndDrain, Name: name})
		}
	}
	for name, l := range f.state.Lists {
		f.onChange(storestate.Change{Kind: storestate.SetList, Name: name, List: &l})
	}
	for name, since := range f.state.Drains {
		f.onChange(storestate.Change{Kind: storestate.StartDrain, Name: name, ProposedAt: since})
	}
	for _, p := range f.state.Purges {
		f.onChange(storestate.Change{Kind: storestate.AddPurge, Purge: &p, ExpiresAt: p.ExpiresAt, Replayed: f.opening})
	}
}

// notifyWatchers sends the current configuration revision to the watchers if its number is not before. It replaces a revision that
// a watcher has not received yet. The caller holds mu.
func (f *fsm) notifyWatchers(before uint64) {
	r := f.state.Revision()
	if r.Number == before {
		return
	}
	for _, w := range f.watchers {
		select {
		case <-w:
		default:
		}
		w <- r
	}
}

// Snapshot implements raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	raw, err := storestate.Encode(f.state)
	return snapshot(raw), err
}

// Restore implements raft.FSM.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	raw, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	s, err := storestate.DecodeState(raw)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.state
	f.state = s
	f.announceState(old)
	for _, o := range f.observers {
		o.StateReplaced(s)
	}
	f.notifyWatchers(old.Revision().Number)
	return nil
}

// snapshot is an encoded state.
type snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
