// Package resp serves clients over the platform's protocol: RESP arrays, with many open requests on a connection and answers
// in any order. It owns the clients' connections: which are accepted, when one is closed, and that none is closed over a
// request that was read or waits to be read. It does not decide what becomes of a request: that is the core's part.
//
// When a connection at rest is closed while the proxy drains is decided by decide/drain, and tested there. The front's own
// decisions (slots, timeouts, eviction) are tested here, on real sockets under a manual clock.
package resp

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/drain"
	"ravenwheel/policy"
)

// RequestHandler answers requests, each exactly once.
type RequestHandler interface {
	Do(context.Context, core.Request) core.Answer
	ClassIndex(name string) int // -1: unknown
	Settings() policy.Settings
	CountUnansweredConn() // counts a connection that the front closed before it had any answer
	Reject() core.Answer  // the answer to a request that is rejected as the proxy drains
}

// Front serves clients on one listener.
type Front struct {
	clock    *clock.Clock
	handler  RequestHandler
	maxConns atomic.Int64
	// pendingWork is the sum of the open requests and of the answers' bytes that are not yet written. Only 0 has a meaning: nothing is
	// pending.
	pendingWork atomic.Int64
	ready       atomic.Bool // the answer to health checks
	plan        atomic.Pointer[drain.Plan]
	// admitting: an accepted connection waits for a free slot.
	admitting atomic.Bool
	server    *redcon.Server
	listener  net.Listener

	mu           sync.Mutex
	conns        map[*conn]struct{} // all that hold a slot, the lingering among them
	lingering    []*conn            // the longest first
	evicted      []*conn            // no longer in conns: their sockets are about to be closed
	openEvicted  int                // connections that are no longer in conns and whose sockets are open
	socketClosed sync.Cond          // openEvicted fell; under mu
	resume       chan struct{}      // closed once connections are accepted again; nil: they are accepted
}

// New returns a front on ln that holds at most maxConns connections and accepts none before Serve.
func New(ln net.Listener, maxConns int, c *clock.Clock, h RequestHandler) *Front {
	f := &Front{clock: c, handler: h, listener: ln, conns: map[*conn]struct{}{}}
	f.socketClosed.L = &f.mu
	f.maxConns.Store(int64(maxConns))
	f.ready.Store(true)
	f.plan.Store(&drain.Plan{})
	f.server = redcon.NewServer(ln.Addr().String(), f.detach, nil, nil)
	return f
}

// Serve accepts connections until Close, and returns the error of accepting then.
func (f *Front) Serve() error {
	f.clock.After(sweepInterval, f.sweep)
	return f.server.Serve(boundedListener{f.listener, f})
}

// Close stops accepting. Open connections stay open. It returns the error of closing the listener.
func (f *Front) Close() error {
	err := f.listener.Close()
	f.SetAccepting(true) // a paused accept sees the end
	return err
}

// SetMaxConns changes how many connections are held. Open ones beyond that stay open.
func (f *Front) SetMaxConns(n int) { f.maxConns.Store(int64(n)) }

// Addr is the listener's address.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// OpenConns is the number of connections, those that are being closed among them.
func (f *Front) OpenConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Idle reports whether no request is open and no answer waits to be written.
func (f *Front) Idle() bool { return f.pendingWork.Load() == 0 }

// SetReady sets the answer to health checks.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// SetDrainPlan has connections closed and requests rejected as a plan says, until the next plan.
func (f *Front) SetDrainPlan(p drain.Plan) {
	if previous := f.plan.Swap(&p); p.Active && !previous.Active {
		f.clock.After(drainInterval, f.drainSweep)
	}
}

// IsAccepting reports whether this process accepts new connections.
func (f *Front) IsAccepting() bool { return f.acceptResumed() == nil }

// SetAccepting has new connections accepted here, or left to another process that shares the listener.
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
		_ = ln.SetDeadline(time.Unix(1, 0)) // interrupts the accept in progress
	}
}

// acceptResumed is closed once connections are accepted again; nil: they are accepted.
func (f *Front) acceptResumed() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.resume
}

// HasQueuedConns reports whether connections wait in the listener's queue or for a slot. Their clients have been accepted by the
// system, and may have sent requests.
func (f *Front) HasQueuedConns() (queued bool) {
	if f.admitting.Load() {
		return true
	}
	sc, ok := f.listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		queued = err == nil && info.Unacked > 0 // of a listener: the length of its accept queue
	})
	return queued
}

// detach takes a connection with its first command from redcon, whose own loop would answer in the order of the requests.
func (f *Front) detach(rc redcon.Conn, first redcon.Command) {
	c := rc.NetConn().(*conn)
	cl := &client{front: f, conn: c, cancels: map[string]context.CancelFunc{}, wake: make(chan struct{}, 1)}
	f.mu.Lock()
	c.client = cl
	f.mu.Unlock()
	go cl.serve(rc.Detach(), first)
}
