package journal

import (
	"fmt"
	"sync"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
)

// BenchmarkAppend measures durable appends of 200 bytes on the machine's disk by concurrent writers, with shared syncs and
// with one sync for each record.
func BenchmarkAppend(b *testing.B) {
	for _, writers := range []int{1, 16, 256} {
		for _, syncEach := range []bool{false, true} {
			b.Run(fmt.Sprintf("writers=%d/syncEach=%v", writers, syncEach), func(b *testing.B) {
				clk := clock.System()
				j, err := Open(b.TempDir(), Options{Clock: clk, SyncEachRecord: syncEach}, &memoryTarget{})
				require.NoError(b, err)
				defer j.Close()
				var mu sync.Mutex
				latencies := hdrhistogram.New(1, 60_000_000, 3)
				var wait sync.WaitGroup
				record := make([]byte, 200)
				startedAt := clk.Now()
				for writer := range writers {
					wait.Add(1)
					go func() {
						defer wait.Done()
						for i := writer; i < b.N; i += writers {
							at := clk.Now()
							if _, err := j.Append(record); err != nil {
								b.Error(err)
							}
							mu.Lock()
							_ = latencies.RecordValue(int64((clk.Now() - at) * 1000))
							mu.Unlock()
						}
					}()
				}
				wait.Wait()
				b.ReportMetric(float64(b.N)/(clk.Now()-startedAt)*1000, "records/s")
				b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
				b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
			})
		}
	}
}

// counter is a target that counts records.
type counter struct{ n int }

func (c *counter) Restore([]byte) error        { return nil }
func (c *counter) Replay(uint64, []byte) error { c.n++; return nil }

// BenchmarkRecover1M opens a journal of a million records of 100 bytes.
func BenchmarkRecover1M(b *testing.B) {
	dir := b.TempDir()
	j, err := Open(dir, Options{Clock: clock.System()}, &counter{})
	require.NoError(b, err)
	record := make([]byte, 100)
	var wait sync.WaitGroup
	for range 1_000_000 {
		wait.Add(1)
		j.AppendAsync(record, func(uint64, error) { wait.Done() })
	}
	wait.Wait()
	require.NoError(b, j.Close())
	for b.Loop() {
		c := &counter{}
		_, err := Open(dir, Options{ReadOnly: true}, c)
		require.NoError(b, err)
		require.Equal(b, 1_000_000, c.n)
	}
}
