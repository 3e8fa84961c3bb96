package hollow

import (
	"ravenwheel/internal/decide/distribution"
)

// One way, in ms, by how far two processes are apart; between regions it grows with the steps round a ring.
const (
	latencyWithinSite, latencyWithinZone, latencyWithinRegion = 0.2, 0.5, 2.0
	latencyBetweenRegions, latencyPerRegionStep               = 12.0, 14.0
	// retransmitted: what a lost segment costs, about the least time-out of TCP.
	retransmissionTimeout = 200.0
)

// payload is what a message carries: a frame of the distribution, decoded once for those that do not hold everything, or
// one of today's way.
type payload struct {
	size          int
	frame         *distribution.Frame
	decoded       distribution.Message
	appendMessage any
}

// conn is a connection that one process opened to another.
type conn struct {
	id                             uint32
	from, to                       *process
	stream                         int
	upstreamLink, subscriberLink   distribution.Link // its number at either end
	closed                         bool              // one side ended it, or both processes know that it has
	broken                         bool              // nothing passes, and nobody was told
	lastUpArrival, lastDownArrival float64           // arrival of the last message each way: it stays in order
}

// distance is the time from one process to another.
func (sim *simulation) latency(a, b *process) float64 {
	switch {
	case a.region != b.region:
		d := a.region - b.region
		if d < 0 {
			d = -d
		}
		d = min(d, sim.scenario.Regions-d)
		return latencyBetweenRegions + latencyPerRegionStep*float64(d)
	case a.zone != b.zone:
		return latencyWithinRegion
	case a.site != b.site:
		return latencyWithinZone
	}
	return latencyWithinSite
}

// passes tells whether anything gets from one process to another.
func (sim *simulation) reachable(a, b *process) bool {
	return a.region == b.region || a.region != sim.cutRegion && b.region != sim.cutRegion
}

// dial opens a connection: one round trip for TCP, one for TLS. Nothing answers from beyond a cut or in a process that
// stands still; one that is gone refuses.
func (sim *simulation) dial(from, to *process, stream int, link distribution.Link) *conn {
	c := &conn{from: from, to: to, stream: stream, upstreamLink: link, id: uint32(len(sim.conns))}
	sim.conns = append(sim.conns, c)
	sim.trace.record(traceDial, stream, from.id, int(to.id), 0)
	way := sim.latency(from, to)
	if !sim.reachable(from, to) || to.stopped {
		c.broken = true
		return c
	}
	if !to.up {
		c.closed = true
		sim.push(event{at: sim.now + 2*way, kind: eventConnectionLost, conn: c, process: from, incarnation: from.incarnation})
		return c
	}
	sim.countBytes(&from.out, &to.in, from, to, sim.scenario.HandshakeBytes)
	sim.countBytes(&to.out, &from.in, to, from, sim.scenario.HandshakeBytes)
	sim.handshakes++
	c.lastUpArrival, c.lastDownArrival = sim.now+4*way, sim.now+4*way
	from.conns = append(from.conns, c)
	to.conns = append(to.conns, c)
	sim.push(event{at: sim.now + 4*way, kind: eventConnected, conn: c, process: from, incarnation: from.incarnation})
	return c
}

func (sim *simulation) countBytes(out, in *flow, from, to *process, bytes int) {
	out.Bytes, in.Bytes = out.Bytes+int64(bytes), in.Bytes+int64(bytes)
	from.phaseOutBytes, to.phaseInBytes = from.phaseOutBytes+int64(bytes), to.phaseInBytes+int64(bytes)
}

// send puts a message on a connection: it leaves after what the process sends already, and comes in order.
func (sim *simulation) send(c *conn, up bool, load *payload) {
	from, to, last := c.from, c.to, &c.lastUpArrival
	if !up {
		from, to, last = c.to, c.from, &c.lastDownArrival
	}
	sim.trace.record(traceSend, boolToInt(up), int32(c.id), load.size, 0)
	if c.closed {
		return
	}
	bytes := load.size + sim.scenario.RecordBytes
	from.sendFreeAt = max(from.sendFreeAt, sim.now) + float64(bytes)/from.sendRate
	from.out.Bytes += int64(bytes)
	from.out.Messages++
	from.phaseOutBytes += int64(bytes)
	if c.broken {
		return
	}
	at := from.sendFreeAt + sim.latency(from, to)
	if sim.lossProbability > 0 && sim.networkRand.Float64() < sim.lossProbability {
		at += retransmissionTimeout + 2*sim.latency(from, to)
	}
	*last = max(*last, at)
	sim.push(event{at: *last, kind: eventDeliver, conn: c, upward: up, payload: load, process: to, incarnation: to.incarnation})
}

// deliver is a message's arrival.
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
	case p.stopped:
		p.inbox = append(p.inbox, e)
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

// take is a message read by its receiver.
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

// leave is hangUp as a machine asks for it.
func (sim *simulation) disconnect(c *conn, by *process) {
	sim.trace.record(traceDisconnect, boolToInt(by == c.from), int32(c.id), 0, 0)
	sim.closeConn(c, by)
}

// readLater has a slow process read its next message once it has the time for it, and all at once when it is slow no more.
func (sim *simulation) scheduleRead(p *process) {
	life, wait := p.incarnation, 0.0
	if p.receiveRate > 0 {
		wait = float64(p.unread[0].payload.size+sim.scenario.RecordBytes) / p.receiveRate
	}
	sim.after(wait, func() {
		if p.incarnation != life || len(p.unread) == 0 {
			return
		}
		e := p.unread[0]
		if p.unread = p.unread[1:]; len(p.unread) > 0 {
			defer sim.scheduleRead(p)
		}
		sim.readMessage(e)
	})
}

// hangUp ends a connection from one side. The other learns of it after all that was sent to it.
func (sim *simulation) closeConn(c *conn, by *process) {
	if c.closed {
		return
	}
	other, last := c.to, c.lastUpArrival
	if by == c.to {
		other, last = c.from, c.lastDownArrival
	}
	sim.detach(c)
	if c.broken || !sim.reachable(by, other) {
		c.closed = true
		return
	}
	at := max(last, max(sim.now, by.sendFreeAt)+sim.latency(by, other))
	sim.push(event{at: at, kind: eventConnectionLost, conn: c, process: other, incarnation: other.incarnation, upward: by == c.from})
}

// lost tells a process that a connection has ended.
func (sim *simulation) connectionLost(e event) {
	if e.process.stopped {
		e.process.inbox = append(e.process.inbox, e)
		return
	}
	if e.conn.broken || !e.process.up || e.process.incarnation != e.incarnation {
		return
	}
	e.conn.closed = true
	sim.meter.lost(sim, e.process, e.conn)
}

// forget takes a connection out of both ends' lists.
func (sim *simulation) detach(c *conn) {
	for _, p := range []*process{c.from, c.to} {
		for i, x := range p.conns {
			if x == c {
				p.conns[i] = p.conns[len(p.conns)-1]
				p.conns = p.conns[:len(p.conns)-1]
				break
			}
		}
	}
}

// breakAll has a process's connections end as its kernel ends them.
func (sim *simulation) closeAll(p *process) {
	for len(p.conns) > 0 {
		sim.closeConn(p.conns[len(p.conns)-1], p)
	}
}

// cutOff cuts a region from all others: connections that cross carry nothing any more, and stay dead.
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
