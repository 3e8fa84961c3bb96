package hollow

import (
	"math"

	"ravenwheel/internal/decide/distribution"
)

// scheduleFaults schedules the scenario's faults, the phases between their starts and ends, and the measurement of recoveries.
func (sim *simulation) scheduleFaults() {
	boundaries := map[float64]bool{}
	for _, fault := range sim.scenario.Timeline() {
		start, end := fault.start(), fault.end()
		boundaries[start], boundaries[end] = true, true
		sim.after(start, func() { sim.injectFault(fault) })
		if fault.ForSeconds > 0 {
			sim.after(end, func() { sim.endFault(fault) })
		}
		sim.watchRecovery(fault)
	}
	boundaries[sim.endOfLoad()] = true
	sim.after(warmUpMs, sim.startPhase)
	for at := range boundaries {
		if at > warmUpMs && at < sim.end() {
			sim.after(at, sim.startPhase)
		}
	}
	sim.after(sim.end()-1, sim.startPhase)
}

// start is the virtual time in ms at which a fault begins.
func (f Fault) start() float64 { return warmUpMs + f.AtSeconds*1000 }

// end is the virtual time in ms at which a fault ends.
func (f Fault) end() float64 { return f.start() + f.ForSeconds*1000 }

// injectFault begins a fault. For a fault of chosen processes it also schedules the end; endFault ends the others.
func (sim *simulation) injectFault(f Fault) {
	switch f.Kind {
	case FaultLeader:
		sim.kill(sim.leader)
		sim.after(f.ForSeconds*1000, func() { sim.restartDown(sim.byRole[StoreMember]) })
	case FaultKill:
		victims := sim.pickRunning(sim.byRole[ZoneDistributor], f.Count)
		for _, p := range victims {
			sim.kill(p)
		}
		sim.after(f.ForSeconds*1000, func() { sim.restartDown(victims) })
	case FaultStop:
		sim.suspendDistributors(f)
	case FaultCut:
		sim.partition(f.Region)
		sim.electLeader()
	case FaultRestart:
		for _, p := range sim.pickRunning(sim.byRole[Proxy], f.affectedProxies(sim)) {
			sim.kill(p)
			sim.startProcess(p)
		}
	case FaultSlow:
		sim.slowProxies(f)
	case FaultClocks:
		for _, p := range sim.processes {
			p.clockOffset = (sim.faultRand.Float64() - 0.5) * f.Magnitude * 1000
		}
	case FaultBurst:
		sim.purgeRateFactor = f.Magnitude
	case FaultLoss:
		sim.lossProbability = f.Magnitude
	}
}

// affectedProxies is the number of proxies that a fault with a Fraction affects.
func (f Fault) affectedProxies(sim *simulation) int {
	return int(math.Ceil(f.Fraction * float64(len(sim.byRole[Proxy]))))
}

func (sim *simulation) suspendDistributors(f Fault) {
	victims := sim.pickRunning(sim.byRole[ZoneDistributor], f.Count)
	for _, p := range victims {
		p.suspended = true
	}
	sim.after(f.ForSeconds*1000, func() {
		for _, p := range victims {
			sim.resume(p)
		}
	})
}

func (sim *simulation) slowProxies(f Fault) {
	victims := sim.pickRunning(sim.byRole[Proxy], f.Count)
	for _, p := range victims {
		p.receiveRate = f.Magnitude
	}
	sim.after(f.ForSeconds*1000, func() {
		for _, p := range victims {
			p.receiveRate, p.connectableSince = 0, sim.now
		}
	})
}

// endFault ends a fault of the network, of clocks or of the load.
func (sim *simulation) endFault(f Fault) {
	switch f.Kind {
	case FaultCut:
		sim.healPartition()
	case FaultClocks:
		for _, p := range sim.processes {
			p.clockOffset = 0
		}
	case FaultBurst:
		sim.purgeRateFactor = 1
	case FaultLoss:
		sim.lossProbability = 0
	}
}

func (sim *simulation) healPartition() {
	for _, p := range sim.processes {
		if p.partitioned {
			p.partitioned, p.connectableSince = false, sim.now
		}
	}
	sim.cutRegion = noRegion
	for _, member := range sim.byRole[StoreMember] {
		sim.catchUp(member)
	}
}

// pickRunning selects up to n running processes at random.
func (sim *simulation) pickRunning(from []*process, n int) (picked []*process) {
	for _, i := range sim.faultRand.Perm(len(from)) {
		if len(picked) < n && from[i].running() {
			picked = append(picked, from[i])
		}
	}
	return picked
}

// kill ends a process, which loses its state except for what it has persisted.
func (sim *simulation) kill(p *process) {
	p.up = false
	sim.closeAll(p)
	p.incarnation++
	p.deferredEvents, p.unread, p.omitted, p.applier = nil, nil, nil, nil
	p.gates = [streamCount]*distribution.FreshnessGate{}
	p.streams = [streamCount]streamNode{}
	p.timers = [timerSlots]timer{}
	p.applied = [streamCount]int{}
	sim.electLeader()
}

// restartDown starts those of the given processes that are down.
func (sim *simulation) restartDown(processes []*process) {
	for _, p := range processes {
		if !p.up {
			sim.startProcess(p)
		}
	}
}

// startProcess starts a process that was killed. A member of the store then fetches the log.
func (sim *simulation) startProcess(p *process) {
	p.up, p.suspended, p.connectableSince = true, false, sim.now
	sim.meter.processStarted(sim, p)
	if p.role == StoreMember {
		sim.catchUp(p)
	}
}

// resume ends the suspension of a process. The process first handles the messages and timers that were deferred in the meantime.
func (sim *simulation) resume(p *process) {
	p.suspended, p.connectableSince = false, sim.now
	deferred := p.deferredEvents
	p.deferredEvents = nil
	for _, e := range deferred {
		if e.kind == eventTimer {
			p.timers[e.slot].scheduledAt = sim.now
		}
		e.at = sim.now
		sim.push(e)
	}
}
