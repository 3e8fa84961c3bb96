package membership

import "ravenwheel/policy"

// Event is an input of Table.Handle: Snapshot, Delta, Heartbeat, ManualDrain, ManualDrainEnded or Tick.
type Event interface{ event() }

// Snapshot is the complete list of a source. Its generation must be above all before it.
type Snapshot struct {
	Source     int // index in Settings.Sources
	Generation uint64
	Entries    []Entry
}

// Delta holds the entries of a source's list that are new or have changed. Its generation must be above all before it.
type Delta struct {
	Source     int // index in Settings.Sources
	Generation uint64
	Entries    []Entry
}

// Entry is what a source says of one server.
type Entry struct {
	Member
	Warm bool // it holds its copies although it is new here: no slow start
}

// Heartbeat reports that a source is alive and has nothing new. Source is an index in Settings.Sources.
type Heartbeat struct{ Source int }

// ManualDrain starts or ends an operator's drain of a server, whatever the sources say of it.
type ManualDrain struct {
	ID policy.ServerID
	On bool
}

// ManualDrainEnded reports a manual drain that ended at a time, in ms, before this table was made.
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
