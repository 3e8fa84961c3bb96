// Package multiprocess runs many real proxy processes on loopback, with stand-ins for everything they talk to: cache servers,
// parents, the origin, the discovery service and clients. It injects faults on a timeline and checks the proxy's rules against
// what the stand-ins and clients observed, never against what a process reports about itself. It needs no privileges, and it
// signals only processes that it started. "ravenlab field" plays its scenarios.
package multiprocess

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/load"
	"ravenwheel/policy"
)

// Options configure a Cluster.
type Options struct {
	Program          string // path of the proxy's binary
	Dir              string // for configurations, keys and logs
	Seed             uint64
	Zones            int // number of zones with clients, caches and processes; the parents and the origin are in one more zone
	ProcessesPerZone int
	CachesPerZone    int
	Parents          int
	// TransferTime and FillTime have the meaning of fleet.Options, in ms.
	TransferTime, FillTime float64
	Classes                []load.Class // empty: DefaultClasses
	Objects                int          // number of objects that clients request; 0: defaultObjects
	Peers                  bool         // processes gossip with each other, with those of other zones through relays
}

// DefaultClasses are the classes of requests where Options set none.
var DefaultClasses = []load.Class{
	{Name: "replay", Fraction: 0.5, DeadlineMs: 5000, PartsPerObject: 6}, {Name: "asset", Fraction: 0.45, DeadlineMs: 2500, PartsPerObject: 1},
	{Name: "seat-claim", Fraction: 0.05, DeadlineMs: 3000, Write: true, PartsPerObject: 1},
}

// defaultObjects is the number of objects where Options set none.
const defaultObjects = 300

// Cluster is a set of proxy processes with the stand-ins around them.
type Cluster struct {
	options   Options
	addresses addressRange

	Clock     *clock.Clock
	Fleet     *fleet.Fleet
	Discovery *fleet.DiscoveryService
	// DiscoveryListener is where the processes reach the discovery service. MoveDiscovery replaces it.
	DiscoveryListener *fleet.DiscoveryListener

	Processes []*Process

	mu            sync.Mutex
	members       []membership.Member  // as the discovery service lists them
	notifications []fleet.Notification // of drains and purges, which processes have to follow
	nextCache     policy.ServerID      // id of the next cache that is started
	relays        []map[string]*relay  // by sending zone, then by name of the receiving process
	clients       map[*Process]*load.Client
}

// Times in ms that processes are configured with, and by which the rules are checked.
const (
	drainGrace = 2000.0 // after a process learned that a server drains
	purgeGrace = 1000.0 // after a process learned of a purge
	purgeDelay = 6000.0 // until servers drop copies that were purged
	ruleSlack  = 100.0  // added to the grace periods when rules are checked
	// notificationTimeout is the time after which a process has to follow an event of the discovery service, whether the event
	// reached the process or not.
	notificationTimeout = 7000.0
)

// The kinds of servers, as indices of Cluster.kinds.
const (
	kindCache  = 0
	kindParent = 1
	kindOrigin = 2
)

// The ids of parents and origin. Caches are numbered from 1.
const (
	firstParent = 10_000
	originID    = 20_000
)

// The weights of servers, relative to each other.
const (
	cacheWeight = 40
	hubWeight   = 400 // of parents and the origin
)

// ReadyTimeout bounds how long a process may take to become ready or to exit. It is long, since it only ends tests that hang.
const ReadyTimeout = 2 * time.Minute

// kinds returns the names of the kinds of servers, by index.
func (c *Cluster) kinds() []string { return []string{"small", "parent", "origin"} }

// zones returns the names of the zones. The last one is that of the parents and the origin.
func (c *Cluster) zones() (names []string) {
	for zone := range c.options.Zones {
		names = append(names, fmt.Sprintf("zone-%d", zone))
	}
	return append(names, "hub")
}

// New starts the stand-ins and writes the processes' configurations. The processes do not run until Start is called.
func New(o Options) (*Cluster, error) {
	if len(o.Classes) == 0 {
		o.Classes = DefaultClasses
	}
	if o.Objects <= 0 {
		o.Objects = defaultObjects
	}
	c := &Cluster{options: o, addresses: newAddressRange(), Clock: clock.System(), nextCache: 1, clients: map[*Process]*load.Client{}}
	c.Fleet = fleet.New(fleet.Options{Clock: c.Clock, TransferTime: o.TransferTime, FillTime: o.FillTime, PurgeDelay: purgeDelay})
	if err := c.startServers(); err != nil {
		return nil, err
	}
	var err error
	c.Discovery = fleet.NewDiscoveryService(c.Clock, c.zones(), c.kinds(), c.members)
	if c.DiscoveryListener, err = c.Discovery.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	if err := c.addProcesses(); err != nil {
		return nil, err
	}
	if o.Peers {
		if err := c.configurePeers(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// startServers starts the stand-ins of caches, parents and origin.
func (c *Cluster) startServers() error {
	for zone := range c.options.Zones {
		for range c.options.CachesPerZone {
			if err := c.addServer(c.nextCache, fleet.Cache, zone); err != nil {
				return err
			}
			c.nextCache++
		}
	}
	hubZone := c.options.Zones
	for i := range c.options.Parents {
		if err := c.addServer(policy.ServerID(firstParent+i), fleet.Parent, hubZone); err != nil {
			return err
		}
	}
	return c.addServer(originID, fleet.Origin, hubZone)
}

// addServer starts a stand-in and lists it as a member with a start time long ago, so that processes consider it warm.
func (c *Cluster) addServer(id policy.ServerID, role fleet.Role, zone int) error {
	m, err := c.startServer(id, role, zone, 0)
	if err != nil {
		return err
	}
	c.members = append(c.members, m)
	return nil
}

// startServer starts a stand-in and returns its entry for the endpoint list. started is in ms of Unix time; 0 means long ago.
func (c *Cluster) startServer(id policy.ServerID, role fleet.Role, zone int, started float64) (m membership.Member, err error) {
	server, err := c.Fleet.Start(id, role, c.addresses.ip(zone, serverHost)+":0")
	if err != nil {
		return m, err
	}
	m.Addr = server.Addr()
	m.ID, m.Kind, m.Zone, m.Weight, m.Started = id, int(role), zone, cacheWeight, clock.Duration(started)
	if role != fleet.Cache {
		m.Weight = hubWeight
	}
	return m, nil
}

// addProcesses assigns names and addresses to the processes and writes their configurations.
func (c *Cluster) addProcesses() error {
	for zone := range c.options.Zones {
		for i := range c.options.ProcessesPerZone {
			p := &Process{Name: fmt.Sprintf("z%d-n%d", zone, i), Zone: zone, program: c.options.Program}
			p.dir = filepath.Join(c.options.Dir, p.Name)
			if err := os.MkdirAll(p.dir, 0o700); err != nil {
				return err
			}
			var err error
			if p.Listen, err = unusedPort(c.addresses.ip(zone, i+1)); err != nil {
				return err
			}
			if err := c.configure(p, c.DiscoveryListener.Addr()); err != nil {
				return err
			}
			c.Processes = append(c.Processes, p)
		}
	}
	return nil
}

// Close kills the processes and closes clients, relays and stand-ins.
func (c *Cluster) Close() {
	for _, p := range c.Processes {
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range c.Processes {
		_ = p.WaitExit(ReadyTimeout)
	}
	for _, client := range c.clients {
		client.Close()
	}
	for _, relays := range c.relays {
		for _, r := range relays {
			r.close()
		}
	}
	c.DiscoveryListener.Close()
	c.Fleet.Close()
}
