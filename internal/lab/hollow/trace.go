package hollow

// callTrace records the calls from a propagator to the simulation. A replayer plays them back without the deciders, to measure the
// cost of the simulation itself. A nil callTrace records nothing.
type callTrace struct {
	blocks       [][]packedCall
	readPosition int  // number of calls that next has returned
	full         bool // the bound was reached, and later calls were not recorded
}

// traceKind is the kind of a recorded call.
type traceKind uint8

const (
	traceCallEnd traceKind = iota // the propagator has returned
	traceSend
	traceDial
	traceDisconnect
	traceSetTimer
	traceApplied
)

// tracedCall is one recorded call. The meaning of detail, id, size and value depends on the kind.
type tracedCall struct {
	kind   traceKind
	detail int     // a stream, a timer slot or a direction; below 16
	id     int32   // of a process or a connection
	size   int     // bytes, or the id of a second process; below 1<<24
	value  float64 // ms, or a sequence number
}

// packedCall is a tracedCall in 16 bytes. word holds kind (4 bits), detail (4), id (32) and size (24).
type packedCall struct {
	word  uint64
	value float64
}

// Positions in bits of the fields of packedCall.word, and the mask of a field of 4 bits.
const (
	detailShift = 4
	idShift     = 8
	sizeShift   = 40
	nibbleMask  = 15
)

func (c tracedCall) pack() packedCall {
	word := uint64(c.kind) | uint64(c.detail)<<detailShift | uint64(uint32(c.id))<<idShift | uint64(c.size)<<sizeShift
	return packedCall{word, c.value}
}

func (p packedCall) unpack() tracedCall {
	return tracedCall{
		kind:   traceKind(p.word & nibbleMask),
		detail: int(p.word >> detailShift & nibbleMask),
		id:     int32(uint32(p.word >> idShift)),
		size:   int(p.word >> sizeShift),
		value:  p.value,
	}
}

// Bounds of a trace: 3.2 GB in all.
const (
	callsPerBlock = 1 << 20
	maxBlocks     = 200
)

// record appends a call, unless the trace is full.
func (t *callTrace) record(call tracedCall) {
	if t == nil || t.full {
		return
	}
	last := len(t.blocks) - 1
	if last < 0 || len(t.blocks[last]) == callsPerBlock {
		if len(t.blocks) == maxBlocks {
			t.full = true
			return
		}
		t.blocks = append(t.blocks, make([]packedCall, 0, callsPerBlock))
		last++
	}
	t.blocks[last] = append(t.blocks[last], call.pack())
}

// next returns the next call. ok is false at the end of the trace.
func (t *callTrace) next() (call tracedCall, ok bool) {
	block, index := t.readPosition/callsPerBlock, t.readPosition%callsPerBlock
	if block >= len(t.blocks) || index >= len(t.blocks[block]) {
		return tracedCall{}, false
	}
	t.readPosition++
	return t.blocks[block][index].unpack(), true
}

// readToLimit reports whether as many calls have been read as a trace can hold.
func (t *callTrace) readToLimit() bool { return t.readPosition >= maxBlocks*callsPerBlock }

// replayer is a propagator without deciders: each call to it plays back the calls that the trace recorded for it.
type replayer struct {
	sim         *simulation
	trace       *callTrace
	lastPayload *payload // reused for successive messages of the same size
}

// replayCall plays back the calls up to the next traceCallEnd.
func (r *replayer) replayCall() {
	for {
		call, ok := r.trace.next()
		if !ok || call.kind == traceCallEnd {
			return
		}
		r.replay(call)
	}
}

func (r *replayer) replay(call tracedCall) {
	sim := r.sim
	switch call.kind {
	case traceSend:
		if r.lastPayload == nil || r.lastPayload.size != call.size {
			r.lastPayload = &payload{size: call.size}
		}
		sim.send(sim.conns[call.id], call.detail == 1, r.lastPayload)
	case traceDial:
		sim.dial(sim.processes[call.id], sim.processes[call.size], call.detail, 0)
	case traceDisconnect:
		c := sim.conns[call.id]
		by := c.to
		if call.detail == 1 {
			by = c.from
		}
		sim.closeConn(c, by)
	case traceSetTimer:
		sim.setTimer(sim.processes[call.id], timerSlot(call.detail), call.value)
	case traceApplied:
		sim.checker.advance(sim.processes[call.id], call.detail, uint64(call.value))
	}
}

// processStarted implements propagator.
func (r *replayer) processStarted(*process) { r.replayCall() }

// entriesApplied implements propagator.
func (r *replayer) entriesApplied(member *process, entries []*logEntry, _ int64) {
	if member.role == StoreMember {
		for _, entry := range entries {
			member.applied[entry.stream]++
		}
	}
	r.replayCall()
}

// watermarkAdvanced implements propagator.
func (r *replayer) watermarkAdvanced(*process, int64) { r.replayCall() }

// messageReceived implements propagator.
func (r *replayer) messageReceived(*process, *conn, bool, *payload) { r.replayCall() }

// connected implements propagator.
func (r *replayer) connected(*process, *conn) { r.replayCall() }

// connectionLost implements propagator.
func (r *replayer) connectionLost(*process, *conn) { r.replayCall() }

// timerFired implements propagator.
func (r *replayer) timerFired(*process, timerSlot) { r.replayCall() }

// hasFreshnessGate implements propagator.
func (r *replayer) hasFreshnessGate() bool { return false }
