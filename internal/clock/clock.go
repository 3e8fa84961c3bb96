// Package clock is the program's one source of time, in float64 milliseconds. It tells two times apart. Now runs evenly, and
// every deadline, window, wait and grace is a span between two readings of it. Wall is the machine's Unix time, which may be
// stepped forward or back at any moment: it is for stamps that other machines give or get, and for printing.
package clock

import (
	"math"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time and runs timers. A manual one moves only when a test advances it.
type Clock struct {
	started time.Time // of the machine's clock, with its monotonic reading
	begin   float64   // what Now was then

	mu     sync.Mutex
	manual bool
	ahead  float64 // of the wall clock, ms: before the machine's, or before a manual clock's Now
	now    float64
	timers []*timer // of a manual clock
}

type timer struct {
	due float64
	f   func()
}

// System is the clock of the machine.
func System() *Clock { return Shifted(0) }

// Shifted is the clock of a machine that is so many ms ahead of this one.
func Shifted(ahead float64) *Clock {
	started := time.Now()
	return &Clock{started: started, begin: unixMs(started) + ahead, ahead: ahead}
}

// Manual is a clock that stands at a time until Advance moves it.
func Manual(now float64) *Clock { return &Clock{manual: true, now: now} }

// Now is a point in time in ms. It starts at the machine's Unix time and runs evenly from there on, whatever becomes of the
// wall clock.
func (c *Clock) Now() float64 {
	if !c.manual {
		return c.begin + Ms(time.Since(c.started))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Wall is the machine's Unix time in ms. It may be stepped: the difference of two readings is no span of time.
func (c *Clock) Wall() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.manual {
		return c.now + c.ahead
	}
	return unixMs(time.Now()) + c.ahead
}

// StepWall sets the wall clock forward by so many ms, or back.
func (c *Clock) StepWall(ms float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead += ms
}

// Epoch is what Now was when the machine's monotonic clock stood at 0: a time that one process tells another one of the same
// machine counts from there, as each has a Now of its own. ok is false where the machine does not tell.
func (c *Clock) Epoch() (ms float64, ok bool) {
	if c.manual {
		return 0, true
	}
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		return 0, false
	}
	return c.Now() - float64(t.Nano())/1e6, true
}

// sameBegin: clocks of one machine that began less than this many ms apart differ by how they were read, and by no step.
const sameBegin = 500

// Shift is what to add to the times of another process of this machine, whose Epoch is told (0: it is not), for times on this
// clock. They differ where the wall clock was stepped between their starts.
func (c *Clock) Shift(epoch float64) float64 {
	own, ok := c.Epoch()
	if shift := own - epoch; ok && epoch != 0 && math.Abs(shift) >= sameBegin {
		return shift
	}
	return 0
}

func unixMs(t time.Time) float64 { return float64(t.UnixNano()) / 1e6 }

// After runs f once, ms from now, in a goroutine of its own or in Advance's. stop keeps it from starting.
func (c *Clock) After(ms float64, f func()) (stop func()) {
	if !c.manual {
		t := time.AfterFunc(Duration(max(0, ms)), f)
		return func() { t.Stop() }
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &timer{due: c.now + max(0, ms), f: f}
	c.timers = append(c.timers, t)
	return func() { c.remove(t) }
}

func (c *Clock) remove(t *timer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.timers {
		if o == t {
			c.timers = append(c.timers[:i], c.timers[i+1:]...)
			return
		}
	}
}

// Advance moves a manual clock and runs what falls due, in order of its time.
func (c *Clock) Advance(ms float64) {
	c.mu.Lock()
	end := c.now + ms
	for {
		var next *timer
		for _, t := range c.timers {
			if t.due <= end && (next == nil || t.due < next.due) {
				next = t
			}
		}
		if next == nil {
			break
		}
		c.now = max(c.now, next.due)
		c.mu.Unlock()
		c.remove(next)
		next.f()
		c.mu.Lock()
	}
	c.now = end
	c.mu.Unlock()
}

// Duration and Ms convert at the edge of what counts in time.Duration: the module and package net.
func Duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Ms is the reverse of Duration.
func Ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
