package sim

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ravenwheel/policy"
)

// world is one run.
type world struct {
	queue
	spec     Spec
	seed     uint64
	branches []*branch
	hubs     [][]*server
	servers  map[policy.CacheID]*server // never ranged over
	all      []*server
	origin   *server
	line     originLine
	proxies  []*proxy
	objects  popularity
	purged   []purged // by object
	names    []string
	burst    float64 // times the usual traffic
	traffic  []*rand.Rand
	chance   *rand.Rand
	nextID   uint64
	wants    uint64
	kinds    struct{ cache, parent, origin int }
	player   Player
	late     *late              // what the player sees of the fleet; nil: nothing
	behind   float64            // ms that the list is further behind than usual
	heavy    Trouble            // of Size 0: none
	heavyOf  int                // its class
	keyed    map[uint64]float64 // when a keyed write ran, by want; never ranged over
	out      *Result
	check    *checker
}

type purged struct{ at float64 } // the latest purge of an object; 0: none

type branch struct {
	no      int
	hub     int
	caches  []*server
	proxies []*proxy
	in      *link
}

type state int

const (
	up state = iota
	hung
	lost // refuses connections
)

// server is a cache, a parent or the origin.
type server struct {
	w      *world
	id     policy.CacheID
	role   int // a kind
	zone   int
	branch *branch // of a cache
	state  state
	epoch  int // of its process: what was begun in an earlier one is over
	full   float64
	out    *link
	store  *store
	open   int
	began  float64 // when it was started; 0: long ago
	sent   float64 // ms of sending that came within the window that is now, for its fall
	window float64
	slots  int
	told   float64        // the weight that proxies are told
	under  []*fill        // under way, in the order in which they began
	asking map[key]*asked // of a parent: what it fetches; never ranged over
}

// popularity draws objects.
type popularity struct {
	a      *alias
	next   int32 // of those that are asked for once
	oneoff float64
}

// connectWithin: ms after which a connection to a machine that is gone has failed.
const connectWithin = 400

// mostTries: attempts for a request.
const mostTries = 8

func newWorld(spec Spec, seed uint64, player Player) (*world, error) {
	w := &world{
		spec: spec, seed: seed, player: player, servers: map[policy.CacheID]*server{}, burst: 1, chance: stream(seed, "chance"),
		keyed: map[uint64]float64{},
	}
	w.build()
	w.line = originLine{w: w, rng: stream(seed, "origin"), slow: 1}
	w.out = newResult(spec, seed)
	w.out.at = func() float64 { return w.now }
	w.check = &checker{w: w, runs: map[uint64]int{}}
	if player.Late > 0 {
		w.late = &late{w: w, lag: player.Late}
	}
	for b, x := range w.branches {
		for range spec.Fleet.proxies(b) {
			p := &proxy{w: w, branch: x, no: len(w.proxies), live: map[string]*request{}}
			if err := p.begin(); err != nil {
				return nil, err
			}
			x.proxies = append(x.proxies, p)
			w.proxies = append(w.proxies, p)
		}
	}
	return w, nil
}

// build makes the servers, the branches and the objects.
func (w *world) build() {
	spec, seed := w.spec, w.seed
	w.kinds.cache, w.kinds.parent, w.kinds.origin = kindCache, kindParent, kindOrigin
	f := spec.Fleet
	kb := f.Flow / 1000
	id := policy.CacheID(1)
	weights := stream(seed, "weights")
	add := func(role, zone int, links, room float64) *server {
		s := &server{
			w: w, id: id, role: role, zone: zone, full: links * kb, store: newStore(room), slots: f.Slots, asking: map[key]*asked{},
			told: links * (1 + f.WeightsOff*(2*weights.Float64()-1)),
		}
		s.out = &link{q: &w.queue, rate: s.full, pace: kb}
		w.servers[id] = s
		w.all = append(w.all, s)
		id++
		return s
	}
	w.origin = add(w.kinds.origin, 0, math.Inf(1), 0)
	for h := range f.Hubs {
		var at []*server
		for range f.Parents {
			at = append(at, add(w.kinds.parent, h, f.ParentLink, f.ParentRoom))
		}
		w.hubs = append(w.hubs, at)
	}
	no := 0
	for b := range f.Branches {
		x := &branch{no: b, hub: b % f.Hubs, in: &link{q: &w.queue, rate: f.BranchLink * f.part(b) * kb, pace: f.FillPace * kb}}
		for range f.caches(b) {
			size := f.size(no)
			no++
			s := add(w.kinds.cache, f.Hubs+b, f.CacheLink*size, f.CacheRoom*size)
			s.branch, s.slots = x, max(1, int(float64(f.Slots)*size))
			x.caches = append(x.caches, s)
		}
		w.branches = append(w.branches, x)
		w.traffic = append(w.traffic, stream(seed, fmt.Sprint("traffic ", b)))
	}
	asks := make([]float64, spec.Traffic.Objects)
	for i := range asks {
		asks[i] = math.Pow(float64(i+1)+spec.Traffic.Shift, -spec.Traffic.Zipf)
	}
	w.objects = popularity{newAlias(asks), int32(spec.Traffic.Objects), spec.Traffic.OneOff}
	w.purged = make([]purged, spec.Traffic.Objects)
	w.names = make([]string, spec.Traffic.Objects)
	for i := range w.names {
		w.names[i] = fmt.Sprintf("%016x", i)
	}
}

