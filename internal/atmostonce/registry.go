// Package atmostonce remembers the ids of requests that must not run twice, and that may have run. What is known of an id outlives
// its client, and two processes that share a registry's memory know of each other's requests. A registry has a fixed size: where
// there is no room, a request is refused, and no id is forgotten early.
//
// The slots are single words that are changed by compare-and-swap, so that a process that is suspended or killed holds up no other.
package atmostonce

import (
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"ravenwheel/internal/clock"
)

// Result is what Begin found.
type Result int

// The results.
const (
	First    Result = iota // the id was not known, and is from now on
	Repeated               // a request with this id may have run
	Full                   // there is no room for the id
)

const (
	// bucketSlots is the number of neighbouring slots in which an id may stand. Each id has two buckets.
	bucketSlots = 8
	// timeBits is the number of bits of a slot that hold when the id was added, in units of tickMs. The others identify the id.
	timeBits = 28
	timeMask = 1<<timeBits - 1
	tickMs   = 250
)

// Registry is a set of ids, each of which is kept for the same time. Its methods are safe for concurrent use, also by another
// process that shares its memory. A nil Registry knows no id.
type Registry struct {
	clock     *clock.Clock
	offset    float64 // ms from the machine's monotonic clock, which all processes share, to the clock
	keepTicks uint64
	table     atomic.Pointer[table]
}

// table is the memory of a registry.
type table struct {
	slots      []atomic.Uint64 // 0: free; else an id's fingerprint and the time at which it was added
	descriptor int             // of the shared memory; -1: it is not shared
}

// New returns a registry with a number of slots, a power of 2, that keeps each id for keepMs ms. If shared, another process may get
// its memory.
func New(c *clock.Clock, slots int, keepMs float64, shared bool) *Registry {
	r := &Registry{clock: c, keepTicks: uint64(keepMs/tickMs) + 1}
	r.offset, _ = c.Epoch()
	t := &table{descriptor: -1}
	if shared {
		t = newSharedTable(slots)
	}
	if t.slots == nil {
		t.slots = make([]atomic.Uint64, slots)
	}
	r.table.Store(t)
	return r
}

// Begin adds the id of a request that is about to run.
func (r *Registry) Begin(id string) Result {
	if r == nil {
		return First
	}
	t, hash := r.table.Load(), hashOf(id)
	fingerprint, now := fingerprintOf(hash), r.ticks()
	own, result := t.insert(hash, fingerprint, now, r.keepTicks)
	if result != First {
		return result
	}
	// Another process may have added the same id at the same time. Each of the two then finds the other's.
	if t.find(hash, fingerprint, now, r.keepTicks, own) != nil {
		own.Store(0)
		return Repeated
	}
	return First
}

// Cancel removes the id of a request that has not run and will not.
func (r *Registry) Cancel(id string) {
	if r == nil {
		return
	}
	hash := hashOf(id)
	if slot := r.table.Load().find(hash, fingerprintOf(hash), r.ticks(), r.keepTicks, nil); slot != nil {
		slot.Store(0)
	}
}

// ticks returns the time in units of tickMs.
func (r *Registry) ticks() uint64 { return uint64((r.clock.Now()-r.offset)/tickMs) & timeMask }

// hashOf returns the hash of an id. Ids of 16 hexadecimal digits are numbers, whatever the case of their digits.
func hashOf(id string) uint64 {
	if number, err := strconv.ParseUint(id, 16, 64); err == nil {
		id = strconv.FormatUint(number, 16)
	}
	return xxhash.Sum64String(id)
}

// fingerprintOf returns the part of a hash that is stored, which is not 0.
func fingerprintOf(hash uint64) uint64 { return max(1, hash>>timeBits) }

// isLive reports whether a slot holds an id that is still kept.
func isLive(word, now, keepTicks uint64) bool { return word != 0 && (now-word)&timeMask < keepTicks }

// buckets returns the two buckets in which an id may stand.
func (t *table) buckets(hash uint64) [2][]atomic.Uint64 {
	count := uint64(len(t.slots) / bucketSlots)
	first, second := hash%count, (hash>>32^hash>>7)%count
	return [2][]atomic.Uint64{t.slots[first*bucketSlots:][:bucketSlots], t.slots[second*bucketSlots:][:bucketSlots]}
}

// find returns the slot, other than except, in which an id is kept; nil if there is none.
func (t *table) find(hash, fingerprint, now, keepTicks uint64, except *atomic.Uint64) *atomic.Uint64 {
	for _, bucket := range t.buckets(hash) {
		for i := range bucket {
			word := bucket[i].Load()
			if &bucket[i] != except && word>>timeBits == fingerprint && isLive(word, now, keepTicks) {
				return &bucket[i]
			}
		}
	}
	return nil
}

// insert adds an id to the emptier of its buckets, and returns its slot.
func (t *table) insert(hash, fingerprint, now, keepTicks uint64) (own *atomic.Uint64, result Result) {
	if t.find(hash, fingerprint, now, keepTicks, nil) != nil {
		return nil, Repeated
	}
	for {
		slot, word := t.freeSlot(hash, now, keepTicks)
		if slot == nil {
			return nil, Full
		}
		if slot.CompareAndSwap(word, fingerprint<<timeBits|now) {
			return slot, First
		}
	}
}

// freeSlot returns a slot of the emptier bucket that holds no id, or one that is no longer kept, and its content.
func (t *table) freeSlot(hash, now, keepTicks uint64) (free *atomic.Uint64, word uint64) {
	most := 0
	for _, bucket := range t.buckets(hash) {
		count := 0
		var candidate *atomic.Uint64
		var content uint64
		for i := range bucket {
			if w := bucket[i].Load(); !isLive(w, now, keepTicks) {
				count++
				candidate, content = &bucket[i], w
			}
		}
		if count > most {
			most, free, word = count, candidate, content
		}
	}
	return free, word
}
