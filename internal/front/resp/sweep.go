package resp

import "ravenwheel/internal/decide/drain"

// sweep ends the connections whose clients have sent nothing for too long while they have to send, or have not read their answers
// for too long. It runs every sweepInterval.
func (f *Front) sweep() {
	f.clock.After(sweepInterval, f.sweep)
	defer f.closeEvicted()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for c := range f.conns {
		switch {
		case c.client != nil && c.client.writeTimedOut(now):
			go c.abortFor(ClosedForUnreadAnswer) // its reading goroutine then cancels the open requests
		case c.readTimedOut(now) && !c.hasUnreadBytes() && c.beginLinger():
			f.lingerUnanswered(c, ClosedForSilence)
		}
	}
}

// drainSweep ends the connections that the drain plan says to close. It runs every drainInterval while the plan is active.
func (f *Front) drainSweep() {
	plan := f.plan.Load()
	if !plan.Active {
		return
	}
	f.clock.After(drainInterval, f.drainSweep)
	now := f.clock.Now()
	defer f.closeEvicted()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		f.lingerIfDrained(c, now, plan)
	}
}

// closeIfDrained applies the drain plan to a connection whose last answer was just written, once the plan rejects requests: a
// client that always sends its next request at once would never be idle when drainSweep runs.
func (f *Front) closeIfDrained(cl *client) {
	plan, now := f.plan.Load(), f.clock.Now()
	if plan.AcceptsRequest(now) {
		return
	}
	defer f.closeEvicted()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lingerIfDrained(cl.conn, now, plan)
}

// lingerIfDrained ends a connection if the drain plan says so. Called with the front's lock held.
func (f *Front) lingerIfDrained(c *conn, now float64, plan *drain.Plan) {
	if c.stage == stageServing && plan.ShouldClose(now, c.drainState(now)) && c.beginLinger() {
		f.linger(c, ClosedForDrain)
	}
}
