package recovery

// GoneQueueLen returns the number of entries in the expiry queue of departed servers.
func (s *State) GoneQueueLen() int { return s.goneExpiry.Len() }
