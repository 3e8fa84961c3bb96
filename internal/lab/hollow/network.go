package hollow

import (
	"ravenwheel/internal/decide/distribution"
)

// retransmissionTimeout is the time in ms after which a lost message is sent again: about TCP's minimum retransmission timeout.
const retransmissionTimeout = 200.0

// payload is the content of a message: a frame of the distribution, or a message of ModeDirect.
type payload struct {
	size          int                  // bytes
	frame         *distribution.Frame  // nil in ModeDirect and for replayed messages
	decoded       distribution.Message // frame decoded, shared by the processes that are not full
	appendMessage *appendMessage       // of ModeDirect
}

// conn is a connection that one process opened to another.
type conn struct {
	id              uint32
	from, to        *process
	stream          int
	upstreamLink    distribution.Link // its link number at from
	subscriberLink  distribution.Link // its link number at to; 0: none yet
	closed          bool              // by one side, or known to both as ended
	broken          bool              // messages no longer pass, which neither side has noticed
	lastUpArrival   float64           // virtual ms, of messages to `to`, which arrive in order
	lastDownArrival float64           // virtual ms, of messages to `from`
}

// dial opens a connection, which takes one round trip for TCP and one for TLS. A process that is suspended or behind a partition
// does not answer; one that is down refuses the connection.
func (sim *simulation) dial(from, to *process, stream int, link distribution.Link) *conn {
	c := &conn{from: from, to: to, stream: stream, upstreamLink: link, id: uint32(len(sim.conns))}
	sim.conns = append(sim.conns, c)
	sim.trace.record(tracedCall{kind: traceDial, detail: stream, id: from.id, size: int(to.id)})
	roundTrip := 2 * sim.latency(from, to)
	if !sim.reachable(from, to) || to.suspended {
		c.broken = true
		return c
	}
	if !to.up {
		c.closed = true
		sim.push(event{at: sim.now + roundTrip, kind: eventConnectionLost, conn: c, process: from, incarnation: from.incarnation})
		return c
	}
	sim.countBytes(from, to, sim.scenario.HandshakeBytes)
	sim.countBytes(to, from, sim.scenario.HandshakeBytes)
	sim.handshakes++
	opened := sim.now + 2*roundTrip
	c.lastUpArrival, c.lastDownArrival = opened, opened
	from.conns = append(from.conns, c)
	to.conns = append(to.conns, c)
	sim.push(event{at: opened, kind: eventConnected, conn: c, process: from, incarnation: from.incarnation})
	return c
}

// connectionOpened tells the process that dialled that the handshake is complete.
func (sim *simulation) connectionOpened(e event) {
	p := e.process
	if p.suspended {
		p.deferredEvents = append(p.deferredEvents, e)
		return
	}
	if p.up && p.incarnation == e.incarnation && !e.conn.closed && !e.conn.broken {
		sim.meter.connected(sim, p, e.conn)
	}
}

// countBytes counts bytes as traffic of both processes. They take up no time on the sender's link.
func (sim *simulation) countBytes(from, to *process, bytes int) {
	from.out.Bytes += int64(bytes)
	from.phaseOutBytes += int64(bytes)
	to.in.Bytes += int64(bytes)
	to.phaseInBytes += int64(bytes)
}

// send sends a message, upward to the distributor or downward to the subscriber. The message leaves after those that the process is
// already sending, and arrives after the earlier ones of its connection.
func (sim *simulation) send(c *conn, upward bool, content *payload) {
	from, to, lastArrival := c.from, c.to, &c.lastUpArrival
	if !upward {
		from, to, lastArrival = c.to, c.from, &c.lastDownArrival
	}
	sim.trace.record(tracedCall{kind: traceSend, detail: boolToInt(upward), id: int32(c.id), size: content.size})
	if c.closed {
		return
	}
	bytes := content.size + sim.scenario.RecordBytes
	from.sendFreeAt = max(from.sendFreeAt, sim.now) + float64(bytes)/from.sendRate
	from.out.Bytes += int64(bytes)
	from.out.Messages++
	from.phaseOutBytes += int64(bytes)
	if c.broken {
		return
	}
	arrival := from.sendFreeAt + sim.latency(from, to)
	if sim.lossProbability > 0 && sim.networkRand.Float64() < sim.lossProbability {
		arrival += retransmissionTimeout + 2*sim.latency(from, to)
	}
	*lastArrival = max(*lastArrival, arrival)
	sim.push(event{at: *lastArrival, kind: eventDeliver, conn: c, upward: upward, payload: content, process: to, incarnation: to.incarnation})
}

