package peers

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/decide/fleetview"
)

// tick publishes what was counted since.
func (p *Peers) tick() {
	now := p.opt.Clock.Now()
	arrivals, totals := p.opt.Totals()
	nodes := p.list.Members() // before the lock: memberlist holds its own while it tells of a member
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.stop = p.opt.Clock.After(p.opt.Every, p.tick)
	for _, o := range p.opt.Objects() {
		p.heavies.Add(o)
	}
	// A count that loses a quarter each tick stands for 1/(1-0.75) ticks.
	heavy := slices.DeleteFunc(p.heavies.Top(heavyTold, (1-heavyFade)*1000/p.opt.Every), func(h fleetview.ObjectRate) bool {
		return h.Rate.Value() < heavyLeast
	})
	p.heavies.Decay(heavyFade)
	news := p.collector.Collect(now, arrivals, totals, heavy)
	p.view.Merge(now, news)
	p.view.Expire(now)
	near, far := p.targets(nodes)
	var whole []fleetview.Digest
	if len(far) > 0 {
		whole = p.view.Snapshot(now, p.opt.Name)
		for i := range whole {
			whole[i].Age = 0 // it is this process's own word, and holds as of now
		}
	}
	p.mu.Unlock()
	p.tell(near, news)
	for _, d := range whole {
		p.tell(far, d)
	}
}

// targets draws whom to tell.
func (p *Peers) targets(nodes []*memberlist.Node) (near, far []*memberlist.Node) {
	for _, n := range nodes {
		m := p.members[n.Name]
		switch {
		case n.Name == p.opt.Name || m == nil || m.State != Alive:
		case m.Zone == p.opt.Zone:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	draw := func(nodes []*memberlist.Node, most int) []*memberlist.Node {
		p.rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		return nodes[:min(most, len(nodes))]
	}
	return draw(near, zoneMost), draw(far, farMost)
}

func (p *Peers) tell(to []*memberlist.Node, d fleetview.Digest) {
	d.From, d.Incarnation = "", 0 // the envelope tells
	p.mu.Lock()
	set := p.set
	p.mu.Unlock()
	for first := true; first || len(d.Servers) > 0; first = false {
		part := d
		part.Servers = d.Servers[:min(chunk, len(d.Servers))]
		d.Servers = d.Servers[len(part.Servers):]
		raw, err := cbor.Marshal(part)
		if err != nil {
			return
		}
		for _, n := range to {
			_ = p.net.send(n.FullAddress(), kindDigest, binary.BigEndian.AppendUint64(raw[:len(raw):len(raw)], set))
		}
	}
}

// heard takes in a digest of a sender that was checked, in one of its starts, and the mark of whom it takes for alive. Nobody
// speaks for another.
func (p *Peers) heard(from string, start uint64, body []byte) {
	var d fleetview.Digest
	end := max(0, len(body)-8)
	if err := cbor.Unmarshal(body[:end], &d); err != nil || d.From != "" || d.Incarnation != 0 || d.Age != 0 {
		p.Refused.Add(1)
		return
	}
	d.From, d.Incarnation = from, start
	p.mu.Lock()
	defer p.mu.Unlock()
	if binary.BigEndian.Uint64(body[end:]) == p.set {
		p.same++
	} else {
		p.others++
	}
	if p.view.Merge(p.opt.Clock.Now(), d) == fleetview.LimitExceeded {
		p.Refused.Add(1)
	}
}
