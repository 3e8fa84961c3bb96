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
	rootRestarts // with the state that the root reads from disk, with or without the loss of its links
)

// search is one exhaustive search of the model: it takes all steps in all orders, up to a depth.
type search struct {
	name            string
	absent          int // index of a process that does not run; rootIndex: all run
	depth           int // number of steps
	messageFaults   int // messages that may be lost or duplicated
	componentFaults int // component faults that may occur
	faultKinds      []componentFault
	pendingCommits  int            // entries that are committed and not yet delivered at the beginning
	prepare         func(w *world) // brings the model into the state in which the search begins; nil: as newWorld returns it
	healEvery       int            // in one of healEvery states all faults end, and every process must then catch up
}

var searches = []search{
	{name: "message loss", absent: rightIndex, depth: 7, messageFaults: 2, healEvery: 11},
	{name: "link cut", absent: rightIndex, depth: 7, messageFaults: 1, componentFaults: 1, faultKinds: []componentFault{linkCuts}, healEvery: 11},
	{name: "crash", absent: rightIndex, depth: 7, componentFaults: 2, faultKinds: []componentFault{linkCuts, processCrashes}, healEvery: 11},
	{name: "pause", absent: rightIndex, depth: 7, componentFaults: 1, faultKinds: []componentFault{processPauses}, healEvery: 11},
	{name: "new epoch", absent: rightIndex, depth: 7, messageFaults: 1, componentFaults: 1, faultKinds: []componentFault{newEpochs}, healEvery: 11},
	{name: "pending commits", absent: rightIndex, depth: 7, messageFaults: 1, componentFaults: 1, faultKinds: []componentFault{linkCuts}, pendingCommits: 4, healEvery: 11},
	{name: "root restart", absent: rightIndex, depth: 6, componentFaults: 2, faultKinds: []componentFault{linkCuts, rootRestarts}, healEvery: 5},
	{
		name: "relay behind the backlog", absent: rightIndex, depth: 6, componentFaults: 2, faultKinds: []componentFault{linkCuts, rootRestarts},
		prepare: cutOffLeftRelay, healEvery: 5,
	},
	{name: "new epoch during relay restart", absent: rightIndex, depth: 6, messageFaults: 1, componentFaults: 1, faultKinds: []componentFault{newEpochs}, prepare: restartLeftRelay, healEvery: 11},
	{name: "chunks of an old epoch", absent: rightIndex, depth: 5, componentFaults: 1, faultKinds: []componentFault{linkCuts}, prepare: deliverOldEpochChunks, healEvery: 11},
	{name: "batch of an old epoch", absent: rightIndex, depth: 5, componentFaults: 1, faultKinds: []componentFault{linkCuts}, prepare: deliverOldEpochBatch, healEvery: 11},
	{name: "leaf paused past MaxLag", absent: rightIndex, depth: 6, componentFaults: 1, faultKinds: []componentFault{linkCuts}, prepare: pauseLeaf, healEvery: 11},
	{
		name: "all four processes", depth: 5, messageFaults: 1, componentFaults: 1,
		faultKinds: []componentFault{linkCuts, processCrashes, processPauses, newEpochs, rootRestarts}, healEvery: 23,
	},
}

// step is one step of the model.
type step struct {
	description string
	run         func(w *world)
}

