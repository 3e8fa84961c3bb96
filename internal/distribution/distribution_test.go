package distribution_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	decider "ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/distribution/check"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/distribution"
	"ravenwheel/internal/store"
)

// A subscriber must get the changes that were committed before it subscribed and after, each change once and in order.
func TestSubscriberGetsEachChangeOnceInOrder(t *testing.T) {
	tr := newTree(t)
	a := tr.log.newMember()
	tr.log.commitPurge("before")
	tr.start(newPeer("a", 0), a, true)
	tr.log.commit(storestate.Change{Kind: storestate.StartDrain, Name: "s-1"})
	p := tr.start(newPeer("p", 9), nil, false, "a")
	tr.waitUntilCaughtUp("p")
	tr.log.commitPurge("after")
	tr.log.commit(storestate.Change{Kind: storestate.EndDrain, Name: "s-1"})
	a.apply()
	tr.waitUntilCaughtUp("p")
	eventually(t, "the drain's end is not applied", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.changes[len(p.changes)-1].Kind == storestate.EndDrain || len(p.changes) > 1 && p.changes[len(p.changes)-2].Kind == storestate.EndDrain
	})
	var purges, drains []string
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.changes {
		switch c.Kind {
		case storestate.AddPurge:
			purges = append(purges, c.Purge.Object)
		default:
			drains = append(drains, fmt.Sprint(c.Kind, c.Name))
		}
	}
	require.Equal(t, []string{"before", "after"}, purges)
	require.Equal(t, []string{fmt.Sprint(storestate.StartDrain, "s-1"), fmt.Sprint(storestate.EndDrain, "s-1")}, drains)
}

// startThreeLevels starts two roots, two distributors and four proxies, and waits until all have a first purge.
func startThreeLevels(t *testing.T) (*tree, *fakeMember, *fakeMember) {
	tr := newTree(t)
	a, b := tr.log.newMember(), tr.log.newMember()
	tr.start(newPeer("a", 0), a, true)
	tr.start(newPeer("b", 0), b, true)
	tr.start(newPeer("d1", 1), nil, true, "a", "b")
	tr.start(newPeer("d2", 1), nil, true, "a", "b")
	for i := range 4 {
		tr.start(newPeer(fmt.Sprint("p", i), 9), nil, false, "d1", "d2")
	}
	tr.log.commitPurge("first")
	a.apply()
	b.apply()
	tr.waitUntilCaughtUp("d1", "d2", "p0", "p1", "p2", "p3")
	return tr, a, b
}

// When a distributor closes all its links during a burst, none of its subscribers may miss a change. After its restart it must serve
// again.
func TestSubscribersMoveWhenDistributorCloses(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	for i := range 200 {
		tr.log.commitPurge(fmt.Sprint("burst-", i))
		a.apply()
		b.apply()
		if i == 100 {
			tr.processes["d1"].node.Close()
		}
	}
	tr.waitUntilCaughtUp("d2", "p0", "p1", "p2", "p3")
	for i := range 4 {
		require.Equal(t, "d2", tr.processes[fmt.Sprint("p", i)].parent())
	}
	tr.start(newPeer("d1", 1), nil, true, "a", "b")
	tr.processes["d2"].node.Shutdown(60_000)
	tr.processes["d2"].node.Close()
	tr.log.commitPurge("later")
	a.apply()
	b.apply()
	tr.waitUntilCaughtUp("d1", "p0", "p1", "p2", "p3")
}

// A change that is committed must arrive through another member if the member that committed it fails before it has sent it.
func TestCommittedChangeArrivesThroughAnotherMember(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	tr.processes["a"].node.Close() // a gets the purge below into its log, but can no longer send it
	tr.log.commitPurge("committed")
	a.apply()
	b.apply()
	tr.waitUntilCaughtUp("d1", "d2", "p0", "p1", "p2", "p3")
}

