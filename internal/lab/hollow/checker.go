package hollow

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenwheel/internal/decide/distribution"
)

const (
	// maxViolationTexts is the number of violations whose texts are kept. All violations are counted.
	maxViolationTexts = 50
	// lagCheckInterval is the time in ms between two checks of all processes' lag.
	lagCheckInterval = 200.0
	// maxLatencyMicros and latencyDigits set the range and the precision of latency histograms.
	maxLatencyMicros = 1_000_000_000
	latencyDigits    = 3
)

// checker compares what processes apply with what was committed. Each process must apply every entry once, in order and unchanged,
// and no entry that was not committed; one that lags by more than MaxLagMs must have its freshness gate closed. The checker does
// not ask the deciders under test.
type checker struct {
	sim            *simulation
	violations     int
	violationTexts []string

	incompleteProcesses int // ModeDirect: processes that lack entries at the end
	maxMissing          int // ModeDirect: most entries that one of them lacks

	latency           [streamCount]*hdrhistogram.Histogram // µs from commit, at processes that were connectable throughout
	latencyAfterFault [streamCount]*hdrhistogram.Histogram // µs from when the process became connectable again, at the others
	gatedMs           float64                              // sum over processes and streams of the time with the gate closed
	needlesslyGatedMs float64                              // part of gatedMs in which the process did not lag, see checkGate
}

// omittedEntry is an entry that a batch omitted because a later entry supersedes it. It counts as applied once the later entry is.
type omittedEntry struct {
	stream, index int    // position in the log of a stream
	supersededBy  uint64 // sequence number of the later entry
}

func newChecker(sim *simulation) *checker {
	c := &checker{sim: sim}
	for stream := range c.latency {
		c.latency[stream], c.latencyAfterFault[stream] = newLatencyHistogram(), newLatencyHistogram()
	}
	return c
}

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, latencyDigits)
}

// recordLatency adds a latency in ms, rounded up to whole µs.
func recordLatency[T float32 | float64](h *hdrhistogram.Histogram, ms T) {
	_ = h.RecordValue(int64(ms*1000) + 1) // a latency out of range is not recorded
}

// violation records a violation with the virtual time at which it was found.
func (c *checker) violation(format string, args ...any) {
	c.violations++
	if len(c.violationTexts) < maxViolationTexts {
		c.violationTexts = append(c.violationTexts, fmt.Sprintf("%.1f s: ", c.sim.now/1000)+fmt.Sprintf(format, args...))
	}
}

// recordApplied records the latency of an entry that a process has applied now. It skips processes that are slow or partitioned,
// as these are expected to be late.
func (c *checker) recordApplied(p *process, entry *logEntry) {
	if p.receiveRate > 0 || p.partitioned {
		return
	}
	if p.connectableSince > entry.committedAt {
		recordLatency(c.latencyAfterFault[entry.stream], c.sim.now-p.connectableSince)
		return
	}
	latency := float32(c.sim.now - entry.committedAt)
	if latency >= entry.maxLatencyMs {
		entry.maxLatencyMs, entry.slowestProcess = latency, p.id
	}
	recordLatency(c.latency[entry.stream], latency)
}

// advance records that a process has applied a stream up to a sequence number. Omitted entries are left to resolveOmitted.
func (c *checker) advance(p *process, stream int, through uint64) {
	log := c.sim.log.streams[stream]
	for p.applied[stream] < len(log) && log[p.applied[stream]].streamEntry.Sequence <= through {
		c.recordApplied(p, log[p.applied[stream]])
		p.applied[stream]++
	}
}

// checkApply checks a batch that a process's subscriber applies.
func (c *checker) checkApply(p *process, stream int, batch distribution.Apply) {
	c.sim.trace.record(tracedCall{kind: traceApplied, detail: stream, id: p.id, value: float64(batch.Through)})
	log, next := c.sim.log.streams[stream], p.applied[stream]
	if next < len(log) && log[next].streamEntry.Sequence <= batch.After {
		c.violation("%s: stream %d: a batch continues after entry %d, but entry %d has not been applied",
			p.name, stream, batch.After, log[next].streamEntry.Sequence)
	}
	entries := batch.Entries
	var contents snapshotContents
	if batch.Atomic { // made of a snapshot, so that its sequence numbers give only the order
		contents, entries = c.readSnapshot(p, stream, entries), nil
	}
	for ; next < len(log) && log[next].streamEntry.Sequence <= batch.Through; next++ {
		entry := log[next]
		switch {
		case contents.match(entry):
			c.recordApplied(p, entry)
		case len(entries) > 0 && entries[0].Sequence == entry.streamEntry.Sequence:
			c.checkUnchanged(p, stream, entries[0], entry)
			entries = entries[1:]
			c.recordApplied(p, entry)
		default:
			c.checkOmission(p, stream, next, batch)
		}
	}
	if len(entries) > 0 {
		c.violation("%s: stream %d: entry %d was never committed, is repeated or is out of order",
			p.name, stream, entries[0].Sequence)
	}
	c.checkAllMatched(p, stream, contents)
	p.applied[stream] = next
	c.resolveOmitted(p, stream, batch.Through)
}

