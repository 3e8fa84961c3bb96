package distribution_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// breakage is what may happen beside loss.
type breakage int

const (
	cuts breakage = iota
	crashes
	stops
	epochs
	restarts
)

// run is one exhaustive search: all orders of all moves, up to a depth and a number of states.
type run struct {
	name    string
	without int
	depth   int
	faults  int // messages lost or twice
	breaks  int
	kinds   []breakage
	commits int // committed and not delivered when it begins
	before  func(w *world)
	heal    int // one state in so many is healed, and must end with everybody complete
}

var runs = []run{
	{name: "loss", without: atRight, depth: 7, faults: 2, heal: 11},
	{name: "cut", without: atRight, depth: 7, faults: 1, breaks: 1, kinds: []breakage{cuts}, heal: 11},
	{name: "crash", without: atRight, depth: 7, breaks: 2, kinds: []breakage{cuts, crashes}, heal: 11},
	{name: "stop", without: atRight, depth: 7, breaks: 1, kinds: []breakage{stops}, heal: 11},
	{name: "epoch", without: atRight, depth: 7, faults: 1, breaks: 1, kinds: []breakage{epochs}, heal: 11},
	{name: "behind", without: atRight, depth: 7, faults: 1, breaks: 1, kinds: []breakage{cuts}, commits: 4, heal: 11},
	{name: "restart", without: atRight, depth: 6, breaks: 2, kinds: []breakage{cuts, restarts}, heal: 5},
	{name: "far behind", without: atRight, depth: 6, breaks: 2, kinds: []breakage{cuts, restarts}, before: leftCutOff, heal: 5},
	{name: "old", without: atRight, depth: 6, faults: 1, breaks: 1, kinds: []breakage{epochs}, before: leftBehind, heal: 11},
	{name: "old chunks", without: atRight, depth: 5, breaks: 1, kinds: []breakage{cuts}, before: lateChunks, heal: 11},
	{name: "old batch", without: atRight, depth: 5, breaks: 1, kinds: []breakage{cuts}, before: lateBatch, heal: 11},
	{name: "asleep", without: atRight, depth: 6, breaks: 1, kinds: []breakage{cuts}, before: leafAsleep, heal: 11},
	{name: "four", depth: 5, faults: 1, breaks: 1, kinds: []breakage{cuts, crashes, stops, epochs, restarts}, heal: 23},
}

// move is one step of the model; the text is for the path of a failure.
type move struct {
	text string
	make func(w *world)
}

func (r run) moves(w *world) []move {
	var all []move
	add := func(make func(*world), format string, values ...any) {
		all = append(all, move{fmt.Sprintf(format, values...), make})
	}
	for at, l := range w.wires {
		pair := names[l.from] + "-" + names[l.to]
		if len(l.up) > 0 && !w.stopped[l.to] {
			add(func(w *world) { w.deliverUp(at) }, "%s up", pair)
		}
		if len(l.down) > 0 && !w.stopped[l.from] {
			add(func(w *world) { w.deliverDown(at) }, "%s down", pair)
		}
		if w.faults > 0 {
			r.faultsOf(w, at, pair, add)
		}
		if w.breaks > 0 && l.open && r.allows(cuts) {
			add(func(w *world) { w.breaks--; w.cut(at) }, "%s cut", pair)
		}
	}
	if w.next < len(w.script) {
		add(func(w *world) { w.commit() }, "commit %d", w.next)
	}
	add(func(w *world) { w.pass() }, "time")
	for _, i := range []int{atLeft, atLeaf} {
		switch {
		case w.stopped[i]:
			add(func(w *world) { w.resume(i) }, "%s wakes", names[i])
		case w.breaks > 0 && r.allows(stops):
			add(func(w *world) { w.breaks--; w.stopped[i] = true }, "%s stops", names[i])
		}
	}
	if w.breaks > 0 && r.allows(crashes) {
		add(func(w *world) { w.breaks--; w.crash(atLeft) }, "left crashes")
	}
	if w.breaks > 0 && r.allows(restarts) {
		add(func(w *world) { w.breaks--; w.restart() }, "root restarts")
		add(func(w *world) { w.breaks--; w.reread() }, "root reads its state again")
	}
	if w.breaks > 0 && r.allows(epochs) {
		add(func(w *world) { w.breaks--; w.restore() }, "a new epoch")
	}
	return all
}

func (r run) faultsOf(w *world, at int, pair string, add func(func(*world), string, ...any)) {
	l := w.wires[at]
	if len(l.up) > 0 && l.up[0] != nil {
		add(func(w *world) { w.faults--; w.wires[at].up = w.wires[at].up[1:] }, "%s up is lost", pair)
	}
	if len(l.down) == 0 || l.down[0] == nil {
		return
	}
	add(func(w *world) { w.faults--; w.lose(at) }, "%s down is lost", pair)
	add(func(w *world) { w.faults--; w.twice(at) }, "%s down comes twice, late", pair)
}

