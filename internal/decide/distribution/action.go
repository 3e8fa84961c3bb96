package distribution

// Action is an output of a machine.
type Action interface{ action() }

// Actions of a Subscriber, beside Apply, InstallSnapshot and AdvanceWatermark.
type (
	// Connect opens a link to a distributor; it is answered by Connected or Disconnected.
	Connect struct {
		Link Link
		To   Peer
	}
	// Disconnect ends a link. It is not answered.
	Disconnect struct{ Link Link }
	// SendMessage sends a message on a link. On a link that has ended the message is dropped.
	SendMessage struct {
		Link    Link
		Message Message
	}
	// SetFreshness replaces the state that the request path goes by, see FreshnessGate. It is published before any later action is
	// carried out.
	SetFreshness struct{ State Freshness }
	// Unsubscribed reports that the subscriber has left a distributor, and why, for logs and counters.
	Unsubscribed struct {
		Distributor Peer
		Cause       Cause
	}
)

// Actions of a Distributor.
type (
	// SendFrame sends one frame on several links.
	SendFrame struct {
		Links []Link
		Frame *Frame
	}
	// CloseLink ends a link, after what was sent on it.
	CloseLink struct {
		Link  Link
		Cause Cause
	}
)

// Wake requests a Tick after After ms, of either machine's shell. It replaces the previous Wake.
type Wake struct{ After float64 }

func (Apply) action()            {}
func (InstallSnapshot) action()  {}
func (AdvanceWatermark) action() {}
func (Connect) action()          {}
func (Disconnect) action()       {}
func (SendMessage) action()      {}
func (SetFreshness) action()     {}
func (Unsubscribed) action()     {}
func (SendFrame) action()        {}
func (CloseLink) action()        {}
func (Wake) action()             {}

// Cause is why a link was ended by this side.
type Cause uint8

// The causes.
const (
	CauseDisconnected  Cause = iota + 1 // the other side ended the link, or the network did
	CauseTimeout                        // nothing was received for too long
	CauseFenced                         // the other side is at an epoch below one that was seen
	CauseProtocolError                  // it sent what the protocol does not allow
	CauseRejected                       // it rejected the subscription, see RejectReason
	CauseCloserParent                   // a closer distributor is tried
	CauseRemoved                        // it is no candidate any more
	CauseStalled                        // it has more and sends nothing, or its watermark does not advance
	CauseFinished                       // the subscriber unsubscribed, or subscribed again on another link
)

// causeNames are shown in logs, and are keys in the results of the lab.
var causeNames = [...]string{"none", "lost", "silent", "fenced", "broken", "refused", "nearer", "removed", "stalled", "finished"}

// String names the cause.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "unknown"
	}
	return causeNames[c]
}
