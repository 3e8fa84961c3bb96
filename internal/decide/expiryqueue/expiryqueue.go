// Package expiryqueue finds the expired entries of a map without a scan of the whole map. A Queue orders the keys of the map by
// expiry time and holds nothing else: the map's owner keeps the values, supplies the expiry times and removes expired keys. When
// an expiry is moved to later, the queue's entry stays in place and is reordered once it reaches the top of the heap.
//
// The package reads no clock. Its tests compare a Queue with a full scan of the map.
package expiryqueue

import (
	"iter"
	"math"
)

// Queue orders keys by expiry time, in any unit. The zero value is empty. For each key of the owner it has an entry whose time is
// no later than the key's expiry; superseded entries are removed when they reach the top of the heap.
type Queue[K comparable] struct {
	heap []entry[K] // a binary heap, the earliest first
}

type entry[K comparable] struct {
	expiresAt float64
	key       K
}

// An expiry that is moved to earlier leaves a superseded entry in the queue. A queue of n keys must be rebuilt once it has more
// than maxEntriesPerKey*n + minEntriesToRebuild entries: each rebuild then follows about as many insertions as it processes
// entries.
const (
	maxEntriesPerKey    = 2
	minEntriesToRebuild = 64
)

// Set records when a key expires. known says whether the owner had the key before, and previous is its expiry until now: a move to
// later adds no entry, because the existing one is reordered when it reaches the top of the heap. A key with expiry NaN never
// expires.
func (q *Queue[K]) Set(key K, expiresAt, previous float64, known bool) {
	if known && previous <= expiresAt || math.IsNaN(expiresAt) {
		return
	}
	q.push(entry[K]{expiresAt, key})
}

// Len returns the number of entries, including superseded ones.
func (q *Queue[K]) Len() int { return len(q.heap) }

// NeedsRebuild reports whether the queue of an owner with this number of keys must be rebuilt.
func (q *Queue[K]) NeedsRebuild(keys int) bool {
	return len(q.heap) > maxEntriesPerKey*keys+minEntriesToRebuild
}

// Rebuild replaces all entries by those of the given keys and expiry times.
func (q *Queue[K]) Rebuild(expiries iter.Seq2[K, float64]) {
	clear(q.heap) // releases the keys
	q.heap = q.heap[:0]
	for key, expiresAt := range expiries {
		if !math.IsNaN(expiresAt) {
			q.heap = append(q.heap, entry[K]{expiresAt, key})
		}
	}
	for i := len(q.heap)/2 - 1; i >= 0; i-- {
		q.siftDown(i)
	}
}

// Expire calls remove for each key that has expired. expired reports whether a time has passed; if it returns true for a time, it
// must return true for all earlier ones. expiryOf returns a key's current expiry, and whether the owner has the key.
func (q *Queue[K]) Expire(expired func(expiresAt float64) bool, expiryOf func(K) (expiresAt float64, exists bool), remove func(K)) {
	for len(q.heap) > 0 && expired(q.heap[0].expiresAt) {
		key := q.heap[0].key
		expiresAt, exists := expiryOf(key)
		switch {
		case !exists || math.IsNaN(expiresAt):
			q.pop()
		case expired(expiresAt):
			q.pop()
			remove(key)
		default: // moved to later
			q.heap[0].expiresAt = expiresAt
			q.siftDown(0)
		}
	}
}

func (q *Queue[K]) push(e entry[K]) {
	q.heap = append(q.heap, e)
	for i := len(q.heap) - 1; i > 0; {
		parent := (i - 1) / 2
		if q.heap[parent].expiresAt <= q.heap[i].expiresAt {
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
		q.siftDown(0)
	}
}

func (q *Queue[K]) siftDown(i int) {
	for {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(q.heap); child++ {
			if q.heap[child].expiresAt < q.heap[earliest].expiresAt {
				earliest = child
			}
		}
		if earliest == i {
			return
		}
		q.heap[i], q.heap[earliest] = q.heap[earliest], q.heap[i]
		i = earliest
	}
}
