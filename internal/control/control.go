// Package control is the proxy as a whole in operators' hands: it brings what the console and another process tell to the
// deciders (drain, membership, handover) and carries out what they say at the clients' front. It decides nothing.
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

// In ms. frontAfter, refuseAfter: whoever sends clients asks ten times a second and stops 0.2 s after a no; after 2 s none may
// come any more, and after 4 s none may be held that is not about to ask (halfFor). StopAfter, heardFor: after SIGTERM new
// connections keep coming for 0.4 s, and requests on open ones for 0.2 s more. restWithin: a round trip of each client, twice.
const frontAfter, StopAfter, refuseAfter, heardFor, restWithin, halfFor = 350, 800, 1600, 600, 400, 3000

// Front is the clients' front, as far as it is told.
type Front interface {
	SetReady(ready bool)
	SetDrainPlan(drain.Plan)
	SetAccepting(on bool)
	SetMaxConns(n int)
	OpenConns() int
}

// Servers are who carries out what operators say of one.
type Servers interface {
	Knows(id policy.CacheID) bool
	Drain(id policy.CacheID, on bool) error
}

// Options are what a desk is made of.
type Options struct {
	Clock    *clock.Clock
	MemoryMB int // 0: not bounded
	Conns    int // clients' connections, of all processes together
	// AnswerWithin: in ms from SIGTERM on, until SIGKILL.
	AnswerWithin float64
	Stop         func()
}

// Controller is one proxy's. It is a console.Controller, and what handover.Options call on.
type Controller struct {
	opt Options

	mu        sync.Mutex
	state     *drain.State
	front     Front // nil: none yet
	servers   Servers
	hand      *handover.Coordinator // nil: no other process can take over
	accepting bool
	shared    bool
	passed    bool // another process has the clients
}

// New returns the desk of a proxy that has just started.
func New(o Options) *Controller {
	set := drain.Settings{
		CloseIdleAfterDrain: frontAfter, CloseIdleAfterStop: StopAfter, RejectAfter: refuseAfter, KillAfter: o.AnswerWithin,
		RequestsAfterStop: heardFor, RejectBeforeKill: restWithin, PartialFrameTimeout: halfFor,
	}
	return &Controller{opt: o, state: drain.New(set)}
}

// Attach tells what the desk works with. The proxy serves once it owns its address.
func (d *Controller) Attach(f Front, s Servers, h *handover.Coordinator) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.front, d.servers, d.hand = f, s, h
	d.apply()
}

// apply has the front do as the state says.
func (d *Controller) apply() {
	if d.front == nil {
		return
	}
	d.front.SetReady(d.state.Ready())
	d.front.SetAccepting(d.accepting)
	d.front.SetDrainPlan(d.state.Plan(d.passed))
	most := d.opt.Conns
	if d.shared { // honest clients hold a third of all descriptors, and move from one process to the other
		most = most * 3 / 4
	}
	d.front.SetMaxConns(most)
}

func (d *Controller) handle(e drain.Event) bool {
	ok := d.state.Handle(d.opt.Clock.Now(), e)
	d.apply()
	return ok
}

// SetOwner tells whether this process owns the address, or another one does.
func (d *Controller) SetOwner(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.passed = !on; on {
		d.handle(drain.AddressOwned)
	} else {
		d.handle(drain.AddressYielded)
	}
}

// SetAccepting has new connections taken, or left.
func (d *Controller) SetAccepting(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepting = on
	d.apply()
}

// SetShared tells whether another process runs beside this one: the limits are for both together.
func (d *Controller) SetShared(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shared == on {
		return
	}
	d.shared = on
	LimitMemory(d.opt.MemoryMB, on)
	if on {
		go debug.FreeOSMemory()
	}
	d.apply()
}

// gcPercent: collections on one core delay what waits for it, and memory is there to make them rarer. Shared, it is not.
const gcPercent, gcShared = 400, 50

// LimitMemory keeps the runtime within what the platform gives, less what the runtime does not count; shared: within half.
func LimitMemory(mb int, shared bool) {
	if mb <= 0 {
		return
	}
	limit, percent := int64(mb)<<20*5/8, gcPercent
	if shared {
		limit, percent = limit/2, gcShared
	}
	debug.SetMemoryLimit(limit)
	debug.SetGCPercent(percent)
}

// Step has the proxy end, as another process owns its address.
func (d *Controller) Step(string) {
	d.mu.Lock()
	d.passed = true
	d.handle(drain.AddressYielded)
	d.mu.Unlock()
	d.opt.Stop()
}

// Stop tells that the proxy was told to end; passed whether another process has its clients.
func (d *Controller) Stop() (passed bool) {
	d.mu.Lock()
	h := d.hand
	d.mu.Unlock()
	if h != nil {
		passed = h.BeginShutdown()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handle(drain.Stop)
	return passed || d.passed
}

// Status implements console.Controller.
func (d *Controller) Status() (text string, ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.state.Phase()
	if p == drain.Draining && d.front != nil {
		if n := d.front.OpenConns(); n > 0 {
			return fmt.Sprintf("draining, %d connections left", n), false
		}
		return "drained", false
	}
	return p.String(), p == drain.Serving && d.front != nil
}

// SetPaused implements console.Controller.
func (d *Controller) SetPaused(on bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := drain.Resume
	if on {
		e = drain.Drain
	}
	if !d.handle(e) {
		return fmt.Errorf("this process is %s", d.state.Phase())
	}
	return nil
}

// SetServerDrained implements console.Controller. What is asked is in force before it is kept, and kept before it is told.
func (d *Controller) SetServerDrained(id policy.CacheID, out bool) error {
	d.mu.Lock()
	servers, hand := d.servers, d.hand
	d.mu.Unlock()
	switch {
	case servers == nil:
		return errors.New("not ready")
	case !servers.Knows(id):
		return errors.New("no such cache server")
	}
	err := servers.Drain(id, out)
	if hand != nil {
		err = errors.Join(err, hand.SetManualDrain(id, out))
	}
	if err != nil {
		return fmt.Errorf("in force here, but not kept: %w", err)
	}
	return nil
}
