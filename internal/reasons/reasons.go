// Package reasons counts how often something happened, by reason: why connections were closed, or requests refused.
package reasons

import (
	"fmt"
	"sync/atomic"
)

// Reason is a reason out of fewer than maxReasons, which are numbered from 0.
type Reason interface {
	~int
	fmt.Stringer
}

// maxReasons is more than the reasons of any kind.
const maxReasons = 16

// Counters count by reason. The zero value has counted nothing.
type Counters[R Reason] struct{ counts [maxReasons]atomic.Int64 }

// Add counts a reason once.
func (c *Counters[R]) Add(reason R) { c.counts[reason].Add(1) }

// Count is how often something happened for one reason.
type Count struct {
	Reason string
	Count  int64
}

// Counts returns the counts of the reasons for which something happened.
func (c *Counters[R]) Counts() (counts []Count) {
	for i := range c.counts {
		if n := c.counts[i].Load(); n > 0 {
			counts = append(counts, Count{R(i).String(), n})
		}
	}
	return counts
}
