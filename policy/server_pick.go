package policy

import "slices"

// yieldOccupancyFactor: a cache over its limit yields only to one that is within its limit with so many times
// its occupied slots. Load that moves between busy caches would lower their hit rates.
const yieldOccupancyFactor = 2

// pickCache returns the cache for the next attempt, nil if there is none, and the cache that it probes, if
// any. It goes through the caches in rendezvous order: first those that the request has not tried and that
// serve the object in their slow start, then all. A cache over its limit is passed over even if all are.
func (r *Router) pickCache(req *openRequest) (cache, probed *server) {
	order := rendezvousOrder(r.caches, req.cacheHash, r.settings.WeightsKnown)
	for _, preferred := range []bool{true, false} {
		yielded := false
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
			if yielded {
				occupied *= yieldOccupancyFactor
			}
			if r.overLimit(req, c, occupied) && (preferred || !req.class.Uncached) {
				yielded = true
				continue
			}
			if preferred && (slices.Contains(req.triedCaches, c) || !r.inRampedFraction(c, req.cacheHash)) {
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
