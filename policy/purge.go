package policy

import "time"

// minCopyAge is the lowest Fetch.MaxAge after a purge, since 0 means the class's FreshFor.
const minCopyAge = time.Microsecond

// handlePurged records the time of the latest purge of an object or a group.
func (r *Router) handlePurged(e Purged) {
	purgedAt := r.now - e.Age
	if e.Object != "" {
		previous, _ := r.objectPurges.get(e.Object)
		r.objectPurges.put(e.Object, max(purgedAt, previous))
		return
	}
	previous, _ := r.groupPurges.get(e.Group)
	r.groupPurges.put(e.Group, max(purgedAt, previous))
	r.lastGroupPurge, r.anyGroupPurged = max(purgedAt, r.lastGroupPurge), true
}

// groupPurgedAt returns when the request's group was purged last, and whether it was. The object of a request
// whose group is unknown may belong to any group, so the latest purge of any group counts.
func (r *Router) groupPurgedAt(req *openRequest) (purgedAt Time, purged bool) {
	if req.Group < 0 {
		return r.lastGroupPurge, r.anyGroupPurged
	}
	return r.groupPurges.get(req.Group)
}

// handleDiscoveryOverdue treats copies from before a given time as purged for as long as discovery is
// overdue, since purges made until then may not have been reported.
func (r *Router) handleDiscoveryOverdue(e DiscoveryOverdue) {
	r.discoveryOverdue, r.unseenPurgesUntil = e.Overdue, r.now-e.Age
}

// maxAge returns the maximum age of a copy that may answer the request, and whether a purge limits it. The
// age is the time since the latest purge, so it excludes every earlier copy, at the cache and at its source.
func (r *Router) maxAge(req *openRequest) (age time.Duration, purged bool) {
	purgedAt, purged := r.objectPurges.get(req.Object)
	if groupAt, found := r.groupPurgedAt(req); found && (!purged || groupAt > purgedAt) {
		purgedAt, purged = groupAt, true
	}
	if r.discoveryOverdue && (!purged || r.unseenPurgesUntil > purgedAt) {
		purgedAt, purged = r.unseenPurgesUntil, true
	}
	// Twice, as an old copy may have been in transfer from a source when the source dropped its own.
	if !purged || r.now-purgedAt > 2*r.settings.PurgeDuration {
		return 0, false
	}
	age = max(r.now-purgedAt, minCopyAge)
	if req.class.FreshFor > 0 {
		age = min(age, req.class.FreshFor)
	}
	return age, true
}
