package hollow

import (
	"math"

	"ravenwheel/internal/decide/distribution"
)

// Phase is a stretch between two changes of the timeline, and what the processes of each role sent and received in it.
type Phase struct {
	FromSeconds      float64                `json:"from_s"`
	ToSeconds        float64                `json:"to_s"`
	FaultKinds       []string               `json:"faults"` // those under way
	PurgeRateFactor  float64                `json:"burst"`  // of the rate of purges
	RestartedProxies int                    `json:"begun"`  // processes that began anew in it
	Traffic          [roleCount]RoleTraffic `json:"traffic"`
}

// PhaseRole is the traffic of a role in a phase, in KB a second.
type RoleTraffic struct {
	Role         string  `json:"role"`
	InKBPerS     float64 `json:"in_kb_s"` // mean
	OutKBPerS    float64 `json:"out_kb_s"`
	MaxInKBPerS  float64 `json:"most_in_kb_s"` // of one process
	MaxOutKBPerS float64 `json:"most_out_kb_s"`
}

// Healed is how long after the end of a fault (after its instant, where it has none) a process that runs still lacked
// something older than hold_healed_ms.
type Recovery struct {
	Fault              Fault   `json:"fault"`
	CountedFromSeconds float64 `json:"counted_from_s"`
	AfterSeconds       float64 `json:"after_s"`
	MaxLagMs           float64 `json:"worst_lag_ms"`
}

// arrange puts the timeline's faults into the queue, and the phases between them.
func (sim *simulation) scheduleFaults() {
	edges := map[float64]bool{}
	for _, f := range sim.scenario.Timeline() {
		from := warmUpMs + f.AtSeconds*1000
		to := from + f.ForSeconds*1000
		edges[from], edges[to] = true, true
		sim.after(from, func() { sim.injectFault(f) })
		if f.ForSeconds > 0 {
			sim.after(to, func() { sim.endFault(f) })
		}
		counted := to
		if f.Kind == "kill" || f.Kind == "stop" || f.Kind == "leader" {
			counted = from
		}
		sim.watchRecovery(f, counted)
	}
	edges[warmUpMs+sim.scenario.Seconds*1000] = true
	sim.after(warmUpMs, func() { sim.startPhase() })
	for at := range edges {
		if at > warmUpMs && at < sim.end() {
			sim.after(at, func() { sim.startPhase() })
		}
	}
	sim.after(sim.end()-1, func() { sim.startPhase() })
}

// heal watches from a time until the next change of the timeline, or for watchHealed.
func (sim *simulation) watchRecovery(f Fault, from float64) {
	until := from + maxRecoveryWatch
	for _, other := range sim.scenario.Timeline() {
		for _, at := range []float64{warmUpMs + other.AtSeconds*1000, warmUpMs + (other.AtSeconds+other.ForSeconds)*1000} {
			if at > from {
				until = min(until, at)
			}
		}
	}
	until = min(until, sim.end()-1)
	sim.after(from+1, func() { sim.lastLaggedAt, sim.maxLag = -1, 0 })
	sim.after(until, func() {
		sim.recoveries = append(sim.recoveries, Recovery{Fault: f, CountedFromSeconds: (from - warmUpMs) / 1000, AfterSeconds: max(0, sim.lastLaggedAt-from) / 1000, MaxLagMs: sim.maxLag})
	})
}

// watchHealed ms after a fault nothing more is put down to it.
const maxRecoveryWatch = 30_000

// phase ends the one that is on, and begins another.
func (sim *simulation) startPhase() {
	if n := len(sim.phases); n > 0 {
		x := &sim.phases[n-1]
		if x.ToSeconds = (sim.now - warmUpMs) / 1000; x.ToSeconds <= x.FromSeconds {
			return
		}
		for role, ps := range sim.byRole {
			x.Traffic[role] = roleTraffic(Role(role), ps, x.ToSeconds-x.FromSeconds)
		}
	}
	for _, p := range sim.processes {
		p.phaseInBytes, p.phaseOutBytes = 0, 0
	}
	x := Phase{FromSeconds: (sim.now - warmUpMs) / 1000, PurgeRateFactor: sim.purgeRateFactor}
	for _, f := range sim.scenario.Timeline() {
		if at := warmUpMs + f.AtSeconds*1000; at <= sim.now+0.5 && sim.now < at+f.ForSeconds*1000-0.5 || at == sim.now {
			x.FaultKinds = append(x.FaultKinds, f.Kind)
			if f.Kind == "burst" {
				x.PurgeRateFactor = f.Magnitude
			}
			if f.Kind == "restart" {
				x.RestartedProxies = int(math.Ceil(f.Fraction * float64(len(sim.byRole[Proxy]))))
			}
		}
	}
	sim.phases = append(sim.phases, x)
}

