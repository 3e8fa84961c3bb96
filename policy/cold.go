// How much one that was started lately is sent: its rising share of objects and its budget.

package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// inRamp tells whether an object is in the share that a new or returned target gets by now.
func (r *Router) inRamp(t *target, key uint64) bool {
	if !t.Ramps {
		return true
	}
	length := cmp.Or(time.Duration(rampPart*float64(r.fall(t).WarmWithin)), rampElse)
	share := rampFrom + (1-rampFrom)*float64(r.now-t.Ramped)/float64(length)
	if share >= 1 {
		t.Ramps = false
		return true
	}
	return unit(mix(mix(key)+uint64(t.ID))) < share
}

func (r *Router) fall(t *target) Fall {
	if t.role == parent {
		return r.set.ParentFall
	}
	return r.set.CacheFall
}

// affords tells whether a cold target can take another attempt without being pushed over. The budget holds
// for any window and all routers together; this one keeps to its part of it as a credit that accrues with
// time and may be overdrawn by one attempt. Where a part is far below one attempt routers take turns, lest
// all send theirs at once: they start in debt by chance, and a turn not used passes.
func (r *Router) affords(t *target) bool {
	if !t.Colds || t.role == origin {
		return true
	}
	f := r.fall(t)
	if f.Multiple <= 0 || f.Within <= 0 || f.WarmWithin <= 0 || r.now-t.Cold > f.WarmWithin+f.Within {
		t.Colds = false
		return true
	}
	warmth := float64(max(0, r.now-t.Cold-f.Within)) / float64(f.WarmWithin)
	capacity := f.ColdFrom + (1-f.ColdFrom)*min(1, warmth)
	// At least one attempt of the longest class a window for all routers, where there is no history.
	least := slices.Max(r.meanSend) / float64(r.sharers(t)) / f.Within.Seconds()
	part := max(budgetSafety*f.Multiple*capacity*r.linkPart(t), least)
	most := part * f.Within.Seconds() * budgetBurst
	t.Credit, t.CreditAt = t.Credit+part*(r.now-t.CreditAt).Seconds(), r.now
	if turn := slices.Max(r.meanSend); most < turn && t.Credit > most {
		t.Credit -= turn * math.Ceil((t.Credit-most)/turn)
	}
	t.Credit = min(t.Credit, most)
	return t.Credit >= 0
}

// chill starts the budget of one that is taken as cold from a time on.
func (r *Router) chill(t *target, from Time) {
	r.rng = mix(r.rng)
	t.Cold, t.Colds, t.Credit, t.CreditAt = from, true, -unit(r.rng)*slices.Max(r.meanSend), r.now
}

// linkPart is this router's part of a target's link, in transfers: as told, else the most its role served.
func (r *Router) linkPart(t *target) float64 {
	if r.set.WeightsTold && t.Weight > 0 {
		return t.Weight / float64(r.sharers(t))
	}
	return r.linkSeen[t.role]
}

// served books an answer on what each of a role, ready or cold, serves this router. If what was sent counted,
// a jam would pass for a large link, and those that start into it be pushed over.
func (r *Router) served(t *target, cost float64) {
	peers := r.caches
	if t.role == parent {
		peers = r.parents
	}
	r.load[t.role].add(r.now, loadSpan, cost)
	seen := r.load[t.role].perSecond(r.now, loadSpan) / float64(max(1, len(peers)))
	r.linkSeen[t.role] = max(r.linkSeen[t.role], seen)
}

// sharers is the number of routers that send to a target: those of its location, or all.
func (r *Router) sharers(t *target) int {
	if z := t.Zone; t.role == edge && z >= 0 && z < len(r.set.ZoneRouters) && r.set.ZoneRouters[z] > 0 {
		return r.set.ZoneRouters[z]
	}
	return r.set.Routers
}