// steps returns all steps that are possible in a state.
func (r search) steps(w *world) []step {
	var all []step
	add := func(run func(*world), format string, values ...any) {
		all = append(all, step{fmt.Sprintf(format, values...), run})
	}
	for linkIndex, l := range w.links {
		linkName := processNames[l.from] + "-" + processNames[l.to]
		if len(l.toDistributor) > 0 && !w.paused[l.to] {
			add(func(w *world) { w.deliverToDistributor(linkIndex) }, "%s delivers to the distributor", linkName)
		}
		if len(l.toSubscriber) > 0 && !w.paused[l.from] {
			add(func(w *world) { w.deliverToSubscriber(linkIndex) }, "%s delivers to the subscriber", linkName)
		}
		if w.messageFaultsLeft > 0 {
			r.addMessageFaults(w, linkIndex, linkName, add)
		}
		if w.componentFaultsLeft > 0 && l.open && r.allows(linkCuts) {
			add(func(w *world) { w.componentFaultsLeft--; w.cut(linkIndex) }, "%s is cut", linkName)
		}
	}
	if w.nextEntry < len(w.script) {
		add(func(w *world) { w.commit() }, "the store commits entry %d of the script", w.nextEntry)
	}
	add(func(w *world) { w.advanceTime() }, "time advances")
	for _, i := range []int{leftIndex, leafIndex} {
		switch {
		case w.paused[i]:
			add(func(w *world) { w.resume(i) }, "%s resumes", processNames[i])
		case w.componentFaultsLeft > 0 && r.allows(processPauses):
			add(func(w *world) { w.componentFaultsLeft--; w.paused[i] = true }, "%s pauses", processNames[i])
		}
	}
	if w.componentFaultsLeft > 0 && r.allows(processCrashes) {
		add(func(w *world) { w.componentFaultsLeft--; w.crash(leftIndex) }, "left crashes and restarts")
	}
	if w.componentFaultsLeft > 0 && r.allows(rootRestarts) {
		add(func(w *world) { w.componentFaultsLeft--; w.restartRoot() }, "root restarts")
		add(func(w *world) { w.componentFaultsLeft--; w.restoreRoot() }, "root installs its state from disk")
	}
	if w.componentFaultsLeft > 0 && r.allows(newEpochs) {
		add(func(w *world) { w.componentFaultsLeft--; w.beginEpoch() }, "a new epoch begins")
	}
	return all
}

// addMessageFaults adds the steps that lose or duplicate the first message of a link.
func (r search) addMessageFaults(w *world, linkIndex int, linkName string, add func(func(*world), string, ...any)) {
	l := w.links[linkIndex]
	if len(l.toDistributor) > 0 && l.toDistributor[0] != nil {
		add(func(w *world) {
			w.messageFaultsLeft--
			w.links[linkIndex].toDistributor = w.links[linkIndex].toDistributor[1:]
		}, "%s loses a message to the distributor", linkName)
	}
	if len(l.toSubscriber) == 0 || l.toSubscriber[0] == nil {
		return
	}
	add(func(w *world) { w.messageFaultsLeft--; w.dropMessage(linkIndex) }, "%s loses a message to the subscriber", linkName)
	add(func(w *world) { w.messageFaultsLeft--; w.duplicateMessage(linkIndex) }, "%s delivers a message to the subscriber again later", linkName)
}

// dropMessage loses the first message in flight to a link's subscriber.
func (w *world) dropMessage(linkIndex int) {
	l := &w.links[linkIndex]
	if m := l.toSubscriber[0]; countsAgainstCredit(m) {
		l.bytesInFlight -= len(distribution.Encode(m).Bytes)
		l.framesInFlight--
	}
	l.toSubscriber = l.toSubscriber[1:]
}

// duplicateMessage queues the first message in flight to a link's subscriber once more, after all others.
func (w *world) duplicateMessage(linkIndex int) {
	l := &w.links[linkIndex]
	m := l.toSubscriber[0]
	if countsAgainstCredit(m) {
		size := len(distribution.Encode(m).Bytes)
		l.bytesInFlight, l.duplicatedBytes = l.bytesInFlight+size, l.duplicatedBytes+size
		l.framesInFlight++
	}
	l.toSubscriber = append(l.toSubscriber, m)
}

// allows reports whether a kind of component fault may occur in the search.
func (r search) allows(fault componentFault) bool {
	for _, allowed := range r.faultKinds {
		if allowed == fault {
			return true
		}
	}
	return false
}

