package multiprocess

import (
	"cmp"
	"math"
	"slices"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/loadmetrics"
	"ravenwheel/policy"
)

// spreadWindows are the lengths, in seconds, of the windows over which the spread of load is measured.
var spreadWindows = [2]float64{1, 5}

// maxWarmUp is the most seconds at the start that the spread before faults leaves out, since caches start without copies.
const maxWarmUp = 10.0

// summarize adds to the result the figures computed from the attempts that the servers observed and from the clients' latencies.
func (p *player) summarize() {
	observations := p.cluster.Fleet.Observations()
	p.countAttempts(observations)
	latency := p.cluster.Latency()
	p.result.P50 = float64(latency.ValueAtQuantile(50)) / 1000
	p.result.P99 = float64(latency.ValueAtQuantile(99)) / 1000
	p.measureLoad(observations)
}

// countAttempts counts the attempts at caches by second, in all and for each cache.
func (p *player) countAttempts(observations []fleet.Observation) {
	r, seconds := p.result, len(p.result.Seconds)
	byCache := map[policy.ServerID][]int{}
	for _, o := range observations {
		second := int(p.secondsAt(o))
		if o.Probe || o.Server >= firstParent || second < 0 || second >= seconds {
			continue
		}
		if byCache[o.Server] == nil {
			byCache[o.Server] = make([]int, seconds)
		}
		byCache[o.Server][second]++
		r.Seconds[second].Attempts++
		if o.Reason == "pulled" || o.Reason == "pulled_far" {
			r.Seconds[second].Filled++
		}
	}
	zones := p.cacheZones()
	for id, attempts := range byCache {
		zone, member := zones[id]
		if !member {
			zone = removedZone
		}
		r.Caches = append(r.Caches, CacheLoad{ID: serverlist.FormatID(id), Zone: zone, Attempts: attempts})
	}
	slices.SortFunc(r.Caches, func(a, b CacheLoad) int { return cmp.Or(a.Zone-b.Zone, cmp.Compare(a.ID, b.ID)) })
}

// secondsAt returns when an attempt was observed, in seconds since the start of the scenario.
func (p *player) secondsAt(o fleet.Observation) float64 { return (o.At - p.startedAt) / 1000 }

// cacheZones returns the zones of the caches that are ready.
func (p *player) cacheZones() map[policy.ServerID]int {
	zones := map[policy.ServerID]int{}
	for zone := range p.scenario.Zones {
		for _, id := range p.cluster.ReadyCaches(zone) {
			zones[id] = zone
		}
	}
	return zones
}

// measureLoad measures how evenly load was spread over the caches, and how the processes reacted to faults of caches.
func (p *player) measureLoad(observations []fleet.Observation) {
	r := p.result
	trace := p.trace(observations)
	end := float64(len(r.Seconds))
	firstFault := end
	if len(r.Timeline) > 0 {
		firstFault = r.Timeline[0].At
	}
	for i, window := range spreadWindows {
		r.Spread[i] = trace.Spread(0, end, window)
		r.SpreadBeforeFaults[i] = trace.Spread(min(maxWarmUp, firstFault/2), firstFault, window)
	}
	ready := p.cacheZones()
	for i, f := range r.Timeline {
		next := end
		if i+1 < len(r.Timeline) {
			next = r.Timeline[i+1].At // from then on, load also reacts to the next fault
		}
		ended := min(f.At+f.Duration, next)
		for _, id := range p.affected[i] {
			if _, member := ready[id]; !member {
				continue
			}
			r.Reactions = append(r.Reactions, Reaction{
				Fault: i, Cache: serverlist.FormatID(id),
				TimeToAbandon:   orMinusOne(trace.TimeToAbandon(id, f.At, ended)),
				TimeToRestore:   orMinusOne(trace.TimeToRestore(id, f.At, ended, next)),
				SurgeMultiplier: trace.Surge(f.At),
			})
		}
	}
}

// trace returns the attempts for the measurement of load, with the zones and weights of the ready caches.
func (p *player) trace(observations []fleet.Observation) *loadmetrics.Trace {
	caches := map[policy.ServerID]loadmetrics.Cache{}
	for _, m := range p.cluster.Members() {
		if m.Kind == kindCache && m.State == policy.Ready {
			caches[m.ID] = loadmetrics.Cache{Zone: m.Zone, Weight: m.Weight}
		}
	}
	var attempts []loadmetrics.Attempt
	for _, o := range observations {
		if !o.Probe {
			attempts = append(attempts, loadmetrics.Attempt{At: p.secondsAt(o), Cache: o.Server})
		}
	}
	return loadmetrics.NewTrace(attempts, caches)
}

// orMinusOne returns a time, or -1 for NaN, which JSON cannot encode.
func orMinusOne(seconds float64) float64 {
	if math.IsNaN(seconds) {
		return -1
	}
	return seconds
}
