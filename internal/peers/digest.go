package peers

import (
	"encoding/binary"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/decide/fleetview"
)

const (
	// rateWindow is the span over which rates are taken, in ms.
	rateWindow = 3000
	// maxZoneTargets members of this zone and maxRemoteTargets others are sent each digest, drawn anew: what one process sends does not
	// grow with the fleet.
	maxZoneTargets, maxRemoteTargets = 16, 2
	// maxServersPerDatagram is how many servers of a digest fit into one datagram.
	maxServersPerDatagram = 32
	// sketchSize is how many objects are counted, maxObjects how many of them are published, and sketchDecay the factor by which counts
	// are multiplied after each digest.
	sketchSize, maxObjects, sketchDecay = 64, 4, 0.75
	// minObjectRate is the rate, in requests a second of this process, below which an object is not published.
	minObjectRate = 0.5
	// fingerprintSize is the size of the fingerprint that follows a digest, in bytes.
	fingerprintSize = 8
)

// publishDigest sends what was counted since the last digest. Members of the zone get what has changed, others everything, as they are
// drawn rarely.
func (p *Peers) publishDigest() {
	now := p.options.Clock.Now()
	arrivals, totals := p.options.Totals()
	nodes := p.memberlist.Members() // before the lock, as memberlist holds its own lock while it reports a member
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
			complete[i].Age = 0 // this process publishes it, as of now
		}
	}
	p.mu.Unlock()
	p.sendDigest(zoneTargets, changes)
	for _, d := range complete {
		p.sendDigest(remoteTargets, d)
	}
}

// heavyHitters counts the objects that were requested since the last call, and returns those requested most. The caller holds the lock.
func (p *Peers) heavyHitters() []fleetview.ObjectRate {
	for _, object := range p.options.Objects() {
		p.sketch.Add(object)
	}
	// A count that keeps the fraction sketchDecay with each digest covers 1/(1-sketchDecay) digests.
	perSecond := (1 - sketchDecay) * 1000 / p.options.DigestInterval
	objects := slices.DeleteFunc(p.sketch.Top(maxObjects, perSecond), func(o fleetview.ObjectRate) bool {
		return o.Rate.Value() < minObjectRate
	})
	p.sketch.Decay(sketchDecay)
	return objects
}

// digestTargets draws the members that are sent a digest: some of this zone, and some others. The caller holds the lock.
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

// sendDigest sends a digest, in as many datagrams as it takes. Each of them ends with the fingerprint of the members that are alive
// to this process. The publisher and its incarnation are left out, as the envelope has them.
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

// receiveDigest takes in a digest of a verified sender, in one of its incarnations. A digest in the name of another process is rejected.
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
