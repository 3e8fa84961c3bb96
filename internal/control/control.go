// Package control carries out operators' commands and the steps of a handover between processes for the whole proxy. It passes
// commands to decide/drain (for the proxy) or decide/membership (for one server), which make the decisions, and the resulting
// state to the clients' front. It opens no listener: packages console and admin receive the operators' commands. The tests here
// cover the texts for operators; those in cmd/ravenwheel cover a proxy from start to shutdown.
package control

import (
	"errors"
	"fmt"
	"runtime/debug"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/handover"
	"ravenwheel/internal/memory"
	"ravenwheel/policy"
)

// Settings of decide/drain, in ms, see drain.Settings. The load balancer probes readiness ten times a second and stops sending new
// clients 0.2 s after a negative answer.
const (
	closeIdleAfterDrain = 350
	// CloseIdleAfterStop is longer than the 0.4 s for which new connections still arrive after SIGTERM.
	CloseIdleAfterStop = 800
	// rejectAfter is needed for clients whose connections are never idle: only a rejected request makes them leave the proxy.
	rejectAfter = 1600
	// requestsAfterStop is for how long requests still arrive on open connections after SIGTERM: 0.2 s longer than new connections.
	requestsAfterStop = 600
	// rejectBeforeKill is two round trips of each client.
	rejectBeforeKill = 400
	// partialFrameTimeout is shorter than the 4 s after which the platform expects that only connections that are about to send a
	// request are open.
	partialFrameTimeout = 3000
)

// sharedConnsNumerator and sharedConnsDenominator are the fraction of Options.MaxConns that a process may use while another process
// shares them. Well-behaved clients use a third of all descriptors, and move from one process to the other.
const sharedConnsNumerator, sharedConnsDenominator = 3, 4

// The errors of rejected commands, which change nothing.
var (
	ErrNotReady      = errors.New("not ready")            // the proxy has no list of servers yet
	ErrUnknownServer = errors.New("no such cache server") // the proxy has no server and no manual drain with the id
)

// PhaseError is the error of a command that has no effect in the proxy's current phase.
type PhaseError struct{ Phase drain.Phase }

// Error implements error.
func (e PhaseError) Error() string { return "this process is " + e.Phase.String() }

// Front is the part of the clients' front that a Controller uses.
type Front interface {
	SetReady(ready bool)
	SetDrainPlan(drain.Plan)
	SetAccepting(accepting bool)
	SetMaxConns(n int)
	OpenConns() int
}

// Servers carries out operators' commands on single cache servers.
type Servers interface {
	// IsKnown reports whether the proxy has a server or a manual drain with the id.
	IsKnown(id policy.ServerID) bool
	// Drain starts or ends a manual drain. It returns once the change is in force and stored.
	Drain(id policy.ServerID, draining bool) error
}

// Options configure a Controller.
type Options struct {
	Clock          *clock.Clock
	Limits         Limits
	Memory         *memory.Account
	MaxConns       int     // limit of client connections, for all processes together
	AnswerWithinMs float64 // ms from SIGTERM until all requests must be answered, because SIGKILL may follow
	Stop           func()  // ends the process
}

// Controller controls one proxy. It is safe for concurrent use. It implements console.Controller and admin.Controller, and some
// of its methods are the callbacks of handover.Options.
type Controller struct {
	opt Options

	mu        sync.Mutex
	state     *drain.State
	front     Front // nil: none yet
	servers   Servers
	handover  *handover.Coordinator // nil: no other process can take over
	accepting bool
	shared    bool // another process runs at the same time and shares the limits
	yielded   bool // another process owns the clients' address
}

// New returns the controller of a proxy that has just started.
func New(o Options) *Controller {
	return &Controller{opt: o, state: drain.New(drain.Settings{
		CloseIdleAfterDrain: closeIdleAfterDrain, CloseIdleAfterStop: CloseIdleAfterStop, RejectAfter: rejectAfter,
		KillAfter: o.AnswerWithinMs, AcceptAfterStop: requestsAfterStop, RejectBeforeKill: rejectBeforeKill,
		PartialFrameTimeout: partialFrameTimeout,
	})}
}

