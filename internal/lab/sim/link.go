package sim

import "container/heap"

// link shares its bandwidth fairly among its transfers (processor sharing), each at most at the pace of one. It keeps one
// virtual time, what each transfer has got so far, so that an arrival costs a logarithm and not a pass over all.
type link struct {
	q     *queue
	rate  float64 // KB a ms
	pace  float64 // KB a ms, of one transfer at most
	got   float64 // KB that each transfer that is on has got since the start
	since float64 // when got was brought up to date
	on    transfers
	timer uint64  // number of the wake that counts
	moved float64 // KB in all
}

// transfer is one on a link.
type transfer struct {
	l     *link
	until float64 // of got
	index int     // in the heap; -1: it is not on
	seq   uint64
	size  float64
	done  func()
}

type transfers []*transfer

func (t transfers) Len() int { return len(t) }
func (t transfers) Less(i, j int) bool {
	return t[i].until < t[j].until || t[i].until == t[j].until && t[i].seq < t[j].seq
}
func (t transfers) Swap(i, j int) { t[i], t[j] = t[j], t[i]; t[i].index, t[j].index = i, j }

// Push implements heap.Interface.
func (t *transfers) Push(x any) {
	x.(*transfer).index = len(*t)
	*t = append(*t, x.(*transfer))
}

// Pop implements heap.Interface.
func (t *transfers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	x.index = -1
	return x
}

// share is what one transfer gets now.
func (l *link) share() float64 {
	if len(l.on) == 0 {
		return 0
	}
	s := l.rate / float64(len(l.on))
	if l.pace > 0 {
		s = min(s, l.pace)
	}
	return s
}

// advance brings what was got up to now.
func (l *link) advance() {
	d := l.share() * (l.q.now - l.since)
	l.got += d
	l.moved += d * float64(len(l.on))
	l.since = l.q.now
	if len(l.on) == 0 {
		l.got = 0 // or it would lose its last digits over a long run
	}
}

// start puts a transfer of so many KB on the link, and calls done when it is over.
func (l *link) start(kb float64, done func()) *transfer {
	l.advance()
	t := &transfer{l: l, until: l.got + kb, size: kb, done: done, seq: l.q.seq}
	l.q.seq++
	heap.Push(&l.on, t)
	l.arm()
	return t
}

// stop takes a transfer off before it is over.
func (t *transfer) stop() {
	if t == nil || t.index < 0 {
		return
	}
	t.l.advance()
	heap.Remove(&t.l.on, t.index)
	t.l.arm()
}

// set changes the link's rate: a cold server warms, a hurt one slows.
func (l *link) set(rate float64) {
	l.advance()
	l.rate = rate
	l.arm()
}

// arm asks to be woken when the next transfer is over.
func (l *link) arm() {
	l.timer++
	s := l.share()
	if len(l.on) == 0 || s <= 0 {
		return // nothing moves: a link of no capacity ends nothing, and its transfers time out elsewhere
	}
	mine := l.timer
	l.q.after(max(0, l.on[0].until-l.got)/s, func() {
		if mine == l.timer {
			l.wake()
		}
	})
}

// instant ms are no time: what is due within them is due now. Guards against a transfer that rounding leaves a hair short:
// late in a long run the time until it is over can be too small to move the clock, and it would be woken for for ever.
const instant = 1e-6

func (l *link) wake() {
	l.advance()
	var over []*transfer
	short := l.share() * instant
	for len(l.on) > 0 && l.on[0].until <= l.got+short {
		over = append(over, heap.Pop(&l.on).(*transfer))
	}
	l.arm()
	for _, t := range over {
		t.done()
	}
}
