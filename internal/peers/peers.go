// Package peers lets processes of the program find each other, notice who is gone and tell each other what they see:
// membership by SWIM with Lifeguard's refinements (hashicorp/memberlist), every message bound to its sender by the
// certificate that members of the store have too, and digests for the view in common (internal/decide/fleetview). It is off
// unless the operator's file has "peers"; the platform allows no talk between processes. It decides nothing.
package peers

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/fleetview"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// Options set up a process among its peers. Times are in ms.
type Options struct {
	Name         string
	Listen       string            // UDP and TCP
	Advertise    string            // the address that others are told; empty: Listen
	Seeds        []string          // addresses of any others, as seen from here
	Seen         map[string]string // addresses of others as seen from here, by name, where that is not what they tell
	Zone, Region string
	Every        float64 // between two digests
	Dir          string  // where starts are counted; empty: by the clock alone
	Identity     *store.Identity
	Clock        *clock.Clock
	Log          *logs.Log
	// Totals are what this process counted so far; Objects those asked for since the last call.
	Totals  func() (arrivals uint64, servers map[policy.CacheID]fleetview.Totals)
	Objects func() []uint64
}

// Peers is this process among the others.
type Peers struct {
	opt  Options
	post *post
	net  *transport
	list *memberlist.Memberlist

	mu        sync.Mutex
	view      *fleetview.View
	collector *fleetview.Collector
	heavies   *fleetview.Sketch
	rng       *rand.Rand
	members   map[string]*Member
	alive     int    // of these
	set       uint64 // of the alive
	same      int    // digests, since the last join, of those who take the same members for alive
	others    int    // and of those who do not
	joins     int
	asks      int     // of whole states, since most agreed with this process
	mayAsk    float64 // from when on it may ask again
	closed    bool
	known     known
	twiceAt   map[string]float64 // when two of a name were told of last
	doubted   float64            // until when this process asks again, as another has its name or had it
	stop      func()             // of the next tick

	// Refused counts digests that were read and not taken: from another than they say, too large, or over a bound.
	Refused atomic.Int64
}

// Pace of the protocol, and its bounds.
const (
	// probeEvery, probeWait: one member is asked in each interval, so that each is asked by someone about as often. Of 300 a
	// third must be found gone within ten seconds, and suspicion alone takes suspectFor times the interval times the decades of
	// the fleet's size: 5 s. With half a second and 250 ms, which a busy machine misses, 300 on one machine suspected each other
	// for good: what they told of it, twelve times each, took the time in which they would have answered.
	probeEvery, probeWait = 700 * time.Millisecond, 400 * time.Millisecond
	suspectFor            = 3
	// mostCareful: one whose questions stay unanswered takes itself for slow, and asks up to so many times more slowly. With
	// memberlist's 8 a third that were gone made all others ask every four seconds.
	mostCareful = 3
	// retransmit: news is told so many times the decades of the fleet's size by each. With 2 the last of 200 heard of a third
	// that was gone by asking, after 15 to 17 s; with 4 after 13 s.
	retransmit  = 4
	gossipEvery = 100 * time.Millisecond
	streamWait  = 5 * time.Second
	// stateEvery: whole states are exchanged with one other, memberlist stretches it by the fleet's size. Gossip tells the
	// news and the seeds are asked after a cut: it is for what both lost.
	stateEvery = time.Minute
	// deadFor: one that is gone may come back under its name at another address after that.
	deadFor = 5 * time.Second
	// window of rates, ms.
	window = 3000
	// zoneMost peers of this zone are told each tick, and farMost of others, drawn anew: what one process sends does not
	// grow with the fleet.
	zoneMost, farMost = 16, 2
	// chunk of servers in one datagram.
	chunk = 32
	// heavySize, heavyTold of the sketch of objects; heavyFade what is left of a count after a tick.
	heavySize, heavyTold, heavyFade = 64, 4, 0.75
	// heavyLeast: an object that is asked for less often, a second, here is not told of.
	heavyLeast = 0.5
	// rejoinEvery: seeds that are not in sight, and others where need is, are asked again. Where need is, after askFirst at
	// first, and twice as long each time, mostDoubled times.
	rejoinEvery = 5000.0
	askFirst    = 4000.0
	mostDoubled = 5
	// earlyJoins: so often a new process asks anyway: what gossip brought it before it knew the senders' keys was dropped,
	// and is not told again.
	earlyJoins = 3
	// mostGone members that are gone are remembered for operators.
	mostGone = 1024
	leaveFor = 500 * time.Millisecond
)