// Attach sets the front, the servers and the handover that the controller uses. The proxy serves once it has them and owns the
// clients' address. h may be nil.
func (c *Controller) Attach(f Front, s Servers, h *handover.Coordinator) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.front, c.servers, c.handover = f, s, h
	c.apply()
}

// apply passes the current state to the front. The caller holds mu.
func (c *Controller) apply() {
	if c.front == nil {
		return
	}
	c.front.SetReady(c.state.Ready())
	c.front.SetAccepting(c.accepting)
	c.front.SetDrainPlan(c.state.Plan(c.yielded))
	maxConns := c.opt.MaxConns
	if c.shared {
		maxConns = maxConns * sharedConnsNumerator / sharedConnsDenominator
	}
	c.front.SetMaxConns(maxConns)
}

// handle applies an event to the state and passes the result to the front. ok is that of drain.State.Handle. The caller holds mu.
func (c *Controller) handle(e drain.Event) (ok bool) {
	ok = c.state.Handle(c.opt.Clock.Now(), e)
	c.apply()
	return ok
}

// SetOwner records whether this process or another one owns the clients' address.
func (c *Controller) SetOwner(owner bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.yielded = !owner
	if owner {
		c.handle(drain.AddressOwned)
	} else {
		c.handle(drain.AddressYielded)
	}
}

// SetAccepting makes the front accept new connections, or leave them to another process.
func (c *Controller) SetAccepting(accepting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = accepting
	c.apply()
}

// SetShared records whether another process runs at the same time. If so, the limits apply to both processes together.
func (c *Controller) SetShared(shared bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shared == shared {
		return
	}
	c.shared = shared
	c.opt.Limits.Apply(shared, c.opt.Memory)
	if shared {
		go debug.FreeOSMemory()
	}
	c.apply()
}

// StepDown ends the process, because another process owns the clients' address. It ignores the reason, which is for logs.
func (c *Controller) StepDown(string) {
	c.mu.Lock()
	c.yielded = true
	c.handle(drain.AddressYielded)
	c.mu.Unlock()
	c.opt.Stop()
}

// Stop begins a graceful shutdown, and reports whether another process has taken over the clients' address.
func (c *Controller) Stop() (takenOver bool) {
	c.mu.Lock()
	h := c.handover
	c.mu.Unlock()
	if h != nil {
		takenOver = h.BeginShutdown()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(drain.Stop)
	return takenOver || c.yielded
}

// Status returns the state of the proxy for operators, and whether it serves clients itself. While it hands over it does not,
// although it answers readiness probes for its successor (see drain.State.Ready).
func (c *Controller) Status() (text string, ready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	phase := c.state.Phase()
	if phase == drain.Draining && c.front != nil {
		if n := c.front.OpenConns(); n > 0 {
			return fmt.Sprintf("draining, %d connections left", n), false
		}
		return "drained", false
	}
	return phase.String(), phase == drain.Serving && c.front != nil
}

// SetDraining starts or ends an operator's drain of the whole proxy. It fails with a PhaseError while the proxy hands over or
// stops.
func (c *Controller) SetDraining(draining bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := drain.Resume
	if draining {
		e = drain.Drain
	}
	if !c.handle(e) {
		return PhaseError{c.state.Phase()}
	}
	return nil
}

// SetServerDrained starts or ends an operator's drain of one cache server. It returns once the change is in force, stored
// and passed to the process that may take over. Its error is ErrNotReady, ErrUnknownServer, or, if the change is in force but
// was not stored, the cause.
func (c *Controller) SetServerDrained(id policy.ServerID, draining bool) error {
	c.mu.Lock()
	servers, h := c.servers, c.handover
	c.mu.Unlock()
	switch {
	case servers == nil:
		return ErrNotReady
	case !servers.IsKnown(id):
		return ErrUnknownServer
	}
	err := servers.Drain(id, draining)
	if h != nil {
		err = errors.Join(err, h.SetManualDrain(id, draining))
	}
	if err != nil {
		return fmt.Errorf("in force here, but not stored: %w", err)
	}
	return nil
}
