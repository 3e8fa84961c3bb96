package store

import (
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"ravenwheel/internal/decide/storestate"
)

// fsm is decide/storestate behind raft's interface.
type fsm struct {
	mu        sync.RWMutex
	state     *storestate.State
	watchers  []chan storestate.Revision
	followers []Follower
	facts     func(storestate.Change) // set before raft starts, so that nothing applied goes untold; nil: nobody asks
}

// Apply takes one entry; its result is a storestate.Result.
func (f *fsm) Apply(l *raft.Log) any {
	c, err := storestate.DecodeChange(l.Data)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.Applied = l.Index
	if err != nil {
		// Of a later version: all members of this one pass it over alike.
		return storestate.Result{Verdict: storestate.Invalid}
	}
	before := f.state.Revision().Number
	again := f.state.Did(c.ID)
	r := f.state.Apply(c)
	if again { // its effect was told then, and may have been ended since
		return r
	}
	if now := f.state.Revision(); now.Number != before {
		f.tell(now)
	}
	if f.facts != nil && r.Verdict == storestate.OK && c.Kind >= storestate.SetList {
		f.facts(c)
	}
	if r.Verdict == storestate.OK {
		for _, x := range f.followers {
			x.Applied(l.Index, c, f.state.Revision())
		}
	}
	return r
}

// retell tells all facts that a new state holds, as changes, and the end of each drain that the old one held and the
// new one does not: a member far behind is given a snapshot in place of the entries that ended them.
func (f *fsm) retell(old *storestate.State) {
	if f.facts == nil {
		return
	}
	for name := range old.Drains {
		if _, held := f.state.Drains[name]; !held {
			f.facts(storestate.Change{Kind: storestate.EndDrain, Name: name})
		}
	}
	for name, l := range f.state.Lists {
		f.facts(storestate.Change{Kind: storestate.SetList, Name: name, List: &l})
	}
	for name, since := range f.state.Drains {
		f.facts(storestate.Change{Kind: storestate.SetDrain, Name: name, At: since})
	}
	for _, p := range f.state.Purges {
		f.facts(storestate.Change{Kind: storestate.SetPurge, Purge: &p, Until: p.Until})
	}
}

// tell hands a revision to the watchers. One that lags gets the newest, not each.
func (f *fsm) tell(r storestate.Revision) {
	for _, w := range f.watchers {
		select {
		case <-w:
		default:
		}
		w <- r
	}
}

// Snapshot copies the state.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	raw, err := storestate.Encode(f.state)
	return snapshot(raw), err
}

// Restore replaces the state by a snapshot.
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
	before := old.Revision().Number
	f.state = s
	f.retell(old)
	for _, x := range f.followers {
		x.Replaced(s)
	}
	if now := s.Revision(); now.Number != before {
		f.tell(now)
	}
	return nil
}

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
