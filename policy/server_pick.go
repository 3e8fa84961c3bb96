package policy

import "slices"

// spilloverOccupancyFactor: a request that is passed on by a cache over its limit goes only to one that would
// be within its own limit with so many times the slots that are occupied there. Load that moves between busy
// caches would lower their hit rates.
const spilloverOccupancyFactor = 2

// pickCache returns the cache for the next attempt, nil if there is none, and the cache that it probes, if
// any. It goes through the caches in rendezvous order: first through those that have not failed this request
// and that serve the object by now in their slow start, then through all. A cache over its limit is passed
// over even if all are, except that the second time it takes an uncached request.
func (r *Router) pickCache(req *openRequest) (cache, probed *server) {
	order := rendezvousOrder(r.caches, req.cacheHash, r.settings.WeightsKnown)
	for _, preferred := range []bool{true, false} {
		spillsOver := false
		for _, candidate := range order {
			if candidate.State != Ready || !req.maySendTo(r.now, candidate) || !r.withinWarmUpBudget(candidate) {
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
			if preferred && (slices.Contains(req.failedServers, candidate) || !r.inRampedFraction(candidate, req.cacheHash)) {
				continue
			}
			return candidate, nil
		}
	}
	return nil, nil
}

// bypassCaches returns a source that serves the request directly, for a zone in which no cache is up. Caches
// that are only over their limits are not bypassed: that would move their overload to the parents.
func (r *Router) bypassCaches(req *openRequest) (to, probed *server) {
	if slices.ContainsFunc(r.caches, func(cache *server) bool { return cache.State == Ready && !cache.Down }) {
		return nil, nil
	}
	to, _, probed = r.chooseSource(req, nil)
	if r.settings.MayBypassCaches && to != nil && req.maySendTo(r.now, to) {
		return to, probed
	}
	return nil, nil
}
