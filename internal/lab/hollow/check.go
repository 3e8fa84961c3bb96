package hollow

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenwheel/internal/decide/distribution"
)

// checker holds what processes put in force against what was committed. It trusts only the history and what reaches a
// process: no machine is asked.
type checker struct {
	w        *world
	broken   int
	late     int // entries that came into force at a process while it was slow
	texts    []string
	behind   int                        // processes of today's way that lack something at the end
	lacks    int                        // the most that one does
	each     [2]*hdrhistogram.Histogram // of each entry at each process that was there all the time, µs
	after    [2]*hdrhistogram.Histogram // of each entry at each other process, from when it could follow, µs
	needless float64                    // ms of processes that were held without being behind
	held     float64                    // ms of processes that were held
}

// owed is an entry that was left out: what covers it comes with or before a watermark.
type owed struct {
	stream, place int
	by            uint64
}

// mostTexts of what broke are kept.
const mostTexts = 50

func newChecker(w *world) *checker {
	c := &checker{w: w}
	for i := range c.each {
		c.each[i], c.after[i] = hdrhistogram.New(1, 1_000_000_000, 3), hdrhistogram.New(1, 1_000_000_000, 3)
	}
	return c
}

func (c *checker) fail(format string, args ...any) {
	c.broken++
	if len(c.texts) < mostTexts {
		c.texts = append(c.texts, fmt.Sprintf("%.1f s: ", c.w.now/1000)+fmt.Sprintf(format, args...))
	}
}

// book counts an entry as in force at a process now.
func (c *checker) book(p *process, x *committed) {
	if p.inRate > 0 || p.cut {
		c.late++ // as its fault has it: only that it says so is asked of it
		return
	}
	if p.since > x.at {
		age := c.w.now - p.since
		x.slow = max(x.slow, float32(age))
		_ = c.after[x.stream].RecordValue(int64(age*1000) + 1)
		return
	}
	age := float32(c.w.now - x.at)
	if age >= x.worst {
		x.worst, x.who = age, p.id
	}
	_ = c.each[x.stream].RecordValue(int64(age*1000) + 1)
}

// reached moves a process on: all of a stream up to a sequence is in force, but for what is owed.
func (c *checker) reached(p *process, stream int, through uint64) {
	log := c.w.history.log[stream]
	for p.next[stream] < len(log) && log[p.next[stream]].entry.Sequence <= through {
		c.book(p, log[p.next[stream]])
		p.next[stream]++
	}
}

// applied is what a subscriber was told to put in force.
func (c *checker) applied(p *process, stream int, a distribution.Apply) {
	c.w.tape.write(tapeReach, stream, p.id, 0, float64(a.Through))
	log, at := c.w.history.log[stream], p.next[stream]
	if at < len(log) && log[at].entry.Sequence <= a.After {
		c.fail("%s: stream %d goes on after %d, and lacks %d", p.name, stream, a.After, log[at].entry.Sequence)
	}
	entries := a.Entries
	var said saying
	if a.Atomic { // made of a snapshot: its numbers say only the order
		said, entries = c.said(p, stream, entries), nil
	}
	for at < len(log) && log[at].entry.Sequence <= a.Through {
		x := log[at]
		switch {
		case said.has(x):
			c.book(p, x)
		case len(entries) > 0 && entries[0].Sequence == x.entry.Sequence:
			if !same(entries[0], x) {
				c.fail("%s: stream %d: not what was committed: %s, wanted %s", p.name, stream, describe(entries[0]), describe(x.entry))
			}
			entries = entries[1:]
			c.book(p, x)
		case x.cover != 0 && x.cover <= a.Watermark.Sequence:
			if x.cover > a.Through {
				p.owed = append(p.owed, owed{stream, at, x.cover})
			} else {
				c.book(p, x)
			}
		case x.entry.ExpiresAt > 0 && x.entry.ExpiresAt <= a.Watermark.At:
			c.book(p, x) // it binds nothing any more
		default:
			c.fail("%s: stream %d: %d is missing between %d and %d", p.name, stream, x.entry.Sequence, a.After, a.Through)
		}
		at++
	}
	if len(entries) > 0 {
		c.fail("%s: stream %d: %d was never committed, or comes twice or out of order", p.name, stream, entries[0].Sequence)
	}
	c.invented(p, stream, said)
	p.next[stream] = at
	c.settle(p, stream, a.Through)
}

// saying is what a snapshot says, by key. Its numbers are made up where a member of the store read its state back, so that
// only what it says is held against what was committed, and that its numbers rise.
type saying map[string]*said

type said struct {
	entry   distribution.Entry
	matched bool
}

func (c *checker) said(p *process, stream int, entries []distribution.Entry) saying {
	if len(entries) == 0 {
		return nil
	}
	s := make(saying, len(entries))
	for i, e := range entries {
		k := key(e)
		if s[k] != nil || i > 0 && entries[i-1].Sequence >= e.Sequence {
			c.fail("%s: stream %d: a snapshot says %s twice or out of order", p.name, stream, describe(e))
		}
		s[k] = &said{entry: e}
	}
	return s
}

