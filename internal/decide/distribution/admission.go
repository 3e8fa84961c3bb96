package distribution

import "math"

// door decides who may begin a subscription: no more than the bounded share, and not too many at once.
type admission struct {
	settings   Settings
	limit      int
	tokens     float64
	refilledAt float64
	nextSlotAt float64 // up to when those that were turned away are told to come back
}

func newAdmission(s Settings) admission {
	return admission{settings: s, limit: s.MaxSubscribers, tokens: s.AdmitBurst, refilledAt: math.Inf(-1)}
}

// demand sets the bound: LoadBound times the even share.
func (d *admission) setDemand(e Demand) {
	d.limit = d.settings.MaxSubscribers
	if e.Distributors > 0 {
		share := math.Ceil(d.settings.LoadFactor * float64(e.Subscribers) / float64(e.Distributors))
		d.limit = max(1, min(d.limit, int(share)))
	}
}

// busy tells how long to stay away, ms; 0: one may come in now. Those that may not are told times one after the other.
func (d *admission) retryAfter(now float64) float64 {
	if now > d.refilledAt {
		if !math.IsInf(d.refilledAt, -1) {
			d.tokens = min(d.settings.AdmitBurst, d.tokens+(now-d.refilledAt)/1000*d.settings.AdmitPerSecond)
		}
		d.refilledAt = now
	}
	if d.tokens >= 1 {
		d.tokens--
		return 0
	}
	d.nextSlotAt = min(max(d.nextSlotAt, now)+1000/d.settings.AdmitPerSecond, now+d.settings.MaxBackoff)
	return d.nextSlotAt - now
}

// admit tells why a subscription may not begin, and for how long to stay away. One that is open goes on (fresh is false).
func (d *Distributor) admit(fresh bool, m Subscribe) (RejectReason, float64) {
	switch {
	case m.Stream != d.settings.Stream || d.epoch == 0:
		return RejectNotReady, d.settings.MinBackoff
	case m.From.Epoch > d.epoch:
		return RejectOldEpoch, d.settings.MaxBackoff
	case m.Rank <= d.settings.Self.Rank:
		return RejectWrongRank, d.settings.MaxBackoff
	case !fresh:
		return 0, 0
	case d.shutdownAt != 0:
		return RejectShutdown, d.settings.MaxBackoff
	case len(d.subscriptions) >= d.admission.limit && d.find(m.Name) == nil:
		return RejectFull, d.settings.MaxBackoff
	}
	if after := d.admission.retryAfter(d.now); after > 0 {
		return RejectBusy, after
	}
	return 0, 0
}

// awayAt is when the next member is sent away: one after the other over the span of a failover.
func (d *Distributor) nextDismissalAt() float64 {
	return d.shutdownAt + d.settings.FailoverSpread*float64(d.dismissed)/float64(max(1, d.toDismiss))
}

// sendAway spreads the members of a process that stops.
func (d *Distributor) dismissDue() {
	for d.shutdownAt != 0 && len(d.subscriptions) > 0 && d.now >= d.nextDismissalAt() {
		d.dismissed++
		d.reject(d.subscriptions[0].link, RejectShutdown, d.settings.MaxBackoff)
	}
}
