package distribution

import "math"

// door decides who may begin a subscription: no more than the bounded share, and not too many at once.
type door struct {
	set    Settings
	bound  int
	tokens float64
	filled float64
	slot   float64 // up to when those that were turned away are told to come back
}

func newDoor(s Settings) door {
	return door{set: s, bound: s.MostSubscribers, tokens: s.AdmitBurst, filled: math.Inf(-1)}
}

// demand sets the bound: LoadBound times the even share.
func (d *door) demand(e Demand) {
	d.bound = d.set.MostSubscribers
	if e.Distributors > 0 {
		share := math.Ceil(d.set.LoadBound * float64(e.Subscribers) / float64(e.Distributors))
		d.bound = max(1, min(d.bound, int(share)))
	}
}

// busy tells how long to stay away, ms; 0: one may come in now. Those that may not are told times one after the other.
func (d *door) busy(now float64) float64 {
	if now > d.filled {
		if !math.IsInf(d.filled, -1) {
			d.tokens = min(d.set.AdmitBurst, d.tokens+(now-d.filled)/1000*d.set.AdmitPerSecond)
		}
		d.filled = now
	}
	if d.tokens >= 1 {
		d.tokens--
		return 0
	}
	d.slot = min(max(d.slot, now)+1000/d.set.AdmitPerSecond, now+d.set.RetryMost)
	return d.slot - now
}

// admit tells why a subscription may not begin, and for how long to stay away. One that is open goes on (fresh is false).
func (d *Distributor) admit(fresh bool, m Subscribe) (Reason, float64) {
	switch {
	case m.Stream != d.set.Stream || d.epoch == 0:
		return NotReady, d.set.RetryFrom
	case m.From.Epoch > d.epoch:
		return OldEpoch, d.set.RetryMost
	case m.Rank <= d.set.Self.Rank:
		return WrongRank, d.set.RetryMost
	case !fresh:
		return 0, 0
	case d.stopAt != 0:
		return Ending, d.set.RetryMost
	case len(d.members) >= d.door.bound && d.named(m.Name) == nil:
		return Full, d.set.RetryMost
	}
	if after := d.door.busy(d.now); after > 0 {
		return Busy, after
	}
	return 0, 0
}

// awayAt is when the next member is sent away: one after the other over the span of a failover.
func (d *Distributor) awayAt() float64 {
	return d.stopAt + d.set.FailoverOver*float64(d.stopped)/float64(max(1, d.leaving))
}

// sendAway spreads the members of a process that stops.
func (d *Distributor) sendAway() {
	for d.stopAt != 0 && len(d.members) > 0 && d.now >= d.awayAt() {
		d.stopped++
		d.refuse(d.members[0].link, Ending, d.set.RetryMost)
	}
}
