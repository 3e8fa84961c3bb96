// Package drain decides how a whole proxy is emptied and comes back: what it says when it is asked whether it takes work,
// which connections of clients end when, and when it may end itself. It sees no socket and no clock. Its decisions are
// tested here.
//
// Whoever sends clients here asks ten times a second, and stops 0.2 s after a no; clients go on using what they hold. So
// a connection that is owed nothing ends from FrontAfter on; one that is never at rest gets its new requests refused from
// RefuseAfter on, which harms nobody and lets it come to rest. A proxy that was told to end, with nobody to take over, does
// the same from StopAfter on: what is still open when a process ends is reset, with whatever nobody has read there.
package drain

// Settings are in ms from the call that empties.
type Settings struct {
	// FrontAfter: until then new connections come, and one that was closed would come back at once.
	CloseIdleAfterDrain float64
	// StopAfter: told to end, it is sent new connections until then, and requests on those that stand.
	CloseIdleAfterStop float64
	// RefuseAfter: no request that comes later is sent on. Later serves more, and leaves less time to end within.
	RejectAfter float64
	// AnswerWithin: a proxy that was told to end is killed so long after, whatever it owes by then.
	KillAfter float64
	// HeardFor: told to end, it is sent requests on connections that stand for so long, however soon it is killed.
	RequestsAfterStop float64
	// RestWithin: so long before the kill requests are refused, where RefuseAfter is later. Longer ends more connections between
	// two requests, and serves less.
	RejectBeforeKill float64
	// HalfFor: a client that writes a frame slowly has so long, where nothing is killed.
	PartialFrameTimeout float64
}

// Phase is what the proxy does.
type Phase int

// The phases. Starting serves nobody yet; Yielding has another process take its clients; Stopping ends.
const (
	Starting Phase = iota
	Serving
	Draining
	HandingOver
	Stopping
)

var phaseNames = [...]string{"starting", "serving", "draining", "yielding", "stopping"}

// String names the phase as operators are shown it.
func (p Phase) String() string { return phaseNames[p] }

// Event is what happens to the proxy.
type Event int

// The events. Own: it owns its address. Yield: another process does. Pause and Resume are an operator's.
const (
	AddressOwned Event = iota
	AddressYielded
	Drain
	Resume
	Stop
)

// State is the proxy as a whole. See New.
type State struct {
	settings       Settings
	phase          Phase
	drainRequested bool // an operator said so
	since          float64
	killAt         float64 // once it was told to end: when it is killed
}

// New returns the state of a proxy that has just started.
func New(s Settings) *State { return &State{settings: s} }

// Handle takes an event at a time in ms; ok is false for a call that changes nothing here any more.
func (s *State) Handle(now float64, e Event) (ok bool) {
	to := s.phase
	switch e {
	case AddressOwned:
		if to != Stopping {
			to = Serving
		}
	case AddressYielded:
		if to != Stopping {
			to = HandingOver
		}
	case Drain, Resume:
		if s.phase >= HandingOver {
			return false
		}
		s.drainRequested = e == Drain
	case Stop:
		if to != Stopping {
			s.killAt = now + s.settings.KillAfter
		}
		to = Stopping
	}
	if to == Serving && s.drainRequested {
		to = Draining
	} else if to == Draining && !s.drainRequested {
		to = Serving
	}
	if to != s.phase {
		// A stop after another process took over goes on where that began.
		if !(s.phase == HandingOver && to == Stopping) {
			s.since = now
		}
		s.phase = to
	}
	return true
}

// Phase is where it stands.
func (s *State) Phase() Phase { return s.phase }

// Takes is the answer to whoever asks whether the proxy takes work. One whose clients another process takes answers for
// both: they share an address.
func (s *State) Ready() bool { return s.phase == Serving || s.phase == HandingOver }

// Plan is how clients' connections are treated. The zero value leaves them alone.
type Plan struct {
	Active            bool
	CloseIdleFrom     float64 // Unix ms from which a connection at rest ends
	RejectFrom        float64 // and from which new requests are refused
	PartialFrameUntil float64 // until which a connection stays of whose next request a part has come
	AnswerBy          float64 // by which all is answered, whatever a client would wait; 0: no such bound
}

// Plan is what holds for connections until the next event.
func (s *State) Plan(successor bool) Plan {
	switch {
	case s.phase == Draining:
		return s.drainPlan(s.since + s.settings.CloseIdleAfterDrain)
	case s.phase == HandingOver, s.phase == Stopping && successor: // new connections go to the successor at once
		return s.drainPlan(s.since)
	case s.phase == Stopping:
		return s.drainPlan(s.since + s.settings.CloseIdleAfterStop)
	}
	return Plan{}
}

// emptied is the plan of a proxy whose connections end at rest from a time on. Guards against a kill that comes soon, as the
// longest deadline is short: clients that are never at rest would be found waiting by it.
func (s *State) drainPlan(closeFrom float64) Plan {
	p := Plan{Active: true, CloseIdleFrom: closeFrom, RejectFrom: s.since + s.settings.RejectAfter, PartialFrameUntil: s.since + s.settings.PartialFrameTimeout}
	if s.killAt > 0 {
		told := s.killAt - s.settings.KillAfter
		p.AnswerBy, p.PartialFrameUntil = s.killAt, s.killAt
		p.RejectFrom = min(p.RejectFrom, max(told+s.settings.RequestsAfterStop, s.killAt-s.settings.RejectBeforeKill))
		p.CloseIdleFrom = min(p.CloseIdleFrom, p.RejectFrom)
	}
	return p
}

// Conn is what is known of a connection.
type Conn struct {
	Pending      int  // requests, and answers not yet written
	PartialFrame bool // a part of a frame has come
	Unread       bool // bytes have come that nobody has read
	New          bool // it was accepted a moment ago, and its first request may be on its way
}

// Ends tells whether a connection is closed now. Guards against a request that crosses the close: none is, of which a
// byte has come.
func (p Plan) ShouldClose(now float64, c Conn) bool {
	return p.Active && now >= p.CloseIdleFrom && c.Pending == 0 && !c.Unread && !c.New && (!c.PartialFrame || now >= max(p.RejectFrom, p.PartialFrameUntil))
}

// Deadline is when a request that has just come has to be answered. Guards against one on a connection that its client
// holds: it came 1.5 s after SIGTERM with 2.2 s to go, and SIGKILL found it unanswered.
func (p Plan) Deadline(own float64) float64 {
	if p.AnswerBy > 0 {
		return min(own, p.AnswerBy)
	}
	return own
}

// Hears tells whether a request that has just come is sent on.
func (p Plan) AcceptsRequest(now float64) bool { return !p.Active || now < p.RejectFrom }