func (c *checker) checkUnchanged(p *process, stream int, got distribution.Entry, want *logEntry) {
	if !want.matches(got) {
		c.violation("%s: stream %d: an entry differs from the committed one: got %s, want %s",
			p.name, stream, describe(got), describe(want.streamEntry))
	}
}

// checkOmission checks that a batch omits an entry for a valid reason: it has expired, or a later entry up to the watermark
// supersedes it.
func (c *checker) checkOmission(p *process, stream, index int, batch distribution.Apply) {
	entry := c.sim.log.streams[stream][index]
	switch {
	case entry.supersededBy != 0 && entry.supersededBy <= batch.Watermark.Sequence:
		if entry.supersededBy > batch.Through {
			p.omitted = append(p.omitted, omittedEntry{stream, index, entry.supersededBy})
			return
		}
		c.recordApplied(p, entry)
	case entry.streamEntry.ExpiresAt > 0 && entry.streamEntry.ExpiresAt <= batch.Watermark.At:
		c.recordApplied(p, entry)
	default:
		c.violation("%s: stream %d: entry %d is missing in the batch after %d through %d",
			p.name, stream, entry.streamEntry.Sequence, batch.After, batch.Through)
	}
}

// resolveOmitted records as applied those omitted entries that an entry up to a sequence number supersedes.
func (c *checker) resolveOmitted(p *process, stream int, through uint64) {
	remaining := p.omitted[:0]
	for _, omitted := range p.omitted {
		if omitted.stream == stream && omitted.supersededBy <= through {
			c.recordApplied(p, c.sim.log.streams[stream][omitted.index])
			continue
		}
		remaining = append(remaining, omitted)
	}
	p.omitted = remaining
}

// gated reports whether the process's freshness gate is closed at a time on the process's clock: it then keeps requests of strict
// classes from cached copies. A gate also closes with time, without an event.
func (p *process) gated(stream int, now float64) bool {
	return p.gates[stream] != nil && !math.IsInf(p.gates[stream].OldestCopy(now), -1)
}

// lag is the time in ms since the commit of the first entry that a process lacks, or 0 if it lacks none.
func (c *checker) lag(p *process, stream int) float64 {
	log, next := c.sim.log.streams[stream], p.applied[stream]
	if next == len(log) {
		return 0
	}
	return c.sim.now - log[next].committedAt
}

// checkLag checks that every running process that lags beyond MaxLagMs has its gate closed.
func (c *checker) checkLag() {
	maxLag := 0.0
	for _, p := range c.sim.processes {
		if !p.running() || p.role == StoreMember {
			continue
		}
		for stream := range streamCount {
			lag := c.lag(p, stream)
			if !p.partitioned && p.receiveRate == 0 {
				maxLag = max(maxLag, lag)
			}
			c.checkGate(p, stream, lag)
		}
	}
	if maxLag > c.sim.scenario.RecoveredLagMs {
		c.sim.lastLaggedAt = c.sim.now
	}
	c.sim.maxLag = max(c.sim.maxLag, maxLag)
}

// checkGate checks the gate of a process that lags by the given ms, and adds up the time with the gate closed. A gate closes
// MaxClockSkewMs before the lag reaches MaxLagMs, and the clocks may differ by as much again. A gate that is closed at a smaller
// lag is closed needlessly.
func (c *checker) checkGate(p *process, stream int, lag float64) {
	scenario := c.sim.scenario
	if !p.gated(stream, c.sim.clockOf(p)) {
		if lag > scenario.MaxLagMs && c.sim.propagator.hasFreshnessGate() {
			c.violation("%s: stream %d: an entry committed %.0f ms ago has not been applied, but the freshness gate is open",
				p.name, stream, lag)
		}
		return
	}
	c.gatedMs += lagCheckInterval
	if lag < scenario.MaxLagMs-scenario.MaxClockSkewMs*2 {
		c.needlesslyGatedMs += lagCheckInterval
	}
}

// checkComplete checks at the end of a run that no process lacks an entry. In ModeDirect it only counts the processes that do, as
// they have no freshness gate and may lag.
func (c *checker) checkComplete() {
	if !c.sim.propagator.hasFreshnessGate() {
		c.countMissing()
		return
	}
	for _, p := range c.sim.processes {
		if !p.up || p.role == StoreMember {
			continue
		}
		for stream, log := range c.sim.log.streams {
			if p.applied[stream] < len(log) {
				c.violation("%s: stream %d: %d of %d entries have not been applied at the end of the run",
					p.name, stream, len(log)-p.applied[stream], len(log))
			}
		}
		if len(p.omitted) > 0 {
			c.violation("%s: %d entries were omitted, and the entries that supersede them never arrived", p.name, len(p.omitted))
		}
	}
}

func (c *checker) countMissing() {
	for _, p := range c.sim.processes {
		missing := len(c.sim.log.entries) - p.applied[purgeStream] - p.applied[changeStream]
		if p.up && missing > 0 {
			c.incompleteProcesses++
			c.maxMissing = max(c.maxMissing, missing)
		}
	}
}

// describe formats an entry with the size of its body in place of the body.
func describe(entry distribution.Entry) string {
	size := len(entry.Body)
	entry.Body = nil
	return fmt.Sprintf("%+v (%d bytes)", entry, size)
}
