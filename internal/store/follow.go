package store

import "ravenwheel/internal/decide/storestate"

// Follower is told what this member applies, in the order of the log. It must return soon and not call the store.
type Follower interface {
	// Replaced brings the whole state: at the start, and when a snapshot took the place of entries. It may not be kept.
	Replaced(*storestate.State)
	// Applied brings a change that was taken in, with its index in the log; of one of the configuration, the revision that
	// it made.
	Applied(index uint64, c storestate.Change, r storestate.Revision)
}

// Follow tells a follower the state as it is, and all that comes after it, for as long as the store is open.
func (s *Store) Follow(f Follower) {
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	s.fsm.followers = append(s.fsm.followers, f)
	f.Replaced(s.fsm.state)
}

// Confirmed returns a time of this member's clock and an index in the log, such that the state up to there holds all that
// the store had committed before the time. It takes a quorum.
func (s *Store) Confirmed() (index uint64, at float64, err error) {
	at = s.opt.Clock.Now()
	if s.raft != nil {
		if err := s.catchUp(); err != nil {
			return 0, 0, err
		}
	}
	return s.applied(), at, nil
}
