package policy

import (
	"cmp"
	"math"
	"time"
)

// A limit is a number of slots, each for one attempt or fill in flight, or for several on large links: see
// referenceLinkTransfers. An attempt or answer is late once the latency objective of its request has passed.
const (
	// Initial and lowest limit of a cache or of the zone's link, for all routers that share it together.
	cacheLimitStart, cacheLimitMin = 16.0, 9.0
	// Initial and lowest limit of a source, for one router. The initial limit is at most
	// sourceLimitLinkFraction of this router's share of the link capacity of its zone's caches, so that many
	// routers do not overload a source when they start.
	sourceLimitStart, sourceLimitMin, sourceLimitLinkFraction = 16.0, 0.2, 0.25
	// A source's limit, in attempts, rises only while it exceeds twice the attempts that occupy it by no more
	// than sourceLimitSpare. Otherwise many routers with few fills each would all raise their limits.
	sourceLimitSpare = 0.5
	// Additive increase, multiplicative decrease: a late answer multiplies a limit by limitDecrease. An
	// answer in time adds limitIncreaseFraction of the limit, but at most limitIncreaseMax divided by the
	// limit, so one answer for each slot adds limitIncreaseMax slots. The routers that share a cache divide
	// limitIncreaseMax among them.
	limitDecrease, limitIncreaseFraction, limitIncreaseMax = 0.9, 0.1, 2.0
	// The weight of an outcome is the time since the last one in units of limitUpdateInterval, from 1 to
	// limitMaxUpdateWeight, so that the limit of a rarely used server adapts as quickly as others.
	limitUpdateInterval, limitMaxUpdateWeight = 100 * time.Millisecond, 8.0
	// Capacity, in concurrent transfers, of a cache's link up to which a slot stands for one attempt. On
	// larger links a slot stands for proportionally more attempts.
	referenceLinkTransfers = 8.0
	// A request's value is its weight divided by its transfer time. A request with a value lowValueRatio
	// times below that of the best class may use lowValueLimitFraction of a limit, and one with a value
	// lowestValueRatio times below it the square of that fraction.
	lowValueLimitFraction, lowValueRatio, lowestValueRatio = 0.75, 2.0, 8.0
)

// overLimit reports whether a server or link cannot take this request now: it rejected a request for overload
// within the last overloadPause, or it is at its limit. occupied is in attempts, as returned by the method of
// that name. The request's random admissionDraw makes a limit below one attempt admit that fraction of
// requests.
func (r *Router) overLimit(req *openRequest, server *server, occupied float64) bool {
	maxInFlight := server.Limit * r.limitScale
	return r.now < server.overloadedUntil || occupied/r.limitFraction(req)+req.admissionDraw > maxInFlight
}

// limitFraction returns the fraction of a limit that a request may use. Under overload this leaves slots to
// the requests with the highest weight per transfer time. A client's retry may use less, as its latency
// counts from the client's first attempt.
func (r *Router) limitFraction(req *openRequest) float64 {
	bestValue := 0.0
	for i, class := range r.settings.Classes {
		if !class.Uncached { // uncached requests take no slot of a cache
			bestValue = max(bestValue, class.PriorityWeight/r.transferTime[i])
		}
	}
	value := req.class.PriorityWeight / cmp.Or(r.knownTransferTime(req), r.classTransferTime(req))
	fraction := 1.0
	for _, low := range []bool{lowValueRatio*value < bestValue, lowestValueRatio*value < bestValue,
		req.ClientRetry} {
		if low {
			fraction *= lowValueLimitFraction
		}
	}
	return fraction
}

// occupied returns how much of a server's limit this router uses, in attempts and not in slots, of which each
// stands for limitScale attempts: its attempts in flight at the server, and the expected fraction of the
// fills that name the server as their source.
func (r *Router) occupied(server *server) float64 {
	fills := float64(r.fillRate)*float64(server.openFills) + float64(r.originRate)*float64(server.originFills)
	if server.role == roleOrigin { // the origin executes uncached requests, so they are not exempt there
		return float64(len(server.inFlight)) + fills
	}
	return float64(len(server.inFlight)-server.exemptAttempts) + fills
}

// adjustLimits lowers or raises the limits of the servers, and of the link, that caused an outcome.
func (r *Router) adjustLimits(attempt *attempt, outcome Outcome) {
	slowest := r.attributeLatency(attempt, outcome)
	sourceRejected := outcome.Note == NoteSourceRejected || outcome.Note == NoteOriginFailed
	switch {
	case outcome.Note == NoteNoFillSlot:
		r.adjustLimit(r.link, true)
	case outcome.Result == OK && attempt.request.class.Uncached && !attempt.late:
		// The attempt occupied no slot, so an answer in time does not show that the limit can rise.
	case outcome.Result == OK:
		attempt.server.LateRate.add(attempt.late, outcomeGain)
		r.adjustLimit(slowest, attempt.late)
	case sourceRejected && attempt.source != nil:
		r.adjustLimit(attempt.source, true)
		if attempt.origin != nil {
			r.adjustLimit(attempt.origin, true) // the cause may be the origin, from which the source fills
		}
	case attempt.server.overloadedUntil > r.now: // set by this outcome, or by one within overloadPause before
		r.adjustLimit(attempt.server, true)
	}
}

// attributeLatency returns the server or link that determined how long an answer took. Without a fill that is
// the server of the attempt, and for a fill it is one of these:
//   - the zone's link, if the answer was late although its first byte came early, and the link's late rate is
//     at least that of the source
//   - the origin, if the fill reached it and both the answer and its first byte were late
//   - otherwise the source
//
// It also updates the late rates of these, and raises the limits of the link and the origin if they were in
// time.
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

// adjustLimit lowers a limit after a late answer and raises it after an answer in time. A limit of which less
// than half is occupied does not change, as a single large object can be late without an overload; an attempt
// that has its outcome is no longer among the occupied, so 1 is added for it. An outcome counts for
// 1/limitScale, as a slot stands for limitScale attempts.
func (r *Router) adjustLimit(server *server, late bool) {
	minLimit, routers := sourceLimitMin, 1.0
	if server.role == roleCache { // all routers that share a cache raise their limits for it
		routers = float64(r.routersSharing(server))
		minLimit = cacheLimitMin / routers
	}
	sinceUpdate := float64(r.now-server.LimitUpdated) / float64(limitUpdateInterval)
	weight := min(limitMaxUpdateWeight, max(1, sinceUpdate))
	maxInFlight, occupied := server.Limit*r.limitScale, r.occupied(server)
	switch {
	case server.role != roleCache && !late && 2*occupied+sourceLimitSpare < maxInFlight:
	case 2*(occupied+1) < maxInFlight:
	case late:
		server.Limit *= math.Pow(limitDecrease, weight/r.limitScale)
	default:
		step := limitIncreaseMax / routers / server.Limit
		server.Limit += min(step, limitIncreaseFraction*weight*server.Limit) / r.limitScale
	}
	server.Limit, server.LimitUpdated = max(server.Limit, minLimit), r.now
}
