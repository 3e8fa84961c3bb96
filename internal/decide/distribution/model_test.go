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

// componentFault is a fault other than the loss or the duplication of a message.
type componentFault int

const (
	linkCuts componentFault = iota
	processCrashes
	processPauses
	newEpochs
	rootRestarts
)

// search is one exhaustive search: all orders of all steps, up to a depth.
type search struct {
	name                string
	absentProcess       int
	depth               int
	messageFaults       int // messages that are lost or duplicated
	componentFaults     int
	componentFaultKinds []componentFault
	pendingCommits      int // entries that are committed and not delivered at the beginning
	prepare             func(w *world)
	healEvery           int // from one state in so many all faults end, and every process must become complete
}

var searches = []search{
	{name: "loss", absentProcess: rightIndex, depth: 7, messageFaults: 2, healEvery: 11},
	{name: "cut", absentProcess: rightIndex, depth: 7, messageFaults: 1, componentFaults: 1, componentFaultKinds: []componentFault{linkCuts}, healEvery: 11},
	{name: "crash", absentProcess: rightIndex, depth: 7, componentFaults: 2, componentFaultKinds: []componentFault{linkCuts, processCrashes}, healEvery: 11},
	{name: "stop", absentProcess: rightIndex, depth: 7, componentFaults: 1, componentFaultKinds: []componentFault{processPauses}, healEvery: 11},
	{name: "epoch", absentProcess: rightIndex, depth: 7, messageFaults: 1, componentFaults: 1, componentFaultKinds: []componentFault{newEpochs}, healEvery: 11},
	{name: "behind", absentProcess: rightIndex, depth: 7, messageFaults: 1, componentFaults: 1, componentFaultKinds: []componentFault{linkCuts}, pendingCommits: 4, healEvery: 11},
	{name: "restart", absentProcess: rightIndex, depth: 6, componentFaults: 2, componentFaultKinds: []componentFault{linkCuts, rootRestarts}, healEvery: 5},
	{
		name: "far behind", absentProcess: rightIndex, depth: 6, componentFaults: 2, componentFaultKinds: []componentFault{linkCuts, rootRestarts},
		prepare: cutOffLeftRelay, healEvery: 5,
	},
	{name: "old", absentProcess: rightIndex, depth: 6, messageFaults: 1, componentFaults: 1, componentFaultKinds: []componentFault{newEpochs}, prepare: restartLeftRelay, healEvery: 11},
	{name: "old chunks", absentProcess: rightIndex, depth: 5, componentFaults: 1, componentFaultKinds: []componentFault{linkCuts}, prepare: deliverOldEpochChunks, healEvery: 11},
	{name: "old batch", absentProcess: rightIndex, depth: 5, componentFaults: 1, componentFaultKinds: []componentFault{linkCuts}, prepare: deliverOldEpochBatch, healEvery: 11},
	{name: "asleep", absentProcess: rightIndex, depth: 6, componentFaults: 1, componentFaultKinds: []componentFault{linkCuts}, prepare: pauseLeaf, healEvery: 11},
	{
		name: "four", depth: 5, messageFaults: 1, componentFaults: 1,
		componentFaultKinds: []componentFault{linkCuts, processCrashes, processPauses, newEpochs, rootRestarts}, healEvery: 23,
	},
}

// step is one step of the model; the text is for the path to a failure.
type step struct {
	description string
	run         func(w *world)
}

func (r search) steps(w *world) []step {
	var all []step
	add := func(run func(*world), format string, values ...any) {
		all = append(all, step{fmt.Sprintf(format, values...), run})
	}
	for at, l := range w.links {
		pair := processNames[l.from] + "-" + processNames[l.to]
		if len(l.toDistributor) > 0 && !w.paused[l.to] {
			add(func(w *world) { w.deliverToDistributor(at) }, "%s up", pair)
		}
		if len(l.toSubscriber) > 0 && !w.paused[l.from] {
			add(func(w *world) { w.deliverToSubscriber(at) }, "%s down", pair)
		}
		if w.messageFaultsLeft > 0 {
			r.addMessageFaults(w, at, pair, add)
		}
		if w.componentFaultsLeft > 0 && l.open && r.allows(linkCuts) {
			add(func(w *world) { w.componentFaultsLeft--; w.cut(at) }, "%s cut", pair)
		}
	}
	if w.nextEntry < len(w.script) {
		add(func(w *world) { w.commit() }, "commit %d", w.nextEntry)
	}
	add(func(w *world) { w.advanceTime() }, "time")
	for _, i := range []int{leftIndex, leafIndex} {
		switch {
		case w.paused[i]:
			add(func(w *world) { w.resume(i) }, "%s resumes", processNames[i])
		case w.componentFaultsLeft > 0 && r.allows(processPauses):
			add(func(w *world) { w.componentFaultsLeft--; w.paused[i] = true }, "%s pauses", processNames[i])
		}
	}
	if w.componentFaultsLeft > 0 && r.allows(processCrashes) {
		add(func(w *world) { w.componentFaultsLeft--; w.crash(leftIndex) }, "left crashes")
	}
	if w.componentFaultsLeft > 0 && r.allows(rootRestarts) {
		add(func(w *world) { w.componentFaultsLeft--; w.restartRoot() }, "root restarts")
		add(func(w *world) { w.componentFaultsLeft--; w.restoreRoot() }, "root restores its state")
	}
	if w.componentFaultsLeft > 0 && r.allows(newEpochs) {
		add(func(w *world) { w.componentFaultsLeft--; w.beginEpoch() }, "a new epoch")
	}
	return all
}

