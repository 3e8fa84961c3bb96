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

// breakage is a fault other than the loss or the duplication of a message.
type breakage int

const (
	linkCuts breakage = iota
	processCrashes
	processPauses
	newEpochs
	rootRestarts
)

// search is one exhaustive search: all orders of all steps, up to a depth.
type search struct {
	name          string
	absent        int
	depth         int
	faults        int // messages that are lost or duplicated
	breakages     int
	breakageKinds []breakage
	commits       int // entries that are committed and not delivered at the beginning
	prepare       func(w *world)
	healEvery     int // from one state in so many all faults end, and every process must become complete
}

var searches = []search{
	{name: "loss", absent: atRight, depth: 7, faults: 2, healEvery: 11},
	{name: "cut", absent: atRight, depth: 7, faults: 1, breakages: 1, breakageKinds: []breakage{linkCuts}, healEvery: 11},
	{name: "crash", absent: atRight, depth: 7, breakages: 2, breakageKinds: []breakage{linkCuts, processCrashes}, healEvery: 11},
	{name: "stop", absent: atRight, depth: 7, breakages: 1, breakageKinds: []breakage{processPauses}, healEvery: 11},
	{name: "epoch", absent: atRight, depth: 7, faults: 1, breakages: 1, breakageKinds: []breakage{newEpochs}, healEvery: 11},
	{name: "behind", absent: atRight, depth: 7, faults: 1, breakages: 1, breakageKinds: []breakage{linkCuts}, commits: 4, healEvery: 11},
	{name: "restart", absent: atRight, depth: 6, breakages: 2, breakageKinds: []breakage{linkCuts, rootRestarts}, healEvery: 5},
	{
		name: "far behind", absent: atRight, depth: 6, breakages: 2, breakageKinds: []breakage{linkCuts, rootRestarts},
		prepare: leftCutOff, healEvery: 5,
	},
	{name: "old", absent: atRight, depth: 6, faults: 1, breakages: 1, breakageKinds: []breakage{newEpochs}, prepare: leftRestoring, healEvery: 11},
	{name: "old chunks", absent: atRight, depth: 5, breakages: 1, breakageKinds: []breakage{linkCuts}, prepare: oldEpochChunks, healEvery: 11},
	{name: "old batch", absent: atRight, depth: 5, breakages: 1, breakageKinds: []breakage{linkCuts}, prepare: oldEpochBatch, healEvery: 11},
	{name: "asleep", absent: atRight, depth: 6, breakages: 1, breakageKinds: []breakage{linkCuts}, prepare: leafPaused, healEvery: 11},
	{
		name: "four", depth: 5, faults: 1, breakages: 1,
		breakageKinds: []breakage{linkCuts, processCrashes, processPauses, newEpochs, rootRestarts}, healEvery: 23,
	},
}

// step is one step of the model; the text is for the path to a failure.
type step struct {
	text string
	take func(w *world)
}

func (r search) steps(w *world) []step {
	var all []step
	add := func(make func(*world), format string, values ...any) {
		all = append(all, step{fmt.Sprintf(format, values...), make})
	}
	for at, l := range w.links {
		pair := names[l.from] + "-" + names[l.to]
		if len(l.up) > 0 && !w.stopped[l.to] {
			add(func(w *world) { w.deliverUp(at) }, "%s up", pair)
		}
		if len(l.down) > 0 && !w.stopped[l.from] {
			add(func(w *world) { w.deliverDown(at) }, "%s down", pair)
		}
		if w.faultsLeft > 0 {
			r.addFaults(w, at, pair, add)
		}
		if w.breakagesLeft > 0 && l.open && r.allows(linkCuts) {
			add(func(w *world) { w.breakagesLeft--; w.cut(at) }, "%s cut", pair)
		}
	}
	if w.nextEntry < len(w.script) {
		add(func(w *world) { w.commit() }, "commit %d", w.nextEntry)
	}
	add(func(w *world) { w.advanceTime() }, "time")
	for _, i := range []int{atLeft, atLeaf} {
		switch {
		case w.stopped[i]:
			add(func(w *world) { w.resume(i) }, "%s resumes", names[i])
		case w.breakagesLeft > 0 && r.allows(processPauses):
			add(func(w *world) { w.breakagesLeft--; w.stopped[i] = true }, "%s pauses", names[i])
		}
	}
	if w.breakagesLeft > 0 && r.allows(processCrashes) {
		add(func(w *world) { w.breakagesLeft--; w.crash(atLeft) }, "left crashes")
	}
	if w.breakagesLeft > 0 && r.allows(rootRestarts) {
		add(func(w *world) { w.breakagesLeft--; w.restartRoot() }, "root restarts")
		add(func(w *world) { w.breakagesLeft--; w.restoreRoot() }, "root restores its state")
	}
	if w.breakagesLeft > 0 && r.allows(newEpochs) {
		add(func(w *world) { w.breakagesLeft--; w.beginEpoch() }, "a new epoch")
	}
	return all
}

