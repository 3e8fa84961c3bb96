package hollow

import (
	"bytes"
	"fmt"

	"ravenwheel/internal/decide/distribution"
)

// way is how what the store commits gets to the processes.
type propagator interface {
	processStarted(p *process)                              // a process starts, with nothing
	entriesApplied(p *process, batch []*logEntry, at int64) // a member of the store has applied these
	watermarkAdvanced(p *process, at int64)                 // a member of the store has learned how complete it is
	messageReceived(p *process, c *conn, up bool, load *payload)
	connected(p *process, c *conn)
	lost(p *process, c *conn)
	timerFired(p *process, slot int)
	hasFreshnessGate() bool // processes say when they may be behind
}

// levels is the way of internal/decide/distribution: the very machines, their messages encoded and decoded.
type treePropagator struct {
	sim              *simulation
	disconnectCauses map[string]int // why subscribers left distributors
}

// guards implements way.
func (l *treePropagator) hasFreshnessGate() bool { return true }

// storeEpoch is that of a store that never began anew.
const storeEpoch = 1

func (l *treePropagator) settings(p *process, stream int) distribution.Settings {
	s := distribution.DefaultSettings(streamNames[stream], p.peer())
	s.Seed = l.sim.scenario.Seed<<32 ^ uint64(p.id)<<8 ^ uint64(p.incarnation)<<2 ^ uint64(stream)
	s.MaxLag, s.MaxClockSkew = l.sim.scenario.MaxLagMs, l.sim.scenario.MaxClockSkewMs
	return s
}

// begin implements way.
func (l *treePropagator) processStarted(p *process) {
	if p.full {
		p.applier = newApplier(l.sim, p, p.role == Store)
	}
	for stream := range streamNames {
		x := &p.streams[stream]
		*x = streamNode{upstreamConns: map[distribution.Link]*conn{}, subscriberConns: map[distribution.Link]*conn{}}
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
			l.handleFromAbove(p, stream, distribution.Candidates{Peers: l.sim.candidates(p)})
		}
		if p.role == Zone || p.role == Relay {
			l.runDistributorActions(p, stream, x.relay.Distributor.Handle(l.sim.clockOf(p), l.sim.demand(p)))
		}
	}
}

// root tells a member of the store's distributor the state that the member has.
func (l *treePropagator) installRootSnapshot(p *process, stream int, markAt int64) {
	h, at := l.sim.log, p.applied[stream]
	now := l.sim.clockOf(p)
	through := h.streams[stream][at-1].entry.Sequence
	r := distribution.InstallSnapshot{
		Epoch: storeEpoch, Through: through, Entries: h.snapshot(stream, at, int64(now)),
		Watermark: distribution.Watermark{Sequence: through, At: markAt},
	}
	l.runDistributorActions(p, stream, p.streams[stream].relay.Distributor.Handle(now, r))
}

// committed implements way.
func (l *treePropagator) entriesApplied(p *process, batch []*logEntry, at int64) {
	var split [2][]distribution.Entry
	for _, c := range batch {
		split[c.stream] = append(split[c.stream], c.entry)
	}
	log := l.sim.log.streams
	for stream, entries := range split {
		if len(entries) == 0 {
			continue
		}
		through := entries[len(entries)-1].Sequence
		mark := distribution.Watermark{Sequence: through, At: at}
		if p.applied[stream] == 0 {
			p.applied[stream] = len(entries)
			l.installRootSnapshot(p, stream, at)
			continue
		}
		a := distribution.Apply{Epoch: storeEpoch, After: log[stream][p.applied[stream]-1].entry.Sequence, Through: through, Watermark: mark, Entries: entries}
		p.applied[stream] += len(entries)
		l.runDistributorActions(p, stream, p.streams[stream].relay.Distributor.Handle(l.sim.clockOf(p), a))
	}
}

// marked implements way.
func (l *treePropagator) watermarkAdvanced(p *process, at int64) {
	for stream, log := range l.sim.log.streams {
		if n := p.applied[stream]; n > 0 {
			mark := distribution.Watermark{Sequence: log[n-1].entry.Sequence, At: at}
			d := p.streams[stream].relay.Distributor
			l.runDistributorActions(p, stream, d.Handle(l.sim.clockOf(p), distribution.AdvanceWatermark{Epoch: storeEpoch, Watermark: mark}))
		}
	}
}

// receive implements way.
func (l *treePropagator) messageReceived(p *process, c *conn, up bool, load *payload) {
	m := load.decoded
	if p.full {
		// A process of its own would have these bytes in memory of its own.
		var err error
		if m, err = distribution.Decode(bytes.Clone(load.frame.Bytes)); err != nil {
			l.sim.checker.violation("%s: a frame that can't be read: %v", p.name, err)
			return
		}
	} else if m == nil {
		m, _ = distribution.Decode(load.frame.Bytes)
		load.decoded = m
	}
	e := distribution.Received{Message: m, Bytes: load.size}
	if up {
		if c.subscriberLink == 0 {
			x := &p.streams[c.stream]
			x.lastLink++
			c.subscriberLink = x.lastLink
			x.subscriberConns[c.subscriberLink] = c
		}
		e.Link = c.subscriberLink
		l.runDistributorActions(p, c.stream, p.streams[c.stream].relay.Distributor.Handle(l.sim.clockOf(p), e))
		return
	}
	e.Link = c.upstreamLink
	l.handleFromAbove(p, c.stream, e)
}

