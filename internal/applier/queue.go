package applier

import (
	"sync"

	"ravenwheel/internal/decide/storestate"
)

// Queue holds changes, in order, until an Applier takes them. It is not bounded: a member of the store that waited for room would not
// answer the other members, and a new member has to apply the whole log before its applier starts. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	changed *sync.Cond // pushed, applied or closed has changed
	changes []storestate.Change
	pushed  uint64 // number of changes added so far
	applied uint64 // number of changes applied so far
	closed  bool
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	q := &Queue{}
	q.changed = sync.NewCond(&q.mu)
	return q
}

// Push adds a change. It never blocks.
func (q *Queue) Push(c storestate.Change) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.changes = append(q.changes, c)
	q.pushed++
	q.changed.Broadcast()
}

// Close ends Applier.Run once it has applied the changes in the queue.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.changed.Broadcast()
}

// AwaitApplied waits until the changes that have been pushed by now are applied. It returns at once if the queue is closed.
func (q *Queue) AwaitApplied() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for pushed := q.pushed; q.applied < pushed && !q.closed; {
		q.changed.Wait()
	}
}

// take waits for changes and removes them from the queue. ok is false if the queue is closed and empty.
func (q *Queue) take() (changes []storestate.Change, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.changes) == 0 && !q.closed {
		q.changed.Wait()
	}
	changes, q.changes = q.changes, nil
	return changes, len(changes) > 0
}

// recordApplied counts changes that have been applied.
func (q *Queue) recordApplied(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.applied += uint64(n)
	q.changed.Broadcast()
}