func roleTraffic(role Role, ps []*process, seconds float64) RoleTraffic {
	x := RoleTraffic{Role: role.String()}
	for _, p := range ps {
		in, out := float64(p.phaseInBytes)/1000/seconds, float64(p.phaseOutBytes)/1000/seconds
		x.InKBPerS, x.OutKBPerS = x.InKBPerS+in/float64(len(ps)), x.OutKBPerS+out/float64(len(ps))
		x.MaxInKBPerS, x.MaxOutKBPerS = max(x.MaxInKBPerS, in), max(x.MaxOutKBPerS, out)
	}
	return x
}

// strike has a fault begin.
func (sim *simulation) injectFault(f Fault) {
	switch f.Kind {
	case "leader":
		sim.kill(sim.leader)
		sim.after(f.ForSeconds*1000, sim.restarter(sim.byRole[Store]))
	case "kill":
		ps := sim.pickRunning(sim.byRole[Zone], f.Count)
		for _, p := range ps {
			sim.kill(p)
		}
		sim.after(f.ForSeconds*1000, sim.restarter(ps))
	case "stop":
		ps := sim.pickRunning(sim.byRole[Zone], f.Count)
		for _, p := range ps {
			p.stopped = true
		}
		sim.after(f.ForSeconds*1000, func() {
			for _, p := range ps {
				sim.resume(p)
			}
		})
	case "cut":
		sim.partition(f.Region)
		sim.electLeader()
	case "restart":
		for _, p := range sim.pickRunning(sim.byRole[Proxy], int(math.Ceil(f.Fraction*float64(len(sim.byRole[Proxy]))))) {
			sim.kill(p)
			sim.startProcess(p)
		}
	case "slow":
		ps := sim.pickRunning(sim.byRole[Proxy], f.Count)
		for _, p := range ps {
			p.receiveRate = f.Magnitude
		}
		sim.after(f.ForSeconds*1000, func() {
			for _, p := range ps {
				p.receiveRate, p.followableSince = 0, sim.now
			}
		})
	case "clocks":
		for _, p := range sim.processes {
			p.offset = (sim.faultRand.Float64() - 0.5) * f.Magnitude * 1000
		}
	case "burst":
		sim.purgeRateFactor = f.Magnitude
	case "loss":
		sim.lossProbability = f.Magnitude
	}
}

// mend has a fault end.
func (sim *simulation) endFault(f Fault) {
	switch f.Kind {
	case "cut":
		for _, p := range sim.processes {
			if p.partitioned {
				p.partitioned, p.followableSince = false, sim.now
			}
		}
		sim.cutRegion = -1
		for _, v := range sim.byRole[Store] {
			sim.catchUp(v)
		}
	case "clocks":
		for _, p := range sim.processes {
			p.offset = 0
		}
	case "burst":
		sim.purgeRateFactor = 1
	case "loss":
		sim.lossProbability = 0
	}
}

// draw picks n that run.
func (sim *simulation) pickRunning(ps []*process, n int) (out []*process) {
	for _, i := range sim.faultRand.Perm(len(ps)) {
		if len(out) < n && ps[i].running() {
			out = append(out, ps[i])
		}
	}
	return out
}

// kill ends a process: its kernel ends its connections.
func (sim *simulation) kill(p *process) {
	p.up = false
	sim.closeAll(p)
	p.incarnation++
	p.inbox, p.unread, p.omitted, p.applier = nil, nil, nil, nil
	p.gates = [2]*distribution.FreshnessGate{}
	p.streams, p.timers, p.applied, p.follower = [2]streamNode{}, [timerSlots]timer{}, [2]int{}, follower{persisted: p.follower.persisted}
	sim.electLeader()
}

// reviver starts those again that are down then.
func (sim *simulation) restarter(ps []*process) func() {
	return func() {
		for _, p := range ps {
			if !p.up {
				sim.startProcess(p)
			}
		}
	}
}

// begin starts a process anew, with nothing but what is on its disk.
func (sim *simulation) startProcess(p *process) {
	p.up, p.stopped, p.followableSince = true, false, sim.now
	sim.meter.processStarted(sim, p)
	if p.role == Store {
		sim.catchUp(p)
	}
}

// goOn has a process that stood still go on: what came meanwhile is there, and what is due too.
func (sim *simulation) resume(p *process) {
	p.stopped, p.followableSince = false, sim.now
	inbox := p.inbox
	p.inbox = nil
	for _, e := range inbox {
		if e.kind == eventTimer {
			p.timers[e.slot].scheduledAt = sim.now
		}
		e.at = sim.now
		sim.push(e)
	}
}

// elect has the store find another leader, if the one it had is gone or cut off from most.
func (sim *simulation) electLeader() {
	if sim.leader != nil && sim.leader.up && sim.leader.region != sim.cutRegion {
		return
	}
	if sim.leader == nil {
		return // under way
	}
	sim.leader = nil
	sim.after(sim.scenario.ElectionMs, func() {
		for _, v := range sim.byRole[Store] {
			if v.up && v.region != sim.cutRegion {
				sim.leader = v
				sim.term++
				sim.applyLog(v, len(sim.log.entries), sim.watermarkAt)
				sim.commitPending()
				return
			}
		}
	})
}
