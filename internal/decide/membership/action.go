package membership

// Action is an output of Table.Handle, to be carried out in order: Publish, Wake, Transition, Rejected or
// SilenceChanged.
type Action interface{ action() }

// Publish passes the servers that have changed on to the router and the connection pools.
type Publish struct {
	Version  uint64   // counts from 1
	Complete bool     // true for the first Publish: before it, no server was published
	Members  []Member // sorted by id
}

// Wake requests a Tick at the time At, in ms. It replaces any earlier request.
type Wake struct{ At float64 }

// Transition reports a step in a server's life cycle, for logs and status.
type Transition struct {
	Member   Member
	From, To Phase
	Reason   string
}

// Rejected reports a snapshot or delta that was not applied.
type Rejected struct {
	Source     int // index in Settings.Sources, or the invalid index that was received
	Generation uint64
	Err        error // ErrUnknownSource, a StaleGenerationError or a DuplicateServerError
}

// SilenceChanged reports that a source has sent nothing for Source.SilentAfter, or that it sends again. While it is silent,
// its last list stays in use.
type SilenceChanged struct {
	Source int // index in Settings.Sources
	Silent bool
}

func (Publish) action()        {}
func (Wake) action()           {}
func (Transition) action()     {}
func (Rejected) action()       {}
func (SilenceChanged) action() {}
