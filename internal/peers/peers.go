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
	Name             string
	Listen           string            // UDP and TCP
	Advertise        string            // the address that others are told; empty: Listen
	Seeds            []string          // addresses of any others, as seen from here
	AddressOverrides map[string]string // addresses of others as seen from here, by name, where that is not what they tell
	Zone, Region     string
	DigestInterval   float64 // between two digests
	Dir              string  // where starts are counted; empty: by the clock alone
	Identity         *store.Identity
	Clock            *clock.Clock
	Log              *logs.Log
	// Totals are what this process counted so far; Objects those asked for since the last call.
	Totals  func() (arrivals uint64, servers map[policy.CacheID]fleetview.Totals)
	Objects func() []uint64
}

// Peers is this process among the others.
type Peers struct {
	options    Options
	sealer     *sealer
	transport  *transport
	memberlist *memberlist.Memberlist

	mu                 sync.Mutex
	view               *fleetview.View
	collector          *fleetview.Collector
	sketch             *fleetview.Sketch
	rng                *rand.Rand
	members            map[string]*Member
	aliveCount         int    // of these
	aliveSet           uint64 // of the alive
	agreeing           int    // digests, since the last join, of those who take the same members for alive
	disagreeing        int    // and of those who do not
	joins              int
	stateRequests      int     // of whole states, since most agreed with this process
	nextStateRequestAt float64 // from when on it may ask again
	closed             bool
	remembered         rememberedMembers
	conflictReportedAt map[string]float64 // when two of a name were told of last
	nameDoubtedUntil   float64            // until when this process asks again, as another has its name or had it
	cancelTick         func()             // of the next tick

	// Refused counts digests that were read and not taken: from another than they say, too large, or over a bound.
	RejectedDigests atomic.Int64
}

// Pace of the protocol, and its bounds.
const (
	// probeEvery, probeWait: one member is asked in each interval, so that each is asked by someone about as often. Of 300 a
	// third must be found gone within ten seconds, and suspicion alone takes suspectFor times the interval times the decades of
	// the fleet's size: 5 s. With half a second and 250 ms, which a busy machine misses, 300 on one machine suspected each other
	// for good: what they told of it, twelve times each, took the time in which they would have answered.
	probeInterval, probeTimeout = 700 * time.Millisecond, 400 * time.Millisecond
	suspicionMultiplier         = 3
	// mostCareful: one whose questions stay unanswered takes itself for slow, and asks up to so many times more slowly. With
	// memberlist's 8 a third that were gone made all others ask every four seconds.
	maxAwarenessMultiplier = 3
	// retransmit: news is told so many times the decades of the fleet's size by each. With 2 the last of 200 heard of a third
	// that was gone by asking, after 15 to 17 s; with 4 after 13 s.
	retransmitMultiplier = 4
	gossipInterval       = 100 * time.Millisecond
	streamTimeout        = 5 * time.Second
	// stateEvery: whole states are exchanged with one other, memberlist stretches it by the fleet's size. Gossip tells the
	// news and the seeds are asked after a cut: it is for what both lost.
	pushPullInterval = time.Minute
	// deadFor: one that is gone may come back under its name at another address after that.
	nameReclaimTime = 5 * time.Second
	// window of rates, ms.
	rateWindow = 3000
	// zoneMost peers of this zone are told each tick, and farMost of others, drawn anew: what one process sends does not
	// grow with the fleet.
	maxZoneTargets, maxRemoteTargets = 16, 2
	// chunk of servers in one datagram.
	maxServersPerDatagram = 32
	// heavySize, heavyTold of the sketch of objects; heavyFade what is left of a count after a tick.
	sketchSize, maxObjects, sketchDecay = 64, 4, 0.75
	// heavyLeast: an object that is asked for less often, a second, here is not told of.
	minObjectRate = 0.5
	// rejoinEvery: seeds that are not in sight, and others where need is, are asked again. Where need is, after askFirst at
	// first, and twice as long each time, mostDoubled times.
	rejoinInterval         = 5000.0
	firstStateRequestDelay = 4000.0
	maxDoublings           = 5
	// earlyJoins: so often a new process asks anyway: what gossip brought it before it knew the senders' keys was dropped,
	// and is not told again.
	earlyRejoins = 3
	// mostGone members that are gone are remembered for operators.
	maxMembers   = 1024
	leaveTimeout = 500 * time.Millisecond
)

