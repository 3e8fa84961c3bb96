package distribution_test

import (
	"math"
	"slices"

	"ravenwheel/internal/decide/distribution"
)

// tidy forgets wires that have ended at both sides.
func (w *world) tidy() {
	w.wires = slices.DeleteFunc(w.wires, func(l wire) bool { return !l.open && len(l.up) == 0 && len(l.down) == 0 })
}

// cut ends a wire at both sides; what is under way is gone.
func (w *world) cut(at int) {
	w.wires[at].up, w.wires[at].down = []distribution.Message{nil}, []distribution.Message{nil}
}

// crash has a distributor start anew with nothing.
func (w *world) crash(i int) {
	for at, l := range w.wires {
		if l.to == i {
			w.wires[at].up, w.wires[at].down = nil, []distribution.Message{nil}
		}
		if l.from == i {
			w.wires[at].open = false
			w.wires[at].up, w.wires[at].down = []distribution.Message{nil}, nil
		}
	}
	w.boot(i)
}

// pass lets time go on to the next thing that is due, and does it.
func (w *world) pass() {
	next := math.Inf(1)
	for i := range processes {
		if !w.stopped[i] && w.seen[i] != nil {
			next = min(next, w.subWake[i], w.distWake[i])
		}
	}
	w.now = max(w.now, math.Ceil(next))
	if w.now >= w.told+500 {
		w.told = w.now
		w.below(atRoot, distribution.AdvanceWatermark{Epoch: w.epoch, Watermark: w.top()})
	}
	for i := range processes {
		if w.stopped[i] || w.seen[i] == nil {
			continue
		}
		if w.subs[i] != nil {
			w.serve(i) // before its Tick
		}
		if w.distWake[i] <= w.now {
			w.distWake[i] = math.Inf(1)
			w.below(i, distribution.Tick{})
		}
		if w.subWake[i] <= w.now {
			w.subWake[i] = math.Inf(1)
			w.above(i, distribution.Tick{})
		}
	}
}

func (w *world) quiet() bool {
	return !slices.ContainsFunc(w.wires, func(l wire) bool { return len(l.up) > 0 || len(l.down) > 0 })
}

// settled tells whether everybody has all that was committed.
func (w *world) settled() bool {
	for i := range processes {
		if w.subs[i] != nil && w.seen[i].CheckCaughtUp(int64(w.now)) != nil {
			return false
		}
	}
	return true
}

// resume wakes a process; a request may be there before anything else.
func (w *world) resume(i int) {
	w.stopped[i] = false
	w.serve(i)
}

// settle delivers all that is under way.
func (w *world) settle() {
	for range 10_000 {
		moved := false
		for at := range w.wires {
			if l := w.wires[at]; len(l.up) > 0 && !w.stopped[l.to] {
				w.deliverUp(at)
				moved = true
			}
			if l := w.wires[at]; len(l.down) > 0 && !w.stopped[l.from] {
				w.deliverDown(at)
				moved = true
			}
		}
		w.tidy()
		if !moved {
			return
		}
	}
	panic("messages without end")
}

// heal ends all faults, and tells whether everybody gets everything in the end.
func (w *world) heal() error {
	for i := range processes {
		if w.stopped[i] {
			w.resume(i)
		}
	}
	for range 200 {
		w.settle()
		if w.broken != nil {
			return w.broken
		}
		if w.quiet() && w.settled() {
			return nil
		}
		w.pass()
	}
	for i := range processes {
		if w.subs[i] != nil {
			if err := w.seen[i].CheckCaughtUp(int64(w.now)); err != nil {
				return err
			}
		}
	}
	return nil
}
