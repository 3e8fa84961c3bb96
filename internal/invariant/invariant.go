// Package invariant checks invariants at run time. A violation panics in builds with the tag debug and is counted in all other
// builds.
package invariant

import "sync/atomic"

var violations atomic.Int64

// Check checks that an invariant holds. description states the invariant and is part of the panic message.
func Check(holds bool, description string) {
	if holds {
		return
	}
	if debug {
		panic("invariant violated: " + description)
	}
	violations.Add(1)
}

// Violations returns how many violations have been counted since the process started.
func Violations() int64 { return violations.Load() }
