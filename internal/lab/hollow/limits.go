package hollow

import (
	"fmt"
	"math"
)

// maxLoadFactor is how far the load of a distributor may exceed its even part, as in distribution.DefaultSettings.
const maxLoadFactor = 1.25

// extraSubscribers is how many subscribers a distributor of a zone may have beside its proxies.
const extraSubscribers = 2

// reportFunc reports a limit that a run exceeded.
type reportFunc func(format string, args ...any)

// checkLimits compares a run with the scenario's limits. In ModeDirect a limit that is exceeded is no violation.
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

// checkPropagation compares the slowest entry with a limit in ms. 0: there is no limit.
func (sim *simulation) checkPropagation(stream int, latency LatencySummary, limit float64, report reportFunc) {
	if limit <= 0 || latency.Max <= limit {
		return
	}
	slowest := sim.slowestEntry(stream)
	report("stream %d: entry %d of %.1f s took %.0f ms to %s, the last process, %.0f are allowed", stream,
		slowest.streamEntry.Sequence, slowest.committedAt/1000, slowest.maxLatencyMs, sim.processes[slowest.slowestProcess].name, limit)
}

// slowestEntry is the entry of a stream that took longest to the last process.
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
// purges raises the limit, and so do the snapshots of processes that were restarted.
func (sim *simulation) checkTraffic(phase Phase, proxies int, report reportFunc) {
	scenario := sim.scenario
	limit := scenario.MaxProxyKBPerS * math.Max(1, phase.PurgeRateFactor)
	limit += scenario.SnapshotKB * float64(phase.RestartedProxies) / float64(proxies) / max(1, phase.ToSeconds-phase.FromSeconds)
	proxy := phase.Traffic[Proxy]
	if kb := proxy.InKBPerS + proxy.OutKBPerS; kb > limit {
		report("from %.1f to %.1f s a proxy passes %.1f KB/s on average, %.1f are allowed", phase.FromSeconds, phase.ToSeconds, kb, limit)
	}
	// A distributor sends what it receives to each of its subscribers.
	limit *= maxLoadFactor*float64(scenario.ProxiesPerDistributor) + extraSubscribers
	if kb := phase.Traffic[ZoneDistributor].OutKBPerS; kb > limit {
		report("from %.1f to %.1f s a distributor sends %.1f KB/s on average, %.1f are allowed", phase.FromSeconds, phase.ToSeconds, kb, limit)
	}
}
