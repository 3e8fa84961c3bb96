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
	FrontAfter float64
	// StopAfter: told to end, it is sent new connections until then, and requests on those that stand.
	StopAfter float64
	// RefuseAfter: no request that comes later is sent on. Later serves more, and leaves less time to end within.
	RefuseAfter float64
	// AnswerWithin: a proxy that was told to end is killed so long after, whatever it owes by then.
	AnswerWithin float64
	// HeardFor: told to end, it is sent requests on connections that stand for so long, however soon it is killed.
	HeardFor float64
	// RestWithin: so long before the kill requests are refused, where RefuseAfter is later. Longer ends more connections between
	// two requests, and serves less.
	RestWithin float64
	// HalfFor: a client that writes a frame slowly has so long, where nothing is killed.
	HalfFor float64
}

// Phase is what the proxy does.
type Phase int

// The phases. Starting serves nobody yet; Yielding has another process take its clients; Stopping ends.
const (
	Starting Phase = iota
	Serving
	Draining
	Yielding
	Stopping
)

var phaseNames = [...]string{"starting", "serving", "draining", "yielding", "stopping"}

// String names the phase as operators are shown it.
func (p Phase) String() string { return phaseNames[p] }

// Event is what happens to the proxy.
type Event int

// The events. Own: it owns its address. Yield: another process does. Pause and Resume are an operator's.
const (
	Own Event = iota
	Yield
	Pause
	Resume
	Stop
)

// State is the proxy as a whole. See New.
type State struct {
	set    Settings
	phase  Phase
	paused bool // an operator said so
	since  float64
	until  float64 // once it was told to end: when it is killed
}

// New returns the state of a proxy that has just started.
func New(s Settings) *State { return &State{set: s} }

// Handle takes an event at a time in ms; ok is false for a call that changes nothing here any more.
func (s *State) Handle(now float64, e Event) (ok bool) {
	to := s.phase
	switch e {
	case Own:
		if to != Stopping {
			to = Serving
		}
	case Yield:
		if to != Stopping {
			to = Yielding
		}
	case Pause, Resume:
		if s.phase >= Yielding {
			return false
		}
		s.paused = e == Pause
	case Stop:
		if to != Stopping {
			s.until = now + s.set.AnswerWithin
		}
		to = Stopping
	}
	if to == Serving && s.paused {
		to = Draining
	} else if to == Draining && !s.paused {
		to = Serving
	}
	if to != s.phase {
		// A stop after another process took over goes on where that began.
		if !(s.phase == Yielding && to == Stopping) {
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
func (s *State) Takes() bool { return s.phase == Serving || s.phase == Yielding }

// Plan is how clients' connections are treated. The zero value leaves them alone.
type Plan struct {
	On         bool
	CloseFrom  float64 // Unix ms from which a connection at rest ends
	RefuseFrom float64 // and from which new requests are refused
	HalfUntil  float64 // until which a connection stays of whose next request a part has come
	Until      float64 // by which all is answered, whatever a client would wait; 0: no such bound
}

// Plan is what holds for connections until the next event.
func (s *State) Plan(successor bool) Plan {
	switch {
	case s.phase == Draining:
		return s.emptied(s.since + s.set.FrontAfter)
	case s.phase == Yielding, s.phase == Stopping && successor: // new connections go to the successor at once
		return s.emptied(s.since)
	case s.phase == Stopping:
		return s.emptied(s.since + s.set.StopAfter)
	}
	return Plan{}
}

// emptied is the plan of a proxy whose connections end at rest from a time on. Guards against a kill that comes soon, as the
// longest deadline is short: clients that are never at rest would be found waiting by it.
func (s *State) emptied(closeFrom float64) Plan {
	p := Plan{On: true, CloseFrom: closeFrom, RefuseFrom: s.since + s.set.RefuseAfter, HalfUntil: s.since + s.set.HalfFor}
	if s.until > 0 {
		told := s.until - s.set.AnswerWithin
		p.Until, p.HalfUntil = s.until, s.until
		p.RefuseFrom = min(p.RefuseFrom, max(told+s.set.HeardFor, s.until-s.set.RestWithin))
		p.CloseFrom = min(p.CloseFrom, p.RefuseFrom)
	}
	return p
}

// Conn is what is known of a connection.
type Conn struct {
	Open   int  // requests, and answers not yet written
	Half   bool // a part of a frame has come
	Unread bool // bytes have come that nobody has read
	New    bool // it was accepted a moment ago, and its first request may be on its way
}

// Ends tells whether a connection is closed now. Guards against a request that crosses the close: none is, of which a
// byte has come.
func (p Plan) Ends(now float64, c Conn) bool {
	return p.On && now >= p.CloseFrom && c.Open == 0 && !c.Unread && !c.New && (!c.Half || now >= max(p.RefuseFrom, p.HalfUntil))
}

// Deadline is when a request that has just come has to be answered. Guards against one on a connection that its client
// holds: it came 1.5 s after SIGTERM with 2.2 s to go, and SIGKILL found it unanswered.
func (p Plan) Deadline(own float64) float64 {
	if p.Until > 0 {
		return min(own, p.Until)
	}
	return own
}

// Hears tells whether a request that has just come is sent on.
func (p Plan) Hears(now float64) bool { return !p.On || now < p.RefuseFrom }
