// Package expiryqueue finds, of what is held until a time, that whose time has come, without a walk through all of it. It owns
// an order of times and none of what is held: its owner says when something ends, and drops it. An entry whose time was
// moved stays where it is until it comes up, and is put back then. Its decisions are tested here against such a walk.
package expiryqueue

import (
	"iter"
	"math"
)

// Queue orders keys by the time at which they end. The zero value is empty. Of each key that is held it has an entry
// that is no later than the key's end; entries beyond that are passed over when they come up.
type Queue[K comparable] struct {
	heap []entry[K]
}

type entry[K comparable] struct {
	at  float64
	key K
}

// Bounds of what a queue has beyond one entry a key: ends that are moved forth and back leave entries behind, and a queue
// with more than spareEntries and spareTimes as many as there are keys is built anew, at a cost that those have paid for.
const (
	spareTimes   = 2
	spareEntries = 64
)

// Set books that a key ends at a time; old is its end so far, and held whether it had one. An end that moves to later
// needs no entry: the one that is there is put back when it comes up. An end that is NaN never comes, as it compares as
// less with nothing.
func (q *Queue[K]) Set(key K, at float64, old float64, held bool) {
	if held && old <= at || math.IsNaN(at) {
		return
	}
	q.push(entry[K]{at, key})
}

// Len is how many entries there are.
func (q *Queue[K]) Len() int { return len(q.heap) }

// Spare tells whether the queue of so many keys is to be built anew.
func (q *Queue[K]) NeedsRebuild(keys int) bool { return len(q.heap) > spareTimes*keys+spareEntries }

// Reset builds the queue from all keys and their ends.
func (q *Queue[K]) Rebuild(ends iter.Seq2[K, float64]) {
	clear(q.heap) // what it held is let go of
	q.heap = q.heap[:0]
	for key, at := range ends {
		if !math.IsNaN(at) {
			q.heap = append(q.heap, entry[K]{at, key})
		}
	}
	for i := len(q.heap)/2 - 1; i >= 0; i-- {
		q.down(i)
	}
}

// Expire calls drop with each key whose time has come. due says whether a time has, and must do so of all times before one
// of which it does; ends is a key's end now, and whether it is held at all.
func (q *Queue[K]) Expire(due func(at float64) bool, ends func(K) (float64, bool), drop func(K)) {
	for len(q.heap) > 0 && due(q.heap[0].at) {
		key := q.heap[0].key
		at, held := ends(key)
		switch {
		case !held || math.IsNaN(at):
			q.pop()
		case due(at):
			q.pop()
			drop(key)
		default: // moved to later
			q.heap[0].at = at
			q.down(0)
		}
	}
}

func (q *Queue[K]) push(e entry[K]) {
	q.heap = append(q.heap, e)
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if q.heap[parent].at <= q.heap[i].at {
			return
		}
		q.heap[parent], q.heap[i] = q.heap[i], q.heap[parent]
		i = parent
	}
}

func (q *Queue[K]) pop() {
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = entry[K]{}
	q.heap = q.heap[:last]
	if last > 0 {
		q.down(0)
	}
}

func (q *Queue[K]) down(i int) {
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if q.heap[child].at < q.heap[least].at {
				least = child
			}
		}
		if least == i {
			return
		}
		q.heap[i], q.heap[least] = q.heap[least], q.heap[i]
		i = least
	}
}