func (r search) addMessageFaults(w *world, at int, pair string, add func(func(*world), string, ...any)) {
	l := w.links[at]
	if len(l.toDistributor) > 0 && l.toDistributor[0] != nil {
		add(func(w *world) { w.messageFaultsLeft--; w.links[at].toDistributor = w.links[at].toDistributor[1:] }, "%s up is lost", pair)
	}
	if len(l.toSubscriber) == 0 || l.toSubscriber[0] == nil {
		return
	}
	add(func(w *world) { w.messageFaultsLeft--; w.dropMessage(at) }, "%s down is lost", pair)
	add(func(w *world) { w.messageFaultsLeft--; w.duplicateMessage(at) }, "%s down is duplicated, late", pair)
}

// dropMessage loses the first message to a subscriber.
func (w *world) dropMessage(at int) {
	l := &w.links[at]
	if m := l.toSubscriber[0]; countsAgainstCredit(m) {
		l.bytesInFlight -= len(distribution.Encode(m).Bytes)
		l.framesInFlight--
	}
	l.toSubscriber = l.toSubscriber[1:]
}

// duplicateMessage has the first message arrive once more, behind all others.
func (w *world) duplicateMessage(at int) {
	l := &w.links[at]
	m := l.toSubscriber[0]
	if countsAgainstCredit(m) {
		size := len(distribution.Encode(m).Bytes)
		l.bytesInFlight, l.duplicatedBytes = l.bytesInFlight+size, l.duplicatedBytes+size
		l.framesInFlight++
	}
	l.toSubscriber = append(l.toSubscriber, m)
}

func (r search) allows(b componentFault) bool {
	for _, k := range r.componentFaultKinds {
		if k == b {
			return true
		}
	}
	return false
}

// restartLeftRelay has a relay that has just restarted, with its snapshot in flight.
func restartLeftRelay(w *world) {
	w.crash(leftIndex)
	for range 20 {
		for at := range w.links {
			if w.links[at].from == leftIndex && len(w.links[at].toDistributor) > 0 {
				w.deliverToDistributor(at)
			}
			if w.links[at].from == leftIndex && len(w.links[at].toSubscriber) > 2 {
				return
			}
		}
		w.dropEndedLinks()
		w.advanceTime()
	}
}

// cutOffLeftRelay has a relay that has lost its link, and more entries committed than the backlog retains.
func cutOffLeftRelay(w *world) {
	w.cut(w.openLinkIndex(leftIndex))
	for range 4 {
		w.commit()
	}
}

// deliverAfterNewEpoch has messages of the epoch before arrive at the left relay behind those of the new one.
func (w *world) deliverAfterNewEpoch(messages []distribution.Message) {
	w.deliverAll()
	w.beginEpoch()
	w.deliverAll()
	at := w.openLinkIndex(leftIndex)
	w.links[at].toSubscriber = append(w.links[at].toSubscriber, messages...)
}

func (w *world) openLinkIndex(from int) int {
	return slices.IndexFunc(w.links, func(l modelLink) bool { return l.from == from && l.open })
}

func deliverOldEpochChunks(w *world) {
	restartLeftRelay(w)
	var messages []distribution.Message
	for _, m := range w.links[w.openLinkIndex(leftIndex)].toSubscriber {
		if _, isChunk := m.(distribution.SnapshotChunk); isChunk {
			messages = append(messages, m)
		}
	}
	w.deliverAfterNewEpoch(messages)
}

func deliverOldEpochBatch(w *world) {
	w.commit()
	w.deliverAfterNewEpoch(slices.Clone(w.links[w.openLinkIndex(leftIndex)].toSubscriber))
}

// pauseLeaf has a leaf that was paused for longer than MaxLag, and what was sent meanwhile.
func pauseLeaf(w *world) {
	w.paused[leafIndex] = true
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
	start := newWorld(r.absentProcess, m)
	for range r.pendingCommits {
		start.commit()
	}
	if r.prepare != nil {
		r.prepare(start)
	}
	start.messageFaultsLeft, start.componentFaultsLeft = r.messageFaults, r.componentFaults
	if start.violation != nil {
		return searchResult{err: start.violation, path: "the start"}
	}
	var result searchResult
	visited := map[uint64]bool{}
	level := []*node{{w: start}}
	var buffer []byte
	for depth := 0; depth < r.depth && len(level) > 0; depth++ {
		var next []*node
		for _, n := range level {
			for _, step := range r.steps(n.w) {
				w := n.w.clone()
				step.run(w)
				w.dropEndedLinks()
				if w.violation != nil {
					result.err, result.path = w.violation, path(n, step.description)
					return result
				}
				buffer = w.appendFingerprint(buffer[:0])
				if sum := xxhash.Sum64(buffer); visited[sum] {
					continue
				} else {
					visited[sum] = true
				}
				result.states++
				if result.states%r.healEvery == 0 {
					result.healed++
					if err := w.clone().heal(); err != nil {
						result.err, result.path = err, path(n, step.description+"; all heals")
						return result
					}
				}
				next = append(next, &node{w: w, from: n, text: step.description})
			}
			n.w = nil
		}
		level = next
	}
	return result
}

func TestRulesHoldInEveryOrderOfEvents(t *testing.T) {
	for _, r := range searches {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			result := r.explore(mutation{})
			require.NoError(t, result.err, "after %s", result.path)
			t.Logf("%d states, %d healed", result.states, result.healed)
		})
	}
}

func TestCheckerCatchesMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			result := m.runSearch()
			require.Error(t, result.err, "%s does not catch it in %d states", m.search, result.states)
			t.Logf("%s after %d states: %v (%s)", m.search, result.states, result.err, result.path)
		})
	}
}
