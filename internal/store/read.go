package store

import (
	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/storestate"
)

// readPollInterval is the time between two checks whether this member has caught up for a linearizable read, in ms.
const readPollInterval = 2

// ReadLinearizable calls f with a state that includes every change that any member acknowledged before the call. f must not retain
// the state. Without a quorum, ReadLinearizable returns ErrUnavailable and does not call f.
func (s *Store) ReadLinearizable(f func(*storestate.State)) error {
	if s.raft != nil {
		if err := s.awaitReadIndex(); err != nil {
			return err
		}
	}
	s.ReadLocal(f)
	return nil
}

// ReadLocal calls f with this member's state, which may be out of date by Status.StaleMs. f must not retain the state.
func (s *Store) ReadLocal(f func(*storestate.State)) {
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	f(s.fsm.state)
}

// awaitReadIndex asks the leader for an index that covers all entries committed by then, which the leader returns once a quorum has
// confirmed that it leads, and waits until this member has applied the entries up to the index (ReadIndex, section 6.4 of Ongaro's
// thesis on raft). It returns ErrUnavailable if that takes longer than Options.Timeout.
func (s *Store) awaitReadIndex() error {
	if s.IsLeader() {
		if err := s.raft.Barrier(s.opt.Timeout).Error(); err != nil {
			return ErrUnavailable
		}
		return nil
	}
	addr, id := s.raft.LeaderWithID()
	if addr == "" || string(id) == s.opt.Self.Name {
		return ErrUnavailable
	}
	r, _, err := s.transport.call(string(addr), request{Operation: opIndex}, s.opt.Timeout)
	if err != nil || r.Err != "" {
		return ErrUnavailable
	}
	for deadline := s.opt.Clock.Now() + clock.Ms(s.opt.Timeout); s.appliedIndex() < r.Index; {
		if s.opt.Clock.Now() >= deadline {
			return ErrUnavailable
		}
		s.sleep(readPollInterval)
	}
	return nil
}

// appliedIndex returns the index of the last entry that the state includes. Raft's AppliedIndex also counts entries that raft has
// passed to the state machine but that are not applied yet. A linearizable read that relied on it could be stale.
func (s *Store) appliedIndex() (index uint64) {
	s.ReadLocal(func(st *storestate.State) { index = st.AppliedIndex })
	return index
}

// ReadIndex returns a log index and a time of this member's clock in ms. The entries up to the index include all that the store had
// committed before that time. Without a quorum, ReadIndex returns ErrUnavailable.
func (s *Store) ReadIndex() (index uint64, at float64, err error) {
	at = s.opt.Clock.Now()
	if s.raft != nil {
		if err := s.awaitReadIndex(); err != nil {
			return 0, 0, err
		}
	}
	return s.appliedIndex(), at, nil
}

// Key returns a signing key from this member's state, and whether there is one.
func (s *Store) Key(kid string) (k Key, ok bool) {
	s.ReadLocal(func(st *storestate.State) { k, ok = st.Keys[kid] })
	return k, ok
}

// IsRevoked reports whether a token id is revoked in this member's state.
func (s *Store) IsRevoked(jti string) (revoked bool) {
	s.ReadLocal(func(st *storestate.State) { _, revoked = st.RevokedTokens[jti] })
	return revoked
}

// Config returns the current configuration revision in this member's state.
func (s *Store) Config() (r storestate.Revision) {
	s.ReadLocal(func(st *storestate.State) { r = st.Revision() })
	return r
}

// TokenCounts returns how many redeemed and how many revoked token ids this member's state holds.
func (s *Store) TokenCounts() (redeemed, revoked int) {
	s.ReadLocal(func(st *storestate.State) { redeemed, revoked = len(st.RedeemedTokens), len(st.RevokedTokens) })
	return redeemed, revoked
}

// Watch returns a channel of configuration revisions: the current one first, if there is one, and then each one that this member
// applies. A receiver that lags misses revisions, but never the newest.
func (s *Store) Watch() <-chan storestate.Revision {
	watcher := make(chan storestate.Revision, 1)
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	s.fsm.watchers = append(s.fsm.watchers, watcher)
	if current := s.fsm.state.Revision(); current.Number > 0 {
		watcher <- current
	}
	return watcher
}

// Observer receives the changes that this member applies, in the order of the log. Its methods must return soon and must not call
// the store.
type Observer interface {
	// StateReplaced receives the whole state: when the observer is added, and when this member loads a snapshot in place of
	// entries. The observer must not retain the state.
	StateReplaced(*storestate.State)
	// ChangeApplied receives a change that was applied, its log index, and the current configuration revision after it.
	ChangeApplied(index uint64, c storestate.Change, r storestate.Revision)
}

// Observe calls an observer with the current state now, and with each later change while the store is open.
func (s *Store) Observe(o Observer) {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	s.fsm.observers = append(s.fsm.observers, o)
	o.StateReplaced(s.fsm.state)
}
