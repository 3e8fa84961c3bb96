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
	strategy Strategy

	branches     []*branch
	hubs         [][]*server // parents, by hub
	servers      []*server   // index: id - 1
	origin       *server
	originServer originQueue
	proxies      []*proxy

	popularity     *aliasTable
	nextOneOff     int32        // number of the next object that is requested only once
	objectNames    []string     // names of the objects that have a popularity
	arrivalRNGs    []*rand.Rand // for the requests of clients, by branch
	delayRNG       *rand.Rand   // for delays of notifications and of purges
	clientRequests uint64       // number of clients' requests so far
	lastRequestID  uint64       // number of attempts of clients that proxies received so far

	trafficMultiple     float64            // the factor during a Burst; else 1
	extraDiscoveryDelay float64            // ms that StaleList adds to DiscoveryDelay
	largeObjects        Fault              // the LargeObjects fault in progress; the zero value if there is none
	lastKeyedRun        map[uint64]float64 // ms at which a write with an idempotency key ran last, by client request

	view    *delayedView // nil if the strategy has none
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

func newSimulation(scenario Scenario, seed uint64, strategy Strategy) (*simulation, error) {
	s := &simulation{
		scenario: scenario, seed: seed, strategy: strategy, trafficMultiple: 1, delayRNG: stream(seed, "chance"), lastKeyedRun: map[uint64]float64{},
	}
	s.buildServers()
	s.buildObjects()
	s.originServer = originQueue{sim: s, rng: stream(seed, "origin"), slowdown: 1}
	s.result = newResult(scenario, seed)
	s.checker = &checker{sim: s, writeRuns: map[uint64]int{}}
	if strategy.ViewDelay > 0 {
		s.view = &delayedView{sim: s, delay: strategy.ViewDelay}
	}
	for _, b := range s.branches {
		for range scenario.Fleet.proxies(b.number) {
			p := &proxy{sim: s, branch: b, number: len(s.proxies), requests: map[string]*request{}}
			if err := p.start(); err != nil {
				return nil, err
			}
			b.proxies = append(b.proxies, p)
			s.proxies = append(s.proxies, p)
		}
	}
	return s, nil
}

// buildServers creates the servers and the branches.
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
		s.arrivalRNGs = append(s.arrivalRNGs, stream(s.seed, fmt.Sprint("traffic ", number)))
	}
}

// transferRate returns the highest rate of one transfer, in KB/ms.
func (f Fleet) transferRate() float64 { return f.TransferKBPerS / 1000 }

// addServer adds a server. Its bandwidth is a number of transfers at full speed. weights is the random stream for the error of the
// weight that proxies know.
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

// serverByID returns the server with an id.
func (s *simulation) serverByID(id policy.ServerID) *server { return s.servers[id-1] }

// buildObjects creates the objects that have a popularity.
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

// hubLatency returns the one-way latency, in ms, between a branch and a hub.
func (s *simulation) hubLatency(b *branch, hub int) float64 {
	f := s.scenario.Fleet
	steps := (hub - b.hub + f.Hubs) % f.Hubs
	return f.HubLatency + f.HubStepLatency*float64(min(steps, f.Hubs-steps))
}

// notifyMembers notifies all proxies of changed members, each after its own random delay. Proxies may ignore caches of other
// branches.
func (s *simulation) notifyMembers(changes []policy.Member) {
	version := int64(s.sequence)
	for _, p := range s.proxies {
		delay := s.scenario.Fleet.DiscoveryDelay*(0.5+s.delayRNG.Float64()/2) + s.extraDiscoveryDelay
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

// end returns the time, in ms, after which clients make no new requests.
func (s *simulation) end() float64 { return (s.scenario.WarmUpSeconds + s.scenario.Seconds) * 1000 }

// settleTime returns the time, in ms, that a run continues after its end, so that all requests can be answered.
func (s *simulation) settleTime() float64 {
	longest := 0.0
	for _, class := range s.scenario.Traffic.Classes {
		longest = max(longest, class.Deadline)
	}
	c := s.scenario.Clients
	return float64(1+c.Retries) * (longest + c.MaxRetryAfter + c.Backoff)
}
