package discoveryclient

import (
	"context"
	"maps"
	"slices"

	"ravenwheel/internal/decide/discovery"
	"ravenwheel/internal/memory"
)

// message is a report of a call to the loop: a frame or, if err is set, the end of the call.
type message struct {
	from  *call
	event Event
	kind  byte
	err   error
	held  *memory.Reservation // of the frame; released once the message is handled
}

// loop is the state of Client.Run. One goroutine runs it; each call has a goroutine of its own and sends messages.
type loop struct {
	*Client
	ctx          context.Context
	watcher      *discovery.Watcher
	calls        map[discovery.CallID]*call // the open calls
	messages     chan message
	tick         chan struct{}
	stopTimer    func()
	actions      []discovery.Action // of the present event; the memory is reused
	overdue      bool               // since the last Overdue there was no CaughtUp
	overdueSince float64            // ms of the clock
}

func (l *loop) run() {
	addrChanged := l.addrSignal()
	l.counters.lastFrame.Store(int64(l.Clock.Now()))
	l.appliedAt.Store(int64(l.Clock.Now()))
	l.counters.setAddress(l.Addr)
	l.handle(discovery.Start{Address: l.Addr})
	for {
		select {
		case <-l.ctx.Done():
			return
		case m := <-l.messages:
			l.receive(m)
		case <-addrChanged:
			for _, next := range l.takeNewAddrs() {
				l.counters.addressChanges.Add(1)
				l.counters.setAddress(next.addr)
				l.handle(discovery.Reload{Address: next.addr, Delay: max(0, l.Clock.Now()-next.requestedAt)})
			}
		case <-l.tick:
			l.reportProgress()
			l.handle(discovery.Tick{})
		}
	}
}

// receive handles a message. A message of a call that was closed in the meantime is dropped.
func (l *loop) receive(m message) {
	defer m.from.frameApplied()
	defer m.held.Release()
	if l.calls[m.from.id] != m.from {
		return
	}
	if m.err != nil {
		l.callEnded(m.from, m.err)
		return
	}
	defer func() { l.appliedAt.Store(int64(l.Clock.Now())) }()
	l.reportFrame(m.from, m.event, l.receivedRevision.Load())
	l.handle(discovery.FrameReceived{Call: m.from.id, Confirmed: m.kind == kindHeartbeat})
	if m.kind == kindHeartbeat {
		if l.OnHeartbeat != nil {
			l.OnHeartbeat()
		}
		return
	}
	if m.event.Revision <= l.receivedRevision.Load() {
		return
	}
	l.receivedRevision.Store(m.event.Revision)
	if m.event.hasEffect() {
		l.OnEvent(m.event)
	}
}

// callEnded handles the end of a call that the client has not closed.
func (l *loop) callEnded(c *call, err error) {
	delete(l.calls, c.id)
	l.publishCalls()
	c.cancel()
	reason := c.endReason()
	l.reportEnd(c, reason, err)
	responded := c.frames > 0 || c.progress().Received > 0
	l.handle(discovery.Ended{Call: c.id, Connected: reason == discovery.ReasonDisconnected, Responded: responded})
}

// reportProgress reports to the watcher how much of each frame that is being received has arrived.
func (l *loop) reportProgress() {
	for id, c := range l.calls {
		if p := c.progress(); p.Received > 0 {
			p.Call = id
			l.handle(p)
		}
	}
}

// handle passes an event to the watcher and carries out its actions.
func (l *loop) handle(e discovery.Event) {
	l.actions = l.watcher.Handle(l.Clock.Now(), e, l.actions[:0])
	for _, a := range l.actions {
		switch a := a.(type) {
		case discovery.Dial:
			l.dial(a)
		case discovery.Close:
			l.close(a)
		case discovery.Wake:
			l.wake(a.At)
		case discovery.Overdue:
			l.reportOverdue(a.LastFrameAt, l.overdue)
			if !l.overdue {
				l.overdue, l.overdueSince = true, l.Clock.Now()
			}
			if l.OnOverdue != nil {
				l.OnOverdue(a.NotifiedUntil)
			}
		case discovery.CaughtUp:
			l.overdue = false
			l.reportCaughtUp(l.overdueSince)
			if l.OnCaughtUp != nil {
				l.OnCaughtUp()
			}
		}
	}
}

func (l *loop) dial(d discovery.Dial) {
	ctx, cancel := context.WithCancel(l.ctx)
	c := &call{id: d.Call, addr: d.Address, began: l.Clock.Now(), clock: l.Clock, cancel: cancel}
	l.calls[d.Call] = c
	l.publishCalls()
	l.reportCall(c, d.Reason)
	go c.run(ctx, l)
}

func (l *loop) close(d discovery.Close) {
	c, open := l.calls[d.Call]
	if !open {
		return
	}
	delete(l.calls, d.Call)
	l.publishCalls()
	c.cancel()
	l.reportEnd(c, d.Reason, nil)
}

// publishCalls makes the open calls visible to CatchUp.
func (l *loop) publishCalls() {
	open := slices.Collect(maps.Values(l.calls))
	l.openCalls.Store(&open)
}

// wake sets the loop's only timer. The timer just signals the loop, as a manual clock runs it on the goroutine that advances the
// clock.
func (l *loop) wake(at float64) {
	l.stopTimer()
	l.stopTimer = l.Clock.After(at-l.Clock.Now(), func() {
		select {
		case l.tick <- struct{}{}:
		default:
		}
	})
}