// connected implements way.
func (l *treePropagator) connected(p *process, c *conn) {
	l.handleFromAbove(p, c.stream, distribution.Connected{Link: c.upstreamLink})
}

// lost implements way.
func (l *treePropagator) lost(p *process, c *conn) {
	x := &p.streams[c.stream]
	if p == c.from {
		delete(x.upstreamConns, c.upstreamLink)
		l.handleFromAbove(p, c.stream, distribution.Disconnected{Link: c.upstreamLink})
		return
	}
	if c.subscriberLink != 0 {
		delete(x.subscriberConns, c.subscriberLink)
		l.runDistributorActions(p, c.stream, x.relay.Distributor.Handle(l.sim.clockOf(p), distribution.Disconnected{Link: c.subscriberLink}))
	}
}

// tick implements way.
func (l *treePropagator) timerFired(p *process, slot int) {
	if slot == slotLedger {
		p.applier.tick()
		return
	}
	if slot >= slotDistributor {
		stream := slot - slotDistributor
		l.runDistributorActions(p, stream, p.streams[stream].relay.Distributor.Handle(l.sim.clockOf(p), distribution.Tick{}))
		return
	}
	l.handleFromAbove(p, slot, distribution.Tick{})
}

// above has the subscriber of a process take an event, and what follows from it in the distributor.
func (l *treePropagator) handleFromAbove(p *process, stream int, e distribution.Event) {
	r := p.streams[stream].relay
	if r.Distributor == nil {
		for _, a := range r.Subscriber.Handle(l.sim.clockOf(p), e) {
			l.runSubscriberAction(p, stream, a)
		}
		return
	}
	above, below := r.HandleAbove(l.sim.clockOf(p), e)
	for _, a := range above {
		l.runSubscriberAction(p, stream, a)
	}
	l.runDistributorActions(p, stream, below)
}

// carry carries out one action of a subscriber.
func (l *treePropagator) runSubscriberAction(p *process, stream int, a distribution.Action) {
	x := &p.streams[stream]
	switch a := a.(type) {
	case distribution.Apply:
		for _, e := range a.Entries {
			l.applyEntry(p, e)
		}
		l.sim.checker.checkApply(p, stream, a)
	case distribution.InstallSnapshot:
		for _, e := range a.Entries {
			l.applyEntry(p, e)
		}
		l.sim.checker.checkSnapshot(p, stream, a)
		l.sim.snapshots++
	case distribution.AdvanceWatermark:
		l.sim.checker.resolveOmitted(p, stream, a.Watermark.Sequence)
	case distribution.SetFreshness:
		p.gates[stream].Update(a.State)
	case distribution.Connect:
		to := l.sim.byName[a.To.Name]
		x.upstreamConns[a.Link] = l.sim.dial(p, to, stream, a.Link)
	case distribution.Disconnect:
		if c := x.upstreamConns[a.Link]; c != nil {
			delete(x.upstreamConns, a.Link)
			l.sim.disconnect(c, p)
		}
	case distribution.SendMessage:
		if c := x.upstreamConns[a.Link]; c != nil {
			f := distribution.Encode(a.Message)
			l.sim.send(c, true, &payload{size: len(f.Bytes), frame: f})
		}
	case distribution.Unsubscribed:
		l.disconnectCauses[a.Cause.String()]++
	case distribution.Wake:
		l.sim.setTimer(p, slotSubscriber+stream, a.After)
	default:
		l.sim.checker.violation("%s: a subscriber wants %T", p.name, a)
	}
}

// enforce puts an entry in force, as the process's shell does.
func (l *treePropagator) applyEntry(p *process, e distribution.Entry) {
	if p.applier != nil {
		p.applier.applyEntry(e)
	}
}

// below carries out the actions of a distributor.
func (l *treePropagator) runDistributorActions(p *process, stream int, actions []distribution.Action) {
	x := &p.streams[stream]
	for _, a := range actions {
		switch a := a.(type) {
		case distribution.SendFrame:
			load := &payload{size: len(a.Frame.Bytes), frame: a.Frame}
			for _, link := range a.Links {
				if c := x.subscriberConns[link]; c != nil {
					l.sim.send(c, false, load)
				}
			}
		case distribution.CloseLink:
			if c := x.subscriberConns[a.Link]; c != nil {
				delete(x.subscriberConns, a.Link)
				l.sim.disconnect(c, p)
			}
			l.disconnectCauses["dropped: "+a.Cause.String()]++
		case distribution.Wake:
			l.sim.setTimer(p, slotDistributor+stream, a.After)
		default:
			l.sim.checker.violation("%s: a distributor wants %s", p.name, fmt.Sprintf("%T", a))
		}
	}
}
