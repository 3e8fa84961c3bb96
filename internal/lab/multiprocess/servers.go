package multiprocess

import (
	"fmt"
	"slices"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/policy"
)

// Move opens the board at another address, to which the next start and the next SIGHUP lead.
func (f *Field) Move() (old *fleet.DiscoveryListener, err error) {
	old = f.Door
	if f.Door, err = f.Board.Open("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return old, nil
}

// Members are the servers as the board has them.
func (f *Field) Members() []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

// Caches are the ready caches of a zone.
func (f *Field) Caches(zone int) (ids []policy.CacheID) {
	for _, m := range f.Members() {
		if m.Kind == kindCache && m.Zone == zone && m.State == policy.Ready {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Replace drains a cache and brings up another in its zone, cold, in its place.
func (f *Field) Replace(id policy.CacheID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.members, func(m membership.Member) bool { return m.ID == id })
	if i < 0 {
		return fmt.Errorf("no cache %d", id)
	}
	fresh, err := f.stand(f.next, fleet.Cache, f.members[i].Zone, f.Clock.Now())
	if err != nil {
		return err
	}
	f.next++
	f.members[i].State = policy.Draining
	f.told = append(f.told, fleet.Notification{At: f.Clock.Now() + toldWithin, Drains: []policy.CacheID{id}})
	f.Board.Change(f.members[i], fresh)
	f.members = append(f.members, fresh)
	return nil
}

// Remove has a cache that drains leave, with its machine.
func (f *Field) Remove(id policy.CacheID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(f.members, func(m membership.Member) bool { return m.ID == id })
	if i < 0 {
		return fmt.Errorf("no cache %d", id)
	}
	f.members[i].State = policy.Gone
	f.Board.Change(f.members[i])
	f.members = slices.Delete(f.members, i, i+1)
	f.Fleet.Server(id).Kill()
	return nil
}

// Lose ends caches as a power cut does: nobody is told.
func (f *Field) Lose(ids ...policy.CacheID) {
	for _, id := range ids {
		f.Fleet.Server(id).Kill()
	}
}

// Return brings caches back at their addresses, empty, and has the board tell when they started.
func (f *Field) Return(ids ...policy.CacheID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var back []membership.Member
	for i := range f.members {
		m := &f.members[i]
		if !slices.Contains(ids, m.ID) {
			continue
		}
		if _, err := f.Fleet.Start(m.ID, fleet.Cache, m.Addr); err != nil {
			return err
		}
		m.Started = clock.Duration(f.Clock.Now())
		back = append(back, *m)
	}
	f.Board.Change(back...)
	return nil
}

// Purge voids an object, or with none a group, and has the board tell of it.
func (f *Field) Purge(object string, group int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := f.Fleet.Purge(object, group)
	f.Board.Purge(object, group, at)
	f.told = append(f.told, fleet.Notification{At: at + toldWithin, Made: at, Purge: true, Object: object, Group: group})
}
