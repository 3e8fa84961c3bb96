// Package resp serves clients over the platform's protocol: RESP arrays, with many open requests on a connection and answers in any
// order. It owns the clients' connections: it decides which are accepted and when each is closed. It closes none that has an open
// or unread request, unless the client does not read its answers. It never decides how a request is answered: package core does.
//
// Package decide/drain decides when an idle connection is closed while the proxy drains, and tests that. The front's own decisions
// (slots, timeouts, eviction) are tested here, on real sockets under a manual clock.
package resp

import (
	"container/list"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/memory"
	"ravenwheel/internal/reasons"
	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// RequestHandler answers requests, each exactly once.
type RequestHandler interface {
	Do(context.Context, core.Request) core.Answer
	ClassIndex(name string) int // -1: unknown
	Settings() policy.Settings
	CountUnansweredConn() // counts a connection that the front closed before it sent any answer
	Reject() core.Answer  // the answer to a request that is rejected because the proxy drains
}

// Front serves clients on one listener.
type Front struct {
	clock    *clock.Clock
	handler  RequestHandler
	maxConns atomic.Int64
	// pendingWork is the number of open requests plus the number of answer bytes that are not yet written. Only 0 has a meaning:
	// nothing is pending.
	pendingWork atomic.Int64
	ready       atomic.Bool // the answer to health checks
	plan        atomic.Pointer[drain.Plan]
	// admitting is whether an accepted connection is being given a slot, or waits for one.
	admitting   atomic.Bool
	listener    net.Listener
	memory      *memory.Account // nil: not limited
	holders     atomic.Int64    // connections that hold memory for requests or answers
	closes      reasons.Counters[CloseReason]
	bulkReaders chan struct{} // holds an element for each connection that is being read in turn; see conn.readTurn
	// inputBuffers are the buffers for partial frames that no connection uses.
	inputBuffers resp.Buffers
	refusals     reasons.Counters[RefusalReason]

	mu           sync.Mutex
	conns        map[*conn]struct{} // all that hold a slot, including the lingering ones
	lingering    []*conn            // the one that has lingered longest first
	evicted      []*conn            // removed from conns; closeEvicted closes their sockets
	openEvicted  int                // number of connections that were removed from conns and whose sockets are still open
	socketClosed sync.Cond          // signalled when openEvicted has decreased; its lock is mu
	// storedPartials are the connections with memory for a partial frame, the one that got it first first.
	storedPartials list.List
	resume         chan struct{} // closed when accepting resumes; nil while connections are accepted
}

// New returns a front that holds at most maxConns connections of ln. It accepts none before Serve is called.
func New(ln net.Listener, maxConns int, c *clock.Clock, h RequestHandler) *Front {
	f := &Front{
		clock: c, handler: h, listener: ln, conns: map[*conn]struct{}{}, bulkReaders: make(chan struct{}, maxBulkReaders),
	}
	f.socketClosed.L = &f.mu
	f.maxConns.Store(int64(maxConns))
	f.ready.Store(true)
	f.plan.Store(&drain.Plan{})
	return f
}

// SetMemory sets the account on which the front draws. It must be called before Serve.
func (f *Front) SetMemory(account *memory.Account) { f.memory = account }

// Serve accepts connections until Close is called, and returns the error that Accept then returned.
func (f *Front) Serve() error {
	f.clock.After(sweepInterval, f.sweep)
	for {
		c, err := f.accept()
		if err != nil {
			return err
		}
		go c.serve()
	}
}

// Close stops accepting connections. Open connections stay open. It returns the error of closing the listener.
func (f *Front) Close() error {
	err := f.listener.Close()
	f.SetAccepting(true) // lets a paused Accept return the listener's error
	return err
}

// SetMaxConns changes how many connections may be open. Open connections beyond the new limit stay open.
func (f *Front) SetMaxConns(n int) { f.maxConns.Store(int64(n)) }

// Addr returns the listener's address.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// OpenConns returns the number of connections that hold a slot, including the lingering ones.
func (f *Front) OpenConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Idle reports whether no request is open and no answer is waiting to be written.
func (f *Front) Idle() bool { return f.pendingWork.Load() == 0 }

// SetReady sets the answer to health checks.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// SetDrainPlan makes the front close connections and reject requests as p says, until the next plan is set.
func (f *Front) SetDrainPlan(p drain.Plan) {
	if previous := f.plan.Swap(&p); p.Active && !previous.Active {
		f.clock.After(drainInterval, f.drainSweep)
	}
}

// IsAccepting reports whether this process accepts new connections.
func (f *Front) IsAccepting() bool { return f.acceptResumed() == nil }

// SetAccepting starts or stops accepting new connections in this process. While it has stopped, they are left to another process
// that shares the listener.
func (f *Front) SetAccepting(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ln, isTCP := f.listener.(*net.TCPListener)
	switch {
	case on && f.resume != nil:
		if isTCP {
			_ = ln.SetDeadline(time.Time{})
		}
		close(f.resume)
		f.resume = nil
	case !on && f.resume == nil && isTCP:
		f.resume = make(chan struct{})
		_ = ln.SetDeadline(time.Unix(1, 0)) // interrupts the Accept in progress
	}
}

// acceptResumed returns a channel that is closed when accepting resumes, or nil while connections are accepted.
func (f *Front) acceptResumed() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resume
}

// HasQueuedConns reports whether connections wait in the listener's queue or for a slot. The kernel has completed their handshakes,
// so their clients may already have sent requests.
func (f *Front) HasQueuedConns() (queued bool) {
	if f.admitting.Load() {
		return true
	}
	syscallConn, ok := f.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		queued = err == nil && info.Unacked > 0 // for a listening socket, Unacked is the length of its accept queue
	})
	return queued
}
