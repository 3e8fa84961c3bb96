package membership

// Action is an output of Table.Handle, to be carried out in order: Publish, Wake, Transition, Rejected or
// SilenceChanged.
type Action interface{ action() }

// Publish brings the servers that have changed to the router and the connection pools, by id.
type Publish struct {
	Version  uint64 // counts from 1
	Complete bool   // the first one: the list was empty before
	Members  []Member
}

// Wake requests a Tick at a time in ms, in place of any requested before.
type Wake struct{ At float64 }

// Transition reports a step in a server's life cycle, for logs and status.
type Transition struct {
	Member   Member
	From, To Phase
	Reason   string
}

// Rejected reports a list that was not applied.
type Rejected struct {
	Source     int // index in Settings.Sources, or the unknown one
	Generation uint64
	Err        error // ErrUnknownSource, a StaleGenerationError or a DuplicateServerError
}

// SilenceChanged reports that a source has fallen silent, or is heard again. Its last list stays in use.
type SilenceChanged struct {
	Source int // index in Settings.Sources
	Silent bool
}

func (Publish) action()        {}
func (Wake) action()           {}
func (Transition) action()     {}
func (Rejected) action()       {}
func (SilenceChanged) action() {}
