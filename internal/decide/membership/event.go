package membership

import "ravenwheel/policy"

// Event is what the ledger is told: List, Changes, Heard, Drain, Back or Tick.
type Event interface{ event() }

// List is the whole list of a source. Its generation must be above those before it.
type List struct {
	Source     int // place in Settings.Sources
	Generation uint64
	Entries    []Entry
}

// Changes are entries that are new or have changed.
type Changes struct {
	Source     int
	Generation uint64
	Entries    []Entry
}

// Entry is what a source says of one server.
type Entry struct {
	Member
	Warm bool // it holds its copies although it is new here: no slow start
}

// Heard tells that a source is there and has nothing new.
type Heard struct{ Source int }

// Drain tells that a server is drained by hand, or no longer, whatever the sources say of it.
type Drain struct {
	ID policy.CacheID
	On bool
}

// Back tells that a server was given back by hand before this ledger was made, and when, in ms.
type Back struct {
	ID policy.CacheID
	At float64
}

// Tick tells that a wake that was asked for is due.
type Tick struct{}

func (List) event()    {}
func (Changes) event() {}
func (Heard) event()   {}
func (Drain) event()   {}
func (Back) event()    {}
func (Tick) event()    {}
