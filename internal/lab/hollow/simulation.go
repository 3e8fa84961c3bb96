// Package hollow plays the control traffic of thousands of processes in one: hollow processes that run the very packages
// which receive and put in force what the store commits (internal/decide/distribution, replica, membership, the module's
// lists and purges), without front, upstream or traffic. Time is virtual and one seed gives one run; processor time and
// heap are real. Beside it, today's way: a leader that feeds every process entry by entry. It decides nothing that the
// program decides. What must hold is checked by what reaches a process, against what was committed. Tested here.
package hollow

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// world is one run.
type simulation struct {
	eventQueue
	scenario       Scenario
	processes      []*process
	byName         map[string]*process
	byRole         [roleCount][]*process
	zones          int
	servers        map[string]policy.CacheID
	candidateCache map[[2]int][]distribution.Peer // candidates by region and rank
	log            *storeLog
	checker        *checker
	propagator     propagator
	meter          *callMeter
	trace          *callTrace // nil: what machines ask for is not kept
	conns          []*conn    // all that ever were
	networkRand    *rand.Rand // of the network
	faultRand      *rand.Rand

	leader          *process // nil: none
	term            int      // leaders so far
	watermarkAt     int64    // of the last heartbeat, by the clock of the leader of then: commits do not move it
	cutRegion       int      // -1: none
	lossProbability float64
	purgeRateFactor float64

	stopEarly func() bool // ends the run early; nil: nothing does

	handshakes, snapshots int
	lastLaggedAt, maxLag  float64 // when a process last lagged, and the most in this stretch
	phases                []Phase
	recoveries            []Recovery
	roleCosts             []RoleCost
}

// newWorld makes a fleet of n processes.
func newSimulation(s Scenario, n int, direct bool) *simulation {
	sim := &simulation{
		scenario: s, byName: map[string]*process{}, cutRegion: -1, purgeRateFactor: 1, networkRand: newRand(s.Seed, "network"), faultRand: newRand(s.Seed, "faults"),
		candidateCache: map[[2]int][]distribution.Peer{}, servers: map[string]policy.CacheID{}, lastLaggedAt: -1,
	}
	sim.buildFleet(n)
	for i := range sim.zones * s.ZoneServers {
		id := policy.CacheID(i + 1)
		sim.servers[serverlist.FormatID(id)] = id
	}
	sim.log = newStoreLog(sim)
	sim.checker = newChecker(sim)
	sim.meter = &callMeter{}
	if direct {
		sim.propagator = newDirectPropagator(sim)
	} else {
		sim.propagator = &treePropagator{sim: sim, disconnectCauses: map[string]int{}}
	}
	return sim
}

// zoneOf is the zone of a server.
func (sim *simulation) zoneOf(id policy.CacheID) int { return (int(id) - 1) / sim.scenario.ZoneServers }

// clock is Unix ms as a process reads it.
func (sim *simulation) clockOf(p *process) float64 { return startUnixMs + sim.now + p.offset }

// candidates are the distributors that a process's registry tells of: all of its own region, and the levels above of all.
func (sim *simulation) candidates(p *process) (out []distribution.Peer) {
	for rank := 0; rank < int(p.role); rank++ {
		region := -1
		if rank == int(Zone) {
			region = p.region
		}
		k := [2]int{region, rank}
		if sim.candidateCache[k] == nil {
			for _, x := range sim.byRole[rank] {
				if region < 0 || x.region == region {
					sim.candidateCache[k] = append(sim.candidateCache[k], x.peer())
				}
			}
		}
		out = append(out, sim.candidateCache[k]...)
	}
	return out
}

// demand is how many share the load of a distributor: proxies and distributors of a zone, or distributors of zones and
// relays of a region.
func (sim *simulation) demand(p *process) distribution.Demand {
	d := distribution.Demand{}
	for _, x := range sim.byRole[p.role] {
		if x.region == p.region && x.zone == p.zone {
			d.Distributors++
		}
	}
	for _, x := range sim.byRole[p.role+1] {
		if x.region == p.region && (p.role == Relay || x.zone == p.zone) {
			d.Subscribers++
		}
	}
	return d
}

// start has all processes begin, the store's first facts committed.
func (sim *simulation) start() {
	sim.leader = sim.byRole[Store][0]
	sim.watermarkAt = int64(math.Floor(sim.clockOf(sim.leader)))
	var first []*logEntry
	for z := range sim.zones {
		first = append(first, sim.log.newList(sim, z))
	}
	first = append(first, sim.log.newRevision(sim), sim.log.newPurge(sim, sim.leader))
	for _, c := range first {
		sim.log.commit(0, c)
	}
	for _, p := range sim.processes {
		sim.meter.processStarted(sim, p)
	}
	for _, v := range sim.byRole[Store] {
		sim.applyLog(v, len(sim.log.entries), sim.watermarkAt)
	}
	sim.after(0, sim.heartbeat)
	sim.after(sim.scenario.BatchMs, sim.proposeAndCommit)
	sim.after(lagCheckInterval, sim.checkLag)
	sim.after(warmUpMs, sim.resetCounters)
	sim.after(warmUpMs+sim.scenario.Seconds*1000-1, func() {
		for role, ps := range sim.byRole {
			sim.roleCosts = append(sim.roleCosts, sim.roleCost(Role(role), ps, sim.scenario.Seconds))
		}
	})
	sim.scheduleFaults()
}

// reset has what the fleet's start cost not counted.
func (sim *simulation) resetCounters() {
	sim.meter.roles = [roleCount]CallStats{}
	for _, p := range sim.processes {
		p.in, p.out = flow{}, flow{}
	}
}

