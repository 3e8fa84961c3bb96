// Package clock is the program's source of time, in float64 milliseconds. It separates two times. Now runs evenly: every deadline,
// timeout and delay is a span between two of its readings. Wall is the machine's Unix time, which may be stepped forward or back at any
// moment: it is for timestamps that other machines send or receive, and for printing.
//
// Tests replace it by a manual clock, under which nothing happens until they advance it.
package clock

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time and runs timers.
type Clock struct {
	startTime  time.Time // of a system clock, with its monotonic reading
	nowAtStart float64   // what Now was when it started, in ms

	manual bool

	mu         sync.Mutex
	wallOffset float64  // ms by which the wall clock is ahead of the machine's, or of a manual clock's Now
	now        float64  // of a manual clock
	timers     []*timer // of a manual clock
}

// timer is a function that a manual clock runs once.
type timer struct {
	due float64 // ms, as Now
	run func()
}

// System returns the machine's clock.
func System() *Clock { return SystemAhead(0) }

// SystemAhead returns the clock of a machine whose wall clock is so many ms ahead of this one's, for tests of clocks that disagree.
func SystemAhead(aheadMs float64) *Clock {
	started := time.Now()
	return &Clock{startTime: started, nowAtStart: unixMs(started) + aheadMs, wallOffset: aheadMs}
}

// Manual returns a clock that stands at a time until Advance moves it.
func Manual(now float64) *Clock { return &Clock{manual: true, now: now} }

// Now is a point in time in ms. It starts at the machine's Unix time and runs evenly from there, whatever becomes of the wall clock.
func (c *Clock) Now() float64 {
	if !c.manual {
		return c.nowAtStart + Ms(time.Since(c.startTime))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Wall is the machine's Unix time in ms. It may be stepped: the difference of two readings is not a span of time.
func (c *Clock) Wall() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		return c.now + c.wallOffset
	}
	return unixMs(time.Now()) + c.wallOffset
}

// StepWall steps the wall clock forward by so many ms, or back.
func (c *Clock) StepWall(ms float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallOffset += ms
}

// Epoch is what Now was when the machine's monotonic clock was 0. Processes of one machine, each of which has a Now of its own, compare
// times by it. ok is false where the machine has no monotonic clock.
func (c *Clock) Epoch() (ms float64, ok bool) {
	if c.manual {
		return 0, true
	}
	var monotonic unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, false
	}
	const nanosecondsPerMs = 1e6
	return c.Now() - float64(monotonic.Nano())/nanosecondsPerMs, true
}

// minShiftMs: epochs of one machine that differ by less were read at slightly different moments, and mean the same.
const minShiftMs = 500

// Shift is how many ms to add to a time of another process of this machine, a reading of its Now, to have a time of this clock. It is not
// 0 where the wall clock was stepped between the starts of both. epoch is the other process's Epoch; 0: not known, and the shift is 0.
func (c *Clock) Shift(epoch float64) float64 {
	own, ok := c.Epoch()
	if shift := own - epoch; ok && epoch != 0 && math.Abs(shift) >= minShiftMs {
		return shift
	}
	return 0
}

func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// After runs f once, ms from now: in a goroutine of its own, or on a manual clock in that of Advance. stop keeps it from starting.
func (c *Clock) After(ms float64, f func()) (stop func()) {
	if !c.manual {
		t := time.AfterFunc(Duration(max(0, ms)), f)
		return func() { t.Stop() }
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &timer{due: c.now + max(0, ms), run: f}
	c.timers = append(c.timers, t)
	return func() { c.remove(t) }
}

func (c *Clock) remove(t *timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range c.timers {
		if other == t {
			c.timers = append(c.timers[:i], c.timers[i+1:]...)
			return
		}
	}
}

// Advance moves a manual clock by so many ms and runs the timers that fall due, in the order of their times.
func (c *Clock) Advance(ms float64) {
	c.mu.Lock()
	end := c.now + ms
	for next := c.nextTimer(end); next != nil; next = c.nextTimer(end) {
		c.now = max(c.now, next.due)
		c.mu.Unlock()
		c.remove(next)
		next.run()
		c.mu.Lock()
	}
	c.now = end
	c.mu.Unlock()
}

// NextTimer returns the time of a manual clock, in ms, at which its next timer falls due, for tests that must not move the clock
// further than that. ok is false if no timer is set.
func (c *Clock) NextTimer() (due float64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.nextTimer(math.Inf(1))
	if next == nil {
		return 0, false
	}
	return next.due, true
}

// nextTimer is the timer that falls due first, not after end; nil: none. Of two at the same time it is the one set first. Called under
// the lock.
func (c *Clock) nextTimer(end float64) (next *timer) {
	for _, t := range c.timers {
		if t.due <= end && (next == nil || t.due < next.due) {
			next = t
		}
	}
	return next
}

// Duration converts ms for packages that count in time.Duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Ms converts a duration to ms.
func Ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
