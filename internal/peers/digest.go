package peers

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/decide/fleetview"
)

const (
	// rateWindow is the time over which the rates in digests are measured, in ms.
	rateWindow = 3000
	// Each digest is sent to at most maxZoneTargets members of this zone and maxRemoteTargets others, drawn anew for each digest,
	// so that the number of bytes that a process sends does not grow with the fleet.
	maxZoneTargets, maxRemoteTargets = 16, 2
	// maxServersPerDatagram limits the servers of a digest in one datagram, so that they fit into it.
	maxServersPerDatagram = 32
	// sketchSize limits the objects that are counted, and maxObjects those that are published. sketchDecay is the factor by which
	// all counts are multiplied after each digest.
	sketchSize, maxObjects, sketchDecay = 64, 4, 0.75
	// minObjectRate is the rate, in requests per second at this process, below which an object is not published.
	minObjectRate = 0.5
	// fingerprintSize is the size, in bytes, of the fingerprint that follows a digest.
	fingerprintSize = 8
)

// publishDigest sends a digest and schedules the next one. The members drawn from this zone get the figures that have changed.
// Those drawn from other zones get all figures, because each of them is drawn rarely.
func (p *Peers) publishDigest() {
	now := p.options.Clock.Now()
	arrivals, totals := p.options.Totals()
	nodes := p.memberlist.Members() // before p.mu is locked, because memberlist holds its own lock while it calls memberChanged
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return
	}
	p.cancelTick = p.options.Clock.After(p.options.DigestInterval, p.publishDigest)
	changes := p.collector.Collect(now, arrivals, totals, p.heavyHitters())
	p.view.Merge(now, changes)
	p.view.Expire(now)
	zoneTargets, remoteTargets := p.digestTargets(nodes)
	var complete []fleetview.Digest
	if len(remoteTargets) > 0 {
		complete = p.view.Snapshot(now, p.options.Name)
		for i := range complete {
			complete[i].Age = 0 // this process is the publisher, and its figures are current
		}
	}
	p.mu.Unlock()
	p.sendDigest(zoneTargets, changes)
	for _, d := range complete {
		p.sendDigest(remoteTargets, d)
	}
}

// heavyHitters counts the objects that were requested since the last call, and returns those requested most with their rates. The
// caller holds the lock.
func (p *Peers) heavyHitters() []fleetview.ObjectRate {
	for _, object := range p.options.Objects() {
		p.sketch.Add(object)
	}
	// A count that is multiplied by sketchDecay after each digest covers the requests of 1/(1-sketchDecay) digests.
	perSecond := (1 - sketchDecay) * 1000 / p.options.DigestInterval
	objects := slices.DeleteFunc(p.sketch.Top(maxObjects, perSecond), func(o fleetview.ObjectRate) bool {
		return o.Rate.Value() < minObjectRate
	})
	p.sketch.Decay(sketchDecay)
	return objects
}

// digestTargets draws the members that a digest is sent to: up to maxZoneTargets of this zone, and up to maxRemoteTargets of
// others. The caller holds the lock.
func (p *Peers) digestTargets(nodes []*memberlist.Node) (zone, remote []*memberlist.Node) {
	for _, n := range nodes {
		m := p.members[n.Name]
		switch {
		case n.Name == p.options.Name || m == nil || m.State != StateAlive:
		case m.Zone == p.options.Zone:
			zone = append(zone, n)
		default:
			remote = append(remote, n)
		}
	}
	draw := func(nodes []*memberlist.Node, limit int) []*memberlist.Node {
		p.rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
		return nodes[:min(limit, len(nodes))]
	}
	return draw(zone, maxZoneTargets), draw(remote, maxRemoteTargets)
}

// sendDigest sends a digest in as many datagrams as it needs. Each datagram ends with the fingerprint of the members that this
// process counts as alive. The publisher and its incarnation are left out, because the envelope contains them.
func (p *Peers) sendDigest(to []*memberlist.Node, d fleetview.Digest) {
	d.From, d.Incarnation = "", 0
	p.mu.Lock()
	fingerprint := p.aliveFingerprint
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
			body := binary.BigEndian.AppendUint64(raw[:len(raw):len(raw)], fingerprint)
			_ = p.transport.send(n.FullAddress(), kindDigest, body)
		}
	}
}

// receiveDigest merges a digest that a verified sender published in one of its incarnations, and compares the sender's fingerprint
// of the alive members with that of this process. A digest that names a publisher itself is rejected, because it may be in the name
// of another process.
func (p *Peers) receiveDigest(from string, incarnation uint64, body []byte) {
	var d fleetview.Digest
	end := max(0, len(body)-fingerprintSize)
	if err := cbor.Unmarshal(body[:end], &d); err != nil || d.From != "" || d.Incarnation != 0 || d.Age != 0 {
		p.RejectedDigests.Add(1)
		return
	}
	d.From, d.Incarnation = from, incarnation
	p.mu.Lock()
	defer p.mu.Unlock()
	if binary.BigEndian.Uint64(body[end:]) == p.aliveFingerprint {
		p.agreeingDigests++
	} else {
		p.disagreeingDigests++
	}
	if p.view.Merge(p.options.Clock.Now(), d) == fleetview.LimitExceeded {
		p.RejectedDigests.Add(1)
	}
}
