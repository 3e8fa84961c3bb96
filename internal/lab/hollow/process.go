package hollow

import (
	"fmt"

	"ravenwheel/internal/decide/distribution"
)

// Role is what a process is there for.
type Role uint8

// The roles, from the store outwards.
const (
	Store     Role = iota // a member of the store, and a distributor of the first level
	Relay                 // a distributor between the store and the zones
	Zone                  // a distributor of a zone
	Proxy                 // none below it
	roleCount = 4
)

// roleNames as results have them.
var roleNames = [roleCount]string{"store", "relay", "distributor", "proxy"}

// String names the role.
func (r Role) String() string { return roleNames[r] }

// Timers of a process: of the subscriber and the distributor of each stream, of its ledger, and of today's way.
const (
	slotSubscriber  = 0 // and the next, by stream
	slotDistributor = 2 // and the next
	slotLedger      = 4
	slotDirect      = 5
	timerSlots      = 6
)

// process is one hollow process: what control traffic uses, and where it stands.
type process struct {
	id                 int32
	name               string
	role               Role
	region, zone, site int
	full               bool // holds all that a process holds

	up, stopped, partitioned bool
	incarnation              uint32  // counted up at each start, so that what was meant for an earlier one is dropped
	offset                   float64 // ms, of its clock
	sendRate                 float64 // bytes a ms
	receiveRate              float64 // bytes a ms; 0: without bound
	sendFreeAt               float64
	unread                   []event // while it is slow
	followableSince          float64 // since when it can be expected to follow; what was committed before counts from then
	conns                    []*conn
	inbox                    []event // while it is stopped
	timers                   [timerSlots]timer

	streams  [2]streamNode
	gates    [2]*distribution.FreshnessGate // what requests go by
	applied  [2]int                         // place in the log of each stream: all before it is in force
	omitted  []omittedEntry                 // what was left out of a batch, as something later covers it
	applier  *applier
	follower follower // today's way

	in, out                     flow // since the start
	phaseInBytes, phaseOutBytes int64
}

// flow counts one way.
type flow struct{ Bytes, Messages int64 }

// side is one stream's machines.
type streamNode struct {
	relay           *distribution.Relay // of a Store the Distributor alone is used, of a Proxy the Subscriber alone
	upstreamConns   map[distribution.Link]*conn
	subscriberConns map[distribution.Link]*conn
	lastLink        distribution.Link
}

// timer is one of which only the last setting counts. The event that is out may be for an earlier one: it is put off then.
type timer struct {
	due         float64 // 0: none
	scheduledAt float64 // when the event that is out comes; 0: none is
}

// peer is the process as the machines know it.
func (p *process) peer() distribution.Peer {
	rank := int(p.role)
	return distribution.Peer{
		Name: p.name, Rank: rank, Region: fmt.Sprint("r", p.region), Zone: fmt.Sprint("z", p.zone), Site: fmt.Sprint("s", p.zone, "-", p.site),
	}
}

// running tells whether a process does anything.
func (p *process) running() bool { return p.up && !p.stopped }

// fleet makes the processes of a size: the store spread over the regions, relays in each region, and zones filled evenly.
func (sim *simulation) buildFleet(n int) {
	s := sim.scenario
	add := func(role Role, region, zone, site int) *process {
		p := &process{id: int32(len(sim.processes)), role: role, region: region, zone: zone, site: site, up: true, incarnation: 1}
		p.name = fmt.Sprintf("%s-%d", role, p.id)
		p.sendRate = s.OutKBPerS * 1000 / 1000
		sim.processes = append(sim.processes, p)
		sim.byName[p.name] = p
		sim.byRole[role] = append(sim.byRole[role], p)
		return p
	}
	for i := range s.Voters {
		add(Store, i%s.Regions, -1-i%s.Regions, 0)
	}
	for r := range s.Regions {
		for i := range s.RegionRelays {
			add(Relay, r, -1-r, i)
		}
	}
	rest := n - len(sim.processes)
	sim.zones = max(s.Regions, (rest+s.ZoneProcesses-1)/s.ZoneProcesses)
	for z := range sim.zones {
		here := rest/sim.zones + boolToInt(z < rest%sim.zones)
		distributors := max(2, (here+s.ProxiesPerDistributor)/(s.ProxiesPerDistributor+1))
		for i := range here {
			role := Proxy
			if i < distributors {
				role = Zone
			}
			add(role, z%s.Regions, z, i%sitesPerZone)
		}
	}
	step := 1.0
	if s.FullProxies > 0 {
		step = max(1, float64(len(sim.byRole[Proxy]))/float64(s.FullProxies))
	}
	for _, p := range sim.processes {
		p.full = p.role != Proxy
	}
	for at := 0.0; int(at) < len(sim.byRole[Proxy]); at += step {
		sim.byRole[Proxy][int(at)].full = true
	}
}

// sites in a zone.
const sitesPerZone = 2

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
