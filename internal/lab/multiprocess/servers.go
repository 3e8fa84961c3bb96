package multiprocess

import (
	"fmt"
	"slices"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/policy"
)

// UnknownServerError is returned for a server that is not in the endpoint list.
type UnknownServerError struct{ ID policy.ServerID }

// Error implements error.
func (e UnknownServerError) Error() string {
	return fmt.Sprintf("server %s is not in the endpoint list", serverlist.FormatID(e.ID))
}

// MoveDiscovery opens the discovery service at another address. Processes use it after their next Start or Reload. It returns the
// previous listener, which the caller closes.
func (c *Cluster) MoveDiscovery() (previous *fleet.DiscoveryListener, err error) {
	previous = c.DiscoveryListener
	if c.DiscoveryListener, err = c.Discovery.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return previous, nil
}

// Members returns the servers as the discovery service lists them.
func (c *Cluster) Members() []membership.Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.members)
}

// ReadyCaches returns the caches of a zone that are ready.
func (c *Cluster) ReadyCaches(zone int) (ids []policy.ServerID) {
	for _, m := range c.Members() {
		if m.Kind == kindCache && m.Zone == zone && m.State == policy.Ready {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// memberIndex returns the index of a server in the endpoint list. The caller holds the lock.
func (c *Cluster) memberIndex(id policy.ServerID) (int, error) {
	index := slices.IndexFunc(c.members, func(m membership.Member) bool { return m.ID == id })
	if index < 0 {
		return 0, UnknownServerError{id}
	}
	return index, nil
}

// ReplaceCache drains a cache and starts another one, without copies, in its zone.
func (c *Cluster) ReplaceCache(id policy.ServerID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	index, err := c.memberIndex(id)
	if err != nil {
		return err
	}
	successor, err := c.startServer(c.nextCache, fleet.Cache, c.members[index].Zone, c.Clock.Now())
	if err != nil {
		return err
	}
	c.nextCache++
	c.members[index].State = policy.Draining
	c.notifications = append(c.notifications, fleet.Notification{At: c.Clock.Now() + notificationTimeout, Draining: []policy.ServerID{id}})
	c.Discovery.Change(c.members[index], successor)
	c.members = append(c.members, successor)
	return nil
}

// RemoveCache removes a draining cache from the endpoint list and kills it.
func (c *Cluster) RemoveCache(id policy.ServerID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	index, err := c.memberIndex(id)
	if err != nil {
		return err
	}
	c.members[index].State = policy.Gone
	c.Discovery.Change(c.members[index])
	c.members = slices.Delete(c.members, index, index+1)
	c.Fleet.Server(id).Kill()
	return nil
}

// KillCaches kills caches. The discovery service keeps listing them as ready.
func (c *Cluster) KillCaches(ids ...policy.ServerID) {
	for _, id := range ids {
		c.Fleet.Server(id).Kill()
	}
}

// RestartCaches starts killed caches at their addresses, without copies, and publishes their start times.
func (c *Cluster) RestartCaches(ids ...policy.ServerID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var restarted []membership.Member
	for i := range c.members {
		m := &c.members[i]
		if !slices.Contains(ids, m.ID) {
			continue
		}
		if _, err := c.Fleet.Start(m.ID, fleet.Cache, m.Addr); err != nil {
			return err
		}
		m.Started = clock.Duration(c.Clock.Now())
		restarted = append(restarted, *m)
	}
	c.Discovery.Change(restarted...)
	return nil
}

// Purge purges an object, or a group of objects if object is empty, and publishes the purge.
func (c *Cluster) Purge(object string, group int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.Fleet.Purge(object, group)
	c.Discovery.Purge(object, group, at)
	c.notifications = append(c.notifications, fleet.Notification{
		At: at + notificationTimeout, PurgedAt: at, Purge: true, Object: object, Group: group,
	})
}
