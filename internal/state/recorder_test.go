package state_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/journal"
	"ravenwheel/internal/journal/vfs"
	"ravenwheel/internal/state"
	"ravenwheel/policy"
)

func options(fs vfs.FS, clk *clock.Clock) state.Options {
	return state.Options{
		Dir: "d", FS: fs, Clock: clk, SnapshotEvery: 20,
		Settings: recovery.Settings{PurgePropagation: 6000, PurgeGrace: 1000, GoneRetention: 9000},
	}
}

func published(id policy.ServerID, s policy.State) membership.Publish {
	m := membership.Member{Addr: fmt.Sprint("a", id)}
	m.ID, m.State = id, s
	return membership.Publish{Members: []membership.Member{m}}
}

// All acknowledged events are recovered after a power failure, over many restarts and snapshots.
func TestStateSurvivesPowerLossAndRestarts(t *testing.T) {
	clk, fs := clock.Manual(1e12), vfs.NewSim(-1)
	rng := rand.New(rand.NewPCG(7, 7))
	for round := range 30 {
		recorder, plan, err := state.Open(options(fs, clk))
		require.NoError(t, err)
		require.Equal(t, round, plan.Boots)
		if round > 0 {
			require.Equal(t, "o", plan.Purges[0].Object)
			require.Equal(t, []uint64{9}, plan.ManualDrains)
			require.Equal(t, membership.Draining, plan.Members[0].Phase)
			require.Equal(t, 1e12, plan.Members[0].Since, "the drain counts from its first start")
		}
		recorder.RecordPublish(published(1, policy.Draining))
		require.NoError(t, recorder.RecordManualDrain(9, true))
		for range rng.IntN(30) {
			require.NoError(t, recorder.RecordPurge(recovery.Purge{Object: "o", IssuedAt: clk.Now(), NotifiedAt: clk.Now()}))
		}
		require.NoError(t, recorder.RecordPurge(recovery.Purge{Object: "o", IssuedAt: clk.Now(), NotifiedAt: clk.Now()}))
		clk.Advance(50)
		_ = recorder.Close()
		fs.Restart(rng)
	}
}

// While the disk is full, and after a sync failed, events are reported as not stored. They are stored once the fault is over.
func TestPendingEventsAreStoredAfterFault(t *testing.T) {
	for _, fault := range []string{"full", "sync"} {
		clk, fs := clock.Manual(1e12), vfs.NewSim(-1)
		recorder, _, err := state.Open(options(fs, clk))
		require.NoError(t, err)
		p := recovery.Purge{Object: "o", IssuedAt: clk.Now(), NotifiedAt: clk.Now()}
		if fault == "full" {
			fs.SetFreeSpace(0)
			require.ErrorIs(t, recorder.RecordPurge(p), journal.ErrDiskFull)
			fs.SetFreeSpace(-1)
		} else {
			fs.FailAt(fs.Calls()+2, vfs.SyncLost)
			require.ErrorIs(t, recorder.RecordPurge(p), journal.ErrFailed)
		}
		require.NotZero(t, recorder.Status().Pending)
		require.Eventually(t, func() bool {
			clk.Advance(100)
			st := recorder.Status()
			return st.Pending == 0 && st.Purges == 1 && st.Journal.Failed == ""
		}, time.Minute, time.Millisecond, fault)
		require.NoError(t, recorder.RecordPurge(recovery.Purge{Group: 3, IssuedAt: clk.Now(), NotifiedAt: clk.Now()}))
		require.NoError(t, recorder.Close())
		fs.Restart(rand.New(rand.NewPCG(1, 1)))
		_, plan, err := state.Open(options(fs, clk))
		require.NoError(t, err)
		require.Len(t, plan.Purges, 2, fault)
	}
}

// The wall clock is stepped by an hour, forward or back, while the proxy is down. A purge and a drain from just before that last as
// long as they would without the step, also over further restarts.
func TestClockStepDuringRestartKeepsDurations(t *testing.T) {
	const hour = 3_600_000
	for _, step := range []float64{hour, -hour} {
		fs := vfs.NewSim(-1)
		startedAt := time.Now()
		recorder, _, err := state.Open(options(fs, clock.System()))
		require.NoError(t, err)
		before := clock.System()
		recorder.RecordPublish(published(1, policy.Draining))
		require.NoError(t, recorder.RecordPurge(recovery.Purge{Object: "o", IssuedAt: before.Now(), NotifiedAt: before.Now()}))
		require.NoError(t, recorder.Close())
		for range 3 {
			after := clock.SystemAhead(step)
			recorder, plan, err := state.Open(options(fs, after))
			require.NoError(t, err)
			require.Len(t, plan.Purges, 1)
			require.Len(t, plan.Members, 1)
			for _, at := range []float64{plan.Purges[0].IssuedAt, plan.Members[0].Since} {
				age := after.Now() - at
				require.GreaterOrEqual(t, age, 0.0)
				require.LessOrEqual(t, age, clock.Ms(time.Since(startedAt))+500)
			}
			require.NoError(t, recorder.Close())
		}
	}
}
