package hollow

import (
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenwheel/internal/decide/distribution"
)

const (
	// maxViolationTexts bounds the violations that are kept in words. All are counted.
	maxViolationTexts = 50
	// lagCheckInterval is the time in ms between two checks of all processes' lag.
	lagCheckInterval = 200.0
	// maxLatencyMicros and latencyDigits set the range and the precision of latency histograms.
	maxLatencyMicros = 1_000_000_000
	latencyDigits    = 3
)

// checker compares what processes apply with what was committed: every entry once, in order and unchanged; none that was not
// committed; and no process that lags beyond MaxLagMs without its freshness gate saying so. It asks no decider.
type checker struct {
	sim            *simulation
	violations     int
	violationTexts []string

	incompleteProcesses int // ModeDirect: processes that lack entries at the end
	maxMissing          int // ModeDirect: entries that the worst of them lacks

	latency           [streamCount]*hdrhistogram.Histogram // µs from commit, at processes that were connectable all the time
	latencyAfterFault [streamCount]*hdrhistogram.Histogram // µs from when the process became connectable, at the others
	gatedMs           float64                              // over all processes and streams, time with the gate closed
	needlesslyGatedMs float64                              // the part of it in which the process did not lag
}

// omittedEntry is an entry that a batch left out because a later one supersedes it. It counts as applied with that one.
type omittedEntry struct {
	stream, index int // place in the store's log
	supersededBy  uint64
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
	_ = h.RecordValue(int64(ms*1000) + 1) // what is out of range is left out
}

// violation records a broken rule.
func (c *checker) violation(format string, args ...any) {
	c.violations++
	if len(c.violationTexts) < maxViolationTexts {
		c.violationTexts = append(c.violationTexts, fmt.Sprintf("%.1f s: ", c.sim.now/1000)+fmt.Sprintf(format, args...))
	}
}

// recordApplied records the latency of an entry that a process has applied now. A process that is slow or partitioned is
// expected to be late.
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

// advance records that a process has applied a stream up to a sequence number, but for omitted entries.
func (c *checker) advance(p *process, stream int, through uint64) {
	log := c.sim.log.streams[stream]
	for p.applied[stream] < len(log) && log[p.applied[stream]].streamEntry.Sequence <= through {
		c.recordApplied(p, log[p.applied[stream]])
		p.applied[stream]++
	}
}

// checkApply checks a batch that a subscriber has the process apply.
func (c *checker) checkApply(p *process, stream int, batch distribution.Apply) {
	c.sim.trace.record(tracedCall{kind: traceApplied, detail: stream, id: p.id, value: float64(batch.Through)})
	log, next := c.sim.log.streams[stream], p.applied[stream]
	if next < len(log) && log[next].streamEntry.Sequence <= batch.After {
		c.violation("%s: stream %d goes on after %d, and lacks %d", p.name, stream, batch.After, log[next].streamEntry.Sequence)
	}
	entries := batch.Entries
	var contents snapshotContents
	if batch.Atomic { // made of a snapshot, so that its sequence numbers say only the order
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
		c.violation("%s: stream %d: %d was never committed, or comes twice or out of order", p.name, stream, entries[0].Sequence)
	}
	c.checkAllMatched(p, stream, contents)
	p.applied[stream] = next
	c.resolveOmitted(p, stream, batch.Through)
}

func (c *checker) checkUnchanged(p *process, stream int, got distribution.Entry, want *logEntry) {
	if !want.matches(got) {
		c.violation("%s: stream %d: not what was committed: %s, wanted %s", p.name, stream, describe(got), describe(want.streamEntry))
	}
}

// checkOmission checks that a batch may lack an entry: because it has expired, or because a later entry up to the watermark
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
		c.violation("%s: stream %d: %d is missing between %d and %d", p.name, stream, entry.streamEntry.Sequence, batch.After, batch.Through)
	}
}

// resolveOmitted records as applied what was omitted and is superseded by an entry up to a sequence number.
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

// gated reports whether the process's freshness gate keeps strict classes from copies, by the process's clock. It also holds
// where the gate had no event since it closed.
func (p *process) gated(stream int, now float64) bool {
	return p.gates[stream] != nil && !math.IsInf(p.gates[stream].OldestCopy(now), -1)
}

// lag is for how many ms a process has lacked something that was committed. 0: it lacks nothing.
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

func (c *checker) checkGate(p *process, stream int, lag float64) {
	scenario := c.sim.scenario
	if !p.gated(stream, c.sim.clockOf(p)) {
		if lag > scenario.MaxLagMs && c.sim.propagator.hasFreshnessGate() {
			c.violation("%s: stream %d lacks what was committed %.0f ms ago, and does not say so", p.name, stream, lag)
		}
		return
	}
	c.gatedMs += lagCheckInterval
	if lag < scenario.MaxLagMs-scenario.MaxClockSkewMs*2 {
		c.needlesslyGatedMs += lagCheckInterval
	}
}

// checkComplete checks at the end of a run that no process lacks an entry. In ModeDirect it only counts them, as no process
// there says that it lags.
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
				c.violation("%s: stream %d lacks %d of %d entries at the end", p.name, stream, len(log)-p.applied[stream], len(log))
			}
		}
		if len(p.omitted) > 0 {
			c.violation("%s: %d entries were left out, and what covers them never came", p.name, len(p.omitted))
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
