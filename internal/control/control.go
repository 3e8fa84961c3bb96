// Package control applies to the whole proxy what operators and the hand-over between processes ask for. It passes
// commands to decide/drain (for the proxy) and decide/membership (for one server) and the resulting state to the
// clients' front. It decides nothing itself, and opens no address: console and admin bring the operators' commands.
// What operators are shown is tested here, the life of a whole proxy in cmd/ravenwheel.
package control

import (
	"errors"
	"fmt"
	"runtime/debug"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/handover"
	"ravenwheel/policy"
)

// Settings of decide/drain, in ms. The load balancer probes readiness ten times a second and stops sending new clients
// 0.2 s after a negative answer.
const (
	closeIdleAfterDrain = 350
	// CloseIdleAfterStop: after SIGTERM new connections keep coming for 0.4 s.
	CloseIdleAfterStop = 800
	// rejectAfter: clients that use a connection all the time have no other chance to leave it.
	rejectAfter = 1600
	// requestsAfterStop: after SIGTERM requests keep coming on open connections, 0.2 s longer than new connections.
	requestsAfterStop = 600
	// rejectBeforeKill: two round trips of each client.
	rejectBeforeKill = 400
	// partialFrameTimeout: it ends within the 4 s after which the platform expects no connection that is not about to send
	// a request.
	partialFrameTimeout = 3000
)

// sharedConnsNumerator and sharedConnsDenominator: the fraction of Options.MaxConns that a process may have while another
// one shares them. Clients that behave hold a third of all descriptors, and move from one process to the other.
const sharedConnsNumerator, sharedConnsDenominator = 3, 4

// Errors of commands that are rejected. Nothing was changed.
var (
	ErrNotReady      = errors.New("not ready")            // the proxy has no list of servers yet
	ErrUnknownServer = errors.New("no such cache server") // the server is neither listed nor remembered
)

// PhaseError is the error of a command that has no effect in the phase of the proxy.
type PhaseError struct{ Phase drain.Phase }

// Error implements error.
func (e PhaseError) Error() string { return "this process is " + e.Phase.String() }

// Front is the clients' front, as far as it is controlled.
type Front interface {
	SetReady(ready bool)
	SetDrainPlan(drain.Plan)
	SetAccepting(on bool)
	SetMaxConns(n int)
	OpenConns() int
}

// Servers carries out operators' commands on single cache servers.
type Servers interface {
	HasServer(id policy.CacheID) bool
	// Drain starts or ends a manual drain. It returns once that is in force and stored.
	Drain(id policy.CacheID, on bool) error
}

// Options configure a Controller.
type Options struct {
	Clock          *clock.Clock
	MemoryMB       int     // 0: not bounded
	MaxConns       int     // clients' connections, of all processes together
	AnswerWithinMs float64 // ms from SIGTERM until everything must be answered, as SIGKILL may follow
	Stop           func()  // ends the process
}

// Controller controls one proxy. It is safe for concurrent use. It implements the interfaces of this name in console and
// admin, and its methods are the callbacks of handover.Options.
type Controller struct {
	opt Options

	mu        sync.Mutex
	state     *drain.State
	front     Front // nil: none yet
	servers   Servers
	handover  *handover.Coordinator // nil: no other process can take over
	accepting bool
	shared    bool // another process runs beside this one
	yielded   bool // another process owns the address
}

// New returns the controller of a proxy that has just started.
func New(o Options) *Controller {
	return &Controller{opt: o, state: drain.New(drain.Settings{
		CloseIdleAfterDrain: closeIdleAfterDrain, CloseIdleAfterStop: CloseIdleAfterStop, RejectAfter: rejectAfter,
		KillAfter: o.AnswerWithinMs, RequestsAfterStop: requestsAfterStop, RejectBeforeKill: rejectBeforeKill,
		PartialFrameTimeout: partialFrameTimeout,
	})}
}

// Attach sets what the controller controls. The proxy serves once it owns its address as well. h may be nil.
func (c *Controller) Attach(f Front, s Servers, h *handover.Coordinator) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.front, c.servers, c.handover = f, s, h
	c.apply()
}

// apply passes the state to the front.
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

func (c *Controller) handle(e drain.Event) (ok bool) {
	ok = c.state.Handle(c.opt.Clock.Now(), e)
	c.apply()
	return ok
}

// SetOwner notes whether this process owns the clients' address, or another one does.
func (c *Controller) SetOwner(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.yielded = !on
	if on {
		c.handle(drain.AddressOwned)
	} else {
		c.handle(drain.AddressYielded)
	}
}

// SetAccepting has the front accept new connections, or leave them to another process.
func (c *Controller) SetAccepting(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepting = on
	c.apply()
}

// SetShared notes whether another process runs beside this one: the limits are for both together.
func (c *Controller) SetShared(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shared == on {
		return
	}
	c.shared = on
	LimitMemory(c.opt.MemoryMB, on)
	if on {
		go debug.FreeOSMemory()
	}
	c.apply()
}

// StepDown ends the process, as another one owns its address. The argument, a reason for logs, is not used here.
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

// Status returns the state of the proxy for operators, and whether it serves clients itself: while it hands over it does
// not, though it answers readiness probes for its successor (see drain.State.Ready).
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

// SetDraining starts or ends an operator's drain of the whole proxy. It fails with a PhaseError if the proxy hands over or
// stops.
func (c *Controller) SetDraining(on bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := drain.Resume
	if on {
		e = drain.Drain
	}
	if !c.handle(e) {
		return PhaseError{c.state.Phase()}
	}
	return nil
}

// SetServerDrained starts or ends an operator's drain of one cache server. It returns once the change is in force, stored
// and passed to the process that may take over. It fails with ErrNotReady, ErrUnknownServer, or, in force but not
// stored, with the cause.
func (c *Controller) SetServerDrained(id policy.CacheID, on bool) error {
	c.mu.Lock()
	servers, h := c.servers, c.handover
	c.mu.Unlock()
	switch {
	case servers == nil:
		return ErrNotReady
	case !servers.HasServer(id):
		return ErrUnknownServer
	}
	err := servers.Drain(id, on)
	if h != nil {
		err = errors.Join(err, h.SetManualDrain(id, on))
	}
	if err != nil {
		return fmt.Errorf("in force here, but not kept: %w", err)
	}
	return nil
}
