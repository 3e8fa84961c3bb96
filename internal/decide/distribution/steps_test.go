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

// cut ends a link at both sides. The messages in flight are lost.
func (w *world) cut(linkIndex int) {
	w.links[linkIndex].toDistributor, w.links[linkIndex].toSubscriber = []distribution.Message{nil}, []distribution.Message{nil}
}

// crash ends a process and its links, and starts it again without state.
func (w *world) crash(i int) {
	for linkIndex, l := range w.links {
		if l.to == i {
			w.links[linkIndex].toDistributor, w.links[linkIndex].toSubscriber = nil, []distribution.Message{nil}
		}
		if l.from == i {
			w.links[linkIndex].open = false
			w.links[linkIndex].toDistributor, w.links[linkIndex].toSubscriber = []distribution.Message{nil}, nil
		}
	}
	w.startProcess(i)
}

// advanceTime advances the time to the next requested Tick, and delivers the Ticks that are due. Every 500 ms the root also gets a
// new watermark.
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
			w.checkServing(i) // a request may come before the Tick
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

// idle reports whether no message is in flight.
func (w *world) idle() bool {
	return !slices.ContainsFunc(w.links, func(l modelLink) bool { return len(l.toDistributor) > 0 || len(l.toSubscriber) > 0 })
}

// caughtUp reports whether every process has all committed entries.
func (w *world) caughtUp() bool {
	for i := range processCount {
		if w.subscribers[i] != nil && w.observed[i].CheckCaughtUp(int64(w.now)) != nil {
			return false
		}
	}
	return true
}

// resume resumes a paused process. A request may come before any event.
func (w *world) resume(i int) {
	w.paused[i] = false
	w.checkServing(i)
}

// deliverAll delivers all messages that are in flight.
func (w *world) deliverAll() {
	for range 10_000 {
		delivered := false
		for linkIndex := range w.links {
			if l := w.links[linkIndex]; len(l.toDistributor) > 0 && !w.paused[l.to] {
				w.deliverToDistributor(linkIndex)
				delivered = true
			}
			if l := w.links[linkIndex]; len(l.toSubscriber) > 0 && !w.paused[l.from] {
				w.deliverToSubscriber(linkIndex)
				delivered = true
			}
		}
		w.dropEndedLinks()
		if !delivered {
			return
		}
	}
	panic("messages are still in flight after 10,000 rounds of delivery")
}

// heal ends all faults, and checks that every process catches up with all committed entries.
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
