package peers

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// maxMembers is how many members are held, including those that have failed or left, which operators can see. When it is reached, a
// new member removes all that have failed or left.
const maxMembers = 1024

// MemberState is the state of a member. Its text is shown to operators.
type MemberState string

// The states of a member.
const (
	StateAlive  MemberState = "alive"
	StateFailed MemberState = "gone" // it no longer answers
	StateLeft   MemberState = "left" // it announced that it leaves
)

// Member is a process of the fleet, this one among them.
type Member struct {
	Name   string      `json:"name"`
	Addr   string      `json:"addr"`
	Zone   string      `json:"zone"`
	Region string      `json:"region,omitempty"`
	State  MemberState `json:"state"`
	Since  float64     `json:"since_ms"` // Unix ms; when this process noticed that state
}

// Members returns all members, sorted by name, including those that have failed or left.
func (p *Peers) Members() []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Member, 0, len(p.members))
	for _, m := range p.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Forget removes a member that has failed or left, and its digests. It fails if there is no such member.
func (p *Peers) Forget(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	if m == nil || m.State == StateAlive {
		return fmt.Errorf("member %q is alive or unknown; only a member that has failed or left can be forgotten", name)
	}
	delete(p.members, name)
	p.view.Forget(name)
	return nil
}

// memberChanged records the state of a member that memberlist reports.
func (p *Peers) memberChanged(n *memberlist.Node, state MemberState) {
	var meta memberMeta
	_ = cbor.Unmarshal(n.Meta, &meta)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members[n.Name] == nil && len(p.members) >= maxMembers {
		for name, m := range p.members {
			if m.State != StateAlive {
				delete(p.members, name)
			}
		}
	}
	if m := p.members[n.Name]; m != nil && m.State == StateAlive {
		p.aliveFingerprint ^= memberHash(m.Name + " " + m.Addr)
		p.aliveCount--
	}
	if state == StateAlive {
		p.aliveFingerprint ^= memberHash(n.Name + " " + n.Address())
		p.aliveCount++
	}
	p.members[n.Name] = &Member{
		Name: n.Name, Addr: n.Address(), Zone: meta.Zone, Region: meta.Region, State: state, Since: p.options.Clock.Now(),
	}
}

// MembersFingerprint returns the fingerprint of a set of members, each as "name address". It does not depend on their order.
func MembersFingerprint(members []string) string {
	var fingerprint uint64
	for _, m := range members {
		fingerprint ^= memberHash(m)
	}
	return formatFingerprint(fingerprint)
}

func formatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// memberHash returns the hash of a member, given as "name address". The fingerprint of a set is the exclusive or of its members'
// hashes, so that the same operation adds a member and removes it.
func memberHash(member string) uint64 {
	sum := sha256.Sum256([]byte(member))
	return binary.BigEndian.Uint64(sum[:])
}
