package membership

import (
	"fmt"

	"ravenwheel/policy"
)

// resolveAddressConflict returns another server that is in use or draining at the address that the sources list for s, or
// nil. Two processes can't listen at one address: if s was started after a drain there began, that drain is over, and the
// server that drained is gone from now on.
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

// reservedBy returns the server with the lowest id, other than except, that holds an address, or nil.
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

// reserveAddress makes addr ("": none) the address of s, and reconciles the servers that wait for the one it gives up.
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

// abandonAddress ends the use of a server at its old address while it waits for a new one: its drain there is over.
// Without this, two servers that swap addresses would wait for each other for ever.
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

func insert(sets map[string]map[policy.ServerID]struct{}, addr string, id policy.ServerID) {
	if sets[addr] == nil {
		sets[addr] = map[policy.ServerID]struct{}{}
	}
	sets[addr][id] = struct{}{}
}
