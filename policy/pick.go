// Which cache an attempt goes to: a rendezvous hash over the location's ready caches.

package policy

// pick returns the cache for a request and, if it goes there as a trial, whose.
func (r *Router) pick(q *request) (*target, *target) {
	order := rendezvous(r.caches, q.spot, r.set.WeightsTold)
	for pass := range 2 {
		yielded := false
		for _, c := range order {
			if c.State != Ready || !q.maySend(r.now, c) || !r.affords(c) {
				continue
			}
			if c.Down {
				if pass == 0 && r.trialDue(c, q) {
					return c, c
				}
				continue
			}
			// A crowded one is passed over even when all are, and yields only to one with room to spare.
			room := r.places(c)
			if yielded {
				room *= yieldRoom
			}
			if r.crowded(q, c, room) && !(pass > 0 && q.class.Uncached) {
				yielded = true
				continue
			}
			if pass == 0 && (has(q.tried, c) || !r.inRamp(c, q.spot)) {
				continue
			}
			return c, nil
		}
	}
	return nil, nil
}

// passBy is for a location with no cache up: past crowded ones it would bring the jam to the parents.
func (r *Router) passBy(q *request) (to, trial *target) {
	for _, c := range r.caches {
		if c.State == Ready && !c.Down {
			return nil, nil
		}
	}
	if to, _, trial = r.walk(q, nil); r.set.MayPassBy && to != nil && q.maySend(r.now, to) {
		return to, trial
	}
	return nil, nil
}
