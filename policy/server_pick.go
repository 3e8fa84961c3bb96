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
		for _, c := range order {
			if c.State != Ready || !req.maySendTo(r.now, c) || !r.withinWarmUpBudget(c) {
				continue
			}
			if c.Down && preferred && r.probeDue(c, req) {
				return c, c
			}
			if c.Down {
				continue
			}
			occupied := r.occupied(c)
			if spillsOver {
				occupied *= spilloverOccupancyFactor
			}
			if r.overLimit(req, c, occupied) && (preferred || !req.class.Uncached) {
				spillsOver = true
				continue
			}
			if preferred && (slices.Contains(req.failedServers, c) || !r.inRampedFraction(c, req.cacheHash)) {
				continue
			}
			return c, nil
		}
	}
	return nil, nil
}

// bypassCaches returns a source that serves the request directly, for a zone in which no cache is up. Caches
// that are only over their limits are not bypassed: that would move their overload to the parents.
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
