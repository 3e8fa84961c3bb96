package discoveryclient

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/discovery"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/memory"
)

// Client follows discovery at an address that may change. The exported fields are set before Run and not changed after
// that. All callbacks are called by the goroutine of Run, one at a time.
type Client struct {
	Addr         string // host:port at the start; see SetAddr
	LastRevision uint64 // of the last event received before the start
	Settings     discovery.Settings
	OnEvent      func(Event) // is called with each new event once, in order
	OnHeartbeat  func()      // is called for a frame without an event; nil: it is not called
	// OnOverdue reports that events that count as notified by the time until, in ms of the clock, may be in effect without
	// having been received. It is called again with a later time if more events become overdue. nil: it is not called.
	OnOverdue func(until float64)
	// OnCaughtUp reports, after OnOverdue, that the service has nothing to send beyond what has been received; nil: it is not
	// called.
	OnCaughtUp func()
	// Dial connects to an address; nil: over TCP.
	Dial  func(ctx context.Context, addr string) (net.Conn, error)
	Clock *clock.Clock
	Log   *logs.Log // nil: off
	// Memory is the account on which frames draw. They are never refused: at most two calls are open, each with one frame.
	Memory *memory.Account

	counters         counters
	receivedRevision atomic.Uint64           // revision of the last event received
	appliedAt        atomic.Int64            // ms of the clock, when the last complete frame was applied
	openCalls        atomic.Pointer[[]*call] // the open calls, for CatchUp

	mu          sync.Mutex
	newAddrs    []newAddr     // passed to SetAddr and not applied yet, in order
	addrChanged chan struct{} // holds a token if newAddrs may not be empty
}

// newAddr is an address that the client is to follow, and when that was requested, in ms of the clock.
type newAddr struct {
	addr        string
	requestedAt float64
}

// SetAddr has the client follow discovery at an address, the same or another one, from the last revision received. The change was
// requested delay earlier.
func (c *Client) SetAddr(addr string, delay time.Duration) {
	c.mu.Lock()
	c.newAddrs = append(c.newAddrs, newAddr{addr, c.Clock.Now() - clock.Ms(delay)})
	c.mu.Unlock()
	select {
	case c.addrSignal() <- struct{}{}:
	default:
	}
}

// addrSignal returns the channel that wakes the loop after SetAddr.
func (c *Client) addrSignal() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.addrChanged == nil {
		c.addrChanged = make(chan struct{}, 1)
	}
	return c.addrChanged
}

// takeNewAddrs returns the addresses that are not applied yet, and clears them.
func (c *Client) takeNewAddrs() (addrs []newAddr) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addrs, c.newAddrs = c.newAddrs, nil
	return addrs
}

// Run follows discovery until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.receivedRevision.Store(c.LastRevision)
	l := &loop{
		Client: c, ctx: ctx, watcher: discovery.New(c.Settings), calls: map[discovery.CallID]*call{},
		messages: make(chan message), tick: make(chan struct{}, 1), stopTimer: func() {},
	}
	defer func() { l.stopTimer() }()
	l.run()
}
