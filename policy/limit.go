// How much is out at a cache, a link or a source at once.

package policy

import (
	"cmp"
	"math"
)

// crowded tells whether a cache or source is passed over for now: as much is out there as is answered in
// time, or it said that it was full. A limit is kept by chance, so that one below a single attempt works.
func (r *Router) crowded(q *request, t *target, taken float64) bool {
	return r.now < t.fullUntil || taken/r.standing(q)+q.luck > t.Limit*r.scale
}

// standing is the part of a limit that a request may use. In a jam a place is best given to whoever earns
// most for its sending time: what earns far less than the best class does on average is turned away a little
// sooner, and so is a client's repeat, since its time counts from the first try.
func (r *Router) standing(q *request) float64 {
	best := 0.0
	for i, c := range r.set.Classes {
		if !c.Uncached { // it takes no place where there are limits
			best = max(best, c.Worth/r.meanSend[i])
		}
	}
	earns, part := q.class.Worth/cmp.Or(r.ownTime(q), r.sendingTime(q)), 1.0
	for _, low := range []bool{littleEarned*earns < best, leastEarned*earns < best, q.Repeat} {
		if low {
			part *= lowStanding
		}
	}
	return part
}

// places is what this router has out at a target: attempts, and of those that name it as their source the
// share that will need it. Counting them all would shut a parent for hits it never sees.
func (r *Router) places(t *target) float64 {
	fills := float64(r.fillShare)*float64(t.fills) + float64(r.originShare)*float64(t.deep)
	if t.role == origin {
		return float64(len(t.out)) + fills
	}
	return float64(len(t.out)-t.through) + fills
}

// adapt moves the limit of the one that decided how long an answer took: up if in time, down if late. With
// less than half its places taken it stays, as large objects are late now and then. A source's rises only
// where more are out: eighty with room for two fills each are a jam for the origin.
func (r *Router) adapt(t *target, late bool) {
	least, sharers := sourceLeast, 1.0
	if t.role == edge { // its neighbours raise theirs: all together it grows as one router's would
		sharers = float64(r.sharers(t))
		least = limitLeast / sharers
	}
	speaks := min(limitSpeaks, max(1, float64(r.now-t.Heard)/float64(limitEvery)))
	switch {
	case t.role != edge && !late && 2*r.places(t)+spareSource < t.Limit*r.scale:
	case 2*(r.places(t)+1) < t.Limit*r.scale:
	case late:
		t.Limit *= math.Pow(limitShrink, speaks/r.scale)
	default:
		t.Limit += min(limitStep/sharers/t.Limit, limitRaise*speaks*t.Limit) / r.scale
	}
	t.Limit, t.Heard = max(t.Limit, least), r.now
}
