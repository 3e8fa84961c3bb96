package discovery

// CallID numbers the calls of one Watcher, from 1 on.
type CallID int

// Reason is why a call is opened, or why it ended. Its text is logged.
type Reason string

// The reasons. The first five apply to calls that are opened, the rest, and ReasonAddressChanged, to calls that end.
const (
	ReasonStart          Reason = "start"           // the first call of the process
	ReasonAddressChanged Reason = "address changed" // the configuration names another address
	ReasonRetry          Reason = "retry"           // a call has ended
	ReasonSilent         Reason = "silent"          // no open call has received a complete frame in time
	ReasonUnconfirmed    Reason = "unconfirmed"     // events arrive, but it is not known whether others wait behind them
	ReasonDialFailed     Reason = "dial failed"     // the connection was never established
	ReasonDisconnected   Reason = "disconnected"    // the service closed the connection, or sent data that cannot be decoded
	ReasonSuperseded     Reason = "superseded"      // another call received a frame first
	ReasonEvicted        Reason = "evicted"         // closed because of Settings.MaxCalls, so that another call can be opened
)

// Event is an input of a Watcher: Start, Reload, FrameProgress, FrameReceived, Ended or Tick.
type Event interface{ event() }

// Start begins to watch the service at an address.
type Start struct{ Address string }

// Reload reports that the configuration was read again. Its address may be the present one. The reload was requested Delay ms earlier,
// as the configuration may have been unusable until now: events count as notified from the request on.
type Reload struct {
	Address string
	Delay   float64
}

// FrameProgress reports how much a call has received of the frame that is arriving. Times are in ms.
type FrameProgress struct {
	Call        CallID
	Received    int     // bytes
	Size        int     // bytes of the complete frame; 0: not known yet
	FirstByteAt float64 // when the first byte was received
	LastByteAt  float64 // when the latest byte was received
}

// FrameReceived reports that a call has received a complete frame. Confirmed is true if the frame says that the service has nothing
// to send beyond what has been received. An event does not say so, as others may wait behind it.
type FrameReceived struct {
	Call      CallID
	Confirmed bool
}

// Ended reports that a call has ended without a Close. Connected is true if its connection had been established, and Responded if it
// had received any byte.
type Ended struct {
	Call                 CallID
	Connected, Responded bool
}

// Tick reports that the time of the latest Wake has come. An early or repeated Tick has no effect.
type Tick struct{}

func (Start) event()         {}
func (Reload) event()        {}
func (FrameProgress) event() {}
func (FrameReceived) event() {}
func (Ended) event()         {}
func (Tick) event()          {}

// Action is an output of a Watcher: Dial, Close, Wake, Overdue or CaughtUp.
type Action interface{ action() }

// Dial opens a call: a connection that requests all events after the last one received.
type Dial struct {
	Call    CallID
	Address string
	Reason  Reason
}

// Close ends a call. Whatever it still receives is to be ignored.
type Close struct {
	Call   CallID
	Reason Reason
}

// Wake requests a Tick at the time At, in ms. It replaces any earlier Wake.
type Wake struct{ At float64 }

// Overdue reports that the service's events should have been received by now but may not have been: events that count as notified
// by NotifiedUntil have to be applied from now on. It is reported again with a later NotifiedUntil if more events become due before
// CaughtUp. LastFrameAt is when the last complete frame was received. Times are in ms.
type Overdue struct{ LastFrameAt, NotifiedUntil float64 }

// CaughtUp reports, after Overdue, that the service has nothing to send beyond what has been received: the client is up to date
// again.
type CaughtUp struct{}

func (Dial) action()     {}
func (Close) action()    {}
func (Wake) action()     {}
func (Overdue) action()  {}
func (CaughtUp) action() {}
