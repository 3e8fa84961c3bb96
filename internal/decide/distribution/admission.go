package distribution

import "math"

// admission decides whether a subscription may begin. It limits the number of subscribers, and the rate of new ones (a token bucket).
type admission struct {
	settings    Settings
	limit       int     // of subscribers
	tokens      float64 // subscriptions that may begin now
	refilledAt  float64 // when tokens were added last; minus infinity: never
	nextRetryAt float64 // when the subscriber that was last rejected for lack of a token is to return
}

func newAdmission(s Settings) admission {
	return admission{settings: s, limit: s.MaxSubscribers, tokens: s.AdmitBurst, refilledAt: math.Inf(-1)}
}

// setDemand sets the limit to LoadFactor times the even share of the subscribers.
func (a *admission) setDemand(e Demand) {
	a.limit = a.settings.MaxSubscribers
	if e.Distributors > 0 {
		quota := math.Ceil(a.settings.LoadFactor * float64(e.Subscribers) / float64(e.Distributors))
		a.limit = max(1, min(a.limit, int(quota)))
	}
}

// takeToken takes a token and returns 0. If there is no token, it returns after how many ms the subscriber is to try again: rejected
// subscribers return one after the other at the admitted rate, and after MaxBackoff at the latest.
func (a *admission) takeToken(now float64) (retryAfter float64) {
	if now > a.refilledAt {
		if !math.IsInf(a.refilledAt, -1) {
			a.tokens = min(a.settings.AdmitBurst, a.tokens+(now-a.refilledAt)/1000*a.settings.AdmitPerSecond)
		}
		a.refilledAt = now
	}
	if a.tokens >= 1 {
		a.tokens--
		return 0
	}
	a.nextRetryAt = min(max(a.nextRetryAt, now)+1000/a.settings.AdmitPerSecond, now+a.settings.MaxBackoff)
	return a.nextRetryAt - now
}

// admit decides on a Subscribe. It returns 0, or the reason of the rejection and after how many ms the subscriber may try again. isNew
// is false for a subscription that is restarted on its link, to which the limits do not apply.
func (d *Distributor) admit(isNew bool, m Subscribe) (reason RejectReason, retryAfter float64) {
	switch {
	case m.Stream != d.settings.Stream || d.epoch == 0:
		return RejectNotReady, d.settings.MinBackoff
	case m.From.Epoch > d.epoch:
		return RejectOldEpoch, d.settings.MaxBackoff
	case m.Rank <= d.settings.Self.Rank:
		return RejectWrongRank, d.settings.MaxBackoff
	case !isNew:
		return 0, 0
	case d.shutdownStartedAt != 0:
		return RejectShutdown, d.settings.MaxBackoff
	case len(d.subscriptions) >= d.admission.limit && d.findSubscription(m.Name) == nil:
		return RejectFull, d.settings.MaxBackoff
	}
	if retryAfter := d.admission.takeToken(d.now); retryAfter > 0 {
		return RejectBusy, retryAfter
	}
	return 0, 0
}

// nextDismissalAt returns when the next subscriber is dismissed during a shutdown. The dismissals are spread evenly over FailoverSpread.
func (d *Distributor) nextDismissalAt() float64 {
	return d.shutdownStartedAt + d.settings.FailoverSpread*float64(d.dismissed)/float64(max(1, d.subscribersAtShutdown))
}

// dismissDue rejects the subscribers whose dismissal is due, so that they move to other distributors while this process shuts down.
func (d *Distributor) dismissDue() {
	for d.shutdownStartedAt != 0 && len(d.subscriptions) > 0 && d.now >= d.nextDismissalAt() {
		d.dismissed++
		d.reject(d.subscriptions[0].link, RejectShutdown, d.settings.MaxBackoff)
	}
}