// lose drops the first message to a subscriber.
func (w *world) lose(at int) {
	l := &w.wires[at]
	if m := l.down[0]; counts(m) {
		l.bytes -= len(distribution.Encode(m).Bytes)
		l.frames--
	}
	l.down = l.down[1:]
}

// twice has the first message come once more behind all others.
func (w *world) twice(at int) {
	l := &w.wires[at]
	m := l.down[0]
	if counts(m) {
		size := len(distribution.Encode(m).Bytes)
		l.bytes, l.extra = l.bytes+size, l.extra+size
		l.frames++
	}
	l.down = append(l.down, m)
}

func (r run) allows(b breakage) bool {
	for _, k := range r.kinds {
		if k == b {
			return true
		}
	}
	return false
}

// leftBehind has a relay that has just come back, with its snapshot on the way.
func leftBehind(w *world) {
	w.crash(atLeft)
	for range 20 {
		for at := range w.wires {
			if w.wires[at].from == atLeft && len(w.wires[at].up) > 0 {
				w.deliverUp(at)
			}
			if w.wires[at].from == atLeft && len(w.wires[at].down) > 2 {
				return
			}
		}
		w.tidy()
		w.pass()
	}
}

// leftCutOff has a relay that has lost its link, and more committed than the backlog keeps.
func leftCutOff(w *world) {
	w.cut(w.wireFrom(atLeft))
	for range 4 {
		w.commit()
	}
}

// late has messages to the left relay, kept from the epoch before, come behind those of the new one.
func (w *world) late(kept []distribution.Message) {
	w.settle()
	w.restore()
	w.settle()
	at := w.wireFrom(atLeft)
	w.wires[at].down = append(w.wires[at].down, kept...)
}

func (w *world) wireFrom(from int) int {
	return slices.IndexFunc(w.wires, func(l wire) bool { return l.from == from && l.open })
}

func lateChunks(w *world) {
	leftBehind(w)
	var kept []distribution.Message
	for _, m := range w.wires[w.wireFrom(atLeft)].down {
		if _, isChunk := m.(distribution.SnapshotChunk); isChunk {
			kept = append(kept, m)
		}
	}
	w.late(kept)
}

func lateBatch(w *world) {
	w.commit()
	w.late(slices.Clone(w.wires[w.wireFrom(atLeft)].down))
}

// leafAsleep has a leaf that was stopped for longer than its bound, and what was sent meanwhile.
func leafAsleep(w *world) {
	w.stopped[atLeaf] = true
	w.commit()
	for until := w.now + 3000; w.now < until; {
		w.settle()
		w.pass()
	}
}

// found is what a search came to.
type found struct {
	states, healed int
	path           string
	err            error
}

// explore goes through all states, the nearest first.
func (r run) explore(m mutation) found {
	type node struct {
		w    *world
		from *node
		text string
	}
	path := func(n *node, last string) string {
		for ; n != nil; n = n.from {
			last = n.text + "; " + last
		}
		return last
	}
	start := newWorld(r.without, m)
	for range r.commits {
		start.commit()
	}
	if r.before != nil {
		r.before(start)
	}
	start.faults, start.breaks = r.faults, r.breaks
	if start.broken != nil {
		return found{err: start.broken, path: "the start"}
	}
	var out found
	known := map[uint64]bool{}
	level := []*node{{w: start}}
	var buffer []byte
	for depth := 0; depth < r.depth && len(level) > 0; depth++ {
		var next []*node
		for _, n := range level {
			for _, step := range r.moves(n.w) {
				w := n.w.clone()
				step.make(w)
				w.tidy()
				if w.broken != nil {
					out.err, out.path = w.broken, path(n, step.text)
					return out
				}
				buffer = w.print(buffer[:0])
				if sum := xxhash.Sum64(buffer); known[sum] {
					continue
				} else {
					known[sum] = true
				}
				out.states++
				if out.states%r.heal == 0 {
					out.healed++
					if err := w.clone().heal(); err != nil {
						out.err, out.path = err, path(n, step.text+"; all heals")
						return out
					}
				}
				next = append(next, &node{w: w, from: n, text: step.text})
			}
			n.w = nil
		}
		level = next
	}
	return out
}

func TestEveryOrderOfEvents(t *testing.T) {
	for _, r := range runs {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			f := r.explore(mutation{})
			require.NoError(t, f.err, "after %s", f.path)
			t.Logf("%d states, %d healed", f.states, f.healed)
		})
	}
}

func TestMutationsAreCaught(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			f := m.caught()
			require.Error(t, f.err, "%s does not catch it in %d states", m.run, f.states)
			t.Logf("%s after %d states: %v (%s)", m.run, f.states, f.err, f.path)
		})
	}
}
