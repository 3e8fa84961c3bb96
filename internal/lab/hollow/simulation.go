// Package hollow simulates the control traffic of thousands of processes inside one. A hollow process runs the packages that
// receive and apply what the store commits (internal/decide/distribution, storestate and membership, and the policy module's
// server lists and purges), but has no front, no upstream and no client traffic. Time is virtual and a seed determines a run;
// CPU time and heap are measured for real.
//
// A run uses one of two modes: ModeLevels distributes entries through the tree of internal/decide/distribution; ModeDirect, the
// baseline, has the store's leader replicate every entry to every process.
//
// The package takes no decision that the program takes. A checker compares what reaches each process with what was committed,
// without asking the deciders under test. The tests are in this package.
package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

const (
	// startUnixMs is the Unix time at which a run begins. It is not 0, which the deciders read as "no time".
	startUnixMs = 1_800_000_000_000
	// warmUpMs passes before the scenario's time 0. All processes start at the same instant, and the cost of that is not counted.
	warmUpMs = 10_000
	// eventsPerContextCheck is how many events are handled between two looks at the context.
	eventsPerContextCheck = 1 << 14
)

// candidateKey selects a list of distributors: those of a rank, in a region or (anyRegion) in all of them.
type candidateKey struct{ region, rank int }

const anyRegion = -1

// noRegion as simulation.cutRegion means that no region is partitioned.
const noRegion = -1

// simulation is the state of one run.
type simulation struct {
	eventQueue
	scenario       Scenario
	processes      []*process
	byName         map[string]*process
	byRole         [roleCount][]*process
	zones          int
	servers        map[string]policy.ServerID // by formatted id
	candidateCache map[candidateKey][]distribution.Peer
	log            *storeLog
	checker        *checker
	propagator     propagator
	meter          *callMeter
	trace          *callTrace // nil: calls are not recorded
	conns          []*conn    // every connection of the run, by id
	networkRand    *rand.Rand
	faultRand      *rand.Rand

	leader          *process // of the store; nil during an election
	term            int      // number of leader changes so far
	watermarkAt     int64    // time of the last heartbeat on the clock of the leader that sent it
	cutRegion       int      // the partitioned region, or noRegion
	lossProbability float64  // of a message
	purgeRateFactor float64

	stopEarly func() bool // ends the run before its time; nil: never

	handshakes   int
	snapshots    int     // that processes installed
	lastLaggedAt float64 // when a process last lagged by more than RecoveredLagMs; -1: not since the last fault
	maxLag       float64 // ms, since the last fault
	phases       []Phase
	recoveries   []Recovery
	roleCosts    []RoleCost
}

// newSimulation builds a fleet of the given size that has not started yet.
func newSimulation(scenario Scenario, size int, mode Mode) *simulation {
	sim := &simulation{
		scenario:        scenario,
		byName:          map[string]*process{},
		servers:         map[string]policy.ServerID{},
		candidateCache:  map[candidateKey][]distribution.Peer{},
		networkRand:     newRand(scenario.Seed, "network"),
		faultRand:       newRand(scenario.Seed, "faults"),
		cutRegion:       noRegion,
		purgeRateFactor: 1,
		lastLaggedAt:    -1,
	}
	sim.buildFleet(size)
	for i := range sim.zones * scenario.ZoneServers {
		id := policy.ServerID(i + 1)
		sim.servers[serverlist.FormatID(id)] = id
	}
	sim.log = newStoreLog(sim)
	sim.checker = newChecker(sim)
	sim.meter = &callMeter{}
	if mode == ModeDirect {
		sim.propagator = newDirectPropagator(sim)
	} else {
		sim.propagator = newTreePropagator(sim)
	}
	return sim
}

// clockOf returns the Unix ms that a process reads on its own clock.
func (sim *simulation) clockOf(p *process) float64 { return startUnixMs + sim.now + p.clockOffset }

// endOfLoad is the virtual time in ms at which the last change is proposed.
func (sim *simulation) endOfLoad() float64 { return warmUpMs + sim.scenario.Seconds*1000 }

// end is the virtual time in ms at which a run is over.
func (sim *simulation) end() float64 {
	return warmUpMs + (sim.scenario.Seconds+sim.scenario.SettleSeconds)*1000
}

// run plays until the end, or until the context is cancelled.
func (sim *simulation) run(ctx context.Context) error {
	sim.start()
	for {
		if sim.processed%eventsPerContextCheck == 0 && ctx.Err() != nil {
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

// start starts all processes with the store's first entries committed, and schedules what recurs.
func (sim *simulation) start() {
	sim.commitInitialState()
	for _, p := range sim.processes {
		sim.meter.processStarted(sim, p)
	}
	for _, member := range sim.byRole[StoreMember] {
		sim.applyLog(member, len(sim.log.entries), sim.watermarkAt)
	}
	sim.after(0, sim.heartbeat)
	sim.after(sim.scenario.BatchMs, sim.proposeAndCommit)
	sim.after(lagCheckInterval, sim.checkLag)
	sim.after(warmUpMs, sim.resetCounters)
	sim.after(sim.endOfLoad()-1, sim.recordRoleCosts)
	sim.scheduleFaults()
}

// resetCounters discards the cost of starting the fleet.
func (sim *simulation) resetCounters() {
	sim.meter.roles = [roleCount]CallStats{}
	for _, p := range sim.processes {
		p.in, p.out = traffic{}, traffic{}
	}
}

func (sim *simulation) recordRoleCosts() {
	for role, members := range sim.byRole {
		sim.roleCosts = append(sim.roleCosts, sim.roleCost(Role(role), members, sim.scenario.Seconds))
	}
}

func (sim *simulation) checkLag() {
	sim.after(lagCheckInterval, sim.checkLag)
	if sim.now >= warmUpMs {
		sim.checker.checkLag()
	}
}

// dispatch handles one event.
func (sim *simulation) dispatch(e event) {
	switch e.kind {
	case eventDeliver:
		sim.deliver(e)
	case eventConnected:
		sim.connectionOpened(e)
	case eventConnectionLost:
		sim.connectionLost(e)
	case eventTimer:
		sim.fireTimer(e)
	case eventCall:
		e.call()
	}
}

// setTimer sets a timer of a process to fire after so many ms. It replaces the timer's earlier setting.
func (sim *simulation) setTimer(p *process, slot timerSlot, after float64) {
	sim.trace.record(tracedCall{kind: traceSetTimer, detail: int(slot), id: p.id, value: after})
	t := &p.timers[slot]
	t.due = sim.now + max(0, after)
	if t.scheduledAt == 0 || t.due < t.scheduledAt {
		sim.scheduleTimer(p, slot)
	}
}

func (sim *simulation) scheduleTimer(p *process, slot timerSlot) {
	t := &p.timers[slot]
	t.scheduledAt = t.due
	sim.push(event{at: t.due, kind: eventTimer, process: p, slot: slot, incarnation: p.incarnation})
}

// fireTimer handles the event of a timer, which is scheduled again where the timer was set to a later time meanwhile.
func (sim *simulation) fireTimer(e event) {
	p, t := e.process, &e.process.timers[e.slot]
	if !p.up || p.incarnation != e.incarnation || t.scheduledAt != e.at {
		return // of an earlier incarnation, or superseded by an earlier event
	}
	if p.suspended {
		p.deferredEvents = append(p.deferredEvents, e)
		return
	}
	t.scheduledAt = 0
	switch {
	case t.due == 0:
	case t.due > sim.now:
		sim.scheduleTimer(p, e.slot)
	default:
		t.due = 0
		sim.meter.timerFired(sim, p, e.slot)
	}
}
