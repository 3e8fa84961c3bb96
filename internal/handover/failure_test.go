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

// An accept at the owner's socket fails once. A successor that connects later is accepted nevertheless, and receives the manual
// drains.
func TestSuccessorIsAcceptedAfterAcceptError(t *testing.T) {
	h := newHost(t)
	owner := h.waitForOwnership(h.start())
	require.NoError(t, owner.SetManualDrain(7, true))
	owner.Coordinator.mu.Lock()
	socket := owner.socket
	owner.Coordinator.mu.Unlock()
	require.NoError(t, socket.SetDeadline(time.Unix(1, 0))) // the accept in progress fails
	time.Sleep(5 * time.Millisecond)
	require.NoError(t, socket.SetDeadline(time.Time{}))
	started := make(chan *process)
	go func() { started <- h.start() }()
	select {
	case next := <-started:
		require.True(t, next.drained[7])
		require.Equal(t, decider.Offering, owner.phase())
	case <-time.After(10 * time.Second):
		require.Fail(t, "the owner did not accept the successor within 10 s")
	}
}

// The record can't be written at first. The missing changes are written once its directory is writable again.
func TestRecordIsWrittenOnceDirectoryWorks(t *testing.T) {
	t.Run("manual drain", drainIsRecordedLater)
	t.Run("owner", ownerIsRecordedLater)
}

// If a drain can't be recorded, SetManualDrain returns an error, and the drain is recorded later.
func drainIsRecordedLater(t *testing.T) {
	h := newHost(t)
	owner := h.waitForOwnership(h.start())
	obstacle := owner.record.path + ".part" // a directory, so that the record's file can't be written at this path
	require.NoError(t, os.Mkdir(obstacle, 0o700))
	require.Error(t, owner.SetManualDrain(7, true), "the drain can't be recorded")
	require.Error(t, owner.SetManualDrain(7, true), "the drain can't be recorded at the second attempt either")
	require.NoError(t, os.Remove(obstacle))
	recorded := func() bool {
		h.clk.Advance(watchInterval)
		r := record{path: owner.record.path, clock: clock.Manual(0)}
		require.NoError(t, r.load())
		return len(r.drainedServers()) == 1 && r.drainedServers()[0] == policy.ServerID(7)
	}
	require.Eventually(t, recorded, 10*time.Second, time.Millisecond)
}

// An owner that can't record itself serves nevertheless, and is recorded later.
func ownerIsRecordedLater(t *testing.T) {
	h := newHost(t)
	first := h.start()
	require.NoError(t, os.Mkdir(first.record.path+".part", 0o700))
	h.waitForOwnership(first)
	require.Zero(t, first.recordedGeneration(), "the owner can't be recorded")
	require.NoError(t, os.Remove(first.record.path+".part"))
	recorded := func() bool {
		h.clk.Advance(watchInterval)
		return first.recordedGeneration() == 1
	}
	require.Eventually(t, recorded, 10*time.Second, time.Millisecond)
}
