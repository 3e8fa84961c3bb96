package policy

import "slices"

// chooseSource returns the source that a miss at the given server is filled from, nil if there is none, the
// options of the fill, and the parent that the fill probes, if any. If to is nil, the source serves the
// request itself. The origin is the only source for an uncached request and for a request that is sent to a
// parent. For other requests the order of preference is: the server of a recent hit; the first parent in
// rendezvous order that is within its limit and warm-up budget, and is up or due for a probe; the origin,
// unless it is over its limit.
func (r *Router) chooseSource(
	req *openRequest, to *server,
) (source *server, options FillOptions, probed *server) {
	if req.class.Uncached || to != nil && to.role == roleParent {
		if r.origin.usable() && !slices.Contains(req.failedSources, r.origin) {
			return r.origin, 0, nil
		}
		return nil, 0, nil
	}
	if hitServer := r.recentHitServer(req, to); hitServer != nil {
		if hitServer.role == roleParent {
			return hitServer, 0, nil
		}
		return hitServer, CachedOnly, nil
	}
	originOverLimit := r.origin != nil && r.overLimit(req, r.origin, r.occupied(r.origin))
	if originOverLimit {
		options = CachedOnly // a fill that reaches the origin would time out there
	}
	for _, parent := range rendezvousOrder(r.parents, req.objectHash, r.settings.WeightsKnown) {
		excluded := parent.State != Ready || slices.Contains(req.failedSources, parent)
		if excluded || r.overLimit(req, parent, r.occupied(parent)) || !r.withinWarmUpBudget(parent) {
			continue
		}
		if parent.Down && r.probeDue(parent, req) {
			return parent, 0, parent
		}
		if !parent.Down && r.inRampedFraction(parent, req.objectHash) {
			return parent, options, nil
		}
	}
	if r.origin.usable() && !slices.Contains(req.failedSources, r.origin) && !originOverLimit {
		return r.origin, 0, nil
	}
	return nil, 0, nil
}

// recentHitServer returns the cache or parent that recently served the object from its copy, if it may be the
// source of a fill at the given server; nil otherwise.
func (r *Router) recentHitServer(req *openRequest, to *server) *server {
	hit, _ := r.recentHits.get(objectPart{req.Object, req.Part})
	source := hit.server
	if to == nil || source == nil || source == to || slices.Contains(req.failedSources, source) {
		return nil
	}
	outdated := r.now-hit.at > recentHitMaxAge || source.WarmingUp && hit.at < source.WarmUpStart
	if outdated || !source.usable() || source.Down || r.now < source.overloadedUntil {
		return nil
	}
	inScope := r.settings.SiblingFills != SiblingsNone && source.role == roleCache ||
		r.settings.SiblingFills == SiblingsAny
	if source.role != roleParent && !inScope || !r.withinWarmUpBudget(source) {
		return nil
	}
	return source
}
