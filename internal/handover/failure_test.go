package handover

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	decider "ravenwheel/internal/decide/handover"
	"ravenwheel/policy"
)

// An accept at the socket fails for a moment. A successor is accepted all the same, and receives the manual drains.
func TestSuccessorIsAcceptedAfterAcceptError(t *testing.T) {
	h := newHost(t)
	first := h.waitForOwnership(h.start())
	require.NoError(t, first.SetManualDrain(7, true))
	first.Coordinator.mu.Lock()
	socket := first.socket
	first.Coordinator.mu.Unlock()
	require.NoError(t, socket.SetDeadline(time.Unix(1, 0))) // the accept in progress fails
	time.Sleep(5 * time.Millisecond)
	require.NoError(t, socket.SetDeadline(time.Time{}))
	started := make(chan *process)
	go func() { started <- h.start() }()
	select {
	case next := <-started:
		require.True(t, next.drained[7])
		require.Equal(t, decider.Offering, first.phase())
	case <-time.After(10 * time.Second):
		require.Fail(t, "the successor was not accepted")
	}
}

// The directory refuses writes for a while. What could not be recorded is recorded once it works again.
func TestRecordIsWrittenOnceDirectoryWorks(t *testing.T) {
	t.Run("manual drain", drainIsRecordedLater)
	t.Run("owner", ownerIsRecordedLater)
}

// A drain that can't be recorded is an error, and is recorded later.
func drainIsRecordedLater(t *testing.T) {
	h := newHost(t)
	owner := h.waitForOwnership(h.start())
	obstacle := owner.record.path + ".part" // no file can be written in place of a directory
	require.NoError(t, os.Mkdir(obstacle, 0o700))
	require.Error(t, owner.SetManualDrain(7, true), "it is not recorded")
	require.Error(t, owner.SetManualDrain(7, true), "nor at the second attempt")
	require.NoError(t, os.Remove(obstacle))
	recorded := func() bool {
		h.clk.Advance(watchInterval)
		r := record{path: owner.record.path, clock: clock.Manual(0)}
		require.NoError(t, r.load())
		return len(r.drainedServers()) == 1 && r.drainedServers()[0] == policy.ServerID(7)
	}
	require.Eventually(t, recorded, 10*time.Second, time.Millisecond)
}

// An owner that can't be recorded serves all the same, and is recorded later.
func ownerIsRecordedLater(t *testing.T) {
	h := newHost(t)
	first := h.start()
	require.NoError(t, os.Mkdir(first.record.path+".part", 0o700))
	h.waitForOwnership(first)
	require.Zero(t, first.recordedGeneration(), "it can't be recorded")
	require.NoError(t, os.Remove(first.record.path+".part"))
	recorded := func() bool {
		h.clk.Advance(watchInterval)
		return first.recordedGeneration() == 1
	}
	require.Eventually(t, recorded, 10*time.Second, time.Millisecond)
}