// A region that is cut off from the store must restrict its strict classes past MaxLag, and catch up when it can connect again.
func TestCutOffRegionRestrictsStrictClasses(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	for _, d := range []string{"d1", "d2"} {
		tr.setCut(d, "a", true)
		tr.setCut(d, "b", true)
	}
	p := tr.processes["p0"]
	watermark := decider.Watermark{}
	copyMadeAt := tr.log.clk.Now() - 60_000 // when the copy was made
	eventually(t, "strict classes are not restricted", func() bool {
		now := tr.log.clk.Now()
		watermark.At = p.node.Status()[0].WatermarkMs
		watermark.Sequence = 1
		p.mu.Lock()
		defer p.mu.Unlock()
		v := p.gate.Decide(now, "strict", copyMadeAt)
		if unchanged := p.node.Status()[0].WatermarkMs == watermark.At; unchanged {
			require.NoError(t, check.CheckServed(settings(p.peer), watermark, now, "strict", copyMadeAt, v))
		}
		require.NotContains(t, []decider.Verdict{decider.VerdictFetchOrigin, decider.VerdictReject}, p.gate.Decide(now, "other", copyMadeAt))
		return v == decider.VerdictFetchOrigin || v == decider.VerdictReject
	})
	tr.log.commitPurge("meanwhile")
	a.apply()
	b.apply()
	for _, d := range []string{"d1", "d2"} {
		tr.setCut(d, "a", false)
		tr.setCut(d, "b", false)
	}
	tr.waitUntilCaughtUp("d1", "d2", "p0", "p1", "p2", "p3")
	eventually(t, "the restriction has not ended", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.gate.Decide(tr.log.clk.Now(), "strict", copyMadeAt) == decider.VerdictServe
	})
}

// A store without a quorum confirms no watermark: strict classes must be restricted, although the links are open.
func TestNoQuorumRestrictsStrictClasses(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	a.setWithoutQuorum(true)
	b.setWithoutQuorum(true)
	p := tr.processes["p0"]
	restricted := func() bool { return p.node.Status()[0].Restricted }
	eventually(t, "strict classes are not restricted", restricted)
	a.setWithoutQuorum(false)
	b.setWithoutQuorum(false)
	eventually(t, "the restriction has not ended", func() bool { return !restricted() })
}

// Processes that all restart at once must get the complete state.
func TestAllGetStateAfterSimultaneousRestart(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	for i := range 4 {
		tr.processes[fmt.Sprint("p", i)].node.Close()
	}
	for i := range 300 {
		tr.log.commitPurge(fmt.Sprint("while-away-", i))
	}
	a.apply()
	b.apply()
	for i := range 4 {
		tr.start(newPeer(fmt.Sprint("p", i), 9), nil, false, "d1", "d2")
	}
	tr.log.commitPurge("while they start")
	a.apply()
	b.apply()
	tr.waitUntilCaughtUp("d1", "d2", "p0", "p1", "p2", "p3")
}

// Processes that have seen a new epoch, in which the sequence starts again, must take nothing from a distributor of an old epoch.
func TestOldEpochIsFenced(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	a.setWithoutQuorum(true)
	b.setWithoutQuorum(true)
	tr.processes["b"].node.Close()
	oldRoot := tr.processes["a"] // it goes on serving the old epoch
	tr.log.mu.Lock()
	tr.log.epoch, tr.log.changes = 2, nil
	tr.log.mu.Unlock()
	newMember := tr.log.newMember()
	tr.start(newPeer("b", 0), newMember, true)
	tr.log.commitPurge("anew")
	newMember.apply()
	tr.waitUntilCaughtUp("d1", "d2", "p0", "p1", "p2", "p3")
	// Only the distributor of the old epoch is left: the processes must stay restricted, and must not go back to the old epoch.
	tr.processes["b"].node.Close()
	eventually(t, "strict classes are not restricted", func() bool { return tr.processes["p0"].node.Status()[0].Restricted })
	require.Equal(t, uint64(2), tr.processes["p0"].node.Status()[0].Epoch)
	require.Equal(t, uint64(1), oldRoot.node.Status()[0].Epoch)
	tr.waitUntilCaughtUp("d1", "d2", "p0", "p1", "p2", "p3")
}

