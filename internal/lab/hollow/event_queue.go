package hollow

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// eventKind selects how an event is handled.
type eventKind uint8

const (
	eventDeliver        eventKind = iota // a message arrives
	eventConnected                       // a handshake is complete
	eventConnectionLost                  // a process learns that a connection has ended
	eventTimer                           // a process's timer is due
	eventCall                            // event.call is called; used for all that is rare
)

// event happens at a virtual time. Events at the same time happen in the order in which they were pushed.
type event struct {
	at          float64 // ms
	sequence    uint64  // order of pushing
	conn        *conn
	payload     *payload
	call        func()   // of an eventCall
	process     *process // that handles the event
	kind        eventKind
	slot        timerSlot
	upward      bool   // message goes from the subscriber to the distributor
	incarnation uint32 // of process when the event was pushed
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// heapArity is the number of children of a node in an eventQueue.
const heapArity = 4

// eventQueue is a heap of events by time, with the virtual clock. Events are values and not closures, as a run has hundreds of
// millions of them.
type eventQueue struct {
	heap         []event
	lastSequence uint64
	now          float64 // ms
	processed    uint64
}

// push adds an event. One whose time has passed happens now.
func (q *eventQueue) push(e event) {
	q.lastSequence++
	e.sequence, e.at = q.lastSequence, max(e.at, q.now)
	q.heap = append(q.heap, e)
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / heapArity
		if !e.before(&q.heap[parent]) {
			break
		}
		q.heap[i] = q.heap[parent]
		i = parent
	}
	q.heap[i] = e
}

// after schedules a call in the given number of ms.
func (q *eventQueue) after(ms float64, call func()) {
	q.push(event{at: q.now + ms, kind: eventCall, call: call})
}

// pop removes the next event and advances the clock to it. ok is false if there is none.
func (q *eventQueue) pop() (e event, ok bool) {
	if len(q.heap) == 0 {
		return e, false
	}
	e = q.heap[0]
	last := len(q.heap) - 1
	moved := q.heap[last]
	q.heap[last] = event{} // lets the garbage collector free what the event refers to
	q.heap = q.heap[:last]
	if last > 0 {
		q.siftDown(moved)
	}
	q.now = e.at
	q.processed++
	return e, true
}

// siftDown inserts an event into the heap, whose root is free.
func (q *eventQueue) siftDown(e event) {
	n, i := len(q.heap), 0
	for {
		first := heapArity*i + 1
		if first >= n {
			break
		}
		least := first
		for child := first + 1; child < min(first+heapArity, n); child++ {
			if q.heap[child].before(&q.heap[least]) {
				least = child
			}
		}
		if !q.heap[least].before(&e) {
			break
		}
		q.heap[i] = q.heap[least]
		i = least
	}
	q.heap[i] = e
}

// newRand returns a random number generator for one purpose. Each purpose has its own, so that the use of one does not change the
// sequence of another.
func newRand(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}
