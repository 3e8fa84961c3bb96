package hollow

// Phase is the time between two changes of the scenario's faults, with the traffic of each role in it.
type Phase struct {
	FromSeconds      float64                `json:"from_s"`
	ToSeconds        float64                `json:"to_s"`
	FaultKinds       []FaultKind            `json:"faults"` // of the faults in progress
	PurgeRateFactor  float64                `json:"burst"`
	RestartedProxies int                    `json:"begun"`
	Traffic          [roleCount]RoleTraffic `json:"traffic"` // by role
}

// RoleTraffic is the traffic of the processes of a role in KB a second.
type RoleTraffic struct {
	Role         string  `json:"role"`
	InKBPerS     float64 `json:"in_kb_s"`       // mean
	OutKBPerS    float64 `json:"out_kb_s"`      // mean
	MaxInKBPerS  float64 `json:"most_in_kb_s"`  // of one process
	MaxOutKBPerS float64 `json:"most_out_kb_s"` // of one process
}

// Recovery is how long processes lagged after a fault: until when one that runs and is reachable lacked something older than
// the scenario's RecoveredLagMs.
type Recovery struct {
	Fault              Fault   `json:"fault"`
	CountedFromSeconds float64 `json:"counted_from_s"` // end of the fault; start, where processes are to recover during it
	AfterSeconds       float64 `json:"after_s"`
	MaxLagMs           float64 `json:"worst_lag_ms"`
}

// maxRecoveryWatch is the time in ms after which lag is no longer put down to a fault.
const maxRecoveryWatch = 30_000

// phaseTolerance is how far in ms the start of a phase and the start or end of a fault may differ.
const phaseTolerance = 0.5

// recoveryStart is when the recovery from a fault is counted from: its end, or its start where others take over for processes
// that are gone.
func (f Fault) recoveryStart() float64 {
	switch f.Kind {
	case FaultKill, FaultStop, FaultLeader:
		return f.start()
	}
	return f.end()
}

// watchRecovery watches the lag after a fault, until the next start or end of a fault.
func (sim *simulation) watchRecovery(f Fault) {
	from := f.recoveryStart()
	until := from + maxRecoveryWatch
	for _, other := range sim.scenario.Timeline() {
		for _, at := range []float64{other.start(), other.end()} {
			if at > from {
				until = min(until, at)
			}
		}
	}
	until = min(until, sim.end()-1)
	sim.after(from+1, func() { sim.lastLaggedAt, sim.maxLag = -1, 0 })
	sim.after(until, func() {
		sim.recoveries = append(sim.recoveries, Recovery{
			Fault:              f,
			CountedFromSeconds: (from - warmUpMs) / 1000,
			AfterSeconds:       max(0, sim.lastLaggedAt-from) / 1000,
			MaxLagMs:           sim.maxLag,
		})
	})
}

// startPhase ends the current phase and starts the next one.
func (sim *simulation) startPhase() {
	now := (sim.now - warmUpMs) / 1000
	if n := len(sim.phases); n > 0 {
		phase := &sim.phases[n-1]
		phase.ToSeconds = now
		if phase.ToSeconds <= phase.FromSeconds {
			return
		}
		for role, processes := range sim.byRole {
			phase.Traffic[role] = roleTraffic(Role(role), processes, phase.ToSeconds-phase.FromSeconds)
		}
	}
	for _, p := range sim.processes {
		p.phaseInBytes, p.phaseOutBytes = 0, 0
	}
	phase := Phase{FromSeconds: now, PurgeRateFactor: sim.purgeRateFactor}
	for _, fault := range sim.scenario.Timeline() {
		if !fault.inProgress(sim.now) {
			continue
		}
		phase.FaultKinds = append(phase.FaultKinds, fault.Kind)
		switch fault.Kind {
		case FaultBurst:
			phase.PurgeRateFactor = fault.Magnitude
		case FaultRestart:
			phase.RestartedProxies = fault.affectedProxies(sim)
		}
	}
	sim.phases = append(sim.phases, phase)
}

// inProgress reports whether a fault affects the phase that starts at a virtual time in ms.
func (f Fault) inProgress(now float64) bool {
	start := f.start()
	return start <= now+phaseTolerance && now < f.end()-phaseTolerance || start == now
}

func roleTraffic(role Role, processes []*process, seconds float64) RoleTraffic {
	t := RoleTraffic{Role: role.String()}
	n := float64(len(processes))
	for _, p := range processes {
		in, out := float64(p.phaseInBytes)/1000/seconds, float64(p.phaseOutBytes)/1000/seconds
		t.InKBPerS += in / n
		t.OutKBPerS += out / n
		t.MaxInKBPerS = max(t.MaxInKBPerS, in)
		t.MaxOutKBPerS = max(t.MaxOutKBPerS, out)
	}
	return t
}
