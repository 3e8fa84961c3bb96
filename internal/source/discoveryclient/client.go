package discoveryclient

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/discovery"
	"ravenwheel/internal/logs"
)

// Client follows discovery, wherever it moves. It carries out what decide/discovery decides: one goroutine decides, and one for
// each call dials and reads.
type Client struct {
	Addr         string // at the start; see Move
	LastRevision uint64 // number of the last event known at the start
	Settings     discovery.Settings
	OnEvent      func(Event)
	OnHeartbeat  func() // a frame came that tells nothing new; may be nil
	// OnOverdue tells that what discovery held until so many ms of the clock may bind without having been heard, and Current that all
	// was heard again; may be nil.
	OnOverdue func(until float64)
	OnCurrent func()
	// Dial connects to an address; nil: package net's.
	Dial  func(ctx context.Context, addr string) (net.Conn, error)
	Clock *clock.Clock
	Log   *logs.Log // nil: off

	counters counters
	last     atomic.Uint64           // number of the last event heard
	current  atomic.Int64            // ms of the clock, when the last whole frame was in force
	open     atomic.Pointer[[]*call] // the calls of now, for CatchUp

	mu    sync.Mutex
	moves []string      // addresses that were named, in order, and not yet heeded
	moved chan struct{} // there may be some
}

// SetAddr names an address anew, that of now or another one. The numbers go on there: the last one known is asked from.
func (c *Client) SetAddr(addr string) {
	c.mu.Lock()
	c.moves = append(c.moves, addr)
	c.mu.Unlock()
	select {
	case c.signal() <- struct{}{}:
	default:
	}
}

// signal is where a move is told to the loop.
func (c *Client) signal() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moved == nil {
		c.moved = make(chan struct{}, 1)
	}
	return c.moved
}

func (c *Client) takeMoves() (moves []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	moves, c.moves = c.moves, nil
	return moves
}

// message is what a call tells the loop: a whole frame, or with an error its end.
type message struct {
	from   *call
	notice Event
	kind   byte
	err    error
}

// loop is a client that runs.
type loop struct {
	*Client
	ctx      context.Context
	watcher  *discovery.Watcher
	calls    map[discovery.CallID]*call
	messages chan message
	tick     chan struct{}
	unset    func() // of the timer
	acts     []discovery.Action
}

// Run follows discovery until ctx ends.
func (c *Client) Run(ctx context.Context) {
	c.last.Store(c.LastRevision)
	l := &loop{
		Client: c, ctx: ctx, watcher: discovery.New(c.Settings), calls: map[discovery.CallID]*call{},
		messages: make(chan message), tick: make(chan struct{}, 1), unset: func() {},
	}
	defer func() { l.unset() }()
	moved := c.signal()
	c.counters.lastWord.Store(int64(c.Clock.Now()))
	c.current.Store(int64(c.Clock.Now()))
	c.counters.follows(c.Addr)
	l.handle(discovery.Start{Address: c.Addr})
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.messages:
			l.hear(m)
		case <-moved:
			for _, addr := range c.takeMoves() {
				c.counters.moves.Add(1)
				c.counters.follows(addr)
				l.handle(discovery.Reload{Address: addr})
			}
		case <-l.tick:
			l.measure()
			l.handle(discovery.Tick{})
		}
	}
}

// hear takes what a call tells. One that was closed meanwhile counts for nothing.
func (l *loop) hear(m message) {
	defer m.from.inForce()
	if l.calls[m.from.id] != m.from {
		return
	}
	if m.err != nil {
		delete(l.calls, m.from.id)
		l.publish()
		m.from.cancel()
		why := m.from.reason()
		l.ended(m.from, why, m.err)
		l.handle(discovery.Ended{Call: m.from.id, Connected: why == discovery.ReasonDisconnected})
		return
	}
	defer func() { l.current.Store(int64(l.Clock.Now())) }()
	l.spoke(m.from, m.notice, l.last.Load())
	l.handle(discovery.FrameReceived{Call: m.from.id})
	if m.kind == kindNothing && l.OnHeartbeat != nil {
		l.OnHeartbeat()
	}
	if m.kind == kindNothing || m.notice.Revision <= l.last.Load() {
		return
	}
	l.last.Store(m.notice.Revision)
	if m.notice.Purge != nil || m.notice.Complete || m.notice.Members != nil {
		l.OnEvent(m.notice)
	}
}

