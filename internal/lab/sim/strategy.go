package sim

import (
	"strconv"

	"ravenwheel/policy"
)

// Decider decides for one proxy. *policy.Router is the proxy's own; others are baselines to compare it with.
type Decider interface {
	// Handle handles an event at a time and appends the actions that follow from it.
	Handle(now policy.Time, e policy.Event, actions []policy.Action) []policy.Action
}

// View is the true state of the fleet some time ago, which no real proxy can know.
type View interface {
	// Utilization returns a server's utilization: 1 is all that it can transfer at full speed. up is false if it did not answer.
	Utilization(id policy.ServerID) (utilization float64, up bool)
	// Holds reports whether a server had a copy of a part then, and still has it.
	Holds(id policy.ServerID, object string, part int) bool
}

// Strategy makes the deciders of a run.
type Strategy struct {
	Name      string
	ViewDelay float64 // ms; 0: no View
	// New returns a decider for a start of a proxy. The view is nil without ViewDelay.
	New func(s policy.Settings, seed uint64, v View) (Decider, error)
}

// RouterStrategy plays with the proxy's own policy.
var RouterStrategy = Strategy{Name: "module", New: func(s policy.Settings, seed uint64, _ View) (Decider, error) {
	return policy.New(s, seed)
}}

// delayedView implements View with snapshots that are taken regularly.
type delayedView struct {
	sim       *simulation
	delay     float64    // ms
	snapshots []snapshot // the first one is the one that is shown
}

// snapshot is the state of the servers at a time.
type snapshot struct {
	at      float64        // ms
	servers []serverStatus // by id, which counts from 1
}

type serverStatus struct {
	utilization float64
	up          bool
}

// snapshotInterval is the time between snapshots, in ms.
const snapshotInterval = 50

// takeSnapshot takes a snapshot, drops those that are too old, and schedules the next one.
func (v *delayedView) takeSnapshot() {
	s := v.sim
	taken := snapshot{at: s.now, servers: make([]serverStatus, len(s.servers))}
	for i, server := range s.servers {
		taken.servers[i] = serverStatus{server.utilization(), server.state == serverUp}
	}
	v.snapshots = append(v.snapshots, taken)
	for len(v.snapshots) > 1 && v.snapshots[1].at <= s.now-v.delay {
		v.snapshots = v.snapshots[1:]
	}
	if s.now < s.end()+s.drainTime() {
		s.after(snapshotInterval, v.takeSnapshot)
	}
}

// Utilization implements View.
func (v *delayedView) Utilization(id policy.ServerID) (utilization float64, up bool) {
	status := v.snapshots[0].servers[id-1]
	return status.utilization, status.up
}

// Holds implements View. Copies that were evicted since do not count, which favours the player.
func (v *delayedView) Holds(id policy.ServerID, object string, part int) bool {
	number, err := strconv.ParseInt(object, 16, 32)
	if err != nil {
		return false
	}
	cached := v.sim.server(id).store.copies[partKey{int32(number), int32(part)}]
	return cached != nil && cached.stored <= v.sim.now-v.delay
}
