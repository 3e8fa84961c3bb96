package hollow

import (
	"fmt"

	"ravenwheel/internal/decide/distribution"
)

// Role is the function of a process in the distribution tree. Its value is the process's rank in the tree.
type Role uint8

// The roles, from the store outwards.
const (
	StoreMember     Role = iota // a member of the store, which is also a distributor of the first level
	Relay                       // a distributor of a region, between the store and the zones
	ZoneDistributor             // a distributor of a zone
	Proxy                       // a subscriber that is no distributor
	roleCount       = 4
)

var roleNames = [roleCount]string{"store", "relay", "distributor", "proxy"}

// String returns the role's name in results.
func (r Role) String() string { return roleNames[r] }

// timerSlot identifies a timer of a process. The number of the stream is added to slotSubscriber and slotDistributor.
type timerSlot uint8

const (
	slotSubscriber  timerSlot = 0
	slotDistributor timerSlot = 2
	slotMembership  timerSlot = 4
	slotReplication timerSlot = 5
	timerSlots                = 6
)

// process is one simulated process.
type process struct {
	id                 int32
	name               string
	role               Role
	region, zone, site int
	full               bool // applies what it receives, and does not only receive

	up, suspended, partitioned bool
	incarnation                uint32  // incremented by kill, so that events for an earlier incarnation are dropped
	clockOffset                float64 // ms
	sendRate                   float64 // bytes per ms
	receiveRate                float64 // bytes per ms; 0: unlimited
	sendFreeAt                 float64 // virtual ms at which the last message has been sent
	unread                     []event // messages that a slow process has yet to read
	connectableSince           float64 // virtual ms from which on the process can be expected to keep up; latency counts from then
	conns                      []*conn
	deferredEvents             []event // messages and timers that fell due while the process was suspended
	timers                     [timerSlots]timer

	streams [streamCount]streamNode
	gates   [streamCount]*distribution.FreshnessGate // that requests would consult
	applied [streamCount]int                         // length of the prefix of each stream's log that the process has applied
	omitted []omittedEntry
	applier *applier // nil: the process is not full

	persisted int // ModeDirect: length of the log on disk, which a restart keeps

	in, out                     traffic // since the end of the warm-up
	phaseInBytes, phaseOutBytes int64   // since the start of the phase
}

// traffic counts what a process has sent, or what it has received.
type traffic struct{ Bytes, Messages int64 }

// streamNode holds a process's subscriber and distributor of one stream, with their connections.
type streamNode struct {
	relay           *distribution.Relay // a StoreMember has only a Distributor, a Proxy only a Subscriber
	upstreamConns   map[distribution.Link]*conn
	subscriberConns map[distribution.Link]*conn
	lastLink        distribution.Link // last link number assigned to a subscriber
}

// timer fires once, at the time that was set last. Its scheduled event may stem from an earlier setting. Times are virtual, in ms.
type timer struct {
	due         float64 // 0: not set
	scheduledAt float64 // time of the scheduled event; 0: none
}

// peer describes the process to the deciders of internal/decide/distribution.
func (p *process) peer() distribution.Peer {
	return distribution.Peer{
		Name:   p.name,
		Rank:   int(p.role),
		Region: fmt.Sprint("r", p.region),
		Zone:   fmt.Sprint("z", p.zone),
		Site:   fmt.Sprint("s", p.zone, "-", p.site),
	}
}

// running reports whether the process handles events: it is neither down nor suspended.
func (p *process) running() bool { return p.up && !p.suspended }

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
