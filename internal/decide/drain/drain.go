// Package drain decides how a proxy drains and shuts down: what it answers to readiness probes, when it closes which client
// connections, and from when on it rejects new requests. It uses no sockets and reads no clock.
//
// The load balancer in front of the proxy sends a readiness probe ten times a second. It sends no new connections from 0.2 s after
// a negative answer on, but clients go on using their open connections. Therefore idle connections are closed from
// CloseIdleAfterDrain on. New requests on connections that are never idle are rejected from RejectAfter on; rejecting is harmless,
// and it makes these connections idle. A proxy that is stopped without a successor does the same from CloseIdleAfterStop on,
// because connections that are open when the process ends are reset, and data on them that has not been read yet is lost.
package drain

// Settings are durations in ms.
type Settings struct {
	// CloseIdleAfterDrain is the time from the beginning of a drain until idle connections are closed. Before that the load
	// balancer still sends new connections, and a closed connection would be replaced at once.
	CloseIdleAfterDrain float64
	// CloseIdleAfterStop is the time from a stop without a successor until idle connections are closed.
	CloseIdleAfterStop float64
	// RejectAfter is the time from the beginning of a drain or stop until new requests are rejected.
	RejectAfter float64
	// KillAfter is the time from a stop until the process is killed, even if requests are unanswered.
	KillAfter float64
	// AcceptAfterStop is the time after a stop during which new requests are accepted even if the kill follows soon, since open
	// connections go on sending requests for that long.
	AcceptAfterStop float64
	// RejectBeforeKill is how long before the kill new requests are rejected at the latest, so that connections become idle. It
	// does not shorten AcceptAfterStop.
	RejectBeforeKill float64
	// PartialFrameTimeout is the time from the beginning of a drain within which a client must complete a frame if no kill follows.
	PartialFrameTimeout float64
}

// Phase is a phase in the life of the proxy.
type Phase int

// The phases.
const (
	Starting Phase = iota // the proxy does not serve clients yet
	Serving
	Draining
	HandingOver // another process accepts the new connections
	Stopping    // the proxy shuts down
)

var phaseNames = [...]string{"starting", "serving", "draining", "yielding", "stopping"}

// String returns the name that is shown to operators.
func (p Phase) String() string { return phaseNames[p] }

// Event is an input of a State.
type Event int

// The events.
const (
	AddressOwned   Event = iota // the proxy owns its address
	AddressYielded              // another process owns the address
	Drain                       // an operator starts a drain of the proxy
	Resume                      // an operator ends the drain
	Stop                        // the process is to shut down
)

// State is the state of the whole proxy. New creates it.
type State struct {
	settings       Settings
	phase          Phase
	drainRequested bool    // by an operator
	since          float64 // time from which the settings of the phase count, in ms; see enter
	killAt         float64 // time of the kill, in ms; 0: the proxy was not stopped
}

// New returns the state of a proxy that has just started.
func New(settings Settings) *State { return &State{settings: settings} }

// Handle applies an event that occurs at the time now, in ms. A drain that is requested before the proxy serves begins when the
// proxy would begin to serve. ok is false for an operator's command that has no effect because the proxy is handing over or
// stopping.
func (s *State) Handle(now float64, event Event) (ok bool) {
	next := s.phase
	switch event {
	case AddressOwned:
		if next != Stopping {
			next = Serving
		}
	case AddressYielded:
		if next != Stopping {
			next = HandingOver
		}
	case Drain, Resume:
		if s.phase == HandingOver || s.phase == Stopping {
			return false
		}
		s.drainRequested = event == Drain
	case Stop:
		if next != Stopping {
			s.killAt = now + s.settings.KillAfter
		}
		next = Stopping
	}
	if next == Serving && s.drainRequested {
		next = Draining
	} else if next == Draining && !s.drainRequested {
		next = Serving
	}
	s.enter(next, now)
	return true
}

// enter begins a phase at the time now, in ms, unless the proxy is already in it.
func (s *State) enter(next Phase, now float64) {
	if next == s.phase {
		return
	}
	// A stop after a handover continues the drain that the handover began.
	if s.phase != HandingOver || next != Stopping {
		s.since = now
	}
	s.phase = next
}

// Phase returns the current phase.
func (s *State) Phase() Phase { return s.phase }

// Ready returns the answer to readiness probes. While the proxy is handing over, the answer is positive on behalf of the successor,
// since both have the same address.
func (s *State) Ready() bool { return s.phase == Serving || s.phase == HandingOver }

// Plan says how client connections are treated. Times are in ms. The zero value leaves connections open.
type Plan struct {
	Active            bool    // the other fields apply
	CloseIdleFrom     float64 // from then on idle connections are closed
	RejectFrom        float64 // from then on new requests are rejected
	PartialFrameUntil float64 // until then a connection with an incomplete frame stays open
	AnswerBy          float64 // by then every request is answered, whatever its deadline; 0: no bound
}

// Plan returns the plan that applies until the next event. successor says whether another process takes over.
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

// drainPlan returns the plan of a proxy that closes idle connections from the given time on. If a kill follows, requests are
// rejected early enough for busy connections to become idle before the kill.
func (s *State) drainPlan(closeIdleFrom float64) Plan {
	plan := Plan{
		Active: true, CloseIdleFrom: closeIdleFrom, RejectFrom: s.since + s.settings.RejectAfter,
		PartialFrameUntil: s.since + s.settings.PartialFrameTimeout,
	}
	if s.killAt > 0 {
		stoppedAt := s.killAt - s.settings.KillAfter
		plan.AnswerBy, plan.PartialFrameUntil = s.killAt, s.killAt
		rejectFrom := max(stoppedAt+s.settings.AcceptAfterStop, s.killAt-s.settings.RejectBeforeKill)
		plan.RejectFrom = min(plan.RejectFrom, rejectFrom)
		plan.CloseIdleFrom = min(plan.CloseIdleFrom, plan.RejectFrom)
	}
	return plan
}

// Conn is the state of a client connection.
type Conn struct {
	Pending      int  // requests in flight, and answers that are not written yet
	PartialFrame bool // a part of a frame has been read
	Unread       bool // bytes have arrived that are not read yet
	New          bool // it has had no complete frame, and was accepted or read so recently that the first may still arrive
}

// ShouldClose reports whether a connection is to be closed now. A connection is not closed once a byte of its next request has
// arrived, unless the frame is still incomplete at PartialFrameUntil or RejectFrom, whichever is later. now is in ms.
func (p Plan) ShouldClose(now float64, c Conn) bool {
	if !p.Active || now < p.CloseIdleFrom || c.Pending > 0 || c.Unread || c.New {
		return false
	}
	return !c.PartialFrame || now >= max(p.RejectFrom, p.PartialFrameUntil)
}

// Deadline returns the time, in ms, by which a new request must be answered: its own deadline, but at the latest the time of a
// kill.
func (p Plan) Deadline(own float64) float64 {
	if p.AnswerBy > 0 {
		return min(own, p.AnswerBy)
	}
	return own
}

// AcceptsRequest reports whether a new request is accepted. Otherwise it is rejected.
func (p Plan) AcceptsRequest(now float64) bool { return !p.Active || now < p.RejectFrom }