// deliver handles the arrival of a message. A suspended or slow process reads it later.
func (sim *simulation) deliver(e event) {
	p, c := e.process, e.conn
	from := c.from
	if !e.upward {
		from = c.to
	}
	switch {
	case c.closed || c.broken || !p.up || p.incarnation != e.incarnation:
		return
	case !sim.reachable(from, p):
		c.broken = true
		return
	case p.suspended:
		p.deferredEvents = append(p.deferredEvents, e)
		return
	}
	if p.receiveRate > 0 || len(p.unread) > 0 {
		if p.unread = append(p.unread, e); len(p.unread) == 1 {
			sim.scheduleRead(p)
		}
		return
	}
	sim.readMessage(e)
}

// readMessage counts a message as received and passes it to the receiver.
func (sim *simulation) readMessage(e event) {
	p, c := e.process, e.conn
	if c.closed || c.broken {
		return
	}
	bytes := e.payload.size + sim.scenario.RecordBytes
	p.in.Bytes += int64(bytes)
	p.in.Messages++
	p.phaseInBytes += int64(bytes)
	sim.meter.messageReceived(sim, p, c, e.upward, e.payload)
}

// scheduleRead schedules the next read of a slow process. A process that is no longer slow reads all remaining messages at once.
func (sim *simulation) scheduleRead(p *process) {
	incarnation, wait := p.incarnation, 0.0
	if p.receiveRate > 0 {
		wait = float64(p.unread[0].payload.size+sim.scenario.RecordBytes) / p.receiveRate
	}
	sim.after(wait, func() {
		if p.incarnation != incarnation || len(p.unread) == 0 {
			return
		}
		e := p.unread[0]
		if p.unread = p.unread[1:]; len(p.unread) > 0 {
			defer sim.scheduleRead(p)
		}
		sim.readMessage(e)
	})
}

// disconnect closes a connection on behalf of a propagator. Unlike closeConn it is recorded in the trace.
func (sim *simulation) disconnect(c *conn, by *process) {
	sim.trace.record(tracedCall{kind: traceDisconnect, detail: boolToInt(by == c.from), id: int32(c.id)})
	sim.closeConn(c, by)
}

// closeConn closes a connection from one side. The other side learns of it after it has received all that was sent to it.
func (sim *simulation) closeConn(c *conn, by *process) {
	if c.closed {
		return
	}
	other, lastArrival := c.to, c.lastUpArrival
	if by == c.to {
		other, lastArrival = c.from, c.lastDownArrival
	}
	removeConn(c)
	if c.broken || !sim.reachable(by, other) {
		c.closed = true
		return
	}
	at := max(lastArrival, max(sim.now, by.sendFreeAt)+sim.latency(by, other))
	sim.push(event{at: at, kind: eventConnectionLost, conn: c, process: other, incarnation: other.incarnation, upward: by == c.from})
}

// connectionLost tells a process that a connection has ended.
func (sim *simulation) connectionLost(e event) {
	if e.process.suspended {
		e.process.deferredEvents = append(e.process.deferredEvents, e)
		return
	}
	if e.conn.broken || !e.process.up || e.process.incarnation != e.incarnation {
		return
	}
	e.conn.closed = true
	sim.meter.connectionLost(sim, e.process, e.conn)
}

// removeConn removes a connection from the lists of both ends.
func removeConn(c *conn) {
	for _, p := range []*process{c.from, c.to} {
		for i, other := range p.conns {
			if other == c {
				p.conns[i] = p.conns[len(p.conns)-1]
				p.conns = p.conns[:len(p.conns)-1]
				break
			}
		}
	}
}

// closeAll closes the connections of a process that ends, as the operating system does.
func (sim *simulation) closeAll(p *process) {
	for len(p.conns) > 0 {
		sim.closeConn(p.conns[len(p.conns)-1], p)
	}
}

// partition cuts a region off from all others. Connections between it and the others break, and stay broken after the partition
// has healed.
func (sim *simulation) partition(region int) {
	sim.cutRegion = region
	for _, p := range sim.processes {
		p.partitioned = p.region == region
		for _, c := range p.conns {
			if c.from.region != c.to.region && !sim.reachable(c.from, c.to) {
				c.broken = true
			}
		}
	}
}
