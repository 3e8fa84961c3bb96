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

// updateMember applies one entry. A server with a new start time begins its slow start, and what was learned
// about its health is reset.
func (r *Router) updateMember(member Member) {
	server, known := r.servers[member.ID]
	if !known {
		server = newServer(member.ID)
		r.servers[member.ID], r.serversByID = server, append(r.serversByID, server)
	}
	started := member.Started > 0 && member.Started != server.Started
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
		server.Down, server.ConsecutiveUnanswered, server.FailureRate, server.probing = false, 0, 0, false
	}
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
