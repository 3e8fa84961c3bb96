package sim

// event is a function to be called at a virtual time. Events at the same time are called in the order in which they were scheduled.
type event struct {
	at       float64 // ms
	sequence uint64
	call     func()
}

func (e *event) isBefore(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// arity is the number of children of a node of the heap. It is higher than 2, because a queue holds many thousands of events and a
// flatter heap is faster.
const arity = 4

// eventQueue is a heap of events, and the virtual clock.
type eventQueue struct {
	heap     []event
	sequence uint64  // of the last event or transfer; orders those that are due at the same time
	now      float64 // ms
	handled  uint64  // number of events removed by next
}

// at schedules a call at a time in ms; a time in the past counts as now.
func (q *eventQueue) at(at float64, call func()) {
	q.sequence++
	q.heap = append(q.heap, event{max(at, q.now), q.sequence, call})
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / arity
		if !q.heap[i].isBefore(&q.heap[parent]) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// after schedules a call in this many ms.
func (q *eventQueue) after(ms float64, call func()) { q.at(q.now+ms, call) }

// next removes the next event and advances the clock to its time. ok is false if there is none.
func (q *eventQueue) next() (e event, ok bool) {
	n := len(q.heap)
	if n == 0 {
		return e, false
	}
	e = q.heap[0]
	last := q.heap[n-1]
	q.heap[n-1] = event{}
	q.heap = q.heap[:n-1]
	if len(q.heap) > 0 {
		q.siftDown(last)
	}
	q.now = e.at
	q.handled++
	return e, true
}

// siftDown puts an event in place of the root, and moves it down to where it belongs.
func (q *eventQueue) siftDown(e event) {
	n := len(q.heap)
	for i := 0; ; {
		q.heap[i] = e
		least, first := i, arity*i+1
		for child := first; child < min(first+arity, n); child++ {
			if q.heap[child].isBefore(&q.heap[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		q.heap[i] = q.heap[least]
		i = least
	}
}
