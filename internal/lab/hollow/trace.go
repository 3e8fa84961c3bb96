package hollow

// tape keeps what machines asked the loop for, call by call, so that the same loop can be played once more with machines
// that do nothing else but ask for it again: what that takes is the loop's own share.
type callTrace struct {
	blocks       [][]traceRecord
	readPosition int // when read
	full         bool
}

// note is one thing that was asked for: kind, detail, a process or connection, and a size in the word.
type traceRecord struct {
	packed uint64
	value  float64
}

// The kinds of notes.
const (
	traceCallEnd = iota
	traceSend
	traceDial
	traceDisconnect
	traceSetTimer
	traceApplied
)

// Bounds of a tape: notes in a block, and blocks, 3.2 GB in all.
const (
	blockRecords = 1 << 20
	maxBlocks    = 200
)

func (t *callTrace) record(kind, detail int, id int32, size int, number float64) {
	if t == nil || t.full {
		return
	}
	n := len(t.blocks) - 1
	if n < 0 || len(t.blocks[n]) == blockRecords {
		if len(t.blocks) == maxBlocks {
			t.full = true
			return
		}
		t.blocks = append(t.blocks, make([]traceRecord, 0, blockRecords))
		n++
	}
	word := uint64(kind) | uint64(detail)<<4 | uint64(uint32(id))<<8 | uint64(size)<<40
	t.blocks[n] = append(t.blocks[n], traceRecord{word, number})
}

func (t *callTrace) next() (kind, detail int, id int32, size int, number float64, ok bool) {
	if t.readPosition/blockRecords >= len(t.blocks) || t.readPosition%blockRecords >= len(t.blocks[t.readPosition/blockRecords]) {
		return 0, 0, 0, 0, 0, false
	}
	x := t.blocks[t.readPosition/blockRecords][t.readPosition%blockRecords]
	t.readPosition++
	return int(x.packed & 15), int(x.packed >> 4 & 15), int32(uint32(x.packed >> 8)), int(x.packed >> 40), x.value, true
}

// empty is a way whose machines do nothing but ask for what is on a tape.
type replayer struct {
	sim         *simulation
	trace       *callTrace
	lastPayload *payload
}

func (e *replayer) replayCall() {
	sim := e.sim
	for {
		kind, detail, id, size, number, ok := e.trace.next()
		if !ok {
			return
		}
		switch kind {
		case traceCallEnd:
			return
		case traceSend:
			if e.lastPayload == nil || e.lastPayload.size != size {
				e.lastPayload = &payload{size: size}
			}
			sim.send(sim.conns[id], detail == 1, e.lastPayload)
		case traceDial:
			sim.dial(sim.processes[id], sim.processes[size], detail, 0)
		case traceDisconnect:
			c, by := sim.conns[id], sim.conns[id].to
			if detail == 1 {
				by = c.from
			}
			sim.closeConn(c, by)
		case traceSetTimer:
			sim.setTimer(sim.processes[id], detail, number)
		case traceApplied:
			sim.checker.advance(sim.processes[id], detail, uint64(number))
		}
	}
}

func (e *replayer) processStarted(*process) { e.replayCall() }
func (e *replayer) entriesApplied(p *process, batch []*logEntry, _ int64) {
	if p.role == Store {
		for _, c := range batch {
			p.applied[c.stream]++
		}
	}
	e.replayCall()
}
func (e *replayer) watermarkAdvanced(*process, int64)               { e.replayCall() }
func (e *replayer) messageReceived(*process, *conn, bool, *payload) { e.replayCall() }
func (e *replayer) connected(*process, *conn)                       { e.replayCall() }
func (e *replayer) lost(*process, *conn)                            { e.replayCall() }
func (e *replayer) timerFired(*process, int)                        { e.replayCall() }
func (e *replayer) hasFreshnessGate() bool                          { return false }
