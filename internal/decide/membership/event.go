package membership

import "ravenwheel/policy"

// Event is an input of Table.Handle: Snapshot, Delta, Heartbeat, ManualDrain, ManualDrainEnded or Tick.
type Event interface{ event() }

// Snapshot is the complete list of a source. Its generation must be higher than that of any earlier list of the source.
type Snapshot struct {
	Source     int // index in Settings.Sources
	Generation uint64
	Entries    []Entry
}

// Delta holds the entries of a source's list that are new or have changed. Its generation must be higher than that of any
// earlier list of the source.
type Delta struct {
	Source     int // index in Settings.Sources
	Generation uint64
	Entries    []Entry
}

// Entry is one server in the list of a source.
type Entry struct {
	Member
	Warm bool // its cache is filled although the server is new to this proxy, so that it needs no slow start
}

// Heartbeat reports that a source is reachable and has nothing new. Source is an index in Settings.Sources.
type Heartbeat struct{ Source int }

// ManualDrain starts or ends an operator's drain of a server. It applies whatever state the sources report.
type ManualDrain struct {
	ID policy.ServerID
	On bool
}

// ManualDrainEnded reports a manual drain that ended, at the time At in ms, before this table was created.
type ManualDrainEnded struct {
	ID policy.ServerID
	At float64
}

// Tick reports that a requested Wake is due.
type Tick struct{}

func (Snapshot) event()         {}
func (Delta) event()            {}
func (Heartbeat) event()        {}
func (ManualDrain) event()      {}
func (ManualDrainEnded) event() {}
func (Tick) event()             {}
