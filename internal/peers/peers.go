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
	"ravenwheel/internal/memory"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// leaveTimeout is how long Close waits at most until the other processes have been told that this one leaves.
const leaveTimeout = 500 * time.Millisecond

// Options configure Peers. Times are in ms.
type Options struct {
	Name             string
	Listen           string            // address for UDP and TCP
	Advertise        string            // address that is announced to other processes; empty: Listen
	Seeds            []string          // addresses of any other processes, as this process reaches them
	AddressOverrides map[string]string // by name: addresses at which this process reaches others, if not at their advertised ones
	Zone, Region     string
	DigestInterval   float64 // between two digests
	Dir              string  // where the incarnation and members are stored; empty: nowhere, and the incarnation is the start time
	Identity         *store.Identity
	Clock            *clock.Clock
	Log              *logs.Log
	Memory           *memory.Account // on which streams of other processes draw; nil: not limited
	// Totals returns what this process has counted since it started.
	Totals func() (arrivals uint64, servers map[policy.ServerID]fleetview.Totals)
	// Objects returns the objects that were requested since the last call.
	Objects func() []uint64
}

// Peers holds this process's membership in the fleet and exchanges digests with the other members. Use Start.
type Peers struct {
	options    Options
	sealer     *sealer
	transport  *transport
	memberlist *memberlist.Memberlist

	mu               sync.Mutex
	view             *fleetview.View
	collector        *fleetview.Collector
	sketch           *fleetview.Sketch
	rng              *rand.Rand
	members          map[string]*Member
	aliveCount       int    // members that are alive
	aliveFingerprint uint64 // fingerprint of the members that are alive, see memberHash
	closed           bool
	cancelTick       func() // cancels the next digest

	rejoinState
	conflictReportedAt map[string]float64 // time of the last report of a name conflict, in ms, by name

	// RejectedDigests counts digests that were not merged, or not completely, because they were malformed, in the name of another
	// process, or over a limit of the view.
	RejectedDigests atomic.Int64
}

// Start joins the other processes. It is not an error if none of them answers, because the first process of a fleet is alone. Start
// returns an error if the incarnation can't be stored in Options.Dir or the address can't be used.
func Start(o Options) (*Peers, error) {
	incarnation, err := nextIncarnation(o.Dir, uint64(o.Clock.Now()))
	if err != nil {
		return nil, err
	}
	p := &Peers{
		options: o, sealer: newSealer(o.Identity, o.Clock, incarnation),
		view:      fleetview.New(o.Name, fleetview.DefaultSettings()),
		sketch:    fleetview.NewSketch(sketchSize),
		collector: &fleetview.Collector{From: o.Name, Zone: o.Zone, Incarnation: incarnation, Window: rateWindow},
		rng:       rand.New(rand.NewPCG(incarnation, uint64(len(o.Name)))),
		members:   map[string]*Member{}, cancelTick: func() {},
		rejoinState: rejoinState{remembered: loadRemembered(o.Dir)}, conflictReportedAt: map[string]float64{},
	}
	if p.transport, err = listen(o, p.sealer); err != nil {
		return nil, err
	}
	p.transport.onDigest, p.transport.onNameConflict = p.receiveDigest, p.receiveNameConflict
	p.transport.run()
	if p.memberlist, err = memberlist.Create(p.memberlistConfig()); err != nil {
		_ = p.transport.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	go p.rejoin()
	p.mu.Lock()
	p.cancelTick = o.Clock.After(o.DigestInterval, p.publishDigest)
	p.mu.Unlock()
	return p, nil
}

// View calls read with the current time in ms and the view of the fleet, which stays locked until read returns.
func (p *Peers) View(read func(now float64, v *fleetview.View)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	read(p.options.Clock.Now(), p.view)
}

// address returns the address that is announced to other processes.
func (p *Peers) address() string {
	return net.JoinHostPort(p.transport.advertised.ip.String(), strconv.Itoa(p.transport.advertised.port))
}

// Ping probes a member and returns how long its answer took, in ms. It fails if no member of that name is alive or if the member
// does not answer.
func (p *Peers) Ping(name string) (float64, error) {
	for _, n := range p.memberlist.Members() {
		if n.Name != name {
			continue
		}
		address, err := net.ResolveUDPAddr("udp", n.Address())
		if err != nil {
			return 0, err
		}
		took, err := p.memberlist.Ping(name, address)
		return clock.Ms(took), err
	}
	return 0, fmt.Errorf("no member %q is alive", name)
}

// Close tells the other processes that this one leaves, and stops all exchange with them.
func (p *Peers) Close() {
	p.mu.Lock()
	closed := p.closed
	p.closed = true
	p.cancelTick()
	p.mu.Unlock()
	if closed {
		return // memberlist panics on a second leave
	}
	_ = p.memberlist.Leave(leaveTimeout)
	_ = p.memberlist.Shutdown()
}
