package hollow

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// eventKind is what happens.
type eventKind uint8

const (
	eventDeliver        eventKind = iota // a message is there
	eventConnected                       // the connection that a process asked for is open
	eventConnectionLost                  // a process learns that a connection has ended
	eventTimer                           // a process's timer
	eventCall                            // anything else: few
)

// event is something that happens at a time. Of two at one instant the one that was asked for first comes first.
type event struct {
	at          float64 // ms
	seq         uint64
	conn        *conn
	payload     *payload
	call        func()
	process     *process
	kind        eventKind
	slot        uint8
	upward      bool // from the subscriber's side to the distributor's
	incarnation uint32
}

func (a *event) before(b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// queue is a 4-ary heap of events by time and number, as that of internal/lab/sim, without a closure each: a run has
// hundreds of millions.
type eventQueue struct {
	heap      []event
	seq       uint64
	now       float64
	processed uint64
}

func (q *eventQueue) push(e event) {
	q.seq++
	e.seq, e.at = q.seq, max(e.at, q.now)
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// after has f called so many ms from now.
func (q *eventQueue) after(ms float64, f func()) {
	q.push(event{at: q.now + ms, kind: eventCall, call: f})
}

func (q *eventQueue) pop() (e event, ok bool) {
	n := len(q.heap)
	if n == 0 {
		return e, false
	}
	e = q.heap[0]
	last := q.heap[n-1]
	q.heap[n-1] = event{}
	q.heap = q.heap[:n-1]
	if n--; n > 0 {
		i := 0
		for {
			first := 4*i + 1
			if first >= n {
				break
			}
			least := first
			for c := first + 1; c < min(first+4, n); c++ {
				if q.heap[c].before(&q.heap[least]) {
					least = c
				}
			}
			if !q.heap[least].before(&last) {
				break
			}
			q.heap[i] = q.heap[least]
			i = least
		}
		q.heap[i] = last
	}
	q.now = e.at
	q.processed++
	return e, true
}

// stream is a generator of random numbers of its own, so that what one part draws changes nothing for another.
func newRand(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}
