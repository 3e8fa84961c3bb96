package hollow

// Phase is a period in which no fault starts or ends, with the traffic of each role.
type Phase struct {
	FromSeconds      float64                `json:"from_s"`
	ToSeconds        float64                `json:"to_s"`
	FaultKinds       []FaultKind            `json:"faults"` // kinds of the faults in progress
	PurgeRateFactor  float64                `json:"burst"`
	RestartedProxies int                    `json:"begun"`
	Traffic          [roleCount]RoleTraffic `json:"traffic"` // by role
}

// RoleTraffic is the traffic of the processes of a role in KB/s.
type RoleTraffic struct {
	Role         string  `json:"role"`
	InKBPerS     float64 `json:"in_kb_s"`       // mean
	OutKBPerS    float64 `json:"out_kb_s"`      // mean
	MaxInKBPerS  float64 `json:"most_in_kb_s"`  // of one process
	MaxOutKBPerS float64 `json:"most_out_kb_s"` // of one process
}

// Recovery is the time for which processes lagged after a fault: until no running and reachable process lacked an entry older
// than the scenario's RecoveredLagMs.
type Recovery struct {
	Fault              Fault   `json:"fault"`
	CountedFromSeconds float64 `json:"counted_from_s"` // end of the fault, or its start; see recoveryStart
	AfterSeconds       float64 `json:"after_s"`
	MaxLagMs           float64 `json:"worst_lag_ms"`
}

// maxRecoveryWatch is the time in ms after which lag is no longer attributed to a fault.
const maxRecoveryWatch = 30_000

// phaseTolerance is the difference in ms up to which the start of a phase and the start or end of a fault count as the same time.
const phaseTolerance = 0.5

// recoveryStart is the time from which the recovery from a fault is counted: its end, or its start for a fault during which other
// processes take over from those that are down.
func (f Fault) recoveryStart() float64 {
	switch f.Kind {
	case FaultKill, FaultStop, FaultLeader:
		return f.start()
	}
	return f.end()
}

// watchRecovery schedules the measurement of the lag after a fault, which lasts until the next start or end of a fault.
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

// inProgress reports whether a fault is in progress in the phase that starts at a virtual time in ms.
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
