package policy

import "time"

const (
	recentHitMaxAge      = 10 * time.Second // for which a server that answered a hit is preferred as a source
	recentHitsMaxEntries = 1 << 14          // of the memory of recent hits, and of purges
	estimateGain         = 1.0 / 64         // weight of the newest answer in an estimate
	initialFillRate      = 0.5              // fraction of answers assumed to need a fill before there are any
	initialOriginRate    = 0.1              // fraction of answers assumed to need the origin
	// Transfer time that is assumed for a class before any answer, as a fraction of its deadline.
	initialTransferTimeFraction = 1.0 / 20
	// Fraction by which a transfer time may rise in a second: little, as an overload makes all answers slow
	// and must not pass for large objects.
	transferTimeDriftPerSecond = 0.005
)

// updateEstimates learns from an outcome.
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

// refundFill returns the cost of a fill, charged when the attempt was sent, to its source's warm-up budget if
// the source was not used. A lookup there that found nothing has used its capacity.
func (r *Router) refundFill(attempt *attempt, outcome Outcome) {
	hit := outcome.Result == OK && !outcome.filled()
	if attempt.fillCost > 0 && (hit || outcome.Result == ConnectFailed || outcome.Note == NoteNoFillSlot) {
		attempt.source.Credit += attempt.fillCost
	}
}

// updateTransferTime learns a class's transfer time, in seconds, from the size of an answer or, if that is
// unknown, from the latency of an answer without a fill.
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
