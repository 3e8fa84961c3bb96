package hollow

import (
	"fmt"
	"math"
)

// maxLoadFactor is the ratio by which a distributor's load may exceed an equal share, as in distribution.DefaultSettings.
const maxLoadFactor = 1.25

// extraSubscribers is the number of subscribers that a distributor of a zone may have besides proxies.
const extraSubscribers = 2

// reportFunc reports that a run exceeded a limit.
type reportFunc func(format string, args ...any)

// checkLimits compares a run with the scenario's limits. Exceeding one is a violation, except in ModeDirect.
func (sim *simulation) checkLimits(r *Result) {
	report := reportFunc(sim.checker.violation)
	if !sim.propagator.hasFreshnessGate() {
		report = func(format string, args ...any) {
			r.ExceededLimits = append(r.ExceededLimits, fmt.Sprintf(format, args...))
		}
	}
	if sim.checker.incompleteProcesses > 0 {
		report("%d processes lack up to %d entries at the end, %.0f s after the last was committed",
			sim.checker.incompleteProcesses, sim.checker.maxMissing, sim.scenario.SettleSeconds)
	}
	for stream, limit := range []float64{sim.scenario.PurgeWithinMs, sim.scenario.ChangeWithinMs} {
		sim.checkPropagation(stream, r.Propagation[stream], limit, report)
	}
	if sim.scenario.MaxProxyKBPerS > 0 {
		for _, phase := range r.Phases {
			sim.checkTraffic(phase, r.Roles[Proxy.String()], report)
		}
	}
	r.copyViolations(sim.checker)
}

// checkPropagation compares the latency of a stream's slowest entry with a limit in ms. 0: there is no limit.
func (sim *simulation) checkPropagation(stream int, latency LatencySummary, limit float64, report reportFunc) {
	if limit <= 0 || latency.Max <= limit {
		return
	}
	slowest := sim.slowestEntry(stream)
	report("stream %d: entry %d, committed at %.1f s, took %.0f ms to %s, the last process; the limit is %.0f ms",
		stream, slowest.streamEntry.Sequence, slowest.committedAt/1000, slowest.maxLatencyMs, sim.processes[slowest.slowestProcess].name, limit)
}

// slowestEntry is the entry of a stream that took longest to reach the last process.
func (sim *simulation) slowestEntry(stream int) *logEntry {
	slowest := &logEntry{}
	for _, entry := range sim.log.streams[stream] {
		if entry.committedAt >= warmUpMs && entry.maxLatencyMs >= slowest.maxLatencyMs {
			slowest = entry
		}
	}
	return slowest
}

// checkTraffic compares the mean traffic of proxies and of zones' distributors in a phase with the limit. A higher rate of
// purges raises the limit, and so do the snapshots that restarted proxies receive.
func (sim *simulation) checkTraffic(phase Phase, proxies int, report reportFunc) {
	scenario := sim.scenario
	limit := scenario.MaxProxyKBPerS * math.Max(1, phase.PurgeRateFactor)
	limit += scenario.SnapshotKB * float64(phase.RestartedProxies) / float64(proxies) / max(1, phase.ToSeconds-phase.FromSeconds)
	proxy := phase.Traffic[Proxy]
	if kb := proxy.InKBPerS + proxy.OutKBPerS; kb > limit {
		report("from %.1f to %.1f s a proxy receives and sends %.1f KB/s on average; the limit is %.1f KB/s",
			phase.FromSeconds, phase.ToSeconds, kb, limit)
	}
	// A distributor sends what it receives to each of its subscribers.
	limit *= maxLoadFactor*float64(scenario.ProxiesPerDistributor) + extraSubscribers
	if kb := phase.Traffic[ZoneDistributor].OutKBPerS; kb > limit {
		report("from %.1f to %.1f s a distributor sends %.1f KB/s on average; the limit is %.1f KB/s",
			phase.FromSeconds, phase.ToSeconds, kb, limit)
	}
}
