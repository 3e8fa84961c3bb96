package policy

import "time"

const (
	recentHitMaxAge      = 10 * time.Second // time for which a server with a hit is preferred as a source
	recentHitsMaxEntries = 1 << 14          // maximum number of recent hits, and of each kind of purge
	estimateGain         = 1.0 / 64         // weight of the newest answer in an estimate
	initialFillRate      = 0.5              // assumed fraction of answers that need a fill, before any answer
	initialOriginRate    = 0.1              // assumed fraction of answers that need the origin
	// Transfer time that is assumed for a class before any answer, as a fraction of its deadline.
	initialTransferTimeFraction = 1.0 / 20
	// Fraction by which an estimated transfer time may rise per second. It is low because an overload makes
	// all answers slow, which must not be taken for large objects.
	transferTimeDriftPerSecond = 0.005
)

// updateEstimates updates limits, fill rates, transfer times and recent hits with an outcome.
func (r *Router) updateEstimates(attempt *attempt, outcome Outcome) {
	r.refundFill(attempt, outcome)
	r.adjustLimits(attempt, outcome)
	req, source := attempt.request, attempt.source
	part := objectPart{req.Object, req.Part}
	if outcome.Note == NoteSourceMiss {
		r.recentHits.put(part, recentHit{})
	}
	if outcome.Result != OK {
		return
	}
	r.recordServed(attempt.server, r.classTransferTime(req))
	if outcome.filled() && source != nil {
		r.recordServed(source, r.classTransferTime(req))
	}
	r.updateTransferTime(req, outcome)
	if req.class.Uncached {
		return
	}
	r.originRate.add(outcome.Note == NoteFilledOrigin, estimateGain)
	r.fillRate.add(outcome.filled(), estimateGain)
	detail := r.settings.OutcomeDetail
	switch {
	case outcome.Note == NoteHit || outcome.Note == NoteNone && detail == DetailNone:
		r.recentHits.put(part, recentHit{attempt.server, r.now})
	case outcome.Note == NoteFilled && source != nil && source.role == roleParent && detail == DetailAll:
		r.recentHits.put(part, recentHit{source, r.now})
	}
}

// refundFill returns the cost of a fill, charged when the attempt was sent, to the warm-up budget of its
// source if the source was not used. A lookup at the source that found no copy has used its capacity.
func (r *Router) refundFill(attempt *attempt, outcome Outcome) {
	hit := outcome.Result == OK && !outcome.filled()
	if attempt.fillCost > 0 && (hit || outcome.Result == ConnectFailed || outcome.Note == NoteNoFillSlot) {
		attempt.source.Credit += attempt.fillCost
	}
}

// updateTransferTime updates the transfer time of a request's class, in seconds, from the size of the answer
// or, if that is unknown, from the latency of an answer without a fill. The estimate is the recent average,
// but it rises by at most transferTimeDriftPerSecond for the time since the last update, of which no more
// than one second counts.
func (r *Router) updateTransferTime(req *openRequest, outcome Outcome) {
	observed := r.knownTransferTime(req)
	if observed == 0 && !outcome.filled() {
		observed = outcome.Latency.Seconds()
	}
	if observed > 0 {
		recent, sinceUpdate := &r.recentTransferTime[req.Class], r.now-r.transferTimeUpdated[req.Class]
		*recent += estimateGain * (observed - *recent)
		maxRise := 1 + transferTimeDriftPerSecond*min(1, sinceUpdate.Seconds())
		r.transferTime[req.Class] = min(*recent, r.transferTime[req.Class]*maxRise)
		r.transferTimeUpdated[req.Class] = r.now
	}
}
