// Package clock is the program's source of time, in float64 milliseconds. It separates two kinds of time. Now advances evenly: each
// deadline, timeout and delay is a difference between two readings of it. Wall is the machine's Unix time, which may be stepped
// forward or back at any moment: it is for timestamps that other machines send or receive, and for printing.
//
// Tests use a manual clock instead, under which no time passes until they advance it.
package clock

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock gives the time and runs timers.
type Clock struct {
	startTime  time.Time // when a system clock was created, with the monotonic reading
	nowAtStart float64   // Now at startTime, in ms

	manual bool

	mu         sync.Mutex
	wallOffset float64  // how many ms Wall is ahead of the machine's wall clock, or of a manual clock's Now
	now        float64  // of a manual clock, in ms
	timers     []*timer // of a manual clock
}

// timer is a function that a manual clock runs once.
type timer struct {
	due float64 // in ms of Now
	run func()
}

// System returns the machine's clock.
func System() *Clock { return SystemAhead(0) }

// SystemAhead returns the clock of a machine whose wall clock is aheadMs ms ahead of this machine's, for tests with clocks that
// differ.
func SystemAhead(aheadMs float64) *Clock {
	started := time.Now()
	return &Clock{startTime: started, nowAtStart: unixMs(started) + aheadMs, wallOffset: aheadMs}
}

// Manual returns a clock whose time, in ms, stays at now until Advance moves it.
func Manual(now float64) *Clock { return &Clock{manual: true, now: now} }

// Now returns the time in ms. It starts at the machine's Unix time and advances evenly from there, whatever happens to the wall
// clock.
func (c *Clock) Now() float64 {
	if !c.manual {
		return c.nowAtStart + Ms(time.Since(c.startTime))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Wall returns the machine's Unix time in ms. It may be stepped, so the difference of two readings is not a duration.
func (c *Clock) Wall() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		return c.now + c.wallOffset
	}
	return unixMs(time.Now()) + c.wallOffset
}

// StepWall steps the wall clock forward by ms milliseconds, or back if ms is negative.
func (c *Clock) StepWall(ms float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wallOffset += ms
}

// Epoch returns what Now was when the machine's monotonic clock was 0. Now differs between the processes of a machine; they compare
// times by their epochs. ok is false if the machine has no monotonic clock.
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

// minShiftMs is the least difference between two epochs that counts as a step of the wall clock. Smaller differences arise because
// the two clocks are not read at exactly the same time.
const minShiftMs = 500

// Shift returns how many ms to add to a reading of Now in another process of this machine to get the same time on this clock. It is
// not 0 if the wall clock was stepped between the starts of the two processes. epoch is the other process's Epoch; if it is 0, it
// is unknown, and the shift is 0.
func (c *Clock) Shift(epoch float64) float64 {
	own, ok := c.Epoch()
	if shift := own - epoch; ok && epoch != 0 && math.Abs(shift) >= minShiftMs {
		return shift
	}
	return 0
}

func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// After runs f once, in ms milliseconds: in a goroutine of its own, or on a manual clock in the goroutine that calls Advance. stop
// cancels it if it has not started.
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

// Advance moves a manual clock forward by ms milliseconds and runs the timers that fall due, in the order of their times.
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

// NextTimer returns when the next timer of a manual clock falls due, in ms, for tests that must not advance the clock further than
// that. ok is false if no timer is set.
func (c *Clock) NextTimer() (due float64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.nextTimer(math.Inf(1))
	if next == nil {
		return 0, false
	}
	return next.due, true
}

// nextTimer returns the timer that falls due first and not after end, or nil if there is none. Of two timers with the same time it
// returns the one that was set first. Called with the lock held.
func (c *Clock) nextTimer(end float64) (next *timer) {
	for _, t := range c.timers {
		if t.due <= end && (next == nil || t.due < next.due) {
			next = t
		}
	}
	return next
}

// Duration converts ms to a time.Duration.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Ms converts a duration to ms.
func Ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
