package hollow

import "time"

// meter stands between the loop and the machines: it counts what the machines of each role are asked, and takes the time of
// one call in sampledEach, of the processes that hold all.
type meter struct {
	roles [nRoles]Spent
	turn  [nRoles]int
}

// Spent is what machines of one role took.
type Spent struct {
	Calls   int64 `json:"calls"`   // of all processes of the role
	Whole   int64 `json:"whole"`   // of those that hold all
	Sampled int64 `json:"sampled"` // of them, timed
	Nanos   int64 `json:"nanos"`   // that those took, on the wall
}

// sampledEach call is timed: reading the clock costs about as much as a small call.
const sampledEach = 16

func (m *meter) enter(p *process) (began time.Time) {
	s := &m.roles[p.role]
	s.Calls++
	if !p.whole {
		return began
	}
	s.Whole++
	if m.turn[p.role]++; m.turn[p.role] == sampledEach {
		m.turn[p.role] = 0
		return time.Now()
	}
	return began
}

func (m *meter) leave(w *world, p *process, began time.Time) {
	if !began.IsZero() {
		s := &m.roles[p.role]
		s.Sampled++
		s.Nanos += int64(time.Since(began))
	}
	w.tape.write(tapeEnd, 0, 0, 0, 0)
}

func (m *meter) begin(w *world, p *process) {
	began := m.enter(p)
	w.way.begin(p)
	m.leave(w, p, began)
}

func (m *meter) commit(w *world, p *process, batch []*committed, at int64) {
	began := m.enter(p)
	if p.applier != nil {
		for _, c := range batch {
			p.applier.change(c.change)
		}
	}
	w.way.committed(p, batch, at)
	m.leave(w, p, began)
}

func (m *meter) mark(w *world, p *process, at int64) {
	began := m.enter(p)
	w.way.marked(p, at)
	m.leave(w, p, began)
}

func (m *meter) receive(w *world, p *process, c *conn, up bool, load *payload) {
	began := m.enter(p)
	w.way.receive(p, c, up, load)
	m.leave(w, p, began)
}

func (m *meter) connected(w *world, p *process, c *conn) {
	began := m.enter(p)
	w.way.connected(p, c)
	m.leave(w, p, began)
}

func (m *meter) lost(w *world, p *process, c *conn) {
	began := m.enter(p)
	w.way.lost(p, c)
	m.leave(w, p, began)
}

func (m *meter) tick(w *world, p *process, slot int) {
	began := m.enter(p)
	w.way.tick(p, slot)
	m.leave(w, p, began)
}
