package membership

// Action is what the ledger wants done: Publish, Wake, Moved, Rejected or Silence. Actions come in order.
type Action interface{ action() }

// Publish is what has changed for the module and the connections, by id. Whole: there was nothing before it.
type Publish struct {
	Version  uint64
	Complete bool
	Members  []Member
}

// Wake asks for a Tick at a time, in place of any asked for before.
type Wake struct{ At float64 }

// Transition tells of a step in a server's life, for logs and for whoever shows the ledger.
type Transition struct {
	Member   Member
	From, To Phase
	Reason   string
}

// Rejected tells that a source's word was not taken.
type Rejected struct {
	Source     int
	Generation uint64
	Reason     string
}

// SilenceChanged tells that a source has fallen silent, or is heard again. Its last list stays.
type SilenceChanged struct {
	Source int
	Silent bool
}

func (Publish) action()        {}
func (Wake) action()           {}
func (Transition) action()     {}
func (Rejected) action()       {}
func (SilenceChanged) action() {}
