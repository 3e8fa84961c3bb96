package hollow

import "time"

// callsPerSample is the number of calls of a role's full processes of which one is timed. Not every call is timed, as reading the
// clock costs about as much as a short call.
const callsPerSample = 16

// callMeter calls the propagator on behalf of the simulation. It counts the calls by role, and times a sample of them.
type callMeter struct {
	roles       [roleCount]CallStats
	sinceSample [roleCount]int // calls of full processes since the last one that was timed
}

// CallStats counts the calls of a role's processes.
type CallStats struct {
	Calls      int64 `json:"calls"`   // of all processes
	FullCalls  int64 `json:"whole"`   // of full processes
	TimedCalls int64 `json:"sampled"` // of full processes, that were timed
	TimedNanos int64 `json:"nanos"`   // wall-clock time of the timed calls
}

// beginCall counts a call. It returns the current time if the call is to be timed, and otherwise the zero Time.
func (m *callMeter) beginCall(p *process) (began time.Time) {
	stats := &m.roles[p.role]
	stats.Calls++
	if !p.full {
		return began
	}
	stats.FullCalls++
	m.sinceSample[p.role]++
	if m.sinceSample[p.role] < callsPerSample {
		return began
	}
	m.sinceSample[p.role] = 0
	return time.Now()
}

// endCall ends a call that beginCall has counted, and records its end in the trace.
func (m *callMeter) endCall(sim *simulation, p *process, began time.Time) {
	if !began.IsZero() {
		stats := &m.roles[p.role]
		stats.TimedCalls++
		stats.TimedNanos += int64(time.Since(began))
	}
	sim.trace.record(tracedCall{kind: traceCallEnd})
}

func (m *callMeter) processStarted(sim *simulation, p *process) {
	began := m.beginCall(p)
	sim.propagator.processStarted(p)
	m.endCall(sim, p, began)
}

// entriesApplied also applies the entries with the member's applier, as the program's store does before it reports them.
func (m *callMeter) entriesApplied(sim *simulation, member *process, entries []*logEntry, watermarkAt int64) {
	began := m.beginCall(member)
	if member.applier != nil {
		for _, entry := range entries {
			member.applier.applyChange(entry.encodedChange)
		}
	}
	sim.propagator.entriesApplied(member, entries, watermarkAt)
	m.endCall(sim, member, began)
}

func (m *callMeter) watermarkAdvanced(sim *simulation, member *process, watermarkAt int64) {
	began := m.beginCall(member)
	sim.propagator.watermarkAdvanced(member, watermarkAt)
	m.endCall(sim, member, began)
}

func (m *callMeter) messageReceived(sim *simulation, p *process, c *conn, upward bool, content *payload) {
	began := m.beginCall(p)
	sim.propagator.messageReceived(p, c, upward, content)
	m.endCall(sim, p, began)
}

func (m *callMeter) connected(sim *simulation, p *process, c *conn) {
	began := m.beginCall(p)
	sim.propagator.connected(p, c)
	m.endCall(sim, p, began)
}

func (m *callMeter) connectionLost(sim *simulation, p *process, c *conn) {
	began := m.beginCall(p)
	sim.propagator.connectionLost(p, c)
	m.endCall(sim, p, began)
}

func (m *callMeter) timerFired(sim *simulation, p *process, slot timerSlot) {
	began := m.beginCall(p)
	sim.propagator.timerFired(p, slot)
	m.endCall(sim, p, began)
}
