package policy

import (
	"cmp"
	"slices"
	"time"
)

const (
	typicalSizeFraction = 0.7 // assumed size of an object of unknown size, as a fraction of its class's mean
	newObjectRank       = 1   // Fetch.RetainRank of an object without a recent hit
	repeatedObjectRank  = 2   // Fetch.RetainRank of an object with a recent hit
)

// handleRequest makes a request's first attempt. It rejects a request of an unknown class or with no time
// left, and ignores one whose id is in use.
func (r *Router) handleRequest(e Request) {
	if r.requests[e.ID] != nil {
		return
	}
	if e.Class < 0 || e.Class >= len(r.settings.Classes) || e.TimeLeft <= 0 {
		r.emit(Reject{ID: e.ID})
		return
	}
	class, objectHash := &r.settings.Classes[e.Class], hash(e.Object)
	req := &openRequest{
		Request: e, class: class, deadline: r.now + e.TimeLeft, objectHash: objectHash,
		admissionDraw: r.random(),
	}
	if req.cacheHash = req.objectHash; req.class.Multipart {
		// Parts are cached separately, so the parts of a popular object are spread over the caches.
		req.cacheHash = mix(req.objectHash + uint64(e.Part))
	}
	r.requests[e.ID] = req
	// The request gets its final answer at its deadline even if no outcome arrives.
	r.setTimer(e.TimeLeft, timer{kind: deadlineTimer, request: req})
	r.dispatch(req)
}

// handleStreamStarted binds a streamed request to the attempt whose answer has begun, so that it is not
// retried.
func (r *Router) handleStreamStarted(e StreamStarted) {
	attempt := r.requests[e.ID].attempt(e.Attempt)
	if attempt == nil || !attempt.request.class.Streamed || attempt.request.done {
		return
	}
	attempt.request.streaming = true
	r.recordAnswer(attempt.server)
}

// giveUp gives the final answer: a rejection where a retry by the client is safe, otherwise a failure. The
// Retry-After is random, between half of its maximum and its maximum, so that clients return at different
// times.
func (r *Router) giveUp(req *openRequest) {
	if req.done {
		return
	}
	if req.mayReject() {
		reject := Reject{ID: req.ID}
		if r.settings.SendsRetryAfter {
			reject.RetryAfter = time.Duration(float64(r.settings.MaxRetryAfter) * (0.5 + r.random()/2))
		}
		r.emit(reject)
	} else {
		r.emit(Fail{ID: req.ID})
	}
	r.finish(req)
}

// dispatch makes the next attempt of a request, schedules a retry, or gives the request up. It does nothing
// for a request that has an open attempt, is being streamed or already waits for its retry.
func (r *Router) dispatch(req *openRequest) {
	if req.done || req.streaming || req.openAttempts > 0 || req.awaitingRetry {
		return
	}
	tooLarge := r.knownTransferTime(req) > (req.deadline - r.now).Seconds()
	attemptsUsedUp := r.settings.MaxAttempts > 0 && len(req.attempts) >= r.settings.MaxAttempts
	if tooLarge || r.now >= req.deadline || attemptsUsedUp {
		r.giveUp(req)
		return
	}
	to, probed := r.chooseServer(req)
	if to == nil {
		r.giveUp(req)
		return
	}
	if to == r.origin {
		r.send(req, to, nil, 0, nil)
		return
	}
	source, options, probedSource := r.chooseSource(req, to)
	noFills := r.now < to.noFillsUntil || r.overLimit(req, r.link, r.occupied(r.link))
	if source == nil || noFills && !req.class.Uncached {
		if req.class.Uncached || to.role != roleCache || len(req.attempts) > 0 {
			r.retryLater(req)
			return
		}
		source = to // no fill is possible, but a first attempt may find a copy at the cache
	}
	r.send(req, to, source, options, cmp.Or(probed, probedSource))
}

// chooseServer returns the server for the next attempt, nil if there is none, and the server that the attempt
// probes, nil if it is no probe. Uncached requests go directly to the origin if Settings.MayBypassCaches
// is set.
func (r *Router) chooseServer(req *openRequest) (to, probed *server) {
	direct := req.class.Uncached && r.settings.MayBypassCaches && r.origin.usable()
	if direct && !slices.Contains(req.failedSources, r.origin) && req.maySendTo(r.now, r.origin) {
		return r.origin, nil
	}
	if to, probed = r.pickCache(req); to == nil {
		return r.bypassCaches(req)
	}
	return to, probed
}

// send sends an attempt to a server. A miss is filled from source: nil names no source, and the server itself
// means no fill. probed is the server that the attempt probes, or nil.
func (r *Router) send(req *openRequest, to, source *server, options FillOptions, probed *server) {
	attempt := r.openAttempt(req, to, source, options, probed)
	objective := r.latencyObjective(req)
	timeLeft, timeout := req.deadline-r.now, req.deadline-r.now
	if probed != nil {
		timeout = min(timeLeft/2, objective) // leaves time for an attempt at another server
		probed.probing, probed.NextProbe = true, r.now+probeInterval
	}
	if objective < timeLeft {
		r.setTimer(min(objective, timeout), timer{kind: objectiveTimer, attempt: attempt})
	}
	if source == nil {
		r.emit(Lookup{ID: req.ID, Server: to.ID, Timeout: timeout})
		return
	}
	fetch := Fetch{ID: req.ID, Server: to.ID, Source: source.ID, Timeout: timeout, Options: options}
	r.setCaching(&fetch, req, to)
	r.emit(fetch)
}

// setCaching sets which copies may answer a fetch, and the eviction rank of a new copy; parents and the
// origin have no ranks. After a purge no fill is joined, as it may have begun before the purge, and no
// expiring copy is served.
func (r *Router) setCaching(fetch *Fetch, req *openRequest, to *server) {
	if req.class.Uncached {
		return
	}
	if _, hit := r.recentHits.get(objectPart{req.Object, req.Part}); to.role == roleCache && hit {
		fetch.RetainRank = repeatedObjectRank
	} else if to.role == roleCache {
		fetch.RetainRank = newObjectRank
	}
	if age, purged := r.maxAge(req); purged {
		fetch.MaxAge = age
	} else if fetch.Options&CachedOnly == 0 {
		if r.settings.CoalescesFills {
			fetch.Options |= Coalesce
		}
		if req.class.FreshFor > 0 {
			fetch.Options |= RefreshInBackground
		}
	}
}

// latencyObjective returns the time within which an answer earns the request's full priority weight: the
// objective of its class, extended in proportion to its own transfer time. Each attempt may take all of it.
func (r *Router) latencyObjective(req *openRequest) time.Duration {
	transfer := cmp.Or(r.knownTransferTime(req), typicalSizeFraction*r.classTransferTime(req))
	stretch := req.class.ObjectiveStretch * transfer * float64(time.Second)
	return req.class.LatencyObjective + time.Duration(stretch)
}
