package hollow

import (
	"bytes"

	"ravenwheel/internal/decide/distribution"
)

// storeEpoch is the epoch of a store that was never restored from a backup.
const storeEpoch = 1

// treePropagator implements ModeLevels with the deciders of internal/decide/distribution. It encodes and decodes their messages as
// the program does.
type treePropagator struct {
	sim              *simulation
	disconnectCauses map[string]int // ended subscriptions by cause; "dropped: " marks those that the distributor ended
}

func newTreePropagator(sim *simulation) *treePropagator {
	return &treePropagator{sim: sim, disconnectCauses: map[string]int{}}
}

// hasFreshnessGate implements propagator.
func (t *treePropagator) hasFreshnessGate() bool { return true }

// settings returns the distribution's default settings with the scenario's bounds, and a seed that differs for each process,
// incarnation and stream.
func (t *treePropagator) settings(p *process, stream int) distribution.Settings {
	s := distribution.DefaultSettings(streams[stream], p.peer())
	s.Seed = t.sim.scenario.Seed<<32 ^ uint64(p.id)<<8 ^ uint64(p.incarnation)<<2 ^ uint64(stream)
	s.MaxLag, s.MaxClockSkew = t.sim.scenario.MaxLagMs, t.sim.scenario.MaxClockSkewMs
	return s
}

// processStarted implements propagator.
func (t *treePropagator) processStarted(p *process) {
	if p.full {
		p.applier = newApplier(t.sim, p, p.role == StoreMember)
	}
	for stream := range streamCount {
		t.startStream(p, stream)
	}
}

func (t *treePropagator) startStream(p *process, stream int) {
	settings := t.settings(p, stream)
	p.streams[stream] = streamNode{
		relay:           newRelay(p.role, settings),
		upstreamConns:   map[distribution.Link]*conn{},
		subscriberConns: map[distribution.Link]*conn{},
	}
	p.gates[stream] = distribution.NewFreshnessGate(settings)
	if p.role != StoreMember {
		t.handleAtSubscriber(p, stream, distribution.Candidates{Peers: t.sim.candidates(p)})
	}
	if p.role == ZoneDistributor || p.role == Relay {
		t.handleAtDistributor(p, stream, t.sim.demand(p))
	}
}

// newRelay creates a relay with the parts that a role has: a distributor, a subscriber or both.
func newRelay(role Role, settings distribution.Settings) *distribution.Relay {
	switch role {
	case StoreMember:
		return &distribution.Relay{Distributor: distribution.NewDistributor(settings)}
	case Proxy:
		return &distribution.Relay{Subscriber: distribution.NewSubscriber(settings)}
	}
	return distribution.NewRelay(settings)
}

// entriesApplied implements propagator.
func (t *treePropagator) entriesApplied(member *process, applied []*logEntry, watermarkAt int64) {
	var byStream [streamCount][]distribution.Entry
	for _, entry := range applied {
		byStream[entry.stream] = append(byStream[entry.stream], entry.streamEntry)
	}
	for stream, entries := range byStream {
		if len(entries) == 0 {
			continue
		}
		if member.applied[stream] == 0 {
			member.applied[stream] = len(entries)
			t.installAtRoot(member, stream, watermarkAt)
			continue
		}
		through := entries[len(entries)-1].Sequence
		last := t.sim.log.streams[stream][member.applied[stream]-1]
		member.applied[stream] += len(entries)
		t.handleAtDistributor(member, stream, distribution.Apply{
			Epoch: storeEpoch, After: last.streamEntry.Sequence, Through: through, Entries: entries,
			Watermark: distribution.Watermark{Sequence: through, At: watermarkAt},
		})
	}
}

// installAtRoot passes the state of a member of the store to the member's distributor, as a snapshot.
func (t *treePropagator) installAtRoot(member *process, stream int, watermarkAt int64) {
	length := member.applied[stream]
	through := t.sim.log.streams[stream][length-1].streamEntry.Sequence
	t.handleAtDistributor(member, stream, distribution.InstallSnapshot{
		Epoch: storeEpoch, Through: through, Entries: t.sim.log.snapshot(stream, length, int64(t.sim.clockOf(member))),
		Watermark: distribution.Watermark{Sequence: through, At: watermarkAt},
	})
}

// watermarkAdvanced implements propagator.
func (t *treePropagator) watermarkAdvanced(member *process, watermarkAt int64) {
	for stream, log := range t.sim.log.streams {
		if length := member.applied[stream]; length > 0 {
			watermark := distribution.Watermark{Sequence: log[length-1].streamEntry.Sequence, At: watermarkAt}
			t.handleAtDistributor(member, stream, distribution.AdvanceWatermark{Epoch: storeEpoch, Watermark: watermark})
		}
	}
}

// messageReceived implements propagator.
func (t *treePropagator) messageReceived(p *process, c *conn, upward bool, content *payload) {
	message, ok := t.decode(p, content)
	if !ok {
		return
	}
	e := distribution.Received{Message: message, Bytes: content.size}
	if upward {
		e.Link = p.streams[c.stream].subscriberLink(c)
		t.handleAtDistributor(p, c.stream, e)
		return
	}
	e.Link = c.upstreamLink
	t.handleAtSubscriber(p, c.stream, e)
}

// subscriberLink returns the link of a subscriber's connection. It assigns one at the first message on the connection.
func (n *streamNode) subscriberLink(c *conn) distribution.Link {
	if c.subscriberLink == 0 {
		n.lastLink++
		c.subscriberLink = n.lastLink
		n.subscriberConns[c.subscriberLink] = c
	}
	return c.subscriberLink
}