// end is when a run is over: what was committed last has had its time.
func (sim *simulation) end() float64 {
	return warmUpMs + (sim.scenario.Seconds+sim.scenario.SettleSeconds)*1000
}

// warmUp ms pass before times of faults begin: the fleet starts in its first instant, all at once.
const warmUpMs = 10_000

// commit proposes what has come up, and commits it if there is a leader.
func (sim *simulation) proposeAndCommit() {
	h := sim.log
	if sim.now < warmUpMs+sim.scenario.Seconds*1000 {
		h.pending = append(h.pending, h.propose(sim, sim.scenario.BatchMs)...)
		sim.after(sim.scenario.BatchMs, sim.proposeAndCommit)
	}
	sim.commitPending()
}

func (sim *simulation) commitPending() {
	h := sim.log
	if sim.leader == nil || len(h.pending) == 0 {
		return
	}
	bytes := 0
	for _, c := range h.pending {
		h.commit(sim.now, c)
		bytes += len(c.encodedChange)
	}
	h.pending = nil
	head, at := len(h.entries), sim.watermarkAt
	sim.applyLog(sim.leader, head, at)
	for _, v := range sim.byRole[Store] {
		if v != sim.leader && v.up && sim.reachable(sim.leader, v) {
			sim.countBytes(&sim.leader.out, &v.in, sim.leader, v, bytes+sim.scenario.RecordBytes)
			sim.after(sim.latency(sim.leader, v), func() { sim.applyLog(v, head, at) })
		}
	}
}

// follow has a member of the store apply what it has not, up to a place in the log that the leader told it of at a time of
// the leader's clock.
func (sim *simulation) applyLog(v *process, head int, at int64) {
	if !v.up || sim.leader != v && (sim.leader == nil || !sim.reachable(sim.leader, v)) {
		return
	}
	if had := v.applied[0] + v.applied[1]; head > had {
		sim.meter.entriesApplied(sim, v, sim.log.entries[had:head], at)
	}
}

// followAll has a member that was away ask the leader.
func (sim *simulation) catchUp(v *process) {
	if sim.leader == nil {
		return
	}
	head, at := len(sim.log.entries), sim.watermarkAt
	sim.after(2*sim.latency(sim.leader, v), func() { sim.applyLog(v, head, at) })
}

// beat has the leader say how complete the log is. Members of the store hear it from it.
func (sim *simulation) heartbeat() {
	sim.after(heartbeatInterval, sim.heartbeat)
	if sim.leader == nil {
		return
	}
	sim.watermarkAt = int64(math.Floor(sim.clockOf(sim.leader)))
	head, at := len(sim.log.entries), sim.watermarkAt
	for _, v := range sim.byRole[Store] {
		if v.up && sim.reachable(sim.leader, v) {
			sim.after(sim.latency(sim.leader, v), func() {
				sim.applyLog(v, head, at)
				if v.up {
					sim.meter.watermarkAdvanced(sim, v, at)
				}
			})
		}
	}
}

// heartbeat ms between two marks, as distribution.Defaults has it.
const heartbeatInterval = 500.0

func (sim *simulation) checkLag() {
	sim.after(lagCheckInterval, sim.checkLag)
	if sim.now >= warmUpMs {
		sim.checker.checkLag()
	}
}

// wake sets a process's timer, in place of what it was set to.
func (sim *simulation) setTimer(p *process, slot int, after float64) {
	sim.trace.record(traceSetTimer, slot, p.id, 0, after)
	t := &p.timers[slot]
	t.due = sim.now + max(0, after)
	if t.scheduledAt == 0 || t.due < t.scheduledAt {
		t.scheduledAt = t.due
		sim.push(event{at: t.due, kind: eventTimer, process: p, slot: uint8(slot), incarnation: p.incarnation})
	}
}

// tick is an event of a timer: due, or to be put off.
func (sim *simulation) fireTimer(e event) {
	p, t := e.process, &e.process.timers[e.slot]
	if !p.up || p.incarnation != e.incarnation || t.scheduledAt != e.at {
		return // of an earlier life, or one that an earlier event has taken the place of
	}
	if p.stopped {
		p.inbox = append(p.inbox, e)
		return
	}
	t.scheduledAt = 0
	switch {
	case t.due == 0:
	case t.due > sim.now:
		t.scheduledAt = t.due
		sim.push(event{at: t.due, kind: eventTimer, process: p, slot: e.slot, incarnation: p.incarnation})
	default:
		t.due = 0
		sim.meter.timerFired(sim, p, int(e.slot))
	}
}

// run plays to the end, or until ctx ends.
func (sim *simulation) run(ctx context.Context) error {
	sim.start()
	const look = 1 << 14 // events between looks at ctx
	for {
		if sim.processed%look == 0 && ctx.Err() != nil {
			return fmt.Errorf("scale: stopped at %.1f s: %w", sim.now/1000, ctx.Err())
		}
		e, ok := sim.pop()
		if !ok || e.at > sim.end() || sim.stopEarly != nil && sim.stopEarly() {
			break
		}
		sim.dispatch(e)
	}
	sim.checker.checkComplete()
	return nil
}

func (sim *simulation) dispatch(e event) {
	switch e.kind {
	case eventDeliver:
		sim.deliver(e)
	case eventConnected:
		switch p := e.process; {
		case p.stopped:
			p.inbox = append(p.inbox, e)
		case p.up && p.incarnation == e.incarnation && !e.conn.closed && !e.conn.broken:
			sim.meter.connected(sim, p, e.conn)
		}
	case eventConnectionLost:
		sim.connectionLost(e)
	case eventTimer:
		sim.fireTimer(e)
	case eventCall:
		e.call()
	}
}
