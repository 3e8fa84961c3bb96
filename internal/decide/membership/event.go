package membership

import "ravenwheel/policy"

// Event is what the ledger is told: List, Changes, Heard, Drain, Back or Tick.
type Event interface{ event() }

// Snapshot is the whole list of a source. Its generation must be above those before it.
type Snapshot struct {
	Source     int // place in Settings.Sources
	Generation uint64
	Entries    []Entry
}

// Delta are entries that are new or have changed.
type Delta struct {
	Source     int
	Generation uint64
	Entries    []Entry
}

// Entry is what a source says of one server.
type Entry struct {
	Member
	Warm bool // it holds its copies although it is new here: no slow start
}

// Heartbeat tells that a source is there and has nothing new.
type Heartbeat struct{ Source int }

// ManualDrain tells that a server is drained by hand, or no longer, whatever the sources say of it.
type ManualDrain struct {
	ID policy.CacheID
	On bool
}

// ManualDrainEnded tells that a server was given back by hand before this ledger was made, and when, in ms.
type ManualDrainEnded struct {
	ID policy.CacheID
	At float64
}

// Tick tells that a wake that was asked for is due.
type Tick struct{}

func (Snapshot) event()         {}
func (Delta) event()            {}
func (Heartbeat) event()        {}
func (ManualDrain) event()      {}
func (ManualDrainEnded) event() {}
func (Tick) event()             {}