func (r search) addFaults(w *world, at int, pair string, add func(func(*world), string, ...any)) {
	l := w.links[at]
	if len(l.up) > 0 && l.up[0] != nil {
		add(func(w *world) { w.faultsLeft--; w.links[at].up = w.links[at].up[1:] }, "%s up is lost", pair)
	}
	if len(l.down) == 0 || l.down[0] == nil {
		return
	}
	add(func(w *world) { w.faultsLeft--; w.dropMessage(at) }, "%s down is lost", pair)
	add(func(w *world) { w.faultsLeft--; w.duplicateMessage(at) }, "%s down is duplicated, late", pair)
}

// dropMessage loses the first message to a subscriber.
func (w *world) dropMessage(at int) {
	l := &w.links[at]
	if m := l.down[0]; countsAgainstCredit(m) {
		l.bytesInFlight -= len(distribution.Encode(m).Bytes)
		l.framesInFlight--
	}
	l.down = l.down[1:]
}

// duplicateMessage has the first message arrive once more, behind all others.
func (w *world) duplicateMessage(at int) {
	l := &w.links[at]
	m := l.down[0]
	if countsAgainstCredit(m) {
		size := len(distribution.Encode(m).Bytes)
		l.bytesInFlight, l.duplicatedBytes = l.bytesInFlight+size, l.duplicatedBytes+size
		l.framesInFlight++
	}
	l.down = append(l.down, m)
}

func (r search) allows(b breakage) bool {
	for _, k := range r.breakageKinds {
		if k == b {
			return true
		}
	}
	return false
}

// leftRestoring has a relay that has just restarted, with its snapshot in flight.
func leftRestoring(w *world) {
	w.crash(atLeft)
	for range 20 {
		for at := range w.links {
			if w.links[at].from == atLeft && len(w.links[at].up) > 0 {
				w.deliverUp(at)
			}
			if w.links[at].from == atLeft && len(w.links[at].down) > 2 {
				return
			}
		}
		w.dropEndedLinks()
		w.advanceTime()
	}
}

// leftCutOff has a relay that has lost its link, and more entries committed than the backlog retains.
func leftCutOff(w *world) {
	w.cut(w.openLinkFrom(atLeft))
	for range 4 {
		w.commit()
	}
}

// deliverLate has messages of the epoch before arrive at the left relay behind those of the new one.
func (w *world) deliverLate(messages []distribution.Message) {
	w.deliverAll()
	w.beginEpoch()
	w.deliverAll()
	at := w.openLinkFrom(atLeft)
	w.links[at].down = append(w.links[at].down, messages...)
}

func (w *world) openLinkFrom(from int) int {
	return slices.IndexFunc(w.links, func(l modelLink) bool { return l.from == from && l.open })
}

func oldEpochChunks(w *world) {
	leftRestoring(w)
	var messages []distribution.Message
	for _, m := range w.links[w.openLinkFrom(atLeft)].down {
		if _, isChunk := m.(distribution.SnapshotChunk); isChunk {
			messages = append(messages, m)
		}
	}
	w.deliverLate(messages)
}

func oldEpochBatch(w *world) {
	w.commit()
	w.deliverLate(slices.Clone(w.links[w.openLinkFrom(atLeft)].down))
}

// leafPaused has a leaf that was paused for longer than MaxLag, and what was sent meanwhile.
func leafPaused(w *world) {
	w.stopped[atLeaf] = true
	w.commit()
	for until := w.now + 3000; w.now < until; {
		w.deliverAll()
		w.advanceTime()
	}
}

// searchResult is the result of a search.
type searchResult struct {
	states, healed int
	path           string
	err            error
}

// explore visits all states, breadth first.
func (r search) explore(m mutation) searchResult {
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
	start := newWorld(r.absent, m)
	for range r.commits {
		start.commit()
	}
	if r.prepare != nil {
		r.prepare(start)
	}
	start.faultsLeft, start.breakagesLeft = r.faults, r.breakages
	if start.violation != nil {
		return searchResult{err: start.violation, path: "the start"}
	}
	var out searchResult
	known := map[uint64]bool{}
	level := []*node{{w: start}}
	var buffer []byte
	for depth := 0; depth < r.depth && len(level) > 0; depth++ {
		var next []*node
		for _, n := range level {
			for _, step := range r.steps(n.w) {
				w := n.w.clone()
				step.take(w)
				w.dropEndedLinks()
				if w.violation != nil {
					out.err, out.path = w.violation, path(n, step.text)
					return out
				}
				buffer = w.appendFingerprint(buffer[:0])
				if sum := xxhash.Sum64(buffer); known[sum] {
					continue
				} else {
					known[sum] = true
				}
				out.states++
				if out.states%r.healEvery == 0 {
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

func TestRulesHoldInEveryOrderOfEvents(t *testing.T) {
	for _, r := range searches {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			f := r.explore(mutation{})
			require.NoError(t, f.err, "after %s", f.path)
			t.Logf("%d states, %d healed", f.states, f.healed)
		})
	}
}

func TestCheckerCatchesMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			f := m.caught()
			require.Error(t, f.err, "%s does not catch it in %d states", m.search, f.states)
			t.Logf("%s after %d states: %v (%s)", m.search, f.states, f.err, f.path)
		})
	}
}
