package policy

import "time"

// minCopyAge is the least maximum age that is sent, since 0 stands for the class's own.
const minCopyAge = time.Microsecond

// handlePurged remembers the latest purge of an object or of a group.
func (r *Router) handlePurged(e Purged) {
	purgedAt := r.now - e.Age
	if e.Object != "" {
		previous, _ := r.objectPurges.get(e.Object)
		r.objectPurges.put(e.Object, max(purgedAt, previous))
		return
	}
	previous, _ := r.groupPurges.get(e.Group)
	r.groupPurges.put(e.Group, max(purgedAt, previous))
}

// handleDiscoveryOverdue makes copies from before a time count as purged for as long as discovery is overdue
// and may have purges from before it to report.
func (r *Router) handleDiscoveryOverdue(e DiscoveryOverdue) {
	r.discoveryOverdue, r.unseenPurgesUntil = e.Overdue, r.now-e.Age
}

// maxAge is the maximum age of a copy that may answer the request, and whether a purge bounds it. Counted
// from the latest purge, it excludes every copy from before, at the cache and at its source.
func (r *Router) maxAge(req *openRequest) (age time.Duration, purged bool) {
	purgedAt, purged := r.objectPurges.get(req.Object)
	if groupAt, found := r.groupPurges.get(req.Group); found && (!purged || groupAt > purgedAt) {
		purgedAt, purged = groupAt, true
	}
	if r.discoveryOverdue && (!purged || r.unseenPurgesUntil > purgedAt) {
		purgedAt, purged = r.unseenPurgesUntil, true
	}
	// Twice, as an old copy may have been on its way from a source when the source dropped its own.
	if !purged || r.now-purgedAt > 2*r.settings.PurgeDuration {
		return 0, false
	}
	age = max(r.now-purgedAt, minCopyAge)
	if req.class.FreshFor > 0 {
		age = min(age, req.class.FreshFor)
	}
	return age, true
}
