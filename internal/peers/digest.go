package peers

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/decide/fleetview"
)

// tick publishes what was counted since.
func (p *Peers) publishDigest() {
	now := p.options.Clock.Now()
	arrivals, totals := p.options.Totals()
	nodes := p.memberlist.Members() // before the lock: memberlist holds its own while it tells of a member
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.cancelTick = p.options.Clock.After(p.options.DigestInterval, p.publishDigest)
	for _, o := range p.options.Objects() {
		p.sketch.Add(o)
	}
	// A count that loses a quarter each tick stands for 1/(1-0.75) ticks.
	heavy := slices.DeleteFunc(p.sketch.Top(maxObjects, (1-sketchDecay)*1000/p.options.DigestInterval), func(h fleetview.ObjectRate) bool {
		return h.Rate.Value() < minObjectRate
	})
	p.sketch.Decay(sketchDecay)
	news := p.collector.Collect(now, arrivals, totals, heavy)
	p.view.Merge(now, news)
	p.view.Expire(now)
	near, far := p.digestTargets(nodes)
	var whole []fleetview.Digest
	if len(far) > 0 {
		whole = p.view.Snapshot(now, p.options.Name)
		for i := range whole {
			whole[i].Age = 0 // it is this process's own word, and holds as of now
		}
	}
	p.mu.Unlock()
	p.sendDigest(near, news)
	for _, d := range whole {
		p.sendDigest(far, d)
	}
}

// targets draws whom to tell.
func (p *Peers) digestTargets(nodes []*memberlist.Node) (near, far []*memberlist.Node) {
	for _, n := range nodes {
		m := p.members[n.Name]
		switch {
		case n.Name == p.options.Name || m == nil || m.State != StateAlive:
		case m.Zone == p.options.Zone:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	draw := func(nodes []*memberlist.Node, most int) []*memberlist.Node {
		p.rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		return nodes[:min(most, len(nodes))]
	}
	return draw(near, maxZoneTargets), draw(far, maxRemoteTargets)
}

func (p *Peers) sendDigest(to []*memberlist.Node, d fleetview.Digest) {
	d.From, d.Incarnation = "", 0 // the envelope tells
	p.mu.Lock()
	set := p.aliveSet
	p.mu.Unlock()
	for first := true; first || len(d.Servers) > 0; first = false {
		part := d
		part.Servers = d.Servers[:min(maxServersPerDatagram, len(d.Servers))]
		d.Servers = d.Servers[len(part.Servers):]
		raw, err := cbor.Marshal(part)
		if err != nil {
			return
		}
		for _, n := range to {
			_ = p.transport.send(n.FullAddress(), kindDigest, binary.BigEndian.AppendUint64(raw[:len(raw):len(raw)], set))
		}
	}
}

// heard takes in a digest of a sender that was checked, in one of its starts, and the mark of whom it takes for alive. Nobody
// speaks for another.
func (p *Peers) receiveDigest(from string, start uint64, body []byte) {
	var d fleetview.Digest
	end := max(0, len(body)-8)
	if err := cbor.Unmarshal(body[:end], &d); err != nil || d.From != "" || d.Incarnation != 0 || d.Age != 0 {
		p.RejectedDigests.Add(1)
		return
	}
	d.From, d.Incarnation = from, start
	p.mu.Lock()
	defer p.mu.Unlock()
	if binary.BigEndian.Uint64(body[end:]) == p.aliveSet {
		p.agreeing++
	} else {
		p.disagreeing++
	}
	if p.view.Merge(p.options.Clock.Now(), d) == fleetview.LimitExceeded {
		p.RejectedDigests.Add(1)
	}
}