// measure tells how far the frames are that are coming.
func (l *loop) measure() {
	for id, c := range l.calls {
		if p := c.progress(); p.Received > 0 {
			p.Call = id
			l.handle(p)
		}
	}
}

// handle has an event decided on, and carries out what follows.
func (l *loop) handle(e discovery.Event) {
	l.acts = l.watcher.Handle(l.Clock.Now(), e, l.acts[:0])
	for _, a := range l.acts {
		switch a := a.(type) {
		case discovery.Dial:
			l.dial(a)
		case discovery.Close:
			l.close(a)
		case discovery.Wake:
			l.wake(a.At)
		case discovery.Overdue:
			l.overdue(a.LastFrameAt)
			if l.OnOverdue != nil {
				l.OnOverdue(a.NotifiedUntil)
			}
		case discovery.CaughtUp:
			if l.OnCurrent != nil {
				l.OnCurrent()
			}
		}
	}
}

func (l *loop) dial(d discovery.Dial) {
	ctx, cancel := context.WithCancel(l.ctx)
	c := &call{id: d.Call, addr: d.Address, began: l.Clock.Now(), clock: l.Clock, cancel: cancel}
	l.calls[d.Call] = c
	l.publish()
	l.called(c, d.Reason)
	go c.run(ctx, l)
}

func (l *loop) close(d discovery.Close) {
	c, open := l.calls[d.Call]
	if !open {
		return
	}
	delete(l.calls, d.Call)
	l.publish()
	c.cancel()
	l.ended(c, d.Reason, nil)
}

// publish has CatchUp see the calls of now.
func (l *loop) publish() {
	open := slices.Collect(maps.Values(l.calls))
	l.open.Store(&open)
}

// wake sets the one timer. It tells the loop, and decides nothing: with a settable clock it runs wherever that is moved.
func (l *loop) wake(at float64) {
	l.unset()
	l.unset = l.Clock.After(at-l.Clock.Now(), func() {
		select {
		case l.tick <- struct{}{}:
		default:
		}
	})
}

// call is one connection to discovery, from its dial to its end.
type call struct {
	id     discovery.CallID
	addr   string
	began  float64
	clock  *clock.Clock
	cancel context.CancelFunc
	frames int // whole ones, of the loop alone

	mu    sync.Mutex
	nc    net.Conn                // nil: not up
	frame discovery.FrameProgress // under way
	whole bool                    // a frame has been read whole and is not in force yet
}

// run dials, asks for what comes after the last event heard, and tells each frame.
func (c *call) run(ctx context.Context, l *loop) {
	tell := func(m message) {
		m.from = c
		select {
		case l.messages <- m:
		case <-ctx.Done():
		}
	}
	dial := l.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, c.addr)
	if err != nil {
		tell(message{err: err})
		return
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	c.isUp(nc)
	var last [8]byte
	binary.BigEndian.PutUint64(last[:], l.last.Load())
	if _, err := nc.Write(last[:]); err != nil {
		tell(message{err: err})
		return
	}
	in := measured{nc, c}
	for ctx.Err() == nil {
		n, kind, err := readFrame(in, c.expect)
		if err != nil {
			tell(message{err: err})
			return
		}
		c.isWhole()
		tell(message{notice: n, kind: kind})
	}
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// measured notes what is read of a call's frame.
type measured struct {
	net.Conn
	call *call
}

// Read implements io.Reader.
func (m measured) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.call.read(n)
	return n, err
}

func (c *call) isUp(nc net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nc = nc
}

func (c *call) read(n int) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frame.Received == 0 {
		c.frame.FirstByteAt = now
	}
	c.frame.Received, c.frame.LastByteAt = c.frame.Received+n, now
}

func (c *call) expect(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frame.Size = size
}

func (c *call) isWhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frame, c.whole = discovery.FrameProgress{}, true
}

// inForce notes that what was read whole is in force.
func (c *call) inForce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole = false
}

func (c *call) progress() discovery.FrameProgress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frame
}

// reason is why a call that has ended by itself has.
func (c *call) reason() discovery.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.nc == nil {
		return discovery.ReasonDialFailed
	}
	return discovery.ReasonDisconnected
}

// errText is the text of an error, if there is one.
func errText(err error) string {
	if err == nil || errors.Is(err, net.ErrClosed) {
		return ""
	}
	return err.Error()
}
