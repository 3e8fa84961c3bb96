package main

import (
	"errors"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// The operations of an operator apply to all members of the store or, without one, to this proxy and its recorded state. A
// subscriber, which is not a member, rejects them with admin.ErrNotMember.

// storeList is the name of the only list that the store holds.
const storeList = "servers"

// errNoStore is the error of pushing a list to a proxy that is not a member of a store.
var errNoStore = errors.New("a list can be pushed only to a store, and no store is configured")

// Purge implements admin.Operations. The purge is in force here before it is recorded, and recorded before others are notified. If
// a crash in between loses the purge, no other process knows of it.
func (s *serverSources) Purge(p core.Purge) error {
	if s.isSubscriber() {
		return admin.ErrNotMember
	}
	s.core.ApplyPurge(p)
	var err error
	if s.state != nil {
		err = s.state.RecordPurge(recovery.Purge{Object: p.Object, Group: p.Group, IssuedAt: p.At, NotifiedAt: p.At})
	}
	if s.isMember() {
		err = errors.Join(err, s.proposePurge(p))
	}
	return err
}

// proposePurge puts a purge into the store, for as long as copies from before the purge may be found in caches.
func (s *serverSources) proposePurge(p core.Purge) error {
	settings := s.core.Settings()
	expires := p.At + 2*clock.Ms(settings.PurgeDuration) + clock.Ms(settings.PurgeGrace)
	_, err := s.shared.store.Propose(storestate.Change{
		Kind: storestate.AddPurge, ExpiresAt: expires, Purge: &storestate.Purge{Object: p.Object, Group: p.Group, IssuedAt: p.At},
	})
	return err
}

// handlePurge puts a purge of which a source has notified this process in force, and records it.
func (s *serverSources) handlePurge(p core.Purge) {
	s.core.ApplyPurge(p)
	if s.state != nil {
		s.state.RecordPurgeAsync(recovery.Purge{Object: p.Object, Group: p.Group, IssuedAt: p.At, NotifiedAt: s.clock.Now()})
	}
}

// IsKnown implements control.Servers.
func (s *serverSources) IsKnown(id policy.ServerID) bool { return s.registry.IsKnown(id) }

// Drain implements admin.Operations. In a member of the store, a drain that starts is in force here before the store records it; the
// end of a drain is in force once this member has applied the store's change.
func (s *serverSources) Drain(id policy.ServerID, on bool) error {
	switch {
	case s.isSubscriber():
		return admin.ErrNotMember
	case !s.isMember():
		return s.setManualDrain(id, on)
	case on:
		return s.startDrain(id)
	}
	_, err := s.shared.store.Propose(storestate.Change{Kind: storestate.EndDrain, Name: serverlist.FormatID(id)})
	return err
}

// startDrain starts a drain in this member, and then in the store. If the store does not accept it, it stays in force here.
func (s *serverSources) startDrain(id policy.ServerID) error {
	change := storestate.Change{ID: store.NewChangeID(), Kind: storestate.StartDrain, Name: serverlist.FormatID(id)}
	s.shared.drains.Begin(change.Name, change.ID)
	_ = s.setManualDrain(id, true) // the store holds the drain, and the recorder logs its own errors
	_, err := s.shared.store.Propose(change)
	if err != nil {
		s.shared.drains.Forget(change.Name, change.ID)
	}
	return err
}

// setManualDrain starts or ends the manual drain of a server in this process, and records it.
func (s *serverSources) setManualDrain(id policy.ServerID, on bool) error {
	s.registry.Handle(membership.ManualDrain{ID: id, On: on})
	if s.state == nil {
		return nil
	}
	return s.state.RecordManualDrain(uint64(id), on)
}

// PushList implements admin.Operations. For a list that can't be used, the error holds its defects.
func (s *serverSources) PushList(file string, text []byte) (*serverlist.List, error) {
	switch {
	case s.isSubscriber():
		return nil, admin.ErrNotMember
	case !s.isMember():
		return nil, errNoStore
	}
	parsed, defects := serverlist.Parse([]serverlist.File{{Name: file, Data: text}}, s.requirements)
	if defects != nil {
		return nil, defects
	}
	previous, err := s.storedList()
	if err != nil {
		return nil, err
	}
	list, defects := parsed.Resolve(s.resolver.Resolve(parsed.Hosts()), previous)
	if defects != nil {
		return nil, defects
	}
	_, err = s.shared.store.Propose(storestate.Change{
		Kind: storestate.SetList, Name: storeList, List: &storestate.List{Generation: list.Generation, Servers: list.Servers},
	})
	return list, err
}

// storedList returns the list that the store holds, or nil if it holds none.
func (s *serverSources) storedList() (list *serverlist.List, err error) {
	err = s.shared.store.ReadLinearizable(func(st *storestate.State) {
		if stored, ok := st.Lists[storeList]; ok {
			list = serverlist.NewList(stored.Generation, stored.Servers)
		}
	})
	return list, err
}

func (s *serverSources) isMember() bool     { return s.shared.isMember(s.file) }
func (s *serverSources) isSubscriber() bool { return s.shared.isSubscriber(s.file) }
