// Package invariant checks invariants at run time: a violation panics in builds with the tag debug and is counted in all
// others.
package invariant

import "sync/atomic"

var violations atomic.Int64

// Check checks that an invariant holds. description names it in the panic.
func Check(holds bool, description string) {
	if holds {
		return
	}
	if debug {
		panic("invariant violated: " + description)
	}
	violations.Add(1)
}

// Violations returns how many violations were counted since the start.
func Violations() int64 { return violations.Load() }
