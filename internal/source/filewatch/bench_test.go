package filewatch_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/debounce"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
	"ravenwheel/policy"
)

// BenchmarkRenameToEffect measures the time from the rename of a list file until the list is in use, on the machine's clock,
// for lists of 3 and of 10,000 servers.
func BenchmarkRenameToEffect(b *testing.B) {
	for _, c := range []struct {
		servers int
		quiet   float64
	}{{3, 20}, {3, 200}, {10_000, 200}} {
		b.Run(fmt.Sprintf("servers=%d/quiet=%.0fms", c.servers, c.quiet), func(b *testing.B) {
			clk, latencies := clock.System(), hdrhistogram.New(1, 60_000_000, 3)
			path := filepath.Join(b.TempDir(), "servers.jsonc")
			text := func(generation int) []byte {
				s := &serverlist.List{Generation: uint64(generation)}
				for i := range c.servers {
					s.Servers = append(s.Servers, serverlist.Server{
						ID: policy.ServerID(i + 1), Host: fmt.Sprintf("127.%d.%d.1", 1+i/250, i%250), Port: 4100, Zone: "east", Kind: "small",
						Weight: 4,
					})
				}
				return serverlist.Format(s)
			}
			accepted := make(chan uint64, 1)
			watcher := filewatch.New(filewatch.Options{
				Path: path, Clock: clk, Resolver: &resolver.Cache{Clock: clk, TTL: 1e6, Timeout: 1e4},
				Debounce: debounce.Settings{QuietPeriod: c.quiet, MaxDelay: 5000, PollInterval: 5000},
				OnList:   func(s *serverlist.List) { accepted <- s.Generation },
			}, nil)
			go watcher.Run()
			defer watcher.Close()
			for i := 1; i <= b.N; i++ {
				require.NoError(b, os.WriteFile(path+".new", text(i), 0o600))
				began := clk.Now()
				require.NoError(b, os.Rename(path+".new", path))
				require.EqualValues(b, i, <-accepted)
				_ = latencies.RecordValue(int64((clk.Now() - began) * 1000))
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
		})
	}
}
