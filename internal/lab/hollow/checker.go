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
	sim                 *simulation
	violations          int
	late                int // entries that came into force at a process while it was slow
	violationTexts      []string
	incompleteProcesses int                        // processes of today's way that lack something at the end
	maxMissing          int                        // the most that one does
	latency             [2]*hdrhistogram.Histogram // of each entry at each process that was there all the time, µs
	latencyAfterFault   [2]*hdrhistogram.Histogram // of each entry at each other process, from when it could follow, µs
	needlesslyGatedMs   float64                    // ms of processes that were held without being behind
	gatedMs             float64                    // ms of processes that were held
}

// owed is an entry that was left out: what covers it comes with or before a watermark.
type omittedEntry struct {
	stream, index int
	supersededBy  uint64
}

// mostTexts of what broke are kept.
const maxViolationTexts = 50

func newChecker(sim *simulation) *checker {
	c := &checker{sim: sim}
	for i := range c.latency {
		c.latency[i], c.latencyAfterFault[i] = hdrhistogram.New(1, 1_000_000_000, 3), hdrhistogram.New(1, 1_000_000_000, 3)
	}
	return c
}

func (c *checker) violation(format string, args ...any) {
	c.violations++
	if len(c.violationTexts) < maxViolationTexts {
		c.violationTexts = append(c.violationTexts, fmt.Sprintf("%.1f s: ", c.sim.now/1000)+fmt.Sprintf(format, args...))
	}
}

// book counts an entry as in force at a process now.
func (c *checker) recordApplied(p *process, x *logEntry) {
	if p.receiveRate > 0 || p.partitioned {
		c.late++ // as its fault has it: only that it says so is asked of it
		return
	}
	if p.followableSince > x.committedAt {
		age := c.sim.now - p.followableSince
		x.slow = max(x.slow, float32(age))
		_ = c.latencyAfterFault[x.stream].RecordValue(int64(age*1000) + 1)
		return
	}
	age := float32(c.sim.now - x.committedAt)
	if age >= x.maxLatencyMs {
		x.maxLatencyMs, x.slowestProcess = age, p.id
	}
	_ = c.latency[x.stream].RecordValue(int64(age*1000) + 1)
}

// reached moves a process on: all of a stream up to a sequence is in force, but for what is owed.
func (c *checker) advance(p *process, stream int, through uint64) {
	log := c.sim.log.streams[stream]
	for p.applied[stream] < len(log) && log[p.applied[stream]].entry.Sequence <= through {
		c.recordApplied(p, log[p.applied[stream]])
		p.applied[stream]++
	}
}

// applied is what a subscriber was told to put in force.
func (c *checker) checkApply(p *process, stream int, a distribution.Apply) {
	c.sim.trace.record(traceApplied, stream, p.id, 0, float64(a.Through))
	log, at := c.sim.log.streams[stream], p.applied[stream]
	if at < len(log) && log[at].entry.Sequence <= a.After {
		c.violation("%s: stream %d goes on after %d, and lacks %d", p.name, stream, a.After, log[at].entry.Sequence)
	}
	entries := a.Entries
	var said snapshotContents
	if a.Atomic { // made of a snapshot: its numbers say only the order
		said, entries = c.snapshotContents(p, stream, entries), nil
	}
	for at < len(log) && log[at].entry.Sequence <= a.Through {
		x := log[at]
		switch {
		case said.match(x):
			c.recordApplied(p, x)
		case len(entries) > 0 && entries[0].Sequence == x.entry.Sequence:
			if !matches(entries[0], x) {
				c.violation("%s: stream %d: not what was committed: %s, wanted %s", p.name, stream, describe(entries[0]), describe(x.entry))
			}
			entries = entries[1:]
			c.recordApplied(p, x)
		case x.supersededBy != 0 && x.supersededBy <= a.Watermark.Sequence:
			if x.supersededBy > a.Through {
				p.omitted = append(p.omitted, omittedEntry{stream, at, x.supersededBy})
			} else {
				c.recordApplied(p, x)
			}
		case x.entry.ExpiresAt > 0 && x.entry.ExpiresAt <= a.Watermark.At:
			c.recordApplied(p, x) // it binds nothing any more
		default:
			c.violation("%s: stream %d: %d is missing between %d and %d", p.name, stream, x.entry.Sequence, a.After, a.Through)
		}
		at++
	}
	if len(entries) > 0 {
		c.violation("%s: stream %d: %d was never committed, or comes twice or out of order", p.name, stream, entries[0].Sequence)
	}
	c.checkNoneUnknown(p, stream, said)
	p.applied[stream] = at
	c.resolveOmitted(p, stream, a.Through)
}

// saying is what a snapshot says, by key. Its numbers are made up where a member of the store read its state back, so that
// only what it says is held against what was committed, and that its numbers rise.
type snapshotContents map[string]*snapshotEntry

type snapshotEntry struct {
	entry   distribution.Entry
	matched bool
}

func (c *checker) snapshotContents(p *process, stream int, entries []distribution.Entry) snapshotContents {
	if len(entries) == 0 {
		return nil
	}
	s := make(snapshotContents, len(entries))
	for i, e := range entries {
		k := supersessionKey(e)
		if s[k] != nil || i > 0 && entries[i-1].Sequence >= e.Sequence {
			c.violation("%s: stream %d: a snapshot says %s twice or out of order", p.name, stream, describe(e))
		}
		s[k] = &snapshotEntry{entry: e}
	}
	return s
}

