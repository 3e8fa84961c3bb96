package peers

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Status is what operators see.
type Status struct {
	Name     string           `json:"name"`
	Addr     string           `json:"addr"`
	Alive    int              `json:"alive"`
	Set      string           `json:"set"`   // of those that are alive, with their addresses: equal where two processes agree
	Hears    int              `json:"hears"` // others of which a datagram was taken in the last hearFor
	Members  []Member         `json:"members,omitempty"`
	Sent     int64            `json:"sent_bytes"`
	Digests  int64            `json:"digest_bytes"` // of these; the rest is membership
	Streams  int64            `json:"stream_bytes"` // of these
	Received int64            `json:"received_bytes"`
	Dropped  map[string]int64 `json:"dropped"`
}

// hearFor ms: one that is cut off hears nobody long before it has given everybody up, one question after the other.
const hearFor = 10_000.0

// Set names a set of members, each as "name address", whatever their order.
func Set(members []string) string {
	var x uint64
	for _, m := range members {
		x ^= mark(m)
	}
	return fmt.Sprintf("%016x", x)
}

// mark of a member: the marks of a set, each taken in and out by exclusive or, tell it from others.
func mark(member string) uint64 {
	sum := sha256.Sum256([]byte(member))
	return binary.BigEndian.Uint64(sum[:])
}

// Brief is how this process stands among its peers, without those that it knows.
func (p *Peers) Brief() Status {
	d := &p.post.Dropped
	s := Status{
		Name: p.opt.Name, Addr: p.addr(), Hears: p.post.hears(hearFor), Sent: p.net.Sent.Load(), Received: p.net.Received.Load(),
		Digests: p.net.Digests.Load(), Streams: p.net.Streams.Load(),
		Dropped: map[string]int64{
			"malformed": d.Malformed.Load(), "unknown": d.Unknown.Load(), "forged": d.Forged.Load(), "replayed": d.Replayed.Load(),
			"old": d.Old.Load(), "misdirected": d.Misdirected.Load(), "flood": d.Flood.Load(), "refused": p.Refused.Load(),
		},
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Alive, s.Set = p.alive, fmt.Sprintf("%016x", p.set)
	return s
}

// Status is Brief and the members.
func (p *Peers) Status() Status {
	s := p.Brief()
	s.Members = p.Members()
	return s
}
