package sim

import "ravenwheel/policy"

// serverState is whether and how a server answers.
type serverState int

const (
	serverUp     serverState = iota
	serverHung               // accepts connections and requests, but does not answer
	serverKilled             // refuses connections
)

// server is a cache, a parent or the origin.
type server struct {
	sim    *simulation
	id     policy.ServerID
	kind   int
	zone   int
	branch *branch // nil except for caches
	state  serverState
	epoch  int     // incremented when the process dies or starts; what an earlier epoch had in progress is ignored
	weight float64 // as proxies know it

	fullBandwidth float64 // KB/ms, once the server has warmed up
	outbound      *link
	store         *store
	slots         int // concurrent requests that a cache or parent accepts
	inFlight      int // requests in progress

	started     float64 // ms at which the process restarted; 0 if it never did
	loadKB      float64 // load in the current overload window, while the server warms up
	windowBegan float64 // ms at which the current overload window began

	fills         []*fill // in progress, oldest first
	originFetches map[partKey]*originFetch
}

// member returns the server as an entry of the endpoint list.
func (s *server) member(state policy.State) policy.Member {
	m := policy.Member{ID: s.id, Zone: s.zone, Kind: s.kind, State: state, Weight: s.weight}
	if s.kind == kindOrigin {
		m.Weight = float64(max(1, s.sim.scenario.Fleet.OriginSlots))
	}
	if s.started > 0 {
		m.Started = policy.Time(s.started * 1e6)
	}
	return m
}

// kill ends the server's process and the fills in progress there.
func (s *server) kill() {
	s.state = serverKilled
	s.epoch++
	s.originFetches = map[partKey]*originFetch{}
	for _, f := range s.fills {
		f.ended = true
		f.stopTransfers()
	}
	s.fills = nil
}

// restart starts the server's process, without copies.
func (s *server) restart() {
	s.state, s.started = serverUp, s.sim.now
	s.epoch++
	s.inFlight, s.loadKB = 0, 0
	s.store.clear()
	s.outbound = &link{
		queue: &s.sim.eventQueue, bandwidth: s.fullBandwidth * s.warmUp().InitialCapacity, maxRate: s.sim.scenario.Fleet.transferRate(),
	}
	s.updateBandwidth(s.epoch)
}

// warmUpInterval is the time, in ms, between changes of the bandwidth of a server that warms up.
const warmUpInterval = 500

// updateBandwidth sets the bandwidth according to the current capacity, and schedules the next change until the server has warmed
// up.
func (s *server) updateBandwidth(epoch int) {
	if epoch != s.epoch || s.state == serverKilled {
		return
	}
	capacity := s.capacity()
	s.outbound.setBandwidth(s.fullBandwidth * capacity)
	if capacity < 1 {
		s.sim.after(warmUpInterval, func() { s.updateBandwidth(epoch) })
	}
}

// capacity returns the fraction of its full bandwidth that the server has now. It rises linearly during the warm-up.
func (s *server) capacity() float64 {
	w := s.warmUp()
	if s.started == 0 || w.Duration <= 0 {
		return 1
	}
	return min(1, w.InitialCapacity+(1-w.InitialCapacity)*(s.sim.now-s.started)/milliseconds(w.Duration))
}

func (s *server) warmUp() policy.WarmUp { return s.sim.scenario.Fleet.warmUp(s.kind) }

// addLoad counts a request that reaches a server while it warms up. The server dies if its load within OverloadWindow exceeds
// OverloadMultiple times its capacity. As in the operators' rule, a request counts with the mean size of its class, because a proxy
// cannot foresee that many large requests arrive together.
func (s *server) addLoad(meanKB float64) {
	w := s.warmUp()
	if s.started == 0 || s.capacity() >= 1 || s.state != serverUp {
		return
	}
	if s.sim.now >= s.windowBegan+milliseconds(w.OverloadWindow) {
		s.windowBegan, s.loadKB = s.sim.now, 0
	}
	s.loadKB += meanKB
	if s.loadKB > w.OverloadMultiple*s.fullBandwidth*s.capacity()*milliseconds(w.OverloadWindow) {
		s.sim.checker.serverOverloaded(s)
		s.kill()
	}
}

// utilization returns the number of transfers in progress over the number that the server can make at full speed. For the origin it
// returns the number of requests, those that wait included, over its slots.
func (s *server) utilization() float64 {
	if s.kind == kindOrigin {
		o := &s.sim.originServer
		return float64(o.busy+len(o.waiting)) / float64(max(1, s.sim.scenario.Fleet.OriginSlots))
	}
	if s.outbound.bandwidth <= 0 {
		return float64(len(s.outbound.active))
	}
	return float64(len(s.outbound.active)) * s.outbound.maxRate / s.outbound.bandwidth
}

// storeCopy stores a copy that the origin served at created, in ms. It does nothing if the rank is 0.
func (s *server) storeCopy(key partKey, kb, created float64, rank int) {
	s.store.put(key, kb, created, s.sim.now, rank)
}
