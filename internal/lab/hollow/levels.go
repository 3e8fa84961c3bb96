package hollow

import (
	"bytes"
	"fmt"

	"ravenwheel/internal/decide/distribution"
)

// way is how what the store commits gets to the processes.
type way interface {
	begin(p *process)                                   // a process starts, with nothing
	committed(p *process, batch []*committed, at int64) // a member of the store has applied these
	marked(p *process, at int64)                        // a member of the store has learned how complete it is
	receive(p *process, c *conn, up bool, load *payload)
	connected(p *process, c *conn)
	lost(p *process, c *conn)
	tick(p *process, slot int)
	guards() bool // processes say when they may be behind
}

// levels is the way of internal/decide/distribution: the very machines, their messages encoded and decoded.
type levels struct {
	w      *world
	causes map[string]int // why subscribers left distributors
}

// guards implements way.
func (l *levels) guards() bool { return true }

// storeEpoch is that of a store that never began anew.
const storeEpoch = 1

func (l *levels) settings(p *process, stream int) distribution.Settings {
	s := distribution.DefaultSettings(streams[stream], p.peer())
	s.Seed = l.w.spec.Seed<<32 ^ uint64(p.id)<<8 ^ uint64(p.life)<<2 ^ uint64(stream)
	s.MaxLag, s.MaxClockSkew = l.w.spec.BoundMs, l.w.spec.ClockBoundMs
	return s
}

// begin implements way.
func (l *levels) begin(p *process) {
	if p.whole {
		p.applier = newApplier(l.w, p, p.role == Store)
	}
	for stream := range streams {
		x := &p.sides[stream]
		*x = side{links: map[distribution.Link]*conn{}, below: map[distribution.Link]*conn{}}
		s := l.settings(p, stream)
		x.relay = &distribution.Relay{}
		switch p.role {
		case Store:
			x.relay.Distributor = distribution.NewDistributor(s)
		case Proxy:
			x.relay.Subscriber = distribution.NewSubscriber(s)
		default:
			x.relay = distribution.NewRelay(s)
		}
		p.gates[stream] = distribution.NewFreshnessGate(s)
		if p.role != Store {
			l.above(p, stream, distribution.Candidates{Peers: l.w.candidates(p)})
		}
		if p.role == Zone || p.role == Relay {
			l.below(p, stream, x.relay.Distributor.Handle(l.w.clock(p), l.w.demand(p)))
		}
	}
}

// root tells a member of the store's distributor the state that the member has.
func (l *levels) root(p *process, stream int, markAt int64) {
	h, at := l.w.history, p.next[stream]
	now := l.w.clock(p)
	through := h.log[stream][at-1].entry.Sequence
	r := distribution.InstallSnapshot{
		Epoch: storeEpoch, Through: through, Entries: h.whole(stream, at, int64(now)),
		Watermark: distribution.Watermark{Sequence: through, At: markAt},
	}
	l.below(p, stream, p.sides[stream].relay.Distributor.Handle(now, r))
}

// committed implements way.
func (l *levels) committed(p *process, batch []*committed, at int64) {
	var split [2][]distribution.Entry
	for _, c := range batch {
		split[c.stream] = append(split[c.stream], c.entry)
	}
	log := l.w.history.log
	for stream, entries := range split {
		if len(entries) == 0 {
			continue
		}
		through := entries[len(entries)-1].Sequence
		mark := distribution.Watermark{Sequence: through, At: at}
		if p.next[stream] == 0 {
			p.next[stream] = len(entries)
			l.root(p, stream, at)
			continue
		}
		a := distribution.Apply{Epoch: storeEpoch, After: log[stream][p.next[stream]-1].entry.Sequence, Through: through, Watermark: mark, Entries: entries}
		p.next[stream] += len(entries)
		l.below(p, stream, p.sides[stream].relay.Distributor.Handle(l.w.clock(p), a))
	}
}

// marked implements way.
func (l *levels) marked(p *process, at int64) {
	for stream, log := range l.w.history.log {
		if n := p.next[stream]; n > 0 {
			mark := distribution.Watermark{Sequence: log[n-1].entry.Sequence, At: at}
			d := p.sides[stream].relay.Distributor
			l.below(p, stream, d.Handle(l.w.clock(p), distribution.AdvanceWatermark{Epoch: storeEpoch, Watermark: mark}))
		}
	}
}

