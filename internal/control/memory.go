package control

import "runtime/debug"

// Garbage collection targets, in percent of the live heap. Collections delay requests that wait for the one core, so they
// are rare while there is memory. Two processes that share the limit have none to spare.
const (
	gcPercent       = 400
	gcPercentShared = 50
)

// heapNumerator and heapDenominator: the fraction of the memory for the runtime; the rest is for what it does not count.
const heapNumerator, heapDenominator = 5, 8

// LimitMemory limits the runtime's memory to its fraction of mb megabytes (0: no limit), or to half of that if another
// process shares them.
func LimitMemory(mb int, shared bool) {
	if mb <= 0 {
		return
	}
	limit, percent := int64(mb)<<20*heapNumerator/heapDenominator, gcPercent
	if shared {
		limit, percent = limit/2, gcPercentShared
	}
	debug.SetMemoryLimit(limit)
	debug.SetGCPercent(percent)
}
