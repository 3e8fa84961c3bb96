package policy

import "slices"

// spilloverOccupancyFactor multiplies the occupied slots of a cache that is considered in place of one over
// its limit: it gets the request only if it would still be within its own limit. Otherwise load would move
// between caches that are nearly at their limits, and lower their hit rates.
const spilloverOccupancyFactor = 2

// pickCache returns the cache for the next attempt, nil if there is none, and the cache that the attempt
// probes, nil if it is no probe. It tries the caches in rendezvous order, in two passes. The first pass skips
// caches that have failed this request, and caches in slow start that don't serve the object yet; the second
// pass does not. Both skip caches over their limits, even if no other cache is left, but the second pass does
// not do so for an uncached request.
func (r *Router) pickCache(req *openRequest) (cache, probed *server) {
	order := rendezvousOrder(r.caches, req.cacheHash, r.settings.WeightsKnown)
	for _, preferred := range []bool{true, false} {
		spillsOver := false
		for _, candidate := range order {
			if candidate.State != Ready || !req.maySendTo(r.now, candidate) ||
				!r.withinWarmUpBudget(candidate) {
				continue
			}
			if candidate.Down && preferred && r.probeDue(candidate, req) {
				return candidate, candidate
			}
			if candidate.Down {
				continue
			}
			occupied := r.occupied(candidate)
			if spillsOver {
				occupied *= spilloverOccupancyFactor
			}
			if r.overLimit(req, candidate, occupied) && (preferred || !req.class.Uncached) {
				spillsOver = true
				continue
			}
			if preferred && (slices.Contains(req.failedServers, candidate) ||
				!r.inRampedFraction(candidate, req.cacheHash)) {
				continue
			}
			return candidate, nil
		}
	}
	return nil, nil
}

// bypassCaches returns a parent or the origin that serves the request directly while no cache of the zone is
// up, and the server that the attempt probes, if any. Caches that are only over their limits are not
// bypassed, as that would move their overload to the parents.
func (r *Router) bypassCaches(req *openRequest) (to, probed *server) {
	if slices.ContainsFunc(r.caches, func(c *server) bool { return c.State == Ready && !c.Down }) {
		return nil, nil
	}
	to, _, probed = r.chooseSource(req, nil)
	if r.settings.MayBypassCaches && to != nil && req.maySendTo(r.now, to) {
		return to, probed
	}
	return nil, nil
}
