package sim

import (
	"strconv"

	"ravenwheel/policy"
)

// Decider decides for one proxy. *policy.Router is what the real proxy uses; the others are baselines to compare it with.
type Decider interface {
	// Handle handles an event that happens at now. It appends the actions to take to actions, and returns the result.
	Handle(now policy.Time, e policy.Event, actions []policy.Action) []policy.Action
}

// View is the true state of the fleet some time ago. No real proxy can know it.
type View interface {
	// Utilization returns a server's load over what it can transfer at full speed: 1 is fully utilized. up is false if the
	// server did not answer then.
	Utilization(id policy.ServerID) (utilization float64, up bool)
	// Holds reports whether a server had a copy of a part then, and still has it.
	Holds(id policy.ServerID, object string, part int) bool
}

// Strategy makes the deciders for the proxies of a run.
type Strategy struct {
	Name      string
	ViewDelay float64 // ms; 0 for a strategy without a View
	// New returns the decider of a proxy; it is called at every start of the proxy's process. The view is nil without ViewDelay.
	New func(s policy.Settings, seed uint64, v View) (Decider, error)
}

// RouterStrategy uses the real proxy's policy. Results name it "module".
var RouterStrategy = Strategy{Name: "module", New: func(s policy.Settings, seed uint64, _ View) (Decider, error) {
	return policy.New(s, seed)
}}

// delayedView implements View with snapshots of the fleet that are taken every snapshotInterval.
type delayedView struct {
	sim       *simulation
	delay     float64    // ms
	snapshots []snapshot // oldest first; the first one is shown
}

// snapshot is the state of the servers at a time.
type snapshot struct {
	at      float64        // ms
	servers []serverStatus // index: id - 1
}

type serverStatus struct {
	utilization float64
	up          bool
}

// snapshotInterval is the time between snapshots, in ms.
const snapshotInterval = 50

// takeSnapshot takes a snapshot, drops snapshots that are too old, and schedules the next one.
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
	if s.now < s.end()+s.settleTime() {
		s.after(snapshotInterval, v.takeSnapshot)
	}
}

// Utilization implements View.
func (v *delayedView) Utilization(id policy.ServerID) (utilization float64, up bool) {
	status := v.snapshots[0].servers[id-1]
	return status.utilization, status.up
}

// Holds implements View. A copy that was evicted since then does not count. That favours the strategy, as it never expects a hit
// on such a copy.
func (v *delayedView) Holds(id policy.ServerID, object string, part int) bool {
	number, err := strconv.ParseInt(object, 16, 32)
	if err != nil {
		return false
	}
	cached := v.sim.serverByID(id).store.copies[partKey{int32(number), int32(part)}]
	return cached != nil && cached.stored <= v.sim.now-v.delay
}
