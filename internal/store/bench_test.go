package store

import (
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkFailover measures the time from the leader's crash to the first change that another member acknowledges, with election
// time-outs of 150 ms.
func BenchmarkFailover(b *testing.B) {
	c := newCluster(b, "a", "b", "c")
	latencies := hdrhistogram.New(1, 60_000, 3)
	for range b.N {
		leader := c.leader()
		other := c.members[c.otherMember(leader)]
		began := time.Now()
		c.members[leader].Kill()
		for i := 0; other.RedeemToken(string(rune('a'+i%26))+time.Now().String(), 9e15) != nil; i++ {
		}
		_ = latencies.RecordValue(time.Since(began).Milliseconds())
		c.open(leader, Options{})
	}
	for _, s := range c.allMembers() {
		s.Kill()
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-ms")
	b.ReportMetric(float64(latencies.Max()), "max-ms")
}
