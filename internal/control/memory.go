package control

import "runtime/debug"

// Garbage collection targets, in percent of the live heap. A collection delays requests that wait for the only core, so collections
// are rare while there is spare memory. Two processes that share the limit have no spare memory.
const (
	gcPercent       = 400
	gcPercentShared = 50
)

// runtimeNumerator and runtimeDenominator are the fraction of the memory that the Go runtime may use. The rest is for memory that
// the runtime does not count.
const runtimeNumerator, runtimeDenominator = 5, 8

// LimitMemory limits the Go runtime's memory to its fraction of mb megabytes (0: no limit), or to half of that if another process
// shares them.
func LimitMemory(mb int, shared bool) {
	if mb <= 0 {
		return
	}
	limit, percent := int64(mb)<<20*runtimeNumerator/runtimeDenominator, gcPercent
	if shared {
		limit, percent = limit/2, gcPercentShared
	}
	debug.SetMemoryLimit(limit)
	debug.SetGCPercent(percent)
}
