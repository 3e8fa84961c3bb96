package membership

import (
	"fmt"

	"ravenwheel/policy"
)

// resolveAddressConflict returns another server that is in use or draining at the address listed for s, or nil. Two
// processes can't listen at one address: if s was started after an unlisted server began to drain there, that server has
// ended, and is gone from now on.
func (t *Table) resolveAddressConflict(s *server, entry *sourceEntry) *server {
	for {
		other := t.reservedBy(entry.Addr, s.id)
		if other == nil {
			return nil
		}
		startedMs := toMs(entry.reported.Started)
		if other.merge().factsSource >= 0 || other.phase != Draining || startedMs <= other.since {
			return other
		}
		t.transition(other, Gone, other.current, fmt.Sprintf("server %d was started at its address", s.id))
	}
}

// reservedBy returns the server for which an address is reserved, other than except, or nil. Of several it returns the one
// with the lowest id.
func (t *Table) reservedBy(addr string, except policy.ServerID) *server {
	lowest, found := policy.ServerID(0), false
	for id := range t.reservations[addr] {
		if id != except && (!found || id < lowest) {
			lowest, found = id, true
		}
	}
	if !found {
		return nil
	}
	return t.servers[lowest]
}

// reserveAddress reserves addr ("": none) for s in place of the address that was reserved for it before. The servers that
// wait for that one are reconciled.
func (t *Table) reserveAddress(s *server, addr string) {
	if s.addr == addr {
		return
	}
	if s.addr != "" {
		t.freeAddress(s)
	}
	if s.addr = addr; addr != "" {
		insert(t.reservations, addr, s.id)
	}
}

// freeAddress ends the reservation of a server's address, and marks the servers that wait for it.
func (t *Table) freeAddress(s *server) {
	if delete(t.reservations[s.addr], s.id); len(t.reservations[s.addr]) == 0 {
		delete(t.reservations, s.addr)
	}
	for id := range t.waiting[s.addr] {
		if t.servers[id] != nil {
			t.markDirty(id)
		}
	}
	delete(t.waiting, s.addr)
}

// abandonAddress ends the drain of a server at its old address while the server waits for its new one. Without this, two
// servers that swap addresses would wait for each other forever.
func (t *Table) abandonAddress(s *server) {
	t.reserveAddress(s, "")
	s.restored = false
	if !s.published {
		return
	}
	gone := s.current
	gone.State = policy.Gone
	t.changed = append(t.changed, gone)
	s.published = false
}

// insert adds a server to the set of an address.
func insert(sets map[string]map[policy.ServerID]struct{}, addr string, id policy.ServerID) {
	if sets[addr] == nil {
		sets[addr] = map[policy.ServerID]struct{}{}
	}
	sets[addr][id] = struct{}{}
}