// A subscriber that reads 1 KB a second must not delay the others.
func TestSlowSubscriberDelaysNoOther(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	tr.bytesPerSecond["slow"] = 1 << 10
	p := tr.start(newPeer("slow", 9), nil, false, "d1")
	eventually(t, "the slow process is not subscribed", func() bool { return p.parent() == "d1" })
	for i := range 4000 {
		tr.log.commitPurge(fmt.Sprintf("an object with a name that takes some room %d", i))
		if i%100 == 0 {
			a.apply()
			b.apply()
		}
	}
	a.apply()
	b.apply()
	tr.waitUntilCaughtUp("d1", "d2", "p0", "p1", "p2", "p3")
	p.mu.Lock()
	defer p.mu.Unlock()
	require.NoError(t, p.violation)
}

// A subscriber that gets a snapshot while purges are committed must miss none of them.
func TestSnapshotMissesNoConcurrentPurge(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	for i := range 3000 {
		tr.log.commitPurge(fmt.Sprint("held-", i))
	}
	a.apply()
	b.apply()
	for i := range 500 {
		if i == 5 {
			tr.start(newPeer("late", 9), nil, false, "d1", "d2")
		}
		tr.log.commitPurge(fmt.Sprint("meanwhile-", i))
		a.apply()
		b.apply()
	}
	tr.waitUntilCaughtUp("late", "p0", "p1", "p2", "p3")
}

// When a distributor freezes during a burst with its links open, its subscribers must move to another. Once it runs again, it must
// continue from its position and serve again.
func TestFrozenDistributorIsLeft(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	for i := range 200 {
		tr.log.commitPurge(fmt.Sprint("burst-", i))
		a.apply()
		b.apply()
		if i == 100 {
			tr.setFrozen("d1", true)
		}
	}
	tr.waitUntilCaughtUp("d2", "p0", "p1", "p2", "p3")
	tr.setFrozen("d1", false)
	tr.waitUntilCaughtUp("d1")
	tr.processes["d2"].node.Close()
	tr.log.commitPurge("later")
	a.apply()
	b.apply()
	tr.waitUntilCaughtUp("d1", "p0", "p1", "p2", "p3")
}

// A process with a certificate of the cluster that subscribes under another name must get no answer, nor must one whose first message is
// no Subscribe or names an unknown stream.
func TestSubscriberNameMustMatchCertificate(t *testing.T) {
	tr := newTree(t)
	tr.start(newPeer("a", 0), tr.log.newMember(), true)
	p := tr.start(newPeer("p", 9), nil, false, "a")
	tr.waitUntilCaughtUp("p")
	eventually(t, "the process is not subscribed", func() bool { return p.parent() == "a" })
	id, err := store.LoadIdentity(tr.keyDir, "p")
	require.NoError(t, err)
	for _, m := range []decider.Message{
		decider.Subscribe{Stream: decider.Purges, Name: "q", Rank: 9, Credit: 1 << 20}, decider.Credit{Stream: decider.Purges},
		decider.Subscribe{Stream: 7, Name: "p", Rank: 9, Credit: 1 << 20},
	} {
		l, err := store.DialLink(id, tr.addrs["a"], waitTimeout, nil)
		require.NoError(t, err)
		require.NoError(t, l.Send(decider.Encode(m).Bytes, waitTimeout))
		_, err = l.Receive(1<<20, waitTimeout)
		require.ErrorIs(t, err, io.EOF)
		l.Close()
	}
	_, err = distribution.Start(distribution.Options{Settings: settings(newPeer("q", 9)), Identity: id})
	require.Error(t, err, "identity of another process")
}

// Entries that a subscriber's credit does not cover must stay in the distributor's backlog, and must not be queued on the link.
func TestCreditBoundsQueuedBytes(t *testing.T) {
	tr, a, b := startThreeLevels(t)
	tr.setFrozen("p0", true)
	for i := range 4000 {
		tr.log.commitPurge(fmt.Sprintf("an object with a name that takes some room %d", i))
		a.apply()
		b.apply()
	}
	tr.waitUntilCaughtUp("d1", "d2", "p1", "p2", "p3")
	for _, d := range []string{"d1", "d2"} {
		require.LessOrEqual(t, tr.processes[d].node.Status()[0].QueuedBytes, settings(newPeer("p0", 9)).Credit+4096)
	}
	tr.setFrozen("p0", false)
	tr.waitUntilCaughtUp("p0")
}
