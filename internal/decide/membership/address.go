package membership

import (
	"fmt"

	"ravenwheel/policy"
)

// inTheWay is another server that is in use or drains at the address that one is listed with; nil: there is none. One
// that drains is over if the newcomer was started after it began to: two processes can't listen at one address.
func (l *Table) inTheWay(r *record, c *claim) *record {
	for {
		first := policy.CacheID(0)
		found := false
		for id := range l.at[c.Addr] {
			if id != r.id && (!found || id < first) {
				first, found = id, true
			}
		}
		if !found {
			return nil
		}
		other := l.records[first]
		if at, _, _ := other.word(); at >= 0 || other.phase != Draining || float64(c.said.Started)/1e6 <= other.since {
			return other
		}
		l.move(other, Gone, other.facts, fmt.Sprintf("server %d was started at its address", r.id))
	}
}

// occupy books a server at an address, and has those looked at again that waited for the one it leaves.
func (l *Table) occupy(r *record, addr string) {
	if r.holds == addr {
		return
	}
	if left := r.holds; left != "" {
		if delete(l.at[left], r.id); len(l.at[left]) == 0 {
			delete(l.at, left)
		}
		for id := range l.queue[left] {
			if l.records[id] != nil {
				l.touched[id] = struct{}{}
			}
		}
		delete(l.queue, left)
	}
	if r.holds = addr; addr != "" {
		book(l.at, addr, r.id)
	}
}

// vacate has a server that waits for an address let go of the one that it was in use at, its work there being over. Two
// that swap their addresses would wait for one another for good.
func (l *Table) vacate(r *record) {
	l.occupy(r, "")
	if r.before = false; r.told {
		gone := r.facts
		gone.State = policy.Gone
		l.changed = append(l.changed, gone)
		r.told = false
	}
}

func book(m map[string]map[policy.CacheID]struct{}, addr string, id policy.CacheID) {
	if m[addr] == nil {
		m[addr] = map[policy.CacheID]struct{}{}
	}
	m[addr][id] = struct{}{}
}
