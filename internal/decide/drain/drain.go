// Package drain decides how a proxy drains and shuts down: what it answers to readiness probes, when it closes which
// client connections, and from when it rejects requests. It knows no sockets and reads no clock. Its decisions are tested
// here.
//
// The load balancer in front probes ten times a second and sends no new connections from 0.2 s after a negative answer;
// clients go on using their connections. An idle connection is therefore closed from CloseIdleAfterDrain on. New requests
// on connections that are never idle are rejected from RejectAfter on, which is harmless and makes them idle. A proxy that
// is stopped without a successor does the same from CloseIdleAfterStop on, because connections that are open when the
// process ends are reset together with the data that nobody has read.
package drain

// Settings are times in ms.
type Settings struct {
	// CloseIdleAfterDrain, from the begin of a drain: idle connections are closed afterwards. Before, the load balancer
	// still sends new connections, and a closed one would be replaced at once.
	CloseIdleAfterDrain float64
	// CloseIdleAfterStop, from a stop without a successor: as CloseIdleAfterDrain.
	CloseIdleAfterStop float64
	// RejectAfter, from the begin of a drain or stop: new requests are rejected afterwards.
	RejectAfter float64
	// KillAfter, from a stop: the process is killed then, whatever is unanswered.
	KillAfter float64
	// AcceptAfterStop, from a stop: open connections bring new requests for so long, and these are accepted even if the
	// kill follows soon.
	AcceptAfterStop float64
	// RejectBeforeKill: new requests are rejected at least so long before the kill, so that connections become idle.
	RejectBeforeKill float64
	// PartialFrameTimeout, from the begin of a drain: a client may take so long to complete a frame, where no kill follows.
	PartialFrameTimeout float64
}

// Phase is what the proxy does.
type Phase int

// The phases.
const (
	Starting Phase = iota // serves nobody yet
	Serving
	Draining
	HandingOver // another process takes the new connections
	Stopping    // shuts down
)

var phaseNames = [...]string{"starting", "serving", "draining", "yielding", "stopping"}

// String returns the name that operators are shown.
func (p Phase) String() string { return phaseNames[p] }

// Event is an input of a State.
type Event int

// The events.
const (
	AddressOwned   Event = iota // the proxy owns its address
	AddressYielded              // another process owns the address
	Drain                       // an operator drains the proxy
	Resume                      // an operator ends the drain
	Stop                        // the process is told to end
)

// State is the state of the whole proxy. See New.
type State struct {
	settings       Settings
	phase          Phase
	drainRequested bool    // by an operator
	since          float64 // begin of the phase, in ms
	killAt         float64 // once stopped, in ms
}

// New returns the state of a proxy that has just started.
func New(settings Settings) *State { return &State{settings: settings} }

// Handle applies an event at a time in ms. A drain that is requested before the proxy serves begins when it would serve.
// ok is false for an operator's command that has no effect any more, because the proxy hands over or stops.
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

// enter begins a phase at a time in ms, unless it is the present one.
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

// Phase returns the present phase.
func (s *State) Phase() Phase { return s.phase }

// Ready is the answer to readiness probes. A proxy that hands over answers for its successor too, since both share an
// address.
func (s *State) Ready() bool { return s.phase == Serving || s.phase == HandingOver }

// Plan is how client connections are treated. Times are in ms. The zero value leaves connections open.
type Plan struct {
	Active            bool
	CloseIdleFrom     float64 // idle connections are closed
	RejectFrom        float64 // new requests are rejected
	PartialFrameUntil float64 // a connection with a part of a frame stays open
	AnswerBy          float64 // every request is answered, whatever its deadline; 0: no such bound
}

// Plan returns the plan that holds until the next event. successor says whether another process takes over.
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

// drainPlan is the plan of a proxy that closes idle connections from a time on. If a kill follows, requests are rejected
// early enough for busy connections to become idle before it.
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
	Pending      int  // requests in flight, and answers that are not written
	PartialFrame bool // a part of a frame has arrived
	Unread       bool // bytes have arrived that are not read
	New          bool // it was accepted a moment ago, and its first request may be on its way
}

// ShouldClose reports whether a connection is closed now. No connection is closed of whose next request a byte has
// arrived, except for a partial frame that has taken too long.
func (p Plan) ShouldClose(now float64, c Conn) bool {
	if !p.Active || now < p.CloseIdleFrom || c.Pending > 0 || c.Unread || c.New {
		return false
	}
	return !c.PartialFrame || now >= max(p.RejectFrom, p.PartialFrameUntil)
}

// Deadline returns when a new request must be answered, in ms: at its own deadline, but no later than a kill.
func (p Plan) Deadline(own float64) float64 {
	if p.AnswerBy > 0 {
		return min(own, p.AnswerBy)
	}
	return own
}

// AcceptsRequest reports whether a new request is forwarded; otherwise it is rejected.
func (p Plan) AcceptsRequest(now float64) bool { return !p.Active || now < p.RejectFrom }
