package sim

import "container/heap"

// link shares its bandwidth equally among its transfers (processor sharing), up to the rate of a single transfer. It counts what
// each transfer has received since the start, as all receive the same; so starting and ending one costs O(log n).
type link struct {
	queue     *eventQueue
	bandwidth float64 // KB/ms
	maxRate   float64 // KB/ms of one transfer; 0: unlimited
	received  float64 // KB that a transfer has received if it is active since the start
	updated   float64 // ms at which received was brought up to date
	active    transferHeap
	wakeUp    uint64  // number of the scheduled wake-up that counts
	totalKB   float64 // transferred
}

// transfer is a transfer on a link.
type transfer struct {
	link     *link
	end      float64 // value of link.received at which it ends
	index    int     // in the heap; -1: not active
	sequence uint64
	done     func()
}

// transferHeap orders transfers by their end. It implements heap.Interface.
type transferHeap []*transfer

func (h transferHeap) Len() int { return len(h) }

func (h transferHeap) Less(i, j int) bool {
	return h[i].end < h[j].end || h[i].end == h[j].end && h[i].sequence < h[j].sequence
}

func (h transferHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *transferHeap) Push(x any) {
	x.(*transfer).index = len(*h)
	*h = append(*h, x.(*transfer))
}

// Pop implements heap.Interface.
func (h *transferHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.index = -1
	return t
}

// rate returns the present rate of one transfer, in KB/ms.
func (l *link) rate() float64 {
	if len(l.active) == 0 {
		return 0
	}
	rate := l.bandwidth / float64(len(l.active))
	if l.maxRate > 0 {
		rate = min(rate, l.maxRate)
	}
	return rate
}

// update brings the counts up to now.
func (l *link) update() {
	received := l.rate() * (l.queue.now - l.updated)
	l.received += received
	l.totalKB += received * float64(len(l.active))
	l.updated = l.queue.now
	if len(l.active) == 0 {
		l.received = 0 // keeps it small, so that it stays precise over a long run
	}
}

// start starts a transfer and calls done when it has ended.
func (l *link) start(kb float64, done func()) *transfer {
	l.update()
	t := &transfer{link: l, end: l.received + kb, done: done, sequence: l.queue.sequence}
	l.queue.sequence++
	heap.Push(&l.active, t)
	l.schedule()
	return t
}

// stop stops a transfer that has not ended. done is not called.
func (t *transfer) stop() {
	if t == nil || t.index < 0 {
		return
	}
	t.link.update()
	heap.Remove(&t.link.active, t.index)
	t.link.schedule()
}

// setBandwidth changes the bandwidth, in KB/ms.
func (l *link) setBandwidth(bandwidth float64) {
	l.update()
	l.bandwidth = bandwidth
	l.schedule()
}

// schedule schedules a wake-up for the end of the next transfer, in place of the one before. Without bandwidth no transfer ends.
func (l *link) schedule() {
	l.wakeUp++
	rate := l.rate()
	if len(l.active) == 0 || rate <= 0 {
		return
	}
	number := l.wakeUp
	l.queue.after(max(0, l.active[0].end-l.received)/rate, func() {
		if number == l.wakeUp {
			l.endTransfers()
		}
	})
}

// timeResolution is the time, in ms, within which a transfer counts as ended. Late in a long run, the time until its end may be
// too small to advance the clock, which would schedule wake-ups forever.
const timeResolution = 1e-6

// endTransfers ends the transfers that are due.
func (l *link) endTransfers() {
	l.update()
	var ended []*transfer
	tolerance := l.rate() * timeResolution
	for len(l.active) > 0 && l.active[0].end <= l.received+tolerance {
		ended = append(ended, heap.Pop(&l.active).(*transfer))
	}
	l.schedule()
	for _, t := range ended {
		t.done()
	}
}
