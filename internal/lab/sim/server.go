package sim

import "ravenwheel/policy"

// serverState is whether a server answers.
type serverState int

const (
	serverUp     serverState = iota
	serverHung               // accepts connections and requests, and does not answer
	serverKilled             // refuses connections
)

// server is a cache, a parent or the origin.
type server struct {
	sim    *simulation
	id     policy.ServerID
	kind   int
	zone   int
	branch *branch // of a cache
	state  serverState
	epoch  int     // incremented when its process dies or starts; work of an earlier epoch is void
	weight float64 // that proxies know

	fullBandwidth float64 // KB/ms, once it has warmed up
	outbound      *link
	store         *store
	slots         int
	inFlight      int

	started     float64 // ms; 0: long ago
	loadKB      float64 // within the present overload window, while it warms up
	windowBegan float64 // ms

	fills         []*fill // in progress, in the order in which they began
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

// kill ends the server's process and what is in progress there.
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

// updateBandwidth sets the bandwidth to the present capacity, and schedules the next change until the server has warmed up.
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

// capacity returns the fraction of its bandwidth that the server has now.
func (s *server) capacity() float64 {
	w := s.warmUp()
	if s.started == 0 || w.Duration <= 0 {
		return 1
	}
	return min(1, w.InitialCapacity+(1-w.InitialCapacity)*(s.sim.now-s.started)/milliseconds(w.Duration))
}

func (s *server) warmUp() policy.WarmUp { return s.sim.scenario.Fleet.warmUp(s.kind) }

// addLoad counts a request that reaches a server that warms up. A server that gets more than OverloadMultiple of its capacity
// within OverloadWindow dies. As in the operators' rule, a request counts with the mean size of its class, because a proxy
// cannot foresee that many large ones arrive together.
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
		s.sim.checker.overloaded(s)
		s.kill()
	}
}

// utilization returns the transfers in progress over those that the server can make at full speed; of the origin the requests
// over its slots.
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

// keep stores a copy that was created at a time.
func (s *server) keep(key partKey, kb, created float64, rank int) {
	s.store.put(key, kb, created, s.sim.now, rank)
}
