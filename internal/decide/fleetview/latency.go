package fleetview

import "math"

const (
	// LatencyBuckets is the number of buckets of a latency histogram. Each bucket ends at twice the end of the one before: 12.5 ms,
	// 25 ms, 50 ms and so on. The last one holds all higher latencies.
	LatencyBuckets = 10
	// firstBucketEnd is the upper end of the first bucket, in ms.
	firstBucketEnd = 12.5
	// latencyScale is the value, in a Latency, of a bucket that holds all answers.
	latencyScale = 255
)

// Latency is a histogram of the latency of answers. It holds each bucket's fraction of the answers, in units of 1/255, without the
// empty buckets at the end.
type Latency []byte

// LatencyBucket returns the index of the bucket for an answer that took ms milliseconds.
func LatencyBucket(ms float64) int {
	if !(ms > firstBucketEnd) {
		return 0
	}
	return min(LatencyBuckets-1, int(math.Ceil(math.Log2(ms/firstBucketEnd))))
}

// latencyOf returns the histogram of answers that were counted by bucket.
func latencyOf(counts [LatencyBuckets]uint64) Latency {
	total := uint64(0)
	for _, n := range counts {
		total += n
	}
	if total == 0 {
		return nil
	}
	out := make(Latency, 0, LatencyBuckets)
	for _, n := range counts {
		out = append(out, byte(math.Round(latencyScale*float64(n)/float64(total))))
	}
	for len(out) > 0 && out[len(out)-1] == 0 {
		out = out[:len(out)-1]
	}
	return out
}

// near reports whether no bucket of two histograms differs by more than the given fraction of the answers.
func (l Latency) near(other Latency, fraction float64) bool {
	for i := range max(len(l), len(other)) {
		if math.Abs(l.fraction(i)-other.fraction(i)) > fraction {
			return false
		}
	}
	return true
}

// fraction returns a bucket's fraction of the answers.
func (l Latency) fraction(bucket int) float64 {
	if bucket >= len(l) {
		return 0
	}
	return float64(l[bucket]) / latencyScale
}

// Quantile returns the latency, in ms, below which a fraction q of the answers lies, interpolated within its bucket; 0 if there
// were no answers.
func (l Latency) Quantile(q float64) float64 {
	total := 0.0
	for i := range l {
		total += l.fraction(i)
	}
	if total == 0 {
		return 0
	}
	low, sum := 0.0, 0.0
	for i := range l {
		high := firstBucketEnd * math.Exp2(float64(i))
		if part := l.fraction(i); sum+part >= q*total && part > 0 {
			return low + (high-low)*(q*total-sum)/part
		}
		sum += l.fraction(i)
		low = high
	}
	return low
}