// decode decodes a frame. A full process decodes its own copy, as its heap is measured; the others share one decoded message.
func (t *treePropagator) decode(p *process, content *payload) (message distribution.Message, ok bool) {
	if !p.full {
		if content.decoded == nil {
			content.decoded, _ = distribution.Decode(content.frame.Bytes)
		}
		return content.decoded, true
	}
	message, err := distribution.Decode(bytes.Clone(content.frame.Bytes))
	if err != nil {
		t.sim.checker.violation("%s: a received frame cannot be decoded: %v", p.name, err)
		return nil, false
	}
	return message, true
}

// connected implements propagator.
func (t *treePropagator) connected(p *process, c *conn) {
	t.handleAtSubscriber(p, c.stream, distribution.Connected{Link: c.upstreamLink})
}

// connectionLost implements propagator.
func (t *treePropagator) connectionLost(p *process, c *conn) {
	node := &p.streams[c.stream]
	if p == c.from {
		delete(node.upstreamConns, c.upstreamLink)
		t.handleAtSubscriber(p, c.stream, distribution.Disconnected{Link: c.upstreamLink})
		return
	}
	if c.subscriberLink != 0 {
		delete(node.subscriberConns, c.subscriberLink)
		t.handleAtDistributor(p, c.stream, distribution.Disconnected{Link: c.subscriberLink})
	}
}

// timerFired implements propagator.
func (t *treePropagator) timerFired(p *process, slot timerSlot) {
	switch {
	case slot == slotMembership:
		p.applier.tableTimerFired()
	case slot >= slotDistributor:
		t.handleAtDistributor(p, int(slot-slotDistributor), distribution.Tick{})
	default:
		t.handleAtSubscriber(p, int(slot-slotSubscriber), distribution.Tick{})
	}
}

// handleAtSubscriber passes an event to a process's subscriber. In a process that is also a distributor, the relay passes the
// result on to the distributor.
func (t *treePropagator) handleAtSubscriber(p *process, stream int, e distribution.Event) {
	relay := p.streams[stream].relay
	if relay.Distributor == nil {
		t.runSubscriberActions(p, stream, relay.Subscriber.Handle(t.sim.clockOf(p), e))
		return
	}
	subscriberActions, distributorActions := relay.HandleParentEvent(t.sim.clockOf(p), e)
	t.runSubscriberActions(p, stream, subscriberActions)
	t.runDistributorActions(p, stream, distributorActions)
}

// handleAtDistributor passes an event to a process's distributor.
func (t *treePropagator) handleAtDistributor(p *process, stream int, e distribution.Event) {
	t.runDistributorActions(p, stream, p.streams[stream].relay.Distributor.Handle(t.sim.clockOf(p), e))
}

func (t *treePropagator) runSubscriberActions(p *process, stream int, actions []distribution.Action) {
	for _, action := range actions {
		t.runSubscriberAction(p, stream, action)
	}
}

func (t *treePropagator) runSubscriberAction(p *process, stream int, action distribution.Action) {
	node := &p.streams[stream]
	switch action := action.(type) {
	case distribution.Apply:
		p.applyEntries(action.Entries)
		t.sim.checker.checkApply(p, stream, action)
	case distribution.InstallSnapshot:
		p.applyEntries(action.Entries)
		t.sim.checker.checkSnapshot(p, stream, action)
		t.sim.snapshots++
	case distribution.AdvanceWatermark:
		t.sim.checker.resolveOmitted(p, stream, action.Watermark.Sequence)
	case distribution.SetFreshness:
		p.gates[stream].Update(action.State)
	case distribution.Connect:
		node.upstreamConns[action.Link] = t.sim.dial(p, t.sim.byName[action.To.Name], stream, action.Link)
	case distribution.Disconnect:
		if c := node.upstreamConns[action.Link]; c != nil {
			delete(node.upstreamConns, action.Link)
			t.sim.disconnect(c, p)
		}
	case distribution.SendMessage:
		if c := node.upstreamConns[action.Link]; c != nil {
			frame := distribution.Encode(action.Message)
			t.sim.send(c, true, &payload{size: len(frame.Bytes), frame: frame})
		}
	case distribution.Unsubscribed:
		t.disconnectCauses[action.Cause.String()]++
	case distribution.Wake:
		t.sim.setTimer(p, slotSubscriber+timerSlot(stream), action.After)
	default:
		t.sim.checker.violation("%s: unknown action of a subscriber: %T", p.name, action)
	}
}

// applyEntries applies entries if the process is full.
func (p *process) applyEntries(entries []distribution.Entry) {
	if p.applier == nil {
		return
	}
	for _, entry := range entries {
		p.applier.applyEntry(entry)
	}
}

func (t *treePropagator) runDistributorActions(p *process, stream int, actions []distribution.Action) {
	node := &p.streams[stream]
	for _, action := range actions {
		switch action := action.(type) {
		case distribution.SendFrame:
			content := &payload{size: len(action.Frame.Bytes), frame: action.Frame}
			for _, link := range action.Links {
				if c := node.subscriberConns[link]; c != nil {
					t.sim.send(c, false, content)
				}
			}
		case distribution.CloseLink:
			if c := node.subscriberConns[action.Link]; c != nil {
				delete(node.subscriberConns, action.Link)
				t.sim.disconnect(c, p)
			}
			t.disconnectCauses["dropped: "+action.Cause.String()]++
		case distribution.Wake:
			t.sim.setTimer(p, slotDistributor+timerSlot(stream), action.After)
		default:
			t.sim.checker.violation("%s: unknown action of a distributor: %T", p.name, action)
		}
	}
}
