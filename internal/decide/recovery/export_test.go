package recovery

// Ends is how many entries the order of the servers that are gone has.
func (s *State) Ends() int { return s.gone.Len() }
