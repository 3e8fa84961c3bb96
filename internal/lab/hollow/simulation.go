// Package hollow simulates the control traffic of thousands of processes within one operating-system process. A simulated (hollow)
// process runs the packages that receive and apply what the store commits: internal/decide/distribution, storestate and membership,
// and the policy module's server lists and purges. It serves no clients and connects to no caches. Time is virtual and the seed
// determines a run; CPU time and heap are real measurements.
//
// A run uses one of two modes: ModeLevels distributes entries through the tree of internal/decide/distribution; in ModeDirect, the
// baseline, the store's leader replicates every entry to every process.
//
// The package itself never takes a decision that the program takes. A checker compares what each process applies with what was
// committed, without asking the deciders under test. The tests are in this package.
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
	// warmUpMs is the virtual time in ms before the scenario's time 0. All processes start at the same instant, and the cost of
	// that is not counted.
	warmUpMs = 10_000
	// eventsPerContextCheck is the number of events that are handled between two checks whether the context is cancelled.
	eventsPerContextCheck = 1 << 14
)

// candidateKey selects the distributors of a rank, in one region or (anyRegion) in all of them.
type candidateKey struct{ region, rank int }

const anyRegion = -1

// noRegion is the value of simulation.cutRegion while no region is partitioned.
const noRegion = -1

// simulation is the state of one run.
type simulation struct {
	eventQueue
	scenario       Scenario
	processes      []*process
	byName         map[string]*process
	byRole         [roleCount][]*process
	zones          int
	servers        map[string]policy.ServerID // cache servers by formatted id
	candidateCache map[candidateKey][]distribution.Peer
	log            *storeLog
	checker        *checker
	propagator     propagator
	meter          *callMeter
	trace          *callTrace // nil: calls are not recorded
	conns          []*conn    // every connection opened in the run, by id
	networkRand    *rand.Rand
	faultRand      *rand.Rand

	leader          *process // of the store; nil during an election
	term            int      // number of leader changes so far
	watermarkAt     int64    // Unix ms of the last heartbeat, on the clock of the leader that sent it
	cutRegion       int      // the partitioned region, or noRegion
	lossProbability float64  // of a message
	purgeRateFactor float64  // by which PurgesPerS is multiplied

	stopEarly func() bool // reports whether to end the run before its time; nil: never

	handshakes   int
	snapshots    int     // number that processes have installed
	lastLaggedAt float64 // virtual ms when a process last lagged by more than RecoveredLagMs; -1: not since the last fault
	maxLag       float64 // ms, since the last fault
	phases       []Phase
	recoveries   []Recovery
	roleCosts    []RoleCost
}

// newSimulation returns a simulation of a fleet of the given size, which has not started.
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

// clockOf returns the time on a process's own clock in Unix ms.
func (sim *simulation) clockOf(p *process) float64 { return startUnixMs + sim.now + p.clockOffset }

// endOfLoad is the virtual time in ms at which the last change is proposed.
func (sim *simulation) endOfLoad() float64 { return warmUpMs + sim.scenario.Seconds*1000 }

// end is the virtual time in ms at which a run is over.
func (sim *simulation) end() float64 {
	return warmUpMs + (sim.scenario.Seconds+sim.scenario.SettleSeconds)*1000
}

// run handles events until the end of the run, or until the context is cancelled.
func (sim *simulation) run(ctx context.Context) error {
	sim.start()
	for {
		if sim.processed%eventsPerContextCheck == 0 && ctx.Err() != nil {
			return fmt.Errorf("scale: run cancelled at %.1f s of virtual time: %w", sim.now/1000, ctx.Err())
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

// start commits the store's initial entries, starts all processes, and schedules what recurs.
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

// resetCounters discards the calls and the traffic of starting the fleet.
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

// setTimer sets a timer of a process to fire after the given number of ms. It replaces the timer's earlier setting.
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

// fireTimer handles the event of a timer. If the timer was set to a later time in the meantime, it is scheduled again.
func (sim *simulation) fireTimer(e event) {
	p, t := e.process, &e.process.timers[e.slot]
	if !p.up || p.incarnation != e.incarnation || t.scheduledAt != e.at {
		return // event of an earlier incarnation, or replaced by one that was scheduled for an earlier time
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
