package hollow

import (
	"fmt"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/policy"
)

// sitesPerZone is the number of sites over which the processes of a zone are spread.
const sitesPerZone = 2

// minZoneDistributors is the least number of distributors in a zone, so that it survives the loss of one.
const minZoneDistributors = 2

// One-way latencies in ms, by the distance between two processes. Regions are arranged in a ring: each step along it adds
// latencyPerRegionStep.
const (
	latencyWithinSite    = 0.2
	latencyWithinZone    = 0.5
	latencyWithinRegion  = 2.0
	latencyBetweenRegion = 12.0
	latencyPerRegionStep = 14.0
)

// buildFleet creates the processes: the store's members spread over the regions, relays in each region, and zones of about equal
// size with their distributors and proxies.
func (sim *simulation) buildFleet(size int) {
	scenario := sim.scenario
	for i := range scenario.Voters {
		region := i % scenario.Regions
		sim.addProcess(StoreMember, region, regionZone(region), 0)
	}
	for region := range scenario.Regions {
		for i := range scenario.RegionRelays {
			sim.addProcess(Relay, region, regionZone(region), i)
		}
	}
	sim.addZones(size - len(sim.processes))
	sim.chooseFullProcesses()
}

// regionZone is the zone number of those processes of a region that belong to no zone. It is below 0, so that no zone has the same
// number.
func regionZone(region int) int { return -1 - region }

func (sim *simulation) addProcess(role Role, region, zone, site int) {
	p := &process{id: int32(len(sim.processes)), role: role, region: region, zone: zone, site: site, up: true, incarnation: 1}
	p.name = fmt.Sprintf("%s-%d", role, p.id)
	p.sendRate = bytesPerMs(sim.scenario.OutKBPerS)
	sim.processes = append(sim.processes, p)
	sim.byName[p.name] = p
	sim.byRole[role] = append(sim.byRole[role], p)
}

// bytesPerMs converts KB a second: a KB is 1000 bytes, and a second 1000 ms.
func bytesPerMs(kbPerS float64) float64 { return kbPerS * 1000 / 1000 }

// addZones spreads the given number of processes over zones.
func (sim *simulation) addZones(processes int) {
	scenario := sim.scenario
	sim.zones = max(scenario.Regions, (processes+scenario.ZoneProcesses-1)/scenario.ZoneProcesses)
	for zone := range sim.zones {
		size := processes/sim.zones + boolToInt(zone < processes%sim.zones)
		distributors := max(minZoneDistributors, (size+scenario.ProxiesPerDistributor)/(scenario.ProxiesPerDistributor+1))
		for i := range size {
			role := Proxy
			if i < distributors {
				role = ZoneDistributor
			}
			sim.addProcess(role, zone%scenario.Regions, zone, i%sitesPerZone)
		}
	}
}

// chooseFullProcesses marks the processes that apply what they receive: all but proxies, and FullProxies of these, evenly
// spaced (0: all).
func (sim *simulation) chooseFullProcesses() {
	for _, p := range sim.processes {
		p.full = p.role != Proxy
	}
	proxies := sim.byRole[Proxy]
	step := 1.0
	if sim.scenario.FullProxies > 0 {
		step = max(1, float64(len(proxies))/float64(sim.scenario.FullProxies))
	}
	for at := 0.0; int(at) < len(proxies); at += step {
		proxies[int(at)].full = true
	}
}

// zoneOf is the zone of a cache server.
func (sim *simulation) zoneOf(id policy.ServerID) int {
	return (int(id) - 1) / sim.scenario.ZoneServers
}

// latency is the one-way latency in ms between two processes.
func (sim *simulation) latency(a, b *process) float64 {
	switch {
	case a.region != b.region:
		steps := a.region - b.region
		if steps < 0 {
			steps = -steps
		}
		steps = min(steps, sim.scenario.Regions-steps)
		return latencyBetweenRegion + latencyPerRegionStep*float64(steps)
	case a.zone != b.zone:
		return latencyWithinRegion
	case a.site != b.site:
		return latencyWithinZone
	}
	return latencyWithinSite
}

// reachable reports whether the network passes messages between two processes.
func (sim *simulation) reachable(a, b *process) bool {
	return a.region == b.region || a.region != sim.cutRegion && b.region != sim.cutRegion
}

// candidates returns the distributors that a process may subscribe to. All are of a lower rank than the process: zones'
// distributors of its own region, and relays and members of the store of all regions.
func (sim *simulation) candidates(p *process) (out []distribution.Peer) {
	for rank := range int(p.role) {
		region := anyRegion
		if rank == int(ZoneDistributor) {
			region = p.region
		}
		out = append(out, sim.distributors(candidateKey{region, rank})...)
	}
	return out
}

// distributors returns the distributors that a key selects. The result is cached, as all processes of a region share it.
func (sim *simulation) distributors(key candidateKey) []distribution.Peer {
	if sim.candidateCache[key] == nil {
		for _, p := range sim.byRole[key.rank] {
			if key.region == anyRegion || p.region == key.region {
				sim.candidateCache[key] = append(sim.candidateCache[key], p.peer())
			}
		}
	}
	return sim.candidateCache[key]
}

// demand counts the distributors that share a load, the given one included, and their subscribers: the proxies of a zone, or the
// zones' distributors in a region.
func (sim *simulation) demand(p *process) distribution.Demand {
	demand := distribution.Demand{}
	for _, other := range sim.byRole[p.role] {
		if other.region == p.region && other.zone == p.zone {
			demand.Distributors++
		}
	}
	for _, other := range sim.byRole[p.role+1] {
		if other.region == p.region && (p.role == Relay || other.zone == p.zone) {
			demand.Subscribers++
		}
	}
	return demand
}
