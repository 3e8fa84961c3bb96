package state_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/state"
	"ravenwheel/policy"
)

// BenchmarkRestart100k opens a state of 100,000 drains from a snapshot, and reports the memory that the drains take.
func BenchmarkRestart100k(b *testing.B) {
	o := state.Options{
		Dir: b.TempDir(), Clock: clock.System(), SnapshotEvery: 1 << 30,
		Settings: recovery.Settings{PurgePropagation: 6e6, GoneRetention: 1e9},
	}
	recorder, _, err := state.Open(o)
	require.NoError(b, err)
	for id := range 100_000 {
		m := membership.Member{Addr: fmt.Sprintf("127.%d.%d.%d:4100", id>>16, id>>8&255, id&255)}
		m.ID, m.State = policy.ServerID(id+1), policy.Draining
		recorder.RecordPublish(membership.Publish{Members: []membership.Member{m}})
	}
	require.NoError(b, recorder.RecordManualDrain(1, true))
	recorder.Compact()
	require.NoError(b, recorder.Close())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		recorder, plan, err := state.Open(o)
		require.NoError(b, err)
		require.Len(b, plan.Members, 100_000)
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-retained")
		runtime.KeepAlive(plan)
		require.NoError(b, recorder.Close())
		b.StartTimer()
	}
}

// BenchmarkRecover1M reads a state of a million purges of 1,000 objects, from its records and from a snapshot.
func BenchmarkRecover1M(b *testing.B) {
	for _, snapshot := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshot=%v", snapshot), func(b *testing.B) {
			o := state.Options{
				Dir: b.TempDir(), Clock: clock.System(), SnapshotEvery: 1 << 30, Settings: recovery.Settings{PurgePropagation: 6e6},
			}
			recorder, _, err := state.Open(o)
			require.NoError(b, err)
			for i := range 1_000_000 {
				recorder.RecordPurgeAsync(recovery.Purge{Object: fmt.Sprintf("%016x", i%1000), IssuedAt: float64(i), NotifiedAt: float64(i)})
			}
			require.NoError(b, recorder.RecordManualDrain(1, true))
			if snapshot {
				recorder.Compact()
			}
			require.NoError(b, recorder.Close())
			for b.Loop() {
				_, _, err := state.Read(o.Dir, nil)
				require.NoError(b, err)
			}
		})
	}
}
