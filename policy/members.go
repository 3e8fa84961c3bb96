package policy

import "time"

// watchRetryDelay is the time after a failed list before discovery is watched again.
const watchRetryDelay = time.Second

// handleMembers applies a list of servers, or changes to the list. A server that is missing from a full or
// cached list is no longer used.
func (r *Router) handleMembers(e Members) {
	if r.settings.WatchDiscovery && !r.watching {
		r.watching = true
		r.emit(Watch{On: true})
	}
	if e.Kind == ListFailed {
		if r.settings.WatchDiscovery {
			r.setTimer(watchRetryDelay, timer{kind: watchTimer})
		}
		return
	}
	if e.Kind != ListChanges {
		for _, server := range r.servers {
			server.listed = false
		}
	}
	for _, member := range e.Entries {
		r.updateMember(member)
	}
	r.rebuildLists()
	if r.settings.WeightsKnown && len(r.caches) > 0 {
		r.scaleLimits()
	}
}

// updateMember applies one entry. A server with a new start time is another process: it begins its slow
// start, what was learned about the health of the process before it is reset, and the attempts and hits of
// that process are not its own.
func (r *Router) updateMember(member Member) {
	server, known := r.servers[member.ID]
	started := member.Started > 0 && (!known || member.Started != server.Started)
	switch {
	case !known:
		server = newServer(member.ID)
		r.addServer(server)
	case started:
		server = r.replaceServer(server)
	}
	server.Member, server.listed = member, member.State != Gone
	switch {
	case member.Kind == r.settings.OriginKind:
		server.role = roleOrigin
	case member.Kind == r.settings.ParentKind:
		server.role = roleParent
	case member.Zone != r.settings.Zone:
		server.role = roleOtherZone
	default:
		server.role = roleCache
	}
	if !known && server.role == roleCache {
		server.Limit = cacheLimitStart / float64(r.routersSharing(server))
	}
	if started && server.role != roleOrigin {
		startedAt := min(member.Started, r.now) // the server's clock may be ahead
		r.startWarmUp(server, startedAt)
		server.RampStart, server.Ramping = startedAt, true
		server.Down, server.ConsecutiveUnanswered, server.FailureRate = false, 0, 0
	}
}

func (r *Router) addServer(server *server) {
	r.servers[server.ID] = server
	r.serversByID = append(r.serversByID, server)
}

// replaceServer returns the state of a server's new process. It starts with the limits of the process before
// it, which is no longer listed, and is forgotten once its attempts have ended.
func (r *Router) replaceServer(previous *server) *server {
	next := newServer(previous.ID)
	next.ServerStats = previous.ServerStats
	previous.listed = false
	r.addServer(next)
	return next
}

// scaleLimits adapts the number of attempts that a slot stands for, and the initial limits of sources, to the
// link capacities (weights) of the zone's caches.
func (r *Router) scaleLimits() {
	total := 0.0
	for _, cache := range r.caches {
		total += cache.Weight
	}
	r.limitScale = max(1, total/float64(len(r.caches))/referenceLinkTransfers)
	share := sourceLimitLinkFraction * total / float64(r.routersSharing(r.caches[0]))
	for _, server := range r.serversByID {
		if server.LimitUpdated == 0 && server.role != roleCache {
			server.Limit = min(sourceLimitStart, share)
		}
	}
}
