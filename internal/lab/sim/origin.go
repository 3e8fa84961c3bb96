package sim

import (
	"math"
	"math/rand/v2"
)

// originQueue models the origin as an M/M/c queue of limited length. Erlang's formula gives the mean wait of such a queue, and a
// test compares the model with it.
type originQueue struct {
	sim      *simulation
	rng      *rand.Rand
	busy     int // answers in progress
	waiting  []func(ok bool)
	slowdown float64 // factor on the mean time of an answer; 1 without a fault
}

// submit sends a request to the origin. It calls done(true) when the origin has answered, or done(false) at once if all slots are
// in use and the queue is full.
func (o *originQueue) submit(done func(ok bool)) {
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
