package distribution

// Event is what a machine is told.
type Event interface{ event() }

// Action is what a machine wants done.
type Action interface{ action() }

// Link is one connection. A Subscriber numbers its own, from 1, in Connect; a Distributor's shell numbers those that come
// in, each with a number not used before. What comes late of a link that was given up is told all the same, and ignored.
type Link uint64

// Events of both machines.
type (
	// Tick: a wake that was asked for is due. One too many does no harm.
	Tick struct{}
	// Received is a message on a link, with the bytes that it took on the wire.
	Received struct {
		Link    Link
		Message Message
		Bytes   int
	}
	// Lost: the link has ended, or never came to be.
	Disconnected struct{ Link Link }
)

// Events of a Subscriber.
type (
	// Candidates are all distributors that are known. They may be told at any time, the first at the start.
	Candidates struct{ Peers []Peer }
	// Connected: the link that Connect asked for is open.
	Connected struct{ Link Link }
)

// Events of a Distributor, beside Apply, Replace and Advance.
type (
	// Demand is how many subscribers and distributors share the load here (of one zone, say), from the registry.
	Demand struct{ Subscribers, Distributors int }
	// Stop: the process ends soon; its subscribers are spread over others first.
	Shutdown struct{}
)

func (Tick) event()         {}
func (Received) event()     {}
func (Disconnected) event() {}
func (Candidates) event()   {}
func (Connected) event()    {}
func (Demand) event()       {}
func (Shutdown) event()     {}

// What a Subscriber wants put in force. They are events of a Distributor as they stand: that is how levels are chained
// (see Relay), and at the root the shell makes them from what the store commits.
type (
	// Apply adds entries, in order, each once. Through is the sequence up to which all is there, but for what something
	// up to Mark.Sequence covers. Whole is for the levels below: see Batch.
	Apply struct {
		Epoch          uint64
		Atomic         bool
		After, Through uint64
		Watermark      Watermark
		Entries        []Entry
	}
	// Replace sets the whole: revisions, lists and drains are those of Entries and no others; purges are joined to those
	// in force (the latest Made and Until of each stand), which end by their Until. What is in force already is not put
	// in force again.
	InstallSnapshot struct {
		Epoch     uint64
		Through   uint64
		Watermark Watermark
		Entries   []Entry
	}
	// Advance: nothing new up to Mark.Sequence. Said with a watermark that is later than the last one.
	AdvanceWatermark struct {
		Epoch     uint64
		Watermark Watermark
	}
)

func (Apply) event()             {}
func (InstallSnapshot) event()   {}
func (AdvanceWatermark) event()  {}
func (Apply) action()            {}
func (InstallSnapshot) action()  {}
func (AdvanceWatermark) action() {}

// Actions of a Subscriber.
type (
	// Connect opens a link to a distributor; answered by Connected or Lost.
	Connect struct {
		Link Link
		To   Peer
	}
	// Disconnect ends a link. No answer is waited for.
	Disconnect struct{ Link Link }
	// Say sends a message on its link. On a link that has ended it is dropped.
	SendMessage struct {
		Link    Link
		Message Message
	}
	// Guard is what the request path asks from now on: see Gate. It is published before anything later is done.
	SetFreshness struct{ State Freshness }
	// Left is told for logs and counters: why a distributor was left.
	Unsubscribed struct {
		Distributor Peer
		Cause       Cause
	}
)

// Actions of a Distributor.
type (
	// Send writes one frame to several links, in the order of the actions. It is the same memory for all of them.
	SendFrame struct {
		Links []Link
		Frame *Frame
	}
	// Drop ends a link, after what was sent on it.
	CloseLink struct {
		Link  Link
		Cause Cause
	}
)

// Wake asks either machine's shell for a Tick so many ms from now. Only the last one counts.
type Wake struct{ After float64 }

func (Connect) action()      {}
func (Disconnect) action()   {}
func (SendMessage) action()  {}
func (SetFreshness) action() {}
func (Unsubscribed) action() {}
func (SendFrame) action()    {}
func (CloseLink) action()    {}
func (Wake) action()         {}

// Cause is why a link was ended from this side.
type Cause uint8

// The causes.
const (
	CauseDisconnected  Cause = iota + 1 // the other side or the way to it
	CauseTimeout                        // nothing was heard for too long
	CauseFenced                         // it speaks of an epoch lower than one seen
	CauseProtocolError                  // it says what it may not: another stream, a range that goes back, too much at once
	CauseRejected                       // it has no place, see Reason
	CauseCloserParent                   // a nearer one is tried
	CauseRemoved                        // it is no candidate any more
	CauseStalled                        // it is ahead, and sends nothing
	CauseFinished                       // the subscriber said Leave, or was refused
)

var causeNames = [...]string{"none", "lost", "silent", "fenced", "broken", "refused", "nearer", "removed", "stalled", "finished"}

// String names the cause for logs.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "unknown"
	}
	return causeNames[c]
}

// Peer is a distributor that may be subscribed at.
type Peer struct {
	Name               string
	Rank               int // 0: a member of the store
	Region, Zone, Site string
}
