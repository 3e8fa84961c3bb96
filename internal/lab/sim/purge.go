package sim

import (
	"math"

	"ravenwheel/policy"
)

// schedulePurges schedules the purges of single objects, as a Poisson process.
func (s *simulation) schedulePurges() {
	t := s.scenario.Traffic
	if t.PurgeRate <= 0 {
		return
	}
	rng := stream(s.seed, "purges")
	var next func()
	next = func() {
		s.after(-math.Log(1-rng.Float64())/t.PurgeRate*1000, func() {
			object := int32(s.popularity.draw(rng))*int32(len(t.Classes)) + int32(rng.IntN(len(t.Classes)))
			s.purge([]int32{object})
			next()
		})
	}
	next()
}

// purge purges the copies of some objects that were created before now. Proxies are notified after a random delay, and servers drop
// their copies within PurgeDuration.
func (s *simulation) purge(objects []int32) {
	at := s.now
	purged := make(map[int32]bool, len(objects))
	for _, object := range objects {
		purged[object] = true
	}
	for _, p := range s.proxies {
		delay := s.scenario.Fleet.PurgeNotificationDelay * s.delayRNG.Float64()
		s.after(delay, func() { p.receivePurge(objects, at) })
	}
	parts := 1
	for _, class := range s.scenario.Traffic.Classes {
		parts = max(parts, class.PartsPerObject)
	}
	for _, server := range s.servers {
		epoch := server.epoch
		drop := func() {
			if epoch == server.epoch {
				server.store.purge(at, purged, objects, parts)
			}
		}
		// Each server drops its copies at a random time, and again when PurgeDuration ends: in between, it may have been filled
		// from a server that had not dropped its copy yet.
		s.after(s.scenario.Fleet.PurgeDuration*s.delayRNG.Float64(), drop)
		s.after(s.scenario.Fleet.PurgeDuration, drop)
	}
}

// receivePurge notifies the proxy of a purge that was made at a time. A proxy that is down is not notified.
func (p *proxy) receivePurge(objects []int32, at float64) {
	for _, object := range objects {
		if p.down {
			return
		}
		p.sim.checker.purgeNotified(p, object, at)
		p.handle(policy.Purged{Object: p.sim.objectName(object), Group: -1, Age: duration(p.sim.now - at)})
	}
}
