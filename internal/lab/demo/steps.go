package demo

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"slices"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/policy"
)

// Servers of the list in deploy/ that the steps change.
const (
	changedServer = policy.ServerID(1) // gets another weight
	removedServer = policy.ServerID(2) // is removed and listed again
	addedServer   = policy.ServerID(6) // is added with addedHost and addedAddress
	addedHost     = "127.0.20.6"
	addedAddress  = "127.0.20.6:4100"
	// changedZone is the zone of which the list that drops too many servers keeps only changedServer.
	changedZone = "bangkok"
)

// purgedGroup is the group of objects that is purged.
const purgedGroup = 17

// Pauses before each step and after the last one, in seconds.
const (
	pauseBefore = 1.5
	pauseAfter  = 2
)

// drainNotificationTimeout is the time, in ms from the change of the list on, after which the proxy is taken to know of a drain,
// unless it uses the list earlier.
const drainNotificationTimeout = 2000

// step is one change that an operator makes while the proxy serves.
type step func(context.Context) error

// lists are the versions of the server list that the proxy uses one after the other.
type lists struct {
	initial         *serverlist.List
	withoutServer   *serverlist.List // removedServer is missing
	withAddedServer *serverlist.List // addedServer is added, and changedServer has four times the weight
	restored        *serverlist.List // removedServer is listed again
}

// newLists derives the versions of a list.
func newLists(initial *serverlist.List) lists {
	l := lists{initial: initial}
	l.withoutServer = nextGeneration(initial, func(servers []serverlist.Server) []serverlist.Server {
		return slices.DeleteFunc(servers, func(s serverlist.Server) bool { return s.ID == removedServer })
	})
	l.withAddedServer = nextGeneration(l.withoutServer, func(servers []serverlist.Server) []serverlist.Server {
		changed := &servers[indexOf(servers, changedServer)]
		added := *changed
		added.ID, added.Host, added.Addr = addedServer, addedHost, addedAddress
		changed.Weight *= 4
		return append(servers, added)
	})
	l.restored = nextGeneration(l.withAddedServer, func(servers []serverlist.Server) []serverlist.Server {
		return append(servers, initial.Servers[indexOf(initial.Servers, removedServer)])
	})
	return l
}

// dropsTooMany returns a list that drops so many servers that the proxy must reject it.
func (l lists) dropsTooMany() *serverlist.List {
	return nextGeneration(l.withAddedServer, func(servers []serverlist.Server) []serverlist.Server {
		return slices.DeleteFunc(servers, func(s serverlist.Server) bool {
			return s.Zone == changedZone && s.ID != changedServer || s.Kind == "parent"
		})
	})
}

// nextGeneration returns the next generation of a list, with the servers that change returns.
func nextGeneration(list *serverlist.List, change func([]serverlist.Server) []serverlist.Server) *serverlist.List {
	return &serverlist.List{Generation: list.Generation + 1, Servers: change(slices.Clone(list.Servers))}
}

func indexOf(servers []serverlist.Server, id policy.ServerID) int {
	return slices.IndexFunc(servers, func(s serverlist.Server) bool { return s.ID == id })
}

// runSteps makes the changes, with a pause before each.
func (d *demonstration) runSteps(ctx context.Context, initial *serverlist.List) error {
	l := newLists(initial)
	steps := []step{
		func(ctx context.Context) error { return d.truncateList(ctx, l.withoutServer) },
		func(ctx context.Context) error { return d.duplicateAddress(ctx, l.withoutServer) },
		func(ctx context.Context) error { return d.removeServer(ctx, l.withoutServer) },
		d.purge,
		func(ctx context.Context) error { return d.addServer(ctx, l.withAddedServer) },
		func(ctx context.Context) error {
			return d.replaceRejected(ctx, serverlist.Format(l.dropsTooMany()), "a list that drops half of the servers")
		},
		func(ctx context.Context) error { return d.restoreServer(ctx, l.restored) },
	}
	for _, step := range steps {
		if err := d.pause(ctx, pauseBefore); err != nil {
			return err
		}
		if err := step(ctx); err != nil {
			return err
		}
	}
	return d.pause(ctx, pauseAfter)
}

// truncateList overwrites the list in place with its first half, as an editor does that is killed while it writes.
func (d *demonstration) truncateList(ctx context.Context, list *serverlist.List) error {
	text := serverlist.Format(list)
	if err := os.WriteFile(d.listPath, text[:len(text)/2], 0o600); err != nil {
		return err
	}
	return d.awaitRejection(ctx, "a list of which the second half is missing")
}

// duplicateAddress replaces the list by one in which two servers have the same address.
func (d *demonstration) duplicateAddress(ctx context.Context, list *serverlist.List) error {
	text := bytes.Replace(serverlist.Format(list), []byte("127.0.20.3:"), []byte("127.0.20.1:"), 1)
	return d.replaceRejected(ctx, text, "a list with the same address twice")
}

// removeServer replaces the list by one without removedServer, which then drains. It records the notification with the latest
// time that it may have, and corrects the time once the proxy uses the list.
func (d *demonstration) removeServer(ctx context.Context, list *serverlist.List) error {
	d.notifications = append(d.notifications, fleet.Notification{
		At: d.clock.Now() + drainNotificationTimeout, Draining: []policy.ServerID{removedServer},
	})
	if err := d.replaceAccepted(ctx, list, "a list without %s: it drains", serverlist.FormatID(removedServer)); err != nil {
		return err
	}
	d.notifications[len(d.notifications)-1].At = d.clock.Now()
	return nil
}

// purge purges a group of objects at the servers and notifies the proxy.
func (d *demonstration) purge(context.Context) error {
	group := purgedGroup
	d.fleet.Purge("", group)
	if err := admin.Call(d.operator.Admin.Listen, "/v1/purge", admin.PurgeRequest{Group: &group}, &map[string]float64{}); err != nil {
		return fmt.Errorf("purge group %d: %w", group, err)
	}
	d.notifications = append(d.notifications, fleet.Notification{At: d.clock.Now(), Purge: true, Group: group})
	d.printf("group %d of the objects is purged, and the proxy was notified", group)
	return nil
}

// addServer starts addedServer and replaces the list by one that has it, and another weight for changedServer.
func (d *demonstration) addServer(ctx context.Context, list *serverlist.List) error {
	if err := d.startServers(list); err != nil {
		return err
	}
	return d.replaceAccepted(ctx, list, "a list with the new server %s and another weight for %s",
		serverlist.FormatID(addedServer), serverlist.FormatID(changedServer))
}

// restoreServer waits until removedServer has drained, and lists it again.
func (d *demonstration) restoreServer(ctx context.Context, list *serverlist.List) error {
	id := serverlist.FormatID(removedServer)
	drained := func(s admin.ServersResponse) bool {
		return slices.ContainsFunc(s.Servers, func(x admin.ServerStatus) bool { return x.ID == id && x.Phase == "gone" })
	}
	if err := d.await(ctx, "the removed server has drained", drained); err != nil {
		return err
	}
	d.printf("%s has drained and is gone", id)
	d.notifications = append(d.notifications, fleet.Notification{At: d.clock.Now(), Ready: []policy.ServerID{removedServer}})
	return d.replaceAccepted(ctx, list, "rolled back: %s is listed again, and the proxy treats it as newly started", id)
}
