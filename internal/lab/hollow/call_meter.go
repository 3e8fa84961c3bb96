package hollow

import "time"

// meter stands between the loop and the machines: it counts what the machines of each role are asked, and takes the time of
// one call in sampledEach, of the processes that hold all.
type callMeter struct {
	roles       [roleCount]CallStats
	sinceSample [roleCount]int
}

// Spent is what machines of one role took.
type CallStats struct {
	Calls      int64 `json:"calls"`   // of all processes of the role
	FullCalls  int64 `json:"whole"`   // of those that hold all
	TimedCalls int64 `json:"sampled"` // of them, timed
	TimedNanos int64 `json:"nanos"`   // that those took, on the wall
}

// sampledEach call is timed: reading the clock costs about as much as a small call.
const callsPerSample = 16

func (m *callMeter) beginCall(p *process) (began time.Time) {
	s := &m.roles[p.role]
	s.Calls++
	if !p.full {
		return began
	}
	s.FullCalls++
	if m.sinceSample[p.role]++; m.sinceSample[p.role] == callsPerSample {
		m.sinceSample[p.role] = 0
		return time.Now()
	}
	return began
}

func (m *callMeter) endCall(sim *simulation, p *process, began time.Time) {
	if !began.IsZero() {
		s := &m.roles[p.role]
		s.TimedCalls++
		s.TimedNanos += int64(time.Since(began))
	}
	sim.trace.record(traceCallEnd, 0, 0, 0, 0)
}

func (m *callMeter) processStarted(sim *simulation, p *process) {
	began := m.beginCall(p)
	sim.propagator.processStarted(p)
	m.endCall(sim, p, began)
}

func (m *callMeter) entriesApplied(sim *simulation, p *process, batch []*logEntry, at int64) {
	began := m.beginCall(p)
	if p.applier != nil {
		for _, c := range batch {
			p.applier.applyChange(c.encodedChange)
		}
	}
	sim.propagator.entriesApplied(p, batch, at)
	m.endCall(sim, p, began)
}

func (m *callMeter) watermarkAdvanced(sim *simulation, p *process, at int64) {
	began := m.beginCall(p)
	sim.propagator.watermarkAdvanced(p, at)
	m.endCall(sim, p, began)
}

func (m *callMeter) messageReceived(sim *simulation, p *process, c *conn, up bool, load *payload) {
	began := m.beginCall(p)
	sim.propagator.messageReceived(p, c, up, load)
	m.endCall(sim, p, began)
}

func (m *callMeter) connected(sim *simulation, p *process, c *conn) {
	began := m.beginCall(p)
	sim.propagator.connected(p, c)
	m.endCall(sim, p, began)
}

func (m *callMeter) lost(sim *simulation, p *process, c *conn) {
	began := m.beginCall(p)
	sim.propagator.lost(p, c)
	m.endCall(sim, p, began)
}

func (m *callMeter) timerFired(sim *simulation, p *process, slot int) {
	began := m.beginCall(p)
	sim.propagator.timerFired(p, slot)
	m.endCall(sim, p, began)
}
