package membership

// Action is what the ledger wants done: Publish, Wake, Moved, Rejected or Silence. Actions come in order.
type Action interface{ action() }

// Publish is what has changed for the module and the connections, by id. Whole: there was nothing before it.
type Publish struct {
	Version uint64
	Whole   bool
	Members []Member
}

// Wake asks for a Tick at a time, in place of any asked for before.
type Wake struct{ At float64 }

// Moved tells of a step in a server's life, for logs and for whoever shows the ledger.
type Moved struct {
	Member   Member
	From, To Phase
	Why      string
}

// Rejected tells that a source's word was not taken.
type Rejected struct {
	Source     int
	Generation uint64
	Why        string
}

// Silence tells that a source has fallen silent, or is heard again. Its last list stays.
type Silence struct {
	Source int
	Silent bool
}

func (Publish) action()  {}
func (Wake) action()     {}
func (Moved) action()    {}
func (Rejected) action() {}
func (Silence) action()  {}
