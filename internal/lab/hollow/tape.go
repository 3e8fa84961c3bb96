package hollow

// tape keeps what machines asked the loop for, call by call, so that the same loop can be played once more with machines
// that do nothing else but ask for it again: what that takes is the loop's own share.
type tape struct {
	blocks [][]note
	at     int // when read
	full   bool
}

// note is one thing that was asked for: kind, detail, a process or connection, and a size in the word.
type note struct {
	word   uint64
	number float64
}

// The kinds of notes.
const (
	tapeEnd = iota
	tapeSend
	tapeDial
	tapeHang
	tapeWake
	tapeReach
)

// Bounds of a tape: notes in a block, and blocks, 3.2 GB in all.
const (
	blockNotes = 1 << 20
	mostBlocks = 200
)

func (t *tape) write(kind, detail int, id int32, size int, number float64) {
	if t == nil || t.full {
		return
	}
	n := len(t.blocks) - 1
	if n < 0 || len(t.blocks[n]) == blockNotes {
		if len(t.blocks) == mostBlocks {
			t.full = true
			return
		}
		t.blocks = append(t.blocks, make([]note, 0, blockNotes))
		n++
	}
	word := uint64(kind) | uint64(detail)<<4 | uint64(uint32(id))<<8 | uint64(size)<<40
	t.blocks[n] = append(t.blocks[n], note{word, number})
}

func (t *tape) read() (kind, detail int, id int32, size int, number float64, ok bool) {
	if t.at/blockNotes >= len(t.blocks) || t.at%blockNotes >= len(t.blocks[t.at/blockNotes]) {
		return 0, 0, 0, 0, 0, false
	}
	x := t.blocks[t.at/blockNotes][t.at%blockNotes]
	t.at++
	return int(x.word & 15), int(x.word >> 4 & 15), int32(uint32(x.word >> 8)), int(x.word >> 40), x.number, true
}

// empty is a way whose machines do nothing but ask for what is on a tape.
type empty struct {
	w    *world
	tape *tape
	last *payload
}

func (e *empty) call() {
	w := e.w
	for {
		kind, detail, id, size, number, ok := e.tape.read()
		if !ok {
			return
		}
		switch kind {
		case tapeEnd:
			return
		case tapeSend:
			if e.last == nil || e.last.size != size {
				e.last = &payload{size: size}
			}
			w.send(w.conns[id], detail == 1, e.last)
		case tapeDial:
			w.dial(w.processes[id], w.processes[size], detail, 0)
		case tapeHang:
			c, by := w.conns[id], w.conns[id].to
			if detail == 1 {
				by = c.from
			}
			w.hangUp(c, by)
		case tapeWake:
			w.wake(w.processes[id], detail, number)
		case tapeReach:
			w.check.reached(w.processes[id], detail, uint64(number))
		}
	}
}

func (e *empty) begin(*process) { e.call() }
func (e *empty) committed(p *process, batch []*committed, _ int64) {
	if p.role == Store {
		for _, c := range batch {
			p.next[c.stream]++
		}
	}
	e.call()
}
func (e *empty) marked(*process, int64)                  { e.call() }
func (e *empty) receive(*process, *conn, bool, *payload) { e.call() }
func (e *empty) connected(*process, *conn)               { e.call() }
func (e *empty) lost(*process, *conn)                    { e.call() }
func (e *empty) tick(*process, int)                      { e.call() }
func (e *empty) guards() bool                            { return false }
