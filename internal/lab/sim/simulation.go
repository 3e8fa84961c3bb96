package sim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ravenwheel/policy"
)

// simulation is the state of one run.
type simulation struct {
	eventQueue
	scenario Scenario
	seed     uint64
	player   Strategy

	branches     []*branch
	hubs         [][]*server // the parents, by hub
	servers      []*server   // by id, which counts from 1
	origin       *server
	originServer originQueue
	proxies      []*proxy

	popularity  *aliasTable
	nextOneOff  int32    // next object that is requested once only
	objectNames []string // of the objects with a popularity
	traffic     []*rand.Rand
	chance      *rand.Rand // for the delays of notifications
	requests    uint64     // of clients, so far
	requestIDs  uint64     // given by proxies, so far

	trafficMultiple float64            // during a Burst; else 1
	listDelay       float64            // ms, added to DiscoveryDelay by StaleList
	largeObjects    Fault              // the present fault; the zero value if there is none
	keyedRuns       map[uint64]float64 // when a write with an idempotency key ran last, by client request

	view    *delayedView // nil if the player has none
	result  *Result
	checker *checker
}

// branch is a group of caches and proxies behind one link.
type branch struct {
	number  int
	hub     int
	caches  []*server
	proxies []*proxy
	inbound *link
}

func newSimulation(scenario Scenario, seed uint64, player Strategy) (*simulation, error) {
	s := &simulation{
		scenario: scenario, seed: seed, player: player, trafficMultiple: 1, chance: stream(seed, "chance"), keyedRuns: map[uint64]float64{},
	}
	s.buildServers()
	s.buildObjects()
	s.originServer = originQueue{sim: s, rng: stream(seed, "origin"), slowdown: 1}
	s.result = newResult(scenario, seed)
	s.checker = &checker{sim: s, runs: map[uint64]int{}}
	if player.ViewDelay > 0 {
		s.view = &delayedView{sim: s, delay: player.ViewDelay}
	}
	for _, b := range s.branches {
		for range scenario.Fleet.proxies(b.number) {
			p := &proxy{sim: s, branch: b, number: len(s.proxies), live: map[string]*request{}}
			if err := p.start(); err != nil {
				return nil, err
			}
			b.proxies = append(b.proxies, p)
			s.proxies = append(s.proxies, p)
		}
	}
	return s, nil
}

// buildServers makes the servers and the branches.
func (s *simulation) buildServers() {
	f := s.scenario.Fleet
	weights := stream(s.seed, "weights")
	s.origin = s.addServer(kindOrigin, 0, math.Inf(1), 0, weights)
	for hub := range f.Hubs {
		var parents []*server
		for range f.ParentsPerHub {
			parents = append(parents, s.addServer(kindParent, hub, f.ParentBandwidth, f.ParentKB, weights))
		}
		s.hubs = append(s.hubs, parents)
	}
	caches := 0
	rate := f.transferRate()
	for number := range f.Branches {
		b := &branch{number: number, hub: number % f.Hubs}
		b.inbound = &link{queue: &s.eventQueue, bandwidth: f.BranchBandwidth * f.relativeSize(number) * rate, maxRate: f.FillRateMultiple * rate}
		for range f.caches(number) {
			size := f.cacheSize(caches)
			caches++
			cache := s.addServer(kindCache, f.Hubs+number, f.CacheBandwidth*size, f.CacheKB*size, weights)
			cache.branch, cache.slots = b, max(1, int(float64(f.CacheSlots)*size))
			b.caches = append(b.caches, cache)
		}
		s.branches = append(s.branches, b)
		s.traffic = append(s.traffic, stream(s.seed, fmt.Sprint("traffic ", number)))
	}
}

// transferRate returns the highest rate of one transfer, in KB/ms.
func (f Fleet) transferRate() float64 { return f.TransferKBPerS / 1000 }

// addServer adds a server with a bandwidth in transfers and a store. The weight that proxies know is drawn from weights.
func (s *simulation) addServer(kind, zone int, bandwidth, storeKB float64, weights *rand.Rand) *server {
	f := s.scenario.Fleet
	rate := f.transferRate()
	server := &server{
		sim: s, id: policy.ServerID(len(s.servers) + 1), kind: kind, zone: zone, fullBandwidth: bandwidth * rate, store: newStore(storeKB),
		slots: f.CacheSlots, originFetches: map[partKey]*originFetch{}, weight: bandwidth * (1 + f.WeightError*(2*weights.Float64()-1)),
	}
	server.outbound = &link{queue: &s.eventQueue, bandwidth: server.fullBandwidth, maxRate: rate}
	s.servers = append(s.servers, server)
	return server
}

// server returns the server with an id.
func (s *simulation) server(id policy.ServerID) *server { return s.servers[id-1] }

// buildObjects makes the objects that have a popularity.
func (s *simulation) buildObjects() {
	t := s.scenario.Traffic
	popularity := make([]float64, t.Objects)
	for i := range popularity {
		popularity[i] = math.Pow(float64(i+1)+t.RankShift, -t.ZipfExponent)
	}
	s.popularity, s.nextOneOff = newAliasTable(popularity), int32(t.Objects)
	s.objectNames = make([]string, t.Objects)
	for i := range s.objectNames {
		s.objectNames[i] = fmt.Sprintf("%016x", i)
	}
}

// hubLatency returns the latency between a branch and a hub, one way.
func (s *simulation) hubLatency(b *branch, hub int) float64 {
	f := s.scenario.Fleet
	steps := (hub - b.hub + f.Hubs) % f.Hubs
	return f.HubLatency + f.HubStepLatency*float64(min(steps, f.Hubs-steps))
}

// notifyMembers notifies all proxies of changed members, each after a delay of its own. Proxies may ignore caches of other
// branches.
func (s *simulation) notifyMembers(changes []policy.Member) {
	version := int64(s.sequence)
	for _, p := range s.proxies {
		delay := s.scenario.Fleet.DiscoveryDelay*(0.5+s.chance.Float64()/2) + s.listDelay
		s.after(delay, func() {
			s.checker.membersNotified(p, changes)
			p.rememberMembers(changes)
			p.handle(policy.Members{Version: version, Entries: changes})
		})
	}
}

// start notifies the proxies of the members, and schedules traffic and faults.
func (s *simulation) start() {
	for _, p := range s.proxies {
		var members []policy.Member
		for _, server := range s.servers {
			if server.branch == nil || server.branch == p.branch {
				members = append(members, server.member(policy.Ready))
			}
		}
		p.rememberMembers(members)
		p.handle(policy.Members{Kind: policy.ListFull, Version: 1, Entries: members})
	}
	for _, b := range s.branches {
		s.scheduleArrival(b)
	}
	s.scheduleFaults()
	s.schedulePurges()
	if s.view != nil {
		s.view.takeSnapshot()
	}
}

// end returns when the last request of a client arrives.
func (s *simulation) end() float64 { return (s.scenario.WarmUpSeconds + s.scenario.Seconds) * 1000 }

// drainTime returns how long a run goes on after its end, so that all requests are answered.
func (s *simulation) drainTime() float64 {
	longest := 0.0
	for _, class := range s.scenario.Traffic.Classes {
		longest = max(longest, class.Deadline)
	}
	c := s.scenario.Clients
	return float64(1+c.Retries) * (longest + c.MaxRetryAfter + c.Backoff)
}
