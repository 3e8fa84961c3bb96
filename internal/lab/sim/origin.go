package sim

import (
	"math"
	"math/rand/v2"
)

// originQueue models the origin as an M/M/c queue of limited length, for which there is a formula to test it against.
type originQueue struct {
	sim      *simulation
	rng      *rand.Rand
	busy     int
	waiting  []func(ok bool)
	slowdown float64 // multiple of the mean time of an answer
}

// request calls done when the origin has answered (ok), or at once if it rejects the request.
func (o *originQueue) request(done func(ok bool)) {
	f := o.sim.scenario.Fleet
	switch {
	case o.busy < f.OriginSlots:
		o.busy++
		o.serve(done)
	case len(o.waiting) < f.OriginQueue && f.OriginSlots > 0:
		o.waiting = append(o.waiting, done)
	default:
		done(false)
	}
}

func (o *originQueue) serve(done func(ok bool)) {
	o.sim.after(o.sim.scenario.Fleet.OriginTime*o.slowdown*-math.Log(1-o.rng.Float64()), func() {
		if len(o.waiting) > 0 {
			next := o.waiting[0]
			o.waiting = o.waiting[1:]
			o.serve(next)
		} else {
			o.busy--
		}
		done(true)
	})
}