// meta is what a member tells of itself.
type meta struct {
	_            struct{} `cbor:",toarray"`
	Zone, Region string
}

// Start joins the others; that nobody answers is no error, as the first one is alone.
func Start(o Options) (*Peers, error) {
	start, err := nextStart(o.Dir, uint64(o.Clock.Now()))
	if err != nil {
		return nil, err
	}
	p := &Peers{
		opt: o, post: newPost(o.Identity, o.Clock, start), view: fleetview.New(o.Name, fleetview.DefaultSettings()), heavies: fleetview.NewSketch(heavySize),
		collector: &fleetview.Collector{From: o.Name, Zone: o.Zone, Incarnation: start, Window: window},
		rng:       rand.New(rand.NewPCG(start, uint64(len(o.Name)))), members: map[string]*Member{}, stop: func() {}, known: loadKnown(o.Dir),
		twiceAt: map[string]float64{},
	}
	if p.net, err = listen(o.Listen, o.Advertise, p.post, o.Seen); err != nil {
		return nil, err
	}
	p.net.digest = p.heard
	p.net.twice = func(other string) {
		p.mu.Lock()
		p.doubted = o.Clock.Now() + doubtFor
		p.mu.Unlock()
		p.twice(p.opt.Name, p.addr(), other)
	}
	p.net.run()
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.BindAddr, c.BindPort = o.Name, p.net, p.net.addr.ip.String(), p.net.addr.port
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval, c.TCPTimeout = probeEvery, probeWait, gossipEvery, streamWait
	c.DeadNodeReclaimTime, c.PushPullInterval = deadFor, stateEvery
	c.SuspicionMult, c.RetransmitMult, c.AwarenessMaxMultiplier = suspectFor, retransmit, mostCareful
	c.DisableTcpPings = true    // a handshake for each late answer, and digests need datagrams anyway
	c.EnableCompression = false // a writer's tables for each datagram: a quarter of the work, for a tenth of the bytes
	c.Delegate, c.Events, c.Conflict = delegate{p}, events{p}, events{p}
	c.LogOutput = lines{o.Log}
	if p.list, err = memberlist.Create(c); err != nil {
		_ = p.net.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	go p.join()
	p.mu.Lock()
	p.stop = o.Clock.After(o.Every, p.tick)
	p.mu.Unlock()
	return p, nil
}

// View reads the view in common.
func (p *Peers) View(read func(now float64, v *fleetview.View)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	read(p.opt.Clock.Now(), p.view)
}

func (p *Peers) addr() string {
	return net.JoinHostPort(p.net.addr.ip.String(), strconv.Itoa(p.net.addr.port))
}

// Ping asks a member and returns how long its answer took, in ms.
func (p *Peers) Ping(name string) (float64, error) {
	for _, n := range p.list.Members() {
		if n.Name != name {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp", n.Address())
		if err != nil {
			return 0, err
		}
		took, err := p.list.Ping(name, addr)
		return clock.Ms(took), err
	}
	return 0, fmt.Errorf("no member %q is alive", name)
}

// Close tells the others that this process leaves, and ends.
func (p *Peers) Close() {
	p.mu.Lock()
	over := p.closed
	p.closed = true
	p.stop()
	p.mu.Unlock()
	if over {
		return // memberlist panics on a second leave
	}
	_ = p.list.Leave(leaveFor)
	_ = p.list.Shutdown()
}
