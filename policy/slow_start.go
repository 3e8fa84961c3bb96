package policy

// A server that has started, or is up again, has an empty or outdated cache. Two rules protect it. The ramp
// (slow start) sends it a growing fraction of its objects. The warm-up budget limits the work, in seconds of
// transfer time, that all routers together send to it while its capacity grows.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	rampInitialFraction       = 0.1              // fraction of its objects at the start of a server's ramp
	rampWarmUpFraction        = 0.6              // length of the ramp, as a fraction of WarmUp.Duration
	rampDefaultDuration       = 10 * time.Second // length of the ramp if the settings have no WarmUp.Duration
	warmUpBudgetSafetyFactor  = 0.6              // used fraction of a budget; the rest is for inexact weights
	warmUpBudgetBurstFraction = 0.5              // maximum credit, as a fraction of one window's budget
	servedRateTimeConstant    = 15 * time.Second // of the average of the work that a role serves
)

// inRampedFraction reports whether an object belongs to the fraction of objects that a server gets at this
// time of its ramp. The fraction rises linearly to 1, and an object that belongs to it continues to.
// inRampedFraction also ends a ramp that is over.
func (r *Router) inRampedFraction(server *server, objectHash uint64) bool {
	if !server.Ramping {
		return true
	}
	warmUp := float64(r.warmUp(server).Duration)
	length := cmp.Or(time.Duration(rampWarmUpFraction*warmUp), rampDefaultDuration)
	fraction := rampInitialFraction + (1-rampInitialFraction)*float64(r.now-server.RampStart)/float64(length)
	if fraction >= 1 {
		server.Ramping = false
		return true
	}
	return uniform(mix(mix(objectHash)+uint64(server.ID))) < fraction
}

// withinWarmUpBudget reports whether a server that is warming up can take another attempt. The budget limits
// all routers together. Each router uses only its share, which it keeps like a token bucket: a credit in
// seconds of transfer time that accrues with time and that one attempt may overdraw. If a share is far below
// the cost of one attempt, the routers take turns: each starts with a random debt, and credit that was not
// used for an attempt in time expires. withinWarmUpBudget also ends a warm-up that is over.
func (r *Router) withinWarmUpBudget(server *server) bool {
	if !server.WarmingUp || server.role == roleOrigin {
		return true
	}
	warmUp, elapsed := r.warmUp(server), r.now-server.WarmUpStart
	bounded := warmUp.OverloadMultiple > 0 && warmUp.OverloadWindow > 0 && warmUp.Duration > 0
	if !bounded || elapsed > warmUp.Duration+warmUp.OverloadWindow {
		server.WarmingUp = false
		return true
	}
	r.accrueCredit(server, r.warmUpRate(server, warmUp, elapsed), warmUp.OverloadWindow)
	return server.Credit >= 0
}

// accrueCredit adds the credit that has accrued since the last call, at a rate in seconds of transfer time
// per second, and limits it. If the maximum is below the cost of the longest attempt, credit above it expires
// in steps of that cost.
func (r *Router) accrueCredit(server *server, rate float64, window time.Duration) {
	maxCredit := rate * window.Seconds() * warmUpBudgetBurstFraction
	server.Credit += rate * (r.now - server.CreditUpdated).Seconds()
	server.CreditUpdated = r.now
	if longestTransfer := slices.Max(r.transferTime); maxCredit < longestTransfer &&
		server.Credit > maxCredit {
		server.Credit -= longestTransfer * math.Ceil((server.Credit-maxCredit)/longestTransfer)
	}
	server.Credit = min(server.Credit, maxCredit)
}

// warmUpRate returns the work that this router may send to a server that is warming up, in seconds of
// transfer time per second. It follows the capacity that the server had one OverloadWindow ago. For all
// routers together it is at least one attempt of the longest class per window.
func (r *Router) warmUpRate(server *server, warmUp WarmUp, elapsed time.Duration) float64 {
	progress := float64(max(0, elapsed-warmUp.OverloadWindow)) / float64(warmUp.Duration)
	capacity := warmUp.InitialCapacity + (1-warmUp.InitialCapacity)*min(1, progress)
	minRate := slices.Max(r.transferTime) / float64(r.routersSharing(server)) /
		warmUp.OverloadWindow.Seconds()
	return max(warmUpBudgetSafetyFactor*warmUp.OverloadMultiple*capacity*r.linkShare(server), minRate)
}

// startWarmUp begins the warm-up of a server that has started, or may have restarted, at the given time. See
// withinWarmUpBudget for the debt.
func (r *Router) startWarmUp(server *server, startedAt Time) {
	debt := r.random() * slices.Max(r.transferTime)
	server.WarmUpStart, server.WarmingUp = startedAt, true
	server.Credit, server.CreditUpdated = -debt, r.now
}

// linkShare returns this router's share of the capacity of a server's link, in concurrent transfers. It is
// computed from the server's weight; if weights are not known, it is the highest load that servers of its
// role have had from this router.
func (r *Router) linkShare(server *server) float64 {
	if r.settings.WeightsKnown && server.Weight > 0 {
		return server.Weight / float64(r.routersSharing(server))
	}
	return r.peakLoad[server.role]
}

// recordServed adds an answer, with its transfer time in seconds, to the work that servers of a role do.
// Attempts without an answer are not counted, as an overload would then be taken for a large link.
func (r *Router) recordServed(server *server, transferTime float64) {
	sameRole := r.caches
	if server.role == roleParent {
		sameRole = r.parents
	}
	served := &r.servedRate[server.role]
	served.add(r.now, servedRateTimeConstant, transferTime)
	perServer := served.perSecond(r.now, servedRateTimeConstant) / float64(max(1, len(sameRole)))
	r.peakLoad[server.role] = max(r.peakLoad[server.role], perServer)
}
