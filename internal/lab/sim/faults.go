package sim

import (
	"math"
	"math/rand/v2"

	"ravenwheel/policy"
)

// scheduleFaults schedules the faults of the scenario, each with a random stream of its own.
func (s *simulation) scheduleFaults() {
	for i, f := range s.scenario.Faults {
		rng := stream(s.seed, "trouble "+string(rune('a'+i)))
		s.at((s.scenario.WarmUpSeconds+f.At)*1000, func() { s.inject(f, rng) })
	}
}

// inject begins a fault and schedules its end.
func (s *simulation) inject(f Fault, rng *rand.Rand) {
	end := f.Duration * 1000
	switch f.Kind {
	case Burst:
		s.trafficMultiple = f.Magnitude
		s.after(end, func() { s.trafficMultiple = 1 })
	case OriginSlow:
		s.originServer.slowdown = max(1, f.Magnitude)
		s.after(end, func() { s.originServer.slowdown = 1 })
	case PurgeObjects:
		s.purge(s.drawObjects(f.Magnitude, rng))
	case HangCaches:
		s.hang(drawFraction(s.serversOf(kindCache), f.Magnitude, rng), end)
	case HangParents:
		s.hang(drawFraction(s.serversOf(kindParent), f.Magnitude, rng), end)
	case DropCopies:
		for _, cache := range s.serversOf(kindCache) {
			cache.store.clear()
		}
	case LoseHub:
		s.crash(s.hubs[rng.IntN(len(s.hubs))], f.Duration)
	case LoseBranch:
		s.crash(s.branches[rng.IntN(len(s.branches))].caches, f.Duration)
	case CrashCaches:
		s.crash(drawFraction(s.serversOf(kindCache), f.Magnitude, rng), f.Duration)
	case RestartCaches:
		s.restartCaches(s.serversOf(kindCache), end)
	case RestartProxies:
		s.restartProxies(drawFraction(s.proxies, f.Magnitude, rng), end, f.Extra*1000)
	case StaleList:
		s.extraDiscoveryDelay = f.Magnitude * 1000
		s.after(end, func() { s.extraDiscoveryDelay = 0 })
	case LargeObjects:
		s.largeObjects = f
		s.after(end, func() { s.largeObjects = Fault{} })
	}
}

// serversOf returns the servers of a kind, by id.
func (s *simulation) serversOf(kind int) (servers []*server) {
	for _, server := range s.servers {
		if server.kind == kind {
			servers = append(servers, server)
		}
	}
	return servers
}

// drawFraction draws a fraction of the items, at least one if there are any, in random order.
func drawFraction[T any](items []T, fraction float64, rng *rand.Rand) (drawn []T) {
	count := min(len(items), max(1, int(math.Round(fraction*float64(len(items))))))
	for _, i := range rng.Perm(len(items))[:count] {
		drawn = append(drawn, items[i])
	}
	return drawn
}

// drawObjects draws a fraction of the objects that have a popularity, of all classes.
func (s *simulation) drawObjects(fraction float64, rng *rand.Rand) (objects []int32) {
	classes := int32(len(s.scenario.Traffic.Classes))
	for object := range int32(s.scenario.Traffic.Objects) {
		if rng.Float64() < fraction {
			for class := range classes {
				objects = append(objects, object*classes+class)
			}
		}
	}
	return objects
}

// hang makes servers accept requests without answering, for this many ms. Those that are killed meanwhile stay killed.
func (s *simulation) hang(servers []*server, duration float64) {
	for _, server := range servers {
		server.state = serverHung
		s.after(duration, func() {
			if server.state == serverHung {
				server.state = serverUp
			}
		})
	}
}

// maxRestartDowntime bounds, in seconds, how long a cache is down during a rolling restart.
const maxRestartDowntime = 2

// restartCaches is a rolling restart: it drains, kills and restarts one cache after the other. The drains begin at equal intervals
// within duration ms. A cache is killed only after all proxies were notified of its drain and the grace period has passed.
func (s *simulation) restartCaches(caches []*server, duration float64) {
	interval := duration / float64(max(1, len(caches)))
	for i, cache := range caches {
		s.after(interval*float64(i), func() {
			s.notifyMembers([]policy.Member{cache.member(policy.Draining)})
			s.after(s.scenario.Fleet.DiscoveryDelay+s.scenario.Rules.DrainGrace, func() {
				s.crash([]*server{cache}, min(interval/1000, maxRestartDowntime))
			})
		})
	}
}

// restartProxies restarts proxies at equal intervals within duration ms. Each is down for downtime ms.
func (s *simulation) restartProxies(proxies []*proxy, duration, downtime float64) {
	for i, p := range proxies {
		s.after(duration*float64(i)/float64(len(proxies)), func() { p.restart(downtime) })
	}
}

// crash kills servers and restarts them, without copies, after this many seconds.
func (s *simulation) crash(servers []*server, seconds float64) {
	for _, server := range servers {
		server.kill()
		s.resetAttempts(server)
		s.after(s.scenario.Fleet.DiscoveryDelay, func() {
			if server.state == serverKilled {
				s.notifyMembers([]policy.Member{server.member(policy.Gone)})
			}
		})
		s.after(seconds*1000, func() {
			server.restart()
			s.notifyMembers([]policy.Member{server.member(policy.Ready)})
		})
	}
}
