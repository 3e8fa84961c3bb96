package peers

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
)

// State is what is known of a member.
type MemberState string

// The states of members. Left said so itself.
const (
	StateAlive MemberState = "alive"
	StateGone  MemberState = "gone"
	StateLeft  MemberState = "left"
)

// Member is another process, or this one.
type Member struct {
	Name   string      `json:"name"`
	Addr   string      `json:"addr"`
	Zone   string      `json:"zone"`
	Region string      `json:"region,omitempty"`
	State  MemberState `json:"state"`
	Since  float64     `json:"since_ms"` // when it came into that state, as seen here
}

// Members are all that are known, by name, those that are gone among them.
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

// Forget drops one that is gone from what operators see, and its word from the view.
func (p *Peers) Forget(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[name]
	if m == nil || m.State == StateAlive {
		return fmt.Errorf("no member %q is gone", name)
	}
	delete(p.members, name)
	p.view.Forget(name)
	return nil
}

// note books what memberlist says of a member.
func (p *Peers) memberChanged(n *memberlist.Node, s MemberState) {
	var m memberMeta
	_ = cbor.Unmarshal(n.Meta, &m)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.members[n.Name] == nil && len(p.members) >= maxMembers {
		for name, x := range p.members {
			if x.State != StateAlive {
				delete(p.members, name)
			}
		}
	}
	if m := p.members[n.Name]; m != nil && m.State == StateAlive {
		p.aliveSet ^= memberHash(m.Name + " " + m.Addr)
		p.aliveCount--
	}
	if s == StateAlive {
		p.aliveSet ^= memberHash(n.Name + " " + n.Address())
		p.aliveCount++
	}
	p.members[n.Name] = &Member{Name: n.Name, Addr: n.Address(), Zone: m.Zone, Region: m.Region, State: s, Since: p.options.Clock.Now()}
}
