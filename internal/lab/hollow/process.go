package hollow

import (
	"fmt"

	"ravenwheel/internal/decide/distribution"
)

// Role is the place of a process in the distribution tree. Its value is the process's rank there.
type Role uint8

// The roles, from the store outwards.
const (
	StoreMember     Role = iota // a member of the store, which is also a distributor of the first level
	Relay                       // a distributor between the store and the zones
	ZoneDistributor             // a distributor of a zone
	Proxy                       // a subscriber that distributes to nobody
	roleCount       = 4
)

var roleNames = [roleCount]string{"store", "relay", "distributor", "proxy"}

// String is the role's name in results.
func (r Role) String() string { return roleNames[r] }

// timerSlot identifies a timer of a process. For subscriber and distributor the stream's number is added to the slot.
type timerSlot uint8

const (
	slotSubscriber  timerSlot = 0
	slotDistributor timerSlot = 2
	slotMembership  timerSlot = 4
	slotReplication timerSlot = 5
	timerSlots                = 6
)

// process is one hollow process.
type process struct {
	id                 int32
	name               string
	role               Role
	region, zone, site int
	full               bool // applies what it receives, and does not only receive

	up, suspended, partitioned bool
	incarnation                uint32  // incremented at each end, so that events meant for an earlier one are dropped
	clockOffset                float64 // ms
	sendRate                   float64 // bytes a ms
	receiveRate                float64 // bytes a ms; 0: unlimited
	sendFreeAt                 float64 // when the last message has been sent
	unread                     []event // messages of a slow process
	connectableSince           float64 // since when the process can be expected to keep up; latency counts from then
	conns                      []*conn
	deferredEvents             []event // what arrived while the process was stopped
	timers                     [timerSlots]timer

	streams [streamCount]streamNode
	gates   [streamCount]*distribution.FreshnessGate // that a request would ask
	applied [streamCount]int                         // length of the prefix of each stream's log that is in effect
	omitted []omittedEntry
	applier *applier // nil: the process is not full

	persisted int // ModeDirect: length of the log on disk, which a restart keeps

	in, out                     traffic // since the end of the warm-up
	phaseInBytes, phaseOutBytes int64   // since the start of the phase
}

// traffic counts one direction.
type traffic struct{ Bytes, Messages int64 }

// streamNode is one stream's subscriber and distributor with their connections.
type streamNode struct {
	relay           *distribution.Relay // a Store has a Distributor only, a Proxy a Subscriber only
	upstreamConns   map[distribution.Link]*conn
	subscriberConns map[distribution.Link]*conn
	lastLink        distribution.Link // that was given to a subscriber
}

// timer fires once, at its last setting. Its scheduled event may be of an earlier setting.
type timer struct {
	due         float64 // 0: not set
	scheduledAt float64 // time of the scheduled event; 0: none
}

// peer describes the process to the distribution's deciders.
func (p *process) peer() distribution.Peer {
	return distribution.Peer{
		Name:   p.name,
		Rank:   int(p.role),
		Region: fmt.Sprint("r", p.region),
		Zone:   fmt.Sprint("z", p.zone),
		Site:   fmt.Sprint("s", p.zone, "-", p.site),
	}
}

// running reports whether the process handles events.
func (p *process) running() bool { return p.up && !p.suspended }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
