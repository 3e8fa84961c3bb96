package discovery

// CallID numbers the calls of one follower, from 1 on.
type CallID int

// Reason is why a call is made, or why one ends.
type Reason string

// The reasons. The first four are of calls that are made, the rest of calls that end.
const (
	ReasonStart  Reason = "start"       // the first of all
	ReasonMoved  Reason = "moved"       // discovery is at another address; also of the calls to the address before
	ReasonAgain  Reason = "again"       // a call has ended
	ReasonSilent Reason = "silent"      // the calls that are open have not spoken in time
	ReasonFailed Reason = "dial failed" // it never came up
	ReasonBroken Reason = "broken off"  // the other side ended it, or what it said can't be read
	ReasonSecond Reason = "overtaken"   // another call spoke
	ReasonRoom   Reason = "replaced"    // it made room for another call
)

// Event is what happens to a follower: Start, Move, Progress, Word, Ended or Tick.
type Event interface{ event() }

// Start has an address followed.
type Start struct{ Addr string }

// Move tells that a configuration was read anew, and which address it names.
type Move struct{ Addr string }

// Progress tells how much of its frame under way a call has brought.
type Progress struct {
	Call   CallID
	Have   int     // bytes
	Want   int     // bytes of the whole frame; 0: not known yet
	Began  float64 // when its first byte came
	Latest float64 // when its latest byte came
}

// Word tells that a call has brought a whole frame.
type Word struct{ Call CallID }

// Ended tells that a call has ended by itself, and whether its connection was up by then: only such a one was broken off.
type Ended struct {
	Call CallID
	Up   bool
}

// Tick tells that the time of a Wake has come, or may have.
type Tick struct{}

func (Start) event()    {}
func (Move) event()     {}
func (Progress) event() {}
func (Word) event()     {}
func (Ended) event()    {}
func (Tick) event()     {}

// Action is what is to be done: Dial, Close, Wake, Overdue or Current.
type Action interface{ action() }

// Dial has a call made: a connection that asks for what comes after the last event known.
type Dial struct {
	Call CallID
	Addr string
	Why  Reason
}

// Close has a call ended. What it would still bring counts for nothing.
type Close struct {
	Call CallID
	Why  Reason
}

// Wake asks for a Tick, in place of the one that was asked for before.
type Wake struct{ At float64 }

// Overdue tells that the time has passed by which everything had to be heard: what discovery held until Notified may bind without
// having been heard.
type Overdue struct{ LastWord, Notified float64 }

// Current tells that everything has been heard again.
type Current struct{}

func (Dial) action()    {}
func (Close) action()   {}
func (Wake) action()    {}
func (Overdue) action() {}
func (Current) action() {}
