package distribution

// Action is an output of a machine.
type Action interface{ action() }

// Actions of a Subscriber, beside Apply, InstallSnapshot and AdvanceWatermark.
type (
	// Connect opens a link to a distributor. Connected or Disconnected reports the outcome.
	Connect struct {
		Link Link
		To   Peer
	}
	// Disconnect closes a link. No event reports that the link is closed.
	Disconnect struct{ Link Link }
	// SendMessage sends a message on a link. The message is dropped if the link has ended.
	SendMessage struct {
		Link    Link
		Message Message
	}
	// SetFreshness replaces the Freshness that the request path uses, see FreshnessGate. The caller publishes it before it carries
	// out any later action.
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
	// CloseLink closes a link once the frames that were sent on it are written.
	CloseLink struct {
		Link  Link
		Cause Cause
	}
)

// Wake requests a Tick after After ms. Both machines emit it. It replaces the machine's previous Wake.
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

// Cause is why a link was closed or lost, as seen by this side.
type Cause uint8

// The causes.
const (
	CauseDisconnected  Cause = iota + 1 // the other side ended the link, or the network did
	CauseTimeout                        // nothing was received for too long
	CauseFenced                         // the other side is at an epoch below one that this side has seen
	CauseProtocolError                  // the other side sent something that the protocol does not allow
	CauseRejected                       // the distributor rejected the subscription, see RejectReason
	CauseCloserParent                   // the subscriber tries a closer distributor
	CauseRemoved                        // the distributor is no longer a candidate
	CauseStalled                        // the distributor has more entries but sends none, or its watermark does not advance
	CauseFinished                       // the subscriber unsubscribed, or subscribed again on another link
)

// causeNames are the texts of the causes in logs, and keys in the results of the lab.
var causeNames = [...]string{"none", "lost", "silent", "fenced", "broken", "refused", "nearer", "removed", "stalled", "finished"}

// String returns the text of the cause for logs.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "unknown"
	}
	return causeNames[c]
}
