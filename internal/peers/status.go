package peers

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// Status is what operators see.
type Status struct {
	Name          string           `json:"name"`
	Addr          string           `json:"addr"`
	Alive         int              `json:"alive"`
	Fingerprint   string           `json:"set"`   // of those that are alive, with their addresses: equal where two processes agree
	Heard         int              `json:"hears"` // others of which a datagram was taken in the last hearFor
	Members       []Member         `json:"members,omitempty"`
	SentBytes     int64            `json:"sent_bytes"`
	DigestBytes   int64            `json:"digest_bytes"` // of these; the rest is membership
	StreamBytes   int64            `json:"stream_bytes"` // of these
	ReceivedBytes int64            `json:"received_bytes"`
	Dropped       map[string]int64 `json:"dropped"`
}

// hearFor ms: one that is cut off hears nobody long before it has given everybody up, one question after the other.
const heardWindow = 10_000.0

// Set names a set of members, each as "name address", whatever their order.
func MembersFingerprint(members []string) string {
	var x uint64
	for _, m := range members {
		x ^= memberHash(m)
	}
	return fmt.Sprintf("%016x", x)
}

// mark of a member: the marks of a set, each taken in and out by exclusive or, tell it from others.
func memberHash(member string) uint64 {
	sum := sha256.Sum256([]byte(member))
	return binary.BigEndian.Uint64(sum[:])
}

// Brief is how this process stands among its peers, without those that it knows.
func (p *Peers) Summary() Status {
	d := &p.sealer.dropped
	s := Status{
		Name: p.options.Name, Addr: p.address(), Heard: p.sealer.heardWithin(heardWindow), SentBytes: p.transport.sentBytes.Load(), ReceivedBytes: p.transport.receivedBytes.Load(),
		DigestBytes: p.transport.digestBytes.Load(), StreamBytes: p.transport.streamBytes.Load(),
		Dropped: map[string]int64{
			"malformed": d.Malformed.Load(), "unknown": d.UnknownSender.Load(), "forged": d.Forged.Load(), "replayed": d.Replayed.Load(),
			"old": d.Expired.Load(), "misdirected": d.Misdirected.Load(), "flood": d.RateLimited.Load(), "refused": p.RejectedDigests.Load(),
		},
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.Alive, s.Fingerprint = p.aliveCount, fmt.Sprintf("%016x", p.aliveSet)
	return s
}

// Status is Brief and the members.
func (p *Peers) Status() Status {
	s := p.Summary()
	s.Members = p.Members()
	return s
}
