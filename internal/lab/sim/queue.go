// Package sim is a deterministic discrete-event model of what a proxy balances: branches with caches, parents at hubs, an
// origin, clients, links that are shared, and a notice board that is late. The proxies in it run the very module of the
// program (policy), each blind to the others. Time is virtual, in ms; one seed gives one run, to the byte.
//
// It is our own model, from the public description of such systems; where it differs from sockets is measured, see
// docs/measurements/lab.md.
package sim

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// event is something that happens at a time. Of two at one instant the one that was asked for first comes first.
type event struct {
	at  float64
	seq uint64
	f   func()
}

// queue is a 4-ary heap of events: fewer levels than a binary one, for queues of many thousands.
type queue struct {
	heap []event
	seq  uint64
	now  float64
	done uint64 // events that happened
}

func (a *event) before(b *event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// at has f called at a time; an earlier one than now counts as now.
func (q *queue) at(at float64, f func()) {
	q.seq++
	q.heap = append(q.heap, event{max(at, q.now), q.seq, f})
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 4
		if !q.heap[i].before(&q.heap[parent]) {
			break
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// after has f called so many ms from now.
func (q *queue) after(ms float64, f func()) { q.at(q.now+ms, f) }

// next takes the next event off; ok is false if there is none.
func (q *queue) next() (e event, ok bool) {
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
			least, first := i, 4*i+1
			q.heap[i] = last
			for c := first; c < min(first+4, n); c++ {
				if q.heap[c].before(&q.heap[least]) {
					least = c
				}
			}
			if least == i {
				break
			}
			q.heap[i] = q.heap[least]
			i = least
		}
	}
	q.now = e.at
	q.done++
	return e, true
}

// stream is a generator of random numbers of its own, so that what one part draws changes nothing for another.
func stream(seed uint64, name string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(name)))
}

// alias draws from weights in constant time (Walker's alias method, as Vose builds its table, 1991).
type alias struct {
	prob  []float64
	other []int32
}

func newAlias(weights []float64) *alias {
	n := len(weights)
	total := 0.0
	for _, w := range weights {
		total += w
	}
	a := &alias{prob: make([]float64, n), other: make([]int32, n)}
	scaled := make([]float64, n)
	var small, large []int32
	for i, w := range weights {
		scaled[i] = w / total * float64(n)
		if scaled[i] < 1 {
			small = append(small, int32(i))
		} else {
			large = append(large, int32(i))
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		a.prob[s], a.other[s] = scaled[s], l
		if scaled[l] -= 1 - scaled[s]; scaled[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range append(small, large...) {
		a.prob[i] = 1
	}
	return a
}

func (a *alias) draw(rng *rand.Rand) int {
	i := rng.IntN(len(a.prob))
	if rng.Float64() < a.prob[i] {
		return i
	}
	return int(a.other[i])
}
