package hollow

import (
	"ravenwheel/internal/decide/distribution"
)

// One way, in ms, by how far two processes are apart; between regions it grows with the steps round a ring.
const (
	withinSite, withinZone, withinRegion = 0.2, 0.5, 2.0
	betweenRegions, perStep              = 12.0, 14.0
	// retransmitted: what a lost segment costs, about the least time-out of TCP.
	retransmitted = 200.0
)

// payload is what a message carries: a frame of the distribution, decoded once for those that do not hold everything, or
// one of today's way.
type payload struct {
	size   int
	frame  *distribution.Frame
	shared distribution.Message
	direct any
}

// conn is a connection that one process opened to another.
type conn struct {
	id               uint32
	from, to         *process
	stream           int
	link, below      distribution.Link // its number at either end
	closed           bool              // one side ended it, or both processes know that it has
	broken           bool              // nothing passes, and nobody was told
	lastUp, lastDown float64           // arrival of the last message each way: it stays in order
}

// distance is the time from one process to another.
func (w *world) distance(a, b *process) float64 {
	switch {
	case a.region != b.region:
		d := a.region - b.region
		if d < 0 {
			d = -d
		}
		d = min(d, w.spec.Regions-d)
		return betweenRegions + perStep*float64(d)
	case a.zone != b.zone:
		return withinRegion
	case a.site != b.site:
		return withinZone
	}
	return withinSite
}

// passes tells whether anything gets from one process to another.
func (w *world) passes(a, b *process) bool {
	return a.region == b.region || a.region != w.cutRegion && b.region != w.cutRegion
}

// dial opens a connection: one round trip for TCP, one for TLS. Nothing answers from beyond a cut or in a process that
// stands still; one that is gone refuses.
func (w *world) dial(from, to *process, stream int, link distribution.Link) *conn {
	c := &conn{from: from, to: to, stream: stream, link: link, id: uint32(len(w.conns))}
	w.conns = append(w.conns, c)
	w.tape.write(tapeDial, stream, from.id, int(to.id), 0)
	way := w.distance(from, to)
	if !w.passes(from, to) || to.stopped {
		c.broken = true
		return c
	}
	if !to.up {
		c.closed = true
		w.push(event{at: w.now + 2*way, kind: atLost, c: c, process: from, life: from.life})
		return c
	}
	w.count(&from.out, &to.in, from, to, w.spec.HandshakeBytes)
	w.count(&to.out, &from.in, to, from, w.spec.HandshakeBytes)
	w.handshakes++
	c.lastUp, c.lastDown = w.now+4*way, w.now+4*way
	from.conns = append(from.conns, c)
	to.conns = append(to.conns, c)
	w.push(event{at: w.now + 4*way, kind: atConnected, c: c, process: from, life: from.life})
	return c
}

func (w *world) count(out, in *flow, from, to *process, bytes int) {
	out.Bytes, in.Bytes = out.Bytes+int64(bytes), in.Bytes+int64(bytes)
	from.phaseO, to.phaseIn = from.phaseO+int64(bytes), to.phaseIn+int64(bytes)
}

// send puts a message on a connection: it leaves after what the process sends already, and comes in order.
func (w *world) send(c *conn, up bool, load *payload) {
	from, to, last := c.from, c.to, &c.lastUp
	if !up {
		from, to, last = c.to, c.from, &c.lastDown
	}
	w.tape.write(tapeSend, boolean(up), int32(c.id), load.size, 0)
	if c.closed {
		return
	}
	bytes := load.size + w.spec.RecordBytes
	from.outFree = max(from.outFree, w.now) + float64(bytes)/from.outRate
	from.out.Bytes += int64(bytes)
	from.out.Messages++
	from.phaseO += int64(bytes)
	if c.broken {
		return
	}
	at := from.outFree + w.distance(from, to)
	if w.loss > 0 && w.chance.Float64() < w.loss {
		at += retransmitted + 2*w.distance(from, to)
	}
	*last = max(*last, at)
	w.push(event{at: *last, kind: atDeliver, c: c, up: up, load: load, process: to, life: to.life})
}

// deliver is a message's arrival.
func (w *world) deliver(e event) {
	p, c := e.process, e.c
	from := c.from
	if !e.up {
		from = c.to
	}
	switch {
	case c.closed || c.broken || !p.up || p.life != e.life:
		return
	case !w.passes(from, p):
		c.broken = true
		return
	case p.stopped:
		p.inbox = append(p.inbox, e)
		return
	}
	if p.inRate > 0 || len(p.unread) > 0 {
		if p.unread = append(p.unread, e); len(p.unread) == 1 {
			w.readLater(p)
		}
		return
	}
	w.take(e)
}

// take is a message read by its receiver.
func (w *world) take(e event) {
	p, c := e.process, e.c
	if c.closed || c.broken {
		return
	}
	bytes := e.load.size + w.spec.RecordBytes
	p.in.Bytes += int64(bytes)
	p.in.Messages++
	p.phaseIn += int64(bytes)
	w.meter.receive(w, p, c, e.up, e.load)
}

// leave is hangUp as a machine asks for it.
func (w *world) leave(c *conn, by *process) {
	w.tape.write(tapeHang, boolean(by == c.from), int32(c.id), 0, 0)
	w.hangUp(c, by)
}

// readLater has a slow process read its next message once it has the time for it, and all at once when it is slow no more.
func (w *world) readLater(p *process) {
	life, wait := p.life, 0.0
	if p.inRate > 0 {
		wait = float64(p.unread[0].load.size+w.spec.RecordBytes) / p.inRate
	}
	w.after(wait, func() {
		if p.life != life || len(p.unread) == 0 {
			return
		}
		e := p.unread[0]
		if p.unread = p.unread[1:]; len(p.unread) > 0 {
			defer w.readLater(p)
		}
		w.take(e)
	})
}

// hangUp ends a connection from one side. The other learns of it after all that was sent to it.
func (w *world) hangUp(c *conn, by *process) {
	if c.closed {
		return
	}
	other, last := c.to, c.lastUp
	if by == c.to {
		other, last = c.from, c.lastDown
	}
	w.forget(c)
	if c.broken || !w.passes(by, other) {
		c.closed = true
		return
	}
	at := max(last, max(w.now, by.outFree)+w.distance(by, other))
	w.push(event{at: at, kind: atLost, c: c, process: other, life: other.life, up: by == c.from})
}

// lost tells a process that a connection has ended.
func (w *world) lost(e event) {
	if e.process.stopped {
		e.process.inbox = append(e.process.inbox, e)
		return
	}
	if e.c.broken || !e.process.up || e.process.life != e.life {
		return
	}
	e.c.closed = true
	w.meter.lost(w, e.process, e.c)
}

// forget takes a connection out of both ends' lists.
func (w *world) forget(c *conn) {
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
func (w *world) breakAll(p *process) {
	for len(p.conns) > 0 {
		w.hangUp(p.conns[len(p.conns)-1], p)
	}
}

// cutOff cuts a region from all others: connections that cross carry nothing any more, and stay dead.
func (w *world) cutOff(region int) {
	w.cutRegion = region
	for _, p := range w.processes {
		p.cut = p.region == region
		for _, c := range p.conns {
			if c.from.region != c.to.region && !w.passes(c.from, c.to) {
				c.broken = true
			}
		}
	}
}
