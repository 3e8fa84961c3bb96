// Package resp speaks the platform's protocol with clients: RESP arrays, many requests open on a
// connection, answers in any order. It is thin: what becomes of a request is the core's to say.
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

// RequestHandler lives a request from its arrival to its one final answer.
type RequestHandler interface {
	Do(context.Context, core.Request) core.Answer
	ClassIndex(name string) int
	Settings() policy.Settings
	CountUnansweredConn() // a connection was closed by the front before it had any answer
	Reject() core.Answer  // a request that comes while the proxy is emptied
}

const (
	mostOpen = 32 // requests on one connection
	// mostOut bounds what waits for a slow reader: as much as a full connection may be owed.
	mostOut = mostOpen * (240_000 + 1024)
	// keepOut: an out buffer that has grown beyond this is given back once it is empty.
	keepOut = 256 << 10
	// keepIn: a read buffer that has grown beyond this is given back once it is empty.
	keepIn = 8 << 10
	// silentFor: a connection that has sent nothing for so many ms is closed; halfFor: one of which half a frame has come, and
	// no more since. Some clients write a request over 2 s, and who sends half a one and no more is owed a close within 3 s.
	silentFor, halfFor, sweepEvery = 1500, 2400, 250
	// emptyEvery: so often it is looked, while the proxy is emptied, which connections are at rest, in ms. lingerFor: a
	// client that was told that its connection ends, and does not end it, has that long. leavingShare: one in so many
	// places may be held by such beyond those that are served.
	emptyEvery   = 10
	lingerFor    = 1000
	leavingShare = 8
	// acceptPause: after an accept that failed, out of descriptors say, the next one waits so long.
	acceptPause = 10
	// beginWithin: a request begins so many ms after it was read, though more comes from its client all the time.
	beginWithin = 5
	// admitWithin: a connection that finds no place waits so long for one, in ms, and those behind it in the listener's queue. Longer
	// answers more in a crowd, later.
	admitWithin = 500
	// newFor: one that is silent for so many ms is no client on the point of asking.
	newFor = 100
	// takeWithin: a client that has not taken what was written for it so many ms ago has given up all that it waited for.
	// It is seen by the sweep, at most sweepEvery later.
	takeWithin = 10_000
)

// Front serves clients on one listener.
type Front struct {
	clock *clock.Clock
	core  RequestHandler
	most  atomic.Int64
	busy  atomic.Int64 // requests open and bytes not yet written
	takes atomic.Bool  // whoever asks is told that work is taken
	plan  atomic.Pointer[drain.Plan]
	// admitting: a connection was accepted, and waits for a place.
	admitting atomic.Bool
	srv       *redcon.Server
	ln        net.Listener

	mu      sync.Mutex
	conns   map[*guard]struct{}
	leaving []*guard      // those of them that end, the longest first
	cut     []*guard      // no longer of them: their sockets are about to be closed
	closing int           // how many have left the books and still have a descriptor
	closed  sync.Cond     // one of those was closed; under mu
	halted  chan struct{} // closed once connections are accepted again; nil: they are
}

// New returns a front on ln that holds at most so many connections.
func New(ln net.Listener, most int, c *clock.Clock, d RequestHandler) *Front {
	f := &Front{clock: c, core: d, ln: ln, conns: map[*guard]struct{}{}}
	f.closed.L = &f.mu
	f.most.Store(int64(most))
	f.takes.Store(true)
	f.plan.Store(&drain.Plan{})
	f.srv = redcon.NewServer(ln.Addr().String(), f.first, nil, nil)
	return f
}

// Serve accepts connections until Close.
func (f *Front) Serve() error {
	f.clock.After(sweepEvery, f.sweep)
	return f.srv.Serve(guarded{f.ln, f})
}

// Close stops accepting; connections that are open go on.
func (f *Front) Close() error {
	err := f.ln.Close()
	f.SetAccepting(true) // whoever waits to accept sees the end
	return err
}

// SetMaxConns changes how many connections are held. Those that are open stay.
func (f *Front) SetMaxConns(n int) { f.most.Store(int64(n)) }

// IsAccepting tells whether new connections are accepted here.
func (f *Front) IsAccepting() bool { return f.halt() == nil }

// HasQueuedConns tells whether connections wait to be accepted here: they have been taken, and so has what they ask.
func (f *Front) HasQueuedConns() (some bool) {
	if f.admitting.Load() {
		return true
	}
	sc, ok := f.ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.SOL_TCP, unix.TCP_INFO)
		some = err == nil && info.Unacked > 0 // of a listener: how many wait in its queue
	})
	return some
}

// Addr is where it listens.
func (f *Front) Addr() string { return f.ln.Addr().String() }

// OpenConns is how many connections are open.
func (f *Front) OpenConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// SetReady sets what whoever asks is told: whether the proxy takes work.
func (f *Front) SetReady(yes bool) { f.takes.Store(yes) }

// SetAccepting has new connections accepted, or left to another process that holds the same listener.
func (f *Front) SetAccepting(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ln, ok := f.ln.(*net.TCPListener)
	switch {
	case on && f.halted != nil:
		if ok {
			_ = ln.SetDeadline(time.Time{})
		}
		close(f.halted)
		f.halted = nil
	case !on && f.halted == nil && ok:
		f.halted = make(chan struct{})
		_ = ln.SetDeadline(time.Unix(1, 0)) // ends the accept that waits
	}
}

func (f *Front) halt() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.halted
}

// SetDrainPlan has connections treated as a plan says, until the next one.
func (f *Front) SetDrainPlan(p drain.Plan) {
	if was := f.plan.Swap(&p); p.Active && !was.Active {
		f.clock.After(emptyEvery, f.empty)
	}
}

// Idle tells whether nothing is owed to any client.
func (f *Front) Idle() bool { return f.busy.Load() == 0 }

// first takes a connection over from redcon, whose own loop would answer in order.
func (f *Front) first(rc redcon.Conn, cmd redcon.Command) {
	g := rc.NetConn().(*guard)
	c := &client{front: f, nc: g, open: map[string]context.CancelFunc{}, wake: make(chan struct{}, 1)}
	f.mu.Lock()
	g.client = c
	f.mu.Unlock()
	go c.live(rc.Detach(), cmd)
}
