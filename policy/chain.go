// Where a miss is filled from: a recent hit holder, the default parent, the next parent up, the origin.

package policy

func (r *Router) walk(q *request, to *target) (*target, How, *target) {
	if q.class.Uncached || to != nil && to.role == parent {
		if r.origin.usable() && !has(q.bad, r.origin) {
			return r.origin, 0, nil
		}
		return nil, 0, nil
	}
	if h := r.holder(q, to); h != nil {
		if h.role == parent {
			return h, 0, nil
		}
		return h, HeldOnly, nil
	}
	jammed := r.origin != nil && r.crowded(q, r.origin, r.places(r.origin))
	for _, p := range rendezvous(r.parents, q.home, r.set.WeightsTold) {
		if p.State != Ready || has(q.bad, p) || r.crowded(q, p, r.places(p)) || !r.affords(p) {
			continue
		}
		if p.Down {
			if r.trialDue(p, q) {
				return p, 0, p
			}
			continue
		}
		if r.inRamp(p, q.home) && jammed {
			return p, HeldOnly, nil // what it lacks would wait at the origin, and be given up there
		} else if r.inRamp(p, q.home) {
			return p, 0, nil
		}
	}
	if r.origin.usable() && !has(q.bad, r.origin) && !jammed {
		return r.origin, 0, nil
	}
	return nil, 0, nil
}

// holder is the sibling or parent that lately answered a hit for the object, if it may be named.
func (r *Router) holder(q *request, to *target) *target {
	h, _ := r.memory.get(place{q.Object, q.Part})
	if to == nil || h.t == nil || r.now-h.at > memoryAge || h.t == to || has(q.bad, h.t) {
		return nil
	}
	t := h.t
	if !t.usable() || t.Down || t.Colds && h.at < t.Cold || r.now < t.fullUntil {
		return nil
	}
	near := r.set.Siblings != ReachNone && t.role == edge || r.set.Siblings == ReachAny
	if t.role != parent && !near || !r.affords(t) {
		return nil
	}
	return t
}