// restartLeftRelay restarts the left relay without state, and returns while its snapshot is in flight.
func restartLeftRelay(w *world) {
	w.crash(leftIndex)
	for range 20 {
		for linkIndex := range w.links {
			if w.links[linkIndex].from == leftIndex && len(w.links[linkIndex].toDistributor) > 0 {
				w.deliverToDistributor(linkIndex)
			}
			if w.links[linkIndex].from == leftIndex && len(w.links[linkIndex].toSubscriber) > 2 {
				return
			}
		}
		w.dropEndedLinks()
		w.advanceTime()
	}
}

// cutOffLeftRelay cuts the left relay's link, and commits more entries than the backlog retains.
func cutOffLeftRelay(w *world) {
	w.cut(w.openLinkIndex(leftIndex))
	for range 4 {
		w.commit()
	}
}

// deliverAfterNewEpoch begins a new epoch, and queues messages of the previous epoch to the left relay after those of the new one.
func (w *world) deliverAfterNewEpoch(messages []distribution.Message) {
	w.deliverAll()
	w.beginEpoch()
	w.deliverAll()
	linkIndex := w.openLinkIndex(leftIndex)
	w.links[linkIndex].toSubscriber = append(w.links[linkIndex].toSubscriber, messages...)
}

// openLinkIndex returns the index of a subscriber's open link; -1: there is none.
func (w *world) openLinkIndex(from int) int {
	return slices.IndexFunc(w.links, func(l modelLink) bool { return l.from == from && l.open })
}

// deliverOldEpochChunks has chunks of a snapshot of the previous epoch in flight after a new epoch has begun.
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

// deliverOldEpochBatch has a batch of the previous epoch in flight after a new epoch has begun.
func deliverOldEpochBatch(w *world) {
	w.commit()
	w.deliverAfterNewEpoch(slices.Clone(w.links[w.openLinkIndex(leftIndex)].toSubscriber))
}

// pauseLeaf pauses the leaf for longer than MaxLag. The messages that are sent to it meanwhile stay in flight.
func pauseLeaf(w *world) {
	w.paused[leafIndex] = true
	w.commit()
	for until := w.now + 3000; w.now < until; {
		w.deliverAll()
		w.advanceTime()
	}
}

// searchResult is the result of a search. err is the first violation of a rule, and path the steps that led to it.
type searchResult struct {
	states, healed int // states visited, and those of them from which the end of all faults was checked
	path           string
	err            error
}

// explore visits all states breadth first, with a mutation, until a rule is violated or the depth is reached.
func (r search) explore(m mutation) searchResult {
	type node struct {
		w           *world
		previous    *node
		description string
	}
	path := func(n *node, last string) string {
		for ; n != nil; n = n.previous {
			last = n.description + "; " + last
		}
		return last
	}
	start := newWorld(r.absent, m)
	for range r.pendingCommits {
		start.commit()
	}
	if r.prepare != nil {
		r.prepare(start)
	}
	start.messageFaultsLeft, start.componentFaultsLeft = r.messageFaults, r.componentFaults
	if start.violation != nil {
		return searchResult{err: start.violation, path: "the initial steps"}
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
						result.err, result.path = err, path(n, step.description+"; all faults end")
						return result
					}
				}
				next = append(next, &node{w: w, previous: n, description: step.description})
			}
			n.w = nil
		}
		level = next
	}
	return result
}

// In each search the rules of package check must hold in every state, and every process must catch up once all faults end.
func TestRulesHoldInEveryOrderOfEvents(t *testing.T) {
	for _, r := range searches {
		t.Run(r.name, func(t *testing.T) {
			t.Parallel()
			result := r.explore(mutation{})
			require.NoError(t, result.err, "after %s", result.path)
			t.Logf("%d states visited, %d checked to recover", result.states, result.healed)
		})
	}
}

// A checker that reports no mutation would pass faulty code: each mutation must break a rule in the search that it names.
func TestCheckerCatchesMutations(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			result := m.runSearch()
			require.Error(t, result.err, "search %q does not catch the mutation in %d states", m.search, result.states)
			t.Logf("search %q caught it after %d states: %v (%s)", m.search, result.states, result.err, result.path)
		})
	}
}
