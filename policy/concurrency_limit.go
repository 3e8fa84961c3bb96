package policy

import (
	"cmp"
	"math"
	"time"
)

// Limits are in slots, each for one attempt or fill in flight.
const (
	// The first and the lowest limit of a cache or of the zone's link, for all routers that share it
	// together.
	cacheLimitStart, cacheLimitMin = 16.0, 9.0
	// The first and the lowest limit of a source, for one router. The first is at most
	// sourceLimitLinkFraction of its part of its caches' links, so that many routers do not overload a source
	// as they start.
	sourceLimitStart, sourceLimitMin, sourceLimitLinkFraction = 16.0, 0.2, 0.25
	// A source's limit rises only while no more than this is free beyond twice what is in flight, so that
	// many routers with few fills do not all raise theirs.
	sourceLimitSpare = 0.5
	// Additive increase, multiplicative decrease: a late answer multiplies a limit by limitDecrease. One in
	// time adds limitIncreaseFraction of the limit, but at most limitIncreaseMax divided by the limit: that
	// is limitIncreaseMax slots after one answer for each slot.
	limitDecrease, limitIncreaseFraction, limitIncreaseMax = 0.9, 0.1, 2.0
	// The weight of an outcome is the number of limitUpdateIntervals since the last one, from 1 to
	// limitMaxUpdateWeight, so that the limit of a rarely used server adapts as quickly.
	limitUpdateInterval, limitMaxUpdateWeight = 100 * time.Millisecond, 8.0
	// Capacity, in transfers, of a cache link for which a slot stands for one attempt; more on larger links.
	referenceLinkTransfers = 8.0
	// lowValueLimitFraction of a limit is open to requests whose weight per transfer time is lowValueRatio
	// times below the best class's, and its square at lowestValueRatio times below.
	lowValueLimitFraction, lowValueRatio, lowestValueRatio = 0.75, 2.0, 8.0
)

// overLimit reports whether a server or link takes no attempt of this request for now: it was overloaded
// lately or is at its limit. The request's random draw lets a limit below one slot admit that fraction of
// requests.
func (r *Router) overLimit(req *openRequest, server *server, occupied float64) bool {
	slots := server.Limit * r.limitScale
	return r.now < server.overloadedUntil || occupied/r.limitFraction(req)+req.admissionDraw > slots
}

// limitFraction is the fraction of a limit that a request may use: an overload leaves slots to those with the
// most weight per transfer time. A client's retry has less, as its latency counts from the client's first
// attempt.
func (r *Router) limitFraction(req *openRequest) float64 {
	bestValue := 0.0
	for i, class := range r.settings.Classes {
		if !class.Uncached { // uncached requests take no slot of a cache
			bestValue = max(bestValue, class.PriorityWeight/r.transferTime[i])
		}
	}
	value := req.class.PriorityWeight / cmp.Or(r.knownTransferTime(req), r.classTransferTime(req))
	fraction := 1.0
	for _, low := range []bool{lowValueRatio*value < bestValue, lowestValueRatio*value < bestValue, req.ClientRetry} {
		if low {
			fraction *= lowValueLimitFraction
		}
	}
	return fraction
}

// occupied is the number of slots that this router occupies at a server: its attempts in flight there and the
// expected fraction of the fills that name the server as their source.
func (r *Router) occupied(server *server) float64 {
	fills := float64(r.fillRate)*float64(server.openFills) + float64(r.originRate)*float64(server.originFills)
	if server.role == roleOrigin { // which executes uncached requests, so none is exempt
		return float64(len(server.inFlight)) + fills
	}
	return float64(len(server.inFlight)-server.exemptAttempts) + fills
}

// adjustLimits lowers or raises the limits of the servers and the link that an outcome says something about.
func (r *Router) adjustLimits(attempt *attempt, outcome Outcome) {
	slowest := r.attributeLatency(attempt, outcome)
	sourceRejected := outcome.Note == NoteSourceRejected || outcome.Note == NoteOriginFailed
	switch {
	case outcome.Note == NoteNoFillSlot:
		r.adjustLimit(r.link, true)
	case outcome.Result == OK && attempt.request.class.Uncached && !attempt.late:
		// It occupied no slot: that it was in time does not show that there is room for more.
	case outcome.Result == OK:
		attempt.server.LateRate.add(attempt.late, outcomeGain)
		r.adjustLimit(slowest, attempt.late)
	case sourceRejected && attempt.source != nil:
		r.adjustLimit(attempt.source, true)
		if attempt.origin != nil {
			r.adjustLimit(attempt.origin, true) // the reason may be the origin behind the source
		}
	case attempt.server.overloadedUntil > r.now: // by this outcome, or by one shortly before
		r.adjustLimit(attempt.server, true)
	}
}

// attributeLatency returns the server or link that determined how long an answer took: for a fill the source,
// or the zone's link if the first byte came soon and the link's fills are late more often than the source's,
// or the origin if the fill reached it and the first byte came late. It also updates their late rates, and
// raises the limits of the link and the origin where they were not late.
func (r *Router) attributeLatency(attempt *attempt, outcome Outcome) *server {
	slowest := attempt.server
	firstByteEarly := outcome.SourceWait <= attempt.request.class.LatencyObjective/2
	if outcome.filled() && attempt.source != nil {
		slowest = attempt.source
		if r.link.LateRate.add(attempt.late && firstByteEarly, outcomeGain); !attempt.late {
			attempt.source.LateRate.add(false, outcomeGain)
			r.adjustLimit(r.link, false)
		} else if firstByteEarly && r.link.LateRate >= attempt.source.LateRate {
			slowest = r.link
		}
	}
	if outcome.Note == NoteFilledOrigin && attempt.origin != nil {
		lateAtOrigin := attempt.late && !firstByteEarly
		if attempt.origin.LateRate.add(lateAtOrigin, outcomeGain); lateAtOrigin {
			slowest = attempt.origin
		} else {
			r.adjustLimit(attempt.origin, false)
		}
	}
	return slowest
}

// adjustLimit lowers a limit after a late answer and raises it after one in time. It stays while less than
// half of its slots are occupied, as single large objects are late without an overload. An outcome counts
// 1/limitScale, as that many attempts share a slot.
func (r *Router) adjustLimit(server *server, late bool) {
	minLimit, routers := sourceLimitMin, 1.0
	if server.role == roleCache { // routers that share a cache raise their limits together
		routers = float64(r.routersSharing(server))
		minLimit = cacheLimitMin / routers
	}
	sinceUpdate := float64(r.now-server.LimitUpdated) / float64(limitUpdateInterval)
	weight := min(limitMaxUpdateWeight, max(1, sinceUpdate))
	limit, occupied := server.Limit*r.limitScale, r.occupied(server)
	switch {
	case server.role != roleCache && !late && 2*occupied+sourceLimitSpare < limit:
	case 2*(occupied+1) < limit:
	case late:
		server.Limit *= math.Pow(limitDecrease, weight/r.limitScale)
	default:
		step := limitIncreaseMax / routers / server.Limit
		server.Limit += min(step, limitIncreaseFraction*weight*server.Limit) / r.limitScale
	}
	server.Limit, server.LimitUpdated = max(server.Limit, minLimit), r.now
}
