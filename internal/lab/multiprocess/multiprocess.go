// Package multiprocess runs many real processes of the program on loopback, with stand-ins for all that they speak to: caches,
// parents, the origin, the notice board and clients. Faults are brought upon them from a timeline, and what must hold is
// checked by what stand-ins and clients saw, never by what a process says of itself. It needs no privileges; every
// process is ended by its own id.
package multiprocess

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/load"
	"ravenwheel/policy"
)

// Options set up a field.
type Options struct {
	Bin       string // the program
	Dir       string // for configurations and logs
	Seed      uint64
	Zones     int // with clients, caches and processes; the parents and the origin have one of their own
	Processes int // in a zone
	Caches    int // in a zone
	Parents   int
	// Serve and Fill are as in fleet.Options.
	Serve, Fill float64
	Classes     []load.Class // empty: Classes
	Objects     int          // that clients draw from; 0: 300
	Peers       bool         // processes know each other; those of other zones through relays
}

// Classes are what clients ask for where nothing else is said.
var Classes = []load.Class{
	{Name: "replay", Fraction: 0.5, DeadlineMs: 5000, PartsPerObject: 6}, {Name: "asset", Fraction: 0.45, DeadlineMs: 2500, PartsPerObject: 1},
	{Name: "seat-claim", Fraction: 0.05, DeadlineMs: 3000, Write: true, PartsPerObject: 1},
}

// Field is all of it.
type Field struct {
	opt    Options
	number int
	Clock  *clock.Clock
	Fleet  *fleet.Fleet
	Board  *fleet.DiscoveryService
	Door   *fleet.DiscoveryListener // the board's first address

	Processes []*Process

	mu      sync.Mutex
	members []membership.Member // as the board has them
	told    []fleet.Notification
	next    policy.CacheID
	relays  []map[string]*relay // by zone that sends, and by who is sent to
	clients map[*Process]*load.Client
}

// The graces that processes are told, in ms, and the slack with which stand-ins hold them to it.
const (
	drainGrace, purgeGrace, purgeTakes = 2000.0, 1000.0, 6000.0
	ruleSlack                          = 100.0
	// toldWithin: what the board has to tell counts as told by then, whether it arrived or not.
	toldWithin = 7000.0
)

const (
	kindCache, kindParent, kindOrigin = 0, 1, 2
	firstParent, onlyOrigin           = 10_000, 20_000
	// startAtOnce: processes that start at the same time, a core.
	startAtOnce = 4
	// ReadyWithin bounds how long a process may take to be ready. It is patience, no measure of speed.
	ReadyWithin = 2 * time.Minute
)

func (f *Field) kinds() []string { return []string{"small", "parent", "origin"} }

// zones: the last one is that of parents and origin.
func (f *Field) zones() (names []string) {
	for z := range f.opt.Zones {
		names = append(names, fmt.Sprintf("zone-%d", z))
	}
	return append(names, "hub")
}

// New brings up the stand-ins and writes the processes' configurations; Start starts them.
func New(o Options) (*Field, error) {
	if len(o.Classes) == 0 {
		o.Classes = Classes
	}
	if o.Objects <= 0 {
		o.Objects = 300
	}
	f := &Field{opt: o, number: int(fields.Add(1)), Clock: clock.System(), next: 1, clients: map[*Process]*load.Client{}}
	f.Fleet = fleet.New(fleet.Options{Clock: f.Clock, TransferTime: o.Serve, FillTime: o.Fill, PurgeDelay: purgeTakes})
	var list []membership.Member
	for z := range o.Zones {
		for range o.Caches {
			m, err := f.stand(f.next, fleet.Cache, z, 0)
			if err != nil {
				return nil, err
			}
			f.next++
			list = append(list, m)
		}
	}
	for i := range o.Parents {
		m, err := f.stand(policy.CacheID(firstParent+i), fleet.Parent, o.Zones, 0)
		if err != nil {
			return nil, err
		}
		list = append(list, m)
	}
	m, err := f.stand(onlyOrigin, fleet.Origin, o.Zones, 0)
	if err != nil {
		return nil, err
	}
	f.members = append(list, m)
	f.Board = fleet.NewDiscoveryService(f.Clock, f.zones(), f.kinds(), f.members)
	if f.Door, err = f.Board.Open("127.0.0.1:0"); err != nil {
		return nil, err
	}
	for z := range o.Zones {
		for i := range o.Processes {
			p := &Process{Name: fmt.Sprintf("z%d-n%d", z, i), Zone: z, bin: o.Bin}
			p.dir = filepath.Join(o.Dir, p.Name)
			if err := os.MkdirAll(p.dir, 0o700); err != nil {
				return nil, err
			}
			// An address of its own: nothing else takes its port between two starts.
			if p.Listen, err = freeAt(f.address(z, i+1)); err != nil {
				return nil, err
			}
			if err := f.configure(p, f.Door.Addr()); err != nil {
				return nil, err
			}
			f.Processes = append(f.Processes, p)
		}
	}
	if o.Peers {
		if err := f.setPeers(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// address is one that nobody else on this machine uses: a port there is free again once its holder has ended.
func (f *Field) address(zone, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+(os.Getpid()*5+f.number)%64, zone+1, host)
}

// fields counts those of this process: each has addresses of its own.
var fields atomic.Int64

// freeAt is an address with a port from the kernel.
func freeAt(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// stand brings up one stand-in, as it is told of; started in Unix ms, 0: long ago.
func (f *Field) stand(id policy.CacheID, role fleet.Role, zone int, started float64) (m membership.Member, err error) {
	s, err := f.Fleet.Start(id, role, f.address(zone, 250)+":0")
	if err != nil {
		return m, err
	}
	m.Addr = s.Addr()
	m.ID, m.Kind, m.Zone, m.Weight, m.Started = id, int(role), zone, 40, clock.Duration(started)
	if role != fleet.Cache {
		m.Weight = 400
	}
	return m, nil
}

// Close ends every process and stand-in.
func (f *Field) Close() {
	for _, p := range f.Processes {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range f.Processes {
		_ = p.End(ReadyWithin)
	}
	for _, c := range f.clients {
		c.Close()
	}
	for _, to := range f.relays {
		for _, r := range to {
			r.close()
		}
	}
	f.Door.Close()
	f.Fleet.Close()
}