// meta is what a member tells of itself.
type memberMeta struct {
	_            struct{} `cbor:",toarray"`
	Zone, Region string
}

// Start joins the others; that nobody answers is no error, as the first one is alone.
func Start(o Options) (*Peers, error) {
	start, err := nextIncarnation(o.Dir, uint64(o.Clock.Now()))
	if err != nil {
		return nil, err
	}
	p := &Peers{
		options: o, sealer: newSealer(o.Identity, o.Clock, start), view: fleetview.New(o.Name, fleetview.DefaultSettings()), sketch: fleetview.NewSketch(sketchSize),
		collector: &fleetview.Collector{From: o.Name, Zone: o.Zone, Incarnation: start, Window: rateWindow},
		rng:       rand.New(rand.NewPCG(start, uint64(len(o.Name)))), members: map[string]*Member{}, cancelTick: func() {}, remembered: loadRemembered(o.Dir),
		conflictReportedAt: map[string]float64{},
	}
	if p.transport, err = listen(o.Listen, o.Advertise, p.sealer, o.AddressOverrides); err != nil {
		return nil, err
	}
	p.transport.onDigest = p.receiveDigest
	p.transport.onNameConflict = func(other string) {
		p.mu.Lock()
		p.nameDoubtedUntil = o.Clock.Now() + nameDoubtTime
		p.mu.Unlock()
		p.reportNameConflict(p.options.Name, p.address(), other)
	}
	p.transport.run()
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.BindAddr, c.BindPort = o.Name, p.transport, p.transport.advertised.ip.String(), p.transport.advertised.port
	c.ProbeInterval, c.ProbeTimeout, c.GossipInterval, c.TCPTimeout = probeInterval, probeTimeout, gossipInterval, streamTimeout
	c.DeadNodeReclaimTime, c.PushPullInterval = nameReclaimTime, pushPullInterval
	c.SuspicionMult, c.RetransmitMult, c.AwarenessMaxMultiplier = suspicionMultiplier, retransmitMultiplier, maxAwarenessMultiplier
	c.DisableTcpPings = true    // a handshake for each late answer, and digests need datagrams anyway
	c.EnableCompression = false // a writer's tables for each datagram: a quarter of the work, for a tenth of the bytes
	c.Delegate, c.Events, c.Conflict = delegate{p}, events{p}, events{p}
	c.LogOutput = logWriter{o.Log}
	if p.memberlist, err = memberlist.Create(c); err != nil {
		_ = p.transport.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	go p.rejoin()
	p.mu.Lock()
	p.cancelTick = o.Clock.After(o.DigestInterval, p.publishDigest)
	p.mu.Unlock()
	return p, nil
}

// View reads the view in common.
func (p *Peers) View(read func(now float64, v *fleetview.View)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	read(p.options.Clock.Now(), p.view)
}

func (p *Peers) address() string {
	return net.JoinHostPort(p.transport.advertised.ip.String(), strconv.Itoa(p.transport.advertised.port))
}

// Ping asks a member and returns how long its answer took, in ms.
func (p *Peers) Ping(name string) (float64, error) {
	for _, n := range p.memberlist.Members() {
		if n.Name != name {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp", n.Address())
		if err != nil {
			return 0, err
		}
		took, err := p.memberlist.Ping(name, addr)
		return clock.Ms(took), err
	}
	return 0, fmt.Errorf("no member %q is alive", name)
}

// Close tells the others that this process leaves, and ends.
func (p *Peers) Close() {
	p.mu.Lock()
	over := p.closed
	p.closed = true
	p.cancelTick()
	p.mu.Unlock()
	if over {
		return // memberlist panics on a second leave
	}
	_ = p.memberlist.Leave(leaveTimeout)
	_ = p.memberlist.Shutdown()
}
