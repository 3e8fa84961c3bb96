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
	return state.Options{Dir: "d", FS: fs, Clock: clk, Each: 20, Settings: recovery.Settings{PurgePropagation: 6000, PurgeGrace: 1000, GoneRetention: 9000}}
}

func published(id policy.CacheID, s policy.State) membership.Publish {
	m := membership.Member{Addr: fmt.Sprint("a", id)}
	m.ID, m.State = id, s
	return membership.Publish{Members: []membership.Member{m}}
}

// What was kept is there after the power is lost, over many snapshots.
func TestOverRestarts(t *testing.T) {
	clk, fs := clock.Manual(1e12), vfs.NewSim(-1)
	rng := rand.New(rand.NewPCG(7, 7))
	for round := range 30 {
		k, plan, err := state.Open(options(fs, clk))
		require.NoError(t, err)
		require.Equal(t, round, plan.Boots)
		if round > 0 {
			require.Equal(t, "o", plan.Purges[0].Object)
			require.Equal(t, []uint64{9}, plan.ManualDrains)
			require.Equal(t, membership.Draining, plan.Remembered[0].Phase)
			require.Equal(t, 1e12, plan.Remembered[0].Since, "counted from when it began")
		}
		k.Published(published(1, policy.Draining))
		require.NoError(t, k.Drained(9, true))
		for range rng.IntN(30) {
			require.NoError(t, k.Purged(recovery.Purge{Object: "o", IssuedAt: clk.Now(), NotifiedAt: clk.Now()}))
		}
		require.NoError(t, k.Purged(recovery.Purge{Object: "o", IssuedAt: clk.Now(), NotifiedAt: clk.Now()}))
		clk.Advance(50)
		_ = k.Close()
		fs.Restart(rng)
	}
}

// A disk that is full, and a sync that fails: what could not be kept is kept once that is over, and nobody was told that
// it had been.
func TestHeals(t *testing.T) {
	for _, fault := range []string{"full", "sync"} {
		clk, fs := clock.Manual(1e12), vfs.NewSim(-1)
		k, _, err := state.Open(options(fs, clk))
		require.NoError(t, err)
		p := recovery.Purge{Object: "o", IssuedAt: clk.Now(), NotifiedAt: clk.Now()}
		if fault == "full" {
			fs.Room(0)
			require.ErrorIs(t, k.Purged(p), journal.ErrFull)
			fs.Room(-1)
		} else {
			fs.FailAt(fs.Calls()+2, vfs.SyncLost)
			require.ErrorIs(t, k.Purged(p), journal.ErrFailed)
		}
		require.NotZero(t, k.Status().Waiting)
		require.Eventually(t, func() bool {
			clk.Advance(100)
			st := k.Status()
			return st.Waiting == 0 && st.Purges == 1 && st.Journal.Failed == ""
		}, time.Minute, time.Millisecond, fault)
		require.NoError(t, k.Purged(recovery.Purge{Group: 3, IssuedAt: clk.Now(), NotifiedAt: clk.Now()}))
		require.NoError(t, k.Close())
		fs.Restart(rand.New(rand.NewPCG(1, 1)))
		_, plan, err := state.Open(options(fs, clk))
		require.NoError(t, err)
		require.Len(t, plan.Purges, 2, fault)
	}
}

// The wall clock is stepped by an hour while the proxy is down for a moment, forward or back. A purge that was told right before
// binds as long as it would have, and a drain counts from when it began; also after one restart more, and out of a snapshot.
func TestStepOverARestart(t *testing.T) {
	const hour = 3_600_000
	for _, step := range []float64{hour, -hour} {
		fs := vfs.NewSim(-1)
		began := time.Now()
		k, _, err := state.Open(options(fs, clock.System()))
		require.NoError(t, err)
		before := clock.System()
		k.Published(published(1, policy.Draining))
		require.NoError(t, k.Purged(recovery.Purge{Object: "o", IssuedAt: before.Now(), NotifiedAt: before.Now()}))
		require.NoError(t, k.Close())
		for range 3 {
			after := clock.Shifted(step)
			k, plan, err := state.Open(options(fs, after))
			require.NoError(t, err)
			require.Len(t, plan.Purges, 1)
			require.Len(t, plan.Remembered, 1)
			for _, at := range []float64{plan.Purges[0].IssuedAt, plan.Remembered[0].Since} {
				ago := after.Now() - at
				require.GreaterOrEqual(t, ago, 0.0)
				require.LessOrEqual(t, ago, clock.Ms(time.Since(began))+500)
			}
			require.NoError(t, k.Close())
		}
	}
}