// member is a server as the board tells of it.
func (s *server) member(st policy.State) policy.Member {
	m := policy.Member{ID: s.id, Zone: s.zone, Kind: s.role, State: st, Weight: s.told}
	if s.role == s.w.kinds.origin {
		m.Weight = float64(max(1, s.w.spec.Fleet.Origin))
	}
	if s.began > 0 {
		m.Started = policy.Time(s.began * 1e6)
	}
	return m
}

// tell has all proxies hear of a change, each a little later than another. Those of other branches need not know.
func (w *world) tell(list []policy.Member) {
	version := int64(w.seq)
	for _, p := range w.proxies {
		lag := w.spec.Fleet.BoardLag*(0.5+w.chance.Float64()/2) + w.behind
		w.after(lag, func() {
			w.check.told(p, list)
			p.keepList(list)
			p.handle(policy.Members{Version: version, Entries: list})
		})
	}
}

// far is the way between a branch and a hub, one way.
func (w *world) far(b *branch, hub int) float64 {
	n := w.spec.Fleet.Hubs
	steps := (hub - b.hub + n) % n
	return w.spec.Fleet.ToHub + w.spec.Fleet.Step*float64(min(steps, n-steps))
}

// restart brings a server up anew: empty and cold.
func (s *server) restart() {
	s.state, s.began = up, s.w.now
	s.epoch++
	s.open, s.sent = 0, 0
	s.store.empty()
	s.out = &link{q: &s.w.queue, rate: s.full * s.cold().InitialCapacity, pace: s.w.spec.Fleet.Flow / 1000}
	s.warm(s.epoch)
}

// warmEvery: ms between steps of a warming server's link.
const warmEvery = 500

func (s *server) warm(epoch int) {
	if epoch != s.epoch || s.state == lost {
		return
	}
	share := s.capacity()
	if s.out.set(s.full * share); share < 1 {
		s.w.after(warmEvery, func() { s.warm(epoch) })
	}
}

// capacity is the share of its link that a server has now.
func (s *server) capacity() float64 {
	f := s.cold()
	if s.began == 0 || f.Duration <= 0 {
		return 1
	}
	return min(1, f.InitialCapacity+(1-f.InitialCapacity)*(s.w.now-s.began)/inMs(f.Duration))
}

func (s *server) cold() policy.WarmUp { return s.w.spec.Fleet.cold(s.role == s.w.kinds.parent) }

// kill loses a server: its connections end, and none comes up.
func (s *server) kill(to state) {
	s.state = to
	if to == lost {
		s.epoch++
		s.asking = map[key]*asked{}
		for _, f := range s.under {
			f.over = true
			f.stop()
		}
		s.under = nil
	}
}

// load books work that reaches a server, for its fall: sent more than it bears within a window, a cold one goes down. As in the
// operators' rule a request counts with the mean size of its class, whatever its own: a proxy can't see to large ones that
// come together.
func (s *server) load(meanKB float64) {
	f := s.cold()
	if s.began == 0 || s.capacity() >= 1 || s.state != up {
		return
	}
	if s.w.now >= s.window+inMs(f.OverloadWindow) {
		s.window, s.sent = s.w.now, 0
	}
	s.sent += meanKB
	if s.sent > f.OverloadMultiple*s.full*s.capacity()*inMs(f.OverloadWindow) {
		s.w.check.fell(s)
		s.kill(lost)
	}
}