// receive implements way.
func (l *levels) receive(p *process, c *conn, up bool, load *payload) {
	m := load.shared
	if p.whole {
		// A process of its own would have these bytes in memory of its own.
		var err error
		if m, err = distribution.Decode(bytes.Clone(load.frame.Bytes)); err != nil {
			l.w.check.fail("%s: a frame that can't be read: %v", p.name, err)
			return
		}
	} else if m == nil {
		m, _ = distribution.Decode(load.frame.Bytes)
		load.shared = m
	}
	e := distribution.Received{Message: m, Bytes: load.size}
	if up {
		if c.below == 0 {
			x := &p.sides[c.stream]
			x.last++
			c.below = x.last
			x.below[c.below] = c
		}
		e.Link = c.below
		l.below(p, c.stream, p.sides[c.stream].relay.Distributor.Handle(l.w.clock(p), e))
		return
	}
	e.Link = c.link
	l.above(p, c.stream, e)
}

// connected implements way.
func (l *levels) connected(p *process, c *conn) {
	l.above(p, c.stream, distribution.Connected{Link: c.link})
}

// lost implements way.
func (l *levels) lost(p *process, c *conn) {
	x := &p.sides[c.stream]
	if p == c.from {
		delete(x.links, c.link)
		l.above(p, c.stream, distribution.Disconnected{Link: c.link})
		return
	}
	if c.below != 0 {
		delete(x.below, c.below)
		l.below(p, c.stream, x.relay.Distributor.Handle(l.w.clock(p), distribution.Disconnected{Link: c.below}))
	}
}

// tick implements way.
func (l *levels) tick(p *process, slot int) {
	if slot == slotLedger {
		p.applier.due()
		return
	}
	if slot >= slotDistributor {
		stream := slot - slotDistributor
		l.below(p, stream, p.sides[stream].relay.Distributor.Handle(l.w.clock(p), distribution.Tick{}))
		return
	}
	l.above(p, slot, distribution.Tick{})
}

// above has the subscriber of a process take an event, and what follows from it in the distributor.
func (l *levels) above(p *process, stream int, e distribution.Event) {
	r := p.sides[stream].relay
	if r.Distributor == nil {
		for _, a := range r.Subscriber.Handle(l.w.clock(p), e) {
			l.carry(p, stream, a)
		}
		return
	}
	above, below := r.HandleAbove(l.w.clock(p), e)
	for _, a := range above {
		l.carry(p, stream, a)
	}
	l.below(p, stream, below)
}

// carry carries out one action of a subscriber.
func (l *levels) carry(p *process, stream int, a distribution.Action) {
	x := &p.sides[stream]
	switch a := a.(type) {
	case distribution.Apply:
		for _, e := range a.Entries {
			l.enforce(p, e)
		}
		l.w.check.applied(p, stream, a)
	case distribution.InstallSnapshot:
		for _, e := range a.Entries {
			l.enforce(p, e)
		}
		l.w.check.replaced(p, stream, a)
		l.w.snapshots++
	case distribution.AdvanceWatermark:
		l.w.check.settle(p, stream, a.Watermark.Sequence)
	case distribution.SetFreshness:
		p.gates[stream].Update(a.State)
	case distribution.Connect:
		to := l.w.byName[a.To.Name]
		x.links[a.Link] = l.w.dial(p, to, stream, a.Link)
	case distribution.Disconnect:
		if c := x.links[a.Link]; c != nil {
			delete(x.links, a.Link)
			l.w.leave(c, p)
		}
	case distribution.SendMessage:
		if c := x.links[a.Link]; c != nil {
			f := distribution.Encode(a.Message)
			l.w.send(c, true, &payload{size: len(f.Bytes), frame: f})
		}
	case distribution.Unsubscribed:
		l.causes[a.Cause.String()]++
	case distribution.Wake:
		l.w.wake(p, slotSubscriber+stream, a.After)
	default:
		l.w.check.fail("%s: a subscriber wants %T", p.name, a)
	}
}

// enforce puts an entry in force, as the process's shell does.
func (l *levels) enforce(p *process, e distribution.Entry) {
	if p.applier != nil {
		p.applier.entry(e)
	}
}

// below carries out the actions of a distributor.
func (l *levels) below(p *process, stream int, actions []distribution.Action) {
	x := &p.sides[stream]
	for _, a := range actions {
		switch a := a.(type) {
		case distribution.SendFrame:
			load := &payload{size: len(a.Frame.Bytes), frame: a.Frame}
			for _, link := range a.Links {
				if c := x.below[link]; c != nil {
					l.w.send(c, false, load)
				}
			}
		case distribution.CloseLink:
			if c := x.below[a.Link]; c != nil {
				delete(x.below, a.Link)
				l.w.leave(c, p)
			}
			l.causes["dropped: "+a.Cause.String()]++
		case distribution.Wake:
			l.w.wake(p, slotDistributor+stream, a.After)
		default:
			l.w.check.fail("%s: a distributor wants %s", p.name, fmt.Sprintf("%T", a))
		}
	}
}
