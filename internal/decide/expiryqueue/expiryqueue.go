// Package expiryqueue finds the entries of a map that have expired without a walk over the whole map. A Queue orders the
// keys by their expiry time and holds nothing else: the owner keeps the entries, says when each expires, and removes it.
// An entry whose expiry is moved to later stays in its place and is moved when it comes up. The tests compare a Queue with
// a walk.
package expiryqueue

import (
	"iter"
	"math"
)

// Queue orders keys by expiry time, in any unit. The zero value is empty. For each key of the owner it has an entry that
// is no later than the key's expiry; superseded entries are dropped when they come up.
type Queue[K comparable] struct {
	heap []entry[K] // a binary heap, the earliest first
}

type entry[K comparable] struct {
	at  float64
	key K
}

// An expiry that is moved to earlier leaves a superseded entry. A queue of n keys is to be rebuilt once it has more than
// maxEntriesPerKey*n + minEntriesToRebuild entries: each rebuild then follows about as many insertions as it has work to do.
const (
	maxEntriesPerKey    = 2
	minEntriesToRebuild = 64
)

// Set records that a key expires at a time. known says whether the owner had the key before, and previous is its expiry until
// now: a move to later needs no entry, since the present one is moved when it comes up. A key with expiry NaN never
// expires.
func (q *Queue[K]) Set(key K, at, previous float64, known bool) {
	if known && previous <= at || math.IsNaN(at) {
		return
	}
	q.push(entry[K]{at, key})
}

// Len returns the number of entries, superseded ones among them.
func (q *Queue[K]) Len() int { return len(q.heap) }

// NeedsRebuild reports whether the queue of an owner with this number of keys is to be rebuilt.
func (q *Queue[K]) NeedsRebuild(keys int) bool {
	return len(q.heap) > maxEntriesPerKey*keys+minEntriesToRebuild
}

// Rebuild replaces all entries by those of the given keys and expiry times.
func (q *Queue[K]) Rebuild(expiries iter.Seq2[K, float64]) {
	clear(q.heap) // releases the keys
	q.heap = q.heap[:0]
	for key, at := range expiries {
		if !math.IsNaN(at) {
			q.heap = append(q.heap, entry[K]{at, key})
		}
	}
	for i := len(q.heap)/2 - 1; i >= 0; i-- {
		q.down(i)
	}
}

// Expire calls remove for each key that has expired. expired reports whether a time has passed; if it does for a time it
// must for all earlier ones. expiryOf returns a key's present expiry, and whether the owner has the key.
func (q *Queue[K]) Expire(expired func(at float64) bool, expiryOf func(K) (at float64, exists bool), remove func(K)) {
	for len(q.heap) > 0 && expired(q.heap[0].at) {
		key := q.heap[0].key
		at, exists := expiryOf(key)
		switch {
		case !exists || math.IsNaN(at):
			q.pop()
		case expired(at):
			q.pop()
			remove(key)
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
