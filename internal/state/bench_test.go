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

// BenchmarkRestart100k is the start of a proxy with 100,000 drains, from a snapshot, and the memory that they take.
func BenchmarkRestart100k(b *testing.B) {
	o := state.Options{Dir: b.TempDir(), Clock: clock.System(), Each: 1 << 30, Settings: recovery.Settings{PurgePropagation: 6e6, GoneRetention: 1e9}}
	k, _, err := state.Open(o)
	require.NoError(b, err)
	for id := range 100_000 {
		m := membership.Member{Addr: fmt.Sprintf("127.%d.%d.%d:4100", id>>16, id>>8&255, id&255)}
		m.ID, m.State = policy.CacheID(id+1), policy.Draining
		k.Published(membership.Publish{Members: []membership.Member{m}})
	}
	require.NoError(b, k.Drained(1, true))
	k.Compact()
	require.NoError(b, k.Close())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		k, plan, err := state.Open(o)
		require.NoError(b, err)
		require.Len(b, plan.Remembered, 100_000)
		b.StopTimer()
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB-held")
		runtime.KeepAlive(plan)
		require.NoError(b, k.Close())
		b.StartTimer()
	}
}

// BenchmarkRecover1M is the start of a proxy after a million purges of 1,000 objects, from its records and from a
// snapshot.
func BenchmarkRecover1M(b *testing.B) {
	for _, snapshot := range []bool{false, true} {
		b.Run(fmt.Sprintf("snapshot=%v", snapshot), func(b *testing.B) {
			o := state.Options{Dir: b.TempDir(), Clock: clock.System(), Each: 1 << 30, Settings: recovery.Settings{PurgePropagation: 6e6}}
			k, _, err := state.Open(o)
			require.NoError(b, err)
			for i := range 1_000_000 {
				k.Purging(recovery.Purge{Object: fmt.Sprintf("%016x", i%1000), IssuedAt: float64(i), NotifiedAt: float64(i)})
			}
			require.NoError(b, k.Drained(1, true))
			if snapshot {
				k.Compact()
			}
			require.NoError(b, k.Close())
			for b.Loop() {
				_, _, err := state.Read(o.Dir, nil)
				require.NoError(b, err)
			}
		})
	}
}