// has tells whether a snapshot says what was committed.
func (s snapshotContents) match(x *logEntry) bool {
	e := s[x.key]
	if e == nil || !matches(e.entry, x) {
		return false
	}
	e.matched = true
	return true
}

// invented finds what a snapshot says and nobody committed.
func (c *checker) checkNoneUnknown(p *process, stream int, s snapshotContents) {
	for _, k := range slices.Sorted(maps.Keys(s)) {
		if e := s[k]; !e.matched {
			c.violation("%s: stream %d: a snapshot says what was never committed: %s", p.name, stream, describe(e.entry))
		}
	}
}

// settle books what was owed and is covered by now.
func (c *checker) resolveOmitted(p *process, stream int, through uint64) {
	kept := p.omitted[:0]
	for _, o := range p.omitted {
		if o.stream == stream && o.supersededBy <= through {
			c.recordApplied(p, c.sim.log.streams[stream][o.index])
			continue
		}
		kept = append(kept, o)
	}
	p.omitted = kept
}

// replaced is a whole state that a subscriber was told to put in force.
func (c *checker) checkSnapshot(p *process, stream int, r distribution.InstallSnapshot) {
	c.sim.trace.record(traceApplied, stream, p.id, 0, float64(r.Through))
	log, at := c.sim.log.streams[stream], 0
	said := c.snapshotContents(p, stream, r.Entries)
	for ; at < len(log) && log[at].entry.Sequence <= r.Through; at++ {
		if x := log[at]; !said.match(x) && x.inEffect(max(r.Through, r.Watermark.Sequence), r.Watermark.At) {
			c.violation("%s: stream %d: %d is missing in the snapshot at %d", p.name, stream, x.entry.Sequence, r.Through)
		}
	}
	c.checkNoneUnknown(p, stream, said)
	if at < p.applied[stream] {
		c.violation("%s: stream %d: a snapshot at %d leads back", p.name, stream, r.Through)
	}
	c.advance(p, stream, r.Through)
	c.resolveOmitted(p, stream, r.Through)
}

// held tells whether strict classes are turned from copies by a time of the process's clock, also where its machine has had
// no chance yet to say so.
func (p *process) gated(stream int, now float64) bool {
	return p.gates[stream] != nil && !math.IsInf(p.gates[stream].OldestCopy(now), -1)
}

// same tells whether an entry is what was committed. Times may be those of what it covers.
func matches(got distribution.Entry, x *logEntry) bool {
	want := x.entry
	between := func(v, a, b int64) bool { return v >= min(a, b) && v <= max(a, b) }
	return got.Kind == want.Kind && got.Name == want.Name && got.Group == want.Group && got.Version == want.Version &&
		between(got.EffectiveAt, want.EffectiveAt, x.merged.EffectiveAt) && between(got.ExpiresAt, want.ExpiresAt, x.merged.ExpiresAt) && bytes.Equal(got.Body, want.Body)
}

// describe is an entry as a line, its body by its size.
func describe(e distribution.Entry) string {
	size := len(e.Body)
	e.Body = nil
	return fmt.Sprintf("%+v (%d bytes)", e, size)
}

// lag is how long a process has been without something that was committed; 0: it has all.
func (c *checker) lag(p *process, stream int) float64 {
	log, at := c.sim.log.streams[stream], p.applied[stream]
	if at == len(log) {
		return 0
	}
	return c.sim.now - log[at].committedAt
}

// sweepEvery ms all processes are looked at.
const lagCheckInterval = 200.0

// sweep looks at all that run: who lacks something for longer than the bound must have said so before.
func (c *checker) checkLag() {
	worst := 0.0
	for _, p := range c.sim.processes {
		if !p.running() || p.role == Store {
			continue
		}
		for stream := range streamNames {
			lag := c.lag(p, stream)
			if !p.partitioned && p.receiveRate == 0 {
				worst = max(worst, lag)
			}
			if p.gated(stream, c.sim.clockOf(p)) {
				if c.gatedMs += lagCheckInterval; lag < c.sim.scenario.MaxLagMs-c.sim.scenario.MaxClockSkewMs*2 {
					c.needlesslyGatedMs += lagCheckInterval
				}
			} else if lag > c.sim.scenario.MaxLagMs && c.sim.propagator.hasFreshnessGate() {
				c.violation("%s: stream %d lacks what was committed %.0f ms ago, and does not say so", p.name, stream, lag)
			}
		}
	}
	if worst > c.sim.scenario.RecoveredLagMs {
		c.sim.lastLaggedAt = c.sim.now
	}
	c.sim.maxLag = max(c.sim.maxLag, worst)
}

// end looks whether anything is missing anywhere once all is over. Today's way is asked how much, as it says of no process
// that it is behind.
func (c *checker) checkComplete() {
	if !c.sim.propagator.hasFreshnessGate() {
		for _, p := range c.sim.processes {
			if lacks := len(c.sim.log.entries) - p.applied[0] - p.applied[1]; p.up && lacks > 0 {
				c.incompleteProcesses++
				c.maxMissing = max(c.maxMissing, lacks)
			}
		}
		return
	}
	for _, p := range c.sim.processes {
		if !p.up || p.role == Store {
			continue
		}
		for stream := range streamNames {
			if log := c.sim.log.streams[stream]; p.applied[stream] < len(log) {
				c.violation("%s: stream %d lacks %d of %d entries at the end", p.name, stream, len(log)-p.applied[stream], len(log))
			}
		}
		if len(p.omitted) > 0 {
			c.violation("%s: %d entries were left out, and what covers them never came", p.name, len(p.omitted))
		}
	}
}
