package hollow

import (
	"fmt"

	"ravenwheel/internal/decide/distribution"
)

// Role is what a process is there for.
type Role uint8

// The roles, from the store outwards.
const (
	Store  Role = iota // a member of the store, and a distributor of the first level
	Relay              // a distributor between the store and the zones
	Zone               // a distributor of a zone
	Proxy              // none below it
	nRoles = 4
)

// roleNames as results have them.
var roleNames = [nRoles]string{"store", "relay", "distributor", "proxy"}

// String names the role.
func (r Role) String() string { return roleNames[r] }

// Timers of a process: of the subscriber and the distributor of each stream, of its ledger, and of today's way.
const (
	slotSubscriber  = 0 // and the next, by stream
	slotDistributor = 2 // and the next
	slotLedger      = 4
	slotDirect      = 5
	nSlots          = 6
)

// process is one hollow process: what control traffic uses, and where it stands.
type process struct {
	id                 int32
	name               string
	role               Role
	region, zone, site int
	whole              bool // holds all that a process holds

	up, stopped, cut bool
	life             uint32  // counted up at each start, so that what was meant for an earlier one is dropped
	offset           float64 // ms, of its clock
	outRate          float64 // bytes a ms
	inRate           float64 // bytes a ms; 0: without bound
	outFree          float64
	unread           []event // while it is slow
	since            float64 // since when it can be expected to follow; what was committed before counts from then
	conns            []*conn
	inbox            []event // while it is stopped
	timers           [nSlots]timer

	sides   [2]side
	gates   [2]*distribution.FreshnessGate // what requests go by
	next    [2]int                         // place in the log of each stream: all before it is in force
	owed    []owed                         // what was left out of a batch, as something later covers it
	applier *applier
	follow  follower // today's way

	in, out         flow // since the start
	phaseIn, phaseO int64
}

// flow counts one way.
type flow struct{ Bytes, Messages int64 }

// side is one stream's machines.
type side struct {
	relay *distribution.Relay // of a Store the Distributor alone is used, of a Proxy the Subscriber alone
	links map[distribution.Link]*conn
	below map[distribution.Link]*conn
	last  distribution.Link
}

// timer is one of which only the last setting counts. The event that is out may be for an earlier one: it is put off then.
type timer struct {
	due float64 // 0: none
	out float64 // when the event that is out comes; 0: none is
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
func (w *world) fleet(n int) {
	s := w.spec
	add := func(role Role, region, zone, site int) *process {
		p := &process{id: int32(len(w.processes)), role: role, region: region, zone: zone, site: site, up: true, life: 1}
		p.name = fmt.Sprintf("%s-%d", role, p.id)
		p.outRate = s.OutKBPerS * 1000 / 1000
		w.processes = append(w.processes, p)
		w.byName[p.name] = p
		w.byRole[role] = append(w.byRole[role], p)
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
	rest := n - len(w.processes)
	w.zones = max(s.Regions, (rest+s.ZoneProcesses-1)/s.ZoneProcesses)
	for z := range w.zones {
		here := rest/w.zones + boolean(z < rest%w.zones)
		distributors := max(2, (here+s.PerDistributor)/(s.PerDistributor+1))
		for i := range here {
			role := Proxy
			if i < distributors {
				role = Zone
			}
			add(role, z%s.Regions, z, i%sites)
		}
	}
	step := 1.0
	if s.Whole > 0 {
		step = max(1, float64(len(w.byRole[Proxy]))/float64(s.Whole))
	}
	for _, p := range w.processes {
		p.whole = p.role != Proxy
	}
	for at := 0.0; int(at) < len(w.byRole[Proxy]); at += step {
		w.byRole[Proxy][int(at)].whole = true
	}
}

// sites in a zone.
const sites = 2

func boolean(b bool) int {
	if b {
		return 1
	}
	return 0
}