// has tells whether a snapshot says what was committed.
func (s saying) has(x *committed) bool {
	e := s[x.key]
	if e == nil || !same(e.entry, x) {
		return false
	}
	e.matched = true
	return true
}

// invented finds what a snapshot says and nobody committed.
func (c *checker) invented(p *process, stream int, s saying) {
	for _, k := range slices.Sorted(maps.Keys(s)) {
		if e := s[k]; !e.matched {
			c.fail("%s: stream %d: a snapshot says what was never committed: %s", p.name, stream, describe(e.entry))
		}
	}
}

// settle books what was owed and is covered by now.
func (c *checker) settle(p *process, stream int, through uint64) {
	kept := p.owed[:0]
	for _, o := range p.owed {
		if o.stream == stream && o.by <= through {
			c.book(p, c.w.history.log[stream][o.place])
			continue
		}
		kept = append(kept, o)
	}
	p.owed = kept
}

// replaced is a whole state that a subscriber was told to put in force.
func (c *checker) replaced(p *process, stream int, r distribution.InstallSnapshot) {
	c.w.tape.write(tapeReach, stream, p.id, 0, float64(r.Through))
	log, at := c.w.history.log[stream], 0
	said := c.said(p, stream, r.Entries)
	for ; at < len(log) && log[at].entry.Sequence <= r.Through; at++ {
		if x := log[at]; !said.has(x) && x.live(max(r.Through, r.Watermark.Sequence), r.Watermark.At) {
			c.fail("%s: stream %d: %d is missing in the snapshot at %d", p.name, stream, x.entry.Sequence, r.Through)
		}
	}
	c.invented(p, stream, said)
	if at < p.next[stream] {
		c.fail("%s: stream %d: a snapshot at %d leads back", p.name, stream, r.Through)
	}
	c.reached(p, stream, r.Through)
	c.settle(p, stream, r.Through)
}

// held tells whether strict classes are turned from copies by a time of the process's clock, also where its machine has had
// no chance yet to say so.
func (p *process) held(stream int, now float64) bool {
	return p.gates[stream] != nil && !math.IsInf(p.gates[stream].OldestCopy(now), -1)
}

// same tells whether an entry is what was committed. Times may be those of what it covers.
func same(got distribution.Entry, x *committed) bool {
	want := x.entry
	between := func(v, a, b int64) bool { return v >= min(a, b) && v <= max(a, b) }
	return got.Kind == want.Kind && got.Name == want.Name && got.Group == want.Group && got.Version == want.Version &&
		between(got.EffectiveAt, want.EffectiveAt, x.joined.EffectiveAt) && between(got.ExpiresAt, want.ExpiresAt, x.joined.ExpiresAt) && bytes.Equal(got.Body, want.Body)
}

// describe is an entry as a line, its body by its size.
func describe(e distribution.Entry) string {
	size := len(e.Body)
	e.Body = nil
	return fmt.Sprintf("%+v (%d bytes)", e, size)
}

// lag is how long a process has been without something that was committed; 0: it has all.
func (c *checker) lag(p *process, stream int) float64 {
	log, at := c.w.history.log[stream], p.next[stream]
	if at == len(log) {
		return 0
	}
	return c.w.now - log[at].at
}

// sweepEvery ms all processes are looked at.
const sweepEvery = 200.0

// sweep looks at all that run: who lacks something for longer than the bound must have said so before.
func (c *checker) sweep() {
	worst := 0.0
	for _, p := range c.w.processes {
		if !p.running() || p.role == Store {
			continue
		}
		for stream := range streams {
			lag := c.lag(p, stream)
			if !p.cut && p.inRate == 0 {
				worst = max(worst, lag)
			}
			if p.held(stream, c.w.clock(p)) {
				if c.held += sweepEvery; lag < c.w.spec.BoundMs-c.w.spec.ClockBoundMs*2 {
					c.needless += sweepEvery
				}
			} else if lag > c.w.spec.BoundMs && c.w.way.guards() {
				c.fail("%s: stream %d lacks what was committed %.0f ms ago, and does not say so", p.name, stream, lag)
			}
		}
	}
	if worst > c.w.spec.HoldHealed {
		c.w.lagged = c.w.now
	}
	c.w.worstLag = max(c.w.worstLag, worst)
}

// end looks whether anything is missing anywhere once all is over. Today's way is asked how much, as it says of no process
// that it is behind.
func (c *checker) end() {
	if !c.w.way.guards() {
		for _, p := range c.w.processes {
			if lacks := len(c.w.history.all) - p.next[0] - p.next[1]; p.up && lacks > 0 {
				c.behind++
				c.lacks = max(c.lacks, lacks)
			}
		}
		return
	}
	for _, p := range c.w.processes {
		if !p.up || p.role == Store {
			continue
		}
		for stream := range streams {
			if log := c.w.history.log[stream]; p.next[stream] < len(log) {
				c.fail("%s: stream %d lacks %d of %d entries at the end", p.name, stream, len(log)-p.next[stream], len(log))
			}
		}
		if len(p.owed) > 0 {
			c.fail("%s: %d entries were left out, and what covers them never came", p.name, len(p.owed))
		}
	}
}
