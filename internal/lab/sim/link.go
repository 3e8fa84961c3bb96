package sim

import "container/heap"

// link shares its bandwidth equally among its transfers (processor sharing), up to the maximum rate of a single transfer. As all
// active transfers receive the same, it keeps one count for all of them; so starting and ending a transfer costs O(log n).
type link struct {
	queue         *eventQueue
	bandwidth     float64 // KB/ms
	maxRate       float64 // KB/ms of one transfer; 0 for unlimited
	receivedKB    float64 // KB that a transfer active since the last reset has received; reset to 0 when none is active
	updatedAt     float64 // ms at which receivedKB was brought up to date
	active        transferHeap
	currentWakeUp uint64  // number of the last scheduled wake-up; earlier ones are ignored
	totalKB       float64 // transferred by all transfers since the link was made
}

// transfer is a transfer on a link.
type transfer struct {
	link     *link
	endsAtKB float64 // value of link.receivedKB at which the transfer ends
	index    int     // in the heap; -1 if the transfer is not active
	sequence uint64
	done     func()
}

// transferHeap orders transfers by their end. It implements heap.Interface.
type transferHeap []*transfer

func (h transferHeap) Len() int { return len(h) }

func (h transferHeap) Less(i, j int) bool {
	return h[i].endsAtKB < h[j].endsAtKB || h[i].endsAtKB == h[j].endsAtKB && h[i].sequence < h[j].sequence
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

// rate returns the current rate of one transfer, in KB/ms.
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

// update brings the counts up to date.
func (l *link) update() {
	received := l.rate() * (l.queue.now - l.updatedAt)
	l.receivedKB += received
	l.totalKB += received * float64(len(l.active))
	l.updatedAt = l.queue.now
	if len(l.active) == 0 {
		l.receivedKB = 0 // a small value stays precise over a long run
	}
}

// start starts a transfer and calls done when it has ended.
func (l *link) start(kb float64, done func()) *transfer {
	l.update()
	t := &transfer{link: l, endsAtKB: l.receivedKB + kb, done: done, sequence: l.queue.sequence}
	l.queue.sequence++
	heap.Push(&l.active, t)
	l.schedule()
	return t
}

// stop stops the transfer, without calling done. It does nothing if the transfer has ended.
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

// schedule schedules a wake-up for when the next transfer ends, in place of the previous wake-up. Without bandwidth no transfer
// ends, so there is no wake-up.
func (l *link) schedule() {
	l.currentWakeUp++
	rate := l.rate()
	if len(l.active) == 0 || rate <= 0 {
		return
	}
	wakeUp := l.currentWakeUp
	l.queue.after(max(0, l.active[0].endsAtKB-l.receivedKB)/rate, func() {
		if wakeUp == l.currentWakeUp {
			l.endTransfers()
		}
	})
}

// timeResolution is the time, in ms, before its end from which a transfer counts as ended. Late in a long run, the remaining time
// may be too small to advance the clock, a float64, and wake-ups would be scheduled forever.
const timeResolution = 1e-6

// endTransfers ends the transfers that are due.
func (l *link) endTransfers() {
	l.update()
	var ended []*transfer
	tolerance := l.rate() * timeResolution
	for len(l.active) > 0 && l.active[0].endsAtKB <= l.receivedKB+tolerance {
		ended = append(ended, heap.Pop(&l.active).(*transfer))
	}
	l.schedule()
	for _, t := range ended {
		t.done()
	}
}
