package handover

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	decide "ravenwheel/internal/decide/handover"
	"ravenwheel/policy"
)

// Accepting at the socket where processes meet fails for a moment. Whoever would follow is welcomed all the same, and told what
// operators have told.
func TestMeetingFailsForAMoment(t *testing.T) {
	w := newWorld(t)
	first := w.own(w.start())
	require.NoError(t, first.Take(7, true))
	first.Hand.mu.Lock()
	meet := first.meet
	first.Hand.mu.Unlock()
	require.NoError(t, meet.SetDeadline(time.Unix(1, 0))) // the accept that waits fails
	time.Sleep(5 * time.Millisecond)
	require.NoError(t, meet.SetDeadline(time.Time{}))
	followed := make(chan *process)
	go func() { followed <- w.start() }()
	select {
	case next := <-followed:
		require.True(t, next.out[7])
		require.Equal(t, decide.Offered, first.phase())
	case <-time.After(10 * time.Second):
		require.Fail(t, "nobody welcomes the one that follows")
	}
}

// The folder takes no writes for a while. What was to be kept in it meanwhile is kept once it can be.
func TestKeptLater(t *testing.T) {
	t.Run("what operators tell", toldIsKeptLater)
	t.Run("who owns", ownerIsKeptLater)
}

// What operators tell is in force, is not promised, and is known to the process that follows.
func toldIsKeptLater(t *testing.T) {
	w := newWorld(t)
	owner := w.own(w.start())
	blocks := owner.record.path + ".part" // no file can be written in place of a directory
	require.NoError(t, os.Mkdir(blocks, 0o700))
	require.Error(t, owner.Take(7, true), "it is not promised")
	require.Error(t, owner.Take(7, true), "nor where it is told twice")
	require.NoError(t, os.Remove(blocks))
	kept := func() bool {
		w.clk.Advance(watchEvery)
		r := record{path: owner.record.path, clock: clock.Manual(0)}
		require.NoError(t, r.load())
		return len(r.out()) == 1 && r.out()[0] == policy.CacheID(7)
	}
	require.Eventually(t, kept, 10*time.Second, time.Millisecond)
}

// A process that takes the address over serves, and the owner before, which was stopped and wakes up late, finds that it does.
func ownerIsKeptLater(t *testing.T) {
	w := newWorld(t)
	first := w.start()
	require.NoError(t, os.Mkdir(first.record.path+".part", 0o700))
	w.own(first)
	require.Zero(t, first.generation(), "it can't be kept")
	require.NoError(t, os.Remove(first.record.path+".part"))
	require.Eventually(t, func() bool { w.clk.Advance(watchEvery); return first.generation() == 1 }, 10*time.Second, time.Millisecond)
}
