// Package invariant asserts what must hold: a breach panics in builds with -tags debug and is counted in
// all others.
package invariant

import "sync/atomic"

var violations atomic.Int64

// Check asserts that ok holds; what names the invariant.
func Check(ok bool, what string) {
	if ok {
		return
	}
	if debug {
		panic("invariant broken: " + what)
	}
	violations.Add(1)
}

// Broken is how many breaches were counted since the start.
func Violations() int64 { return violations.Load() }
