package distribution_test

import (
	"math"
	"slices"

	"ravenwheel/internal/decide/distribution"
)

// dropEndedLinks drops links that have ended at both sides.
func (w *world) dropEndedLinks() {
	w.links = slices.DeleteFunc(w.links, func(l modelLink) bool { return !l.open && len(l.toDistributor) == 0 && len(l.toSubscriber) == 0 })
}

// cut ends a link at both sides; what is in flight is lost.
func (w *world) cut(at int) {
	w.links[at].toDistributor, w.links[at].toSubscriber = []distribution.Message{nil}, []distribution.Message{nil}
}

// crash restarts a process with no state.
func (w *world) crash(i int) {
	for at, l := range w.links {
		if l.to == i {
			w.links[at].toDistributor, w.links[at].toSubscriber = nil, []distribution.Message{nil}
		}
		if l.from == i {
			w.links[at].open = false
			w.links[at].toDistributor, w.links[at].toSubscriber = []distribution.Message{nil}, nil
		}
	}
	w.startProcess(i)
}

// advanceTime moves the time to the next wake-up, and handles it.
func (w *world) advanceTime() {
	next := math.Inf(1)
	for i := range processCount {
		if !w.paused[i] && w.observed[i] != nil {
			next = min(next, w.subscriberWakeAt[i], w.distributorWakeAt[i])
		}
	}
	w.now = max(w.now, math.Ceil(next))
	if w.now >= w.advancedAt+500 {
		w.advancedAt = w.now
		w.handleDistributor(rootIndex, distribution.AdvanceWatermark{Epoch: w.epoch, Watermark: w.watermark()})
	}
	for i := range processCount {
		if w.paused[i] || w.observed[i] == nil {
			continue
		}
		if w.subscribers[i] != nil {
			w.checkServing(i) // before its Tick
		}
		if w.distributorWakeAt[i] <= w.now {
			w.distributorWakeAt[i] = math.Inf(1)
			w.handleDistributor(i, distribution.Tick{})
		}
		if w.subscriberWakeAt[i] <= w.now {
			w.subscriberWakeAt[i] = math.Inf(1)
			w.handleSubscriber(i, distribution.Tick{})
		}
	}
}

func (w *world) idle() bool {
	return !slices.ContainsFunc(w.links, func(l modelLink) bool { return len(l.toDistributor) > 0 || len(l.toSubscriber) > 0 })
}

// caughtUp reports whether every process has everything that was committed.
func (w *world) caughtUp() bool {
	for i := range processCount {
		if w.subscribers[i] != nil && w.observed[i].CheckCaughtUp(int64(w.now)) != nil {
			return false
		}
	}
	return true
}

// resume resumes a paused process; a request may come before anything else.
func (w *world) resume(i int) {
	w.paused[i] = false
	w.checkServing(i)
}

// deliverAll delivers all messages that are in flight.
func (w *world) deliverAll() {
	for range 10_000 {
		delivered := false
		for at := range w.links {
			if l := w.links[at]; len(l.toDistributor) > 0 && !w.paused[l.to] {
				w.deliverToDistributor(at)
				delivered = true
			}
			if l := w.links[at]; len(l.toSubscriber) > 0 && !w.paused[l.from] {
				w.deliverToSubscriber(at)
				delivered = true
			}
		}
		w.dropEndedLinks()
		if !delivered {
			return
		}
	}
	panic("messages without end")
}

// heal ends all faults, and checks that every process gets everything in the end.
func (w *world) heal() error {
	for i := range processCount {
		if w.paused[i] {
			w.resume(i)
		}
	}
	for range 200 {
		w.deliverAll()
		if w.violation != nil {
			return w.violation
		}
		if w.idle() && w.caughtUp() {
			return nil
		}
		w.advanceTime()
	}
	for i := range processCount {
		if w.subscribers[i] != nil {
			if err := w.observed[i].CheckCaughtUp(int64(w.now)); err != nil {
				return err
			}
		}
	}
	return nil
}
