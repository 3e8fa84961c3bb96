package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"slices"

	"golang.org/x/sys/unix"

	"ravenwheel/internal/decide/storestate"
)

// defaultSizes are the sizes of most recordings.
var defaultSizes = []int{100, 300, 1000, 3000, 10_000}

const (
	// cpuRounds is the number of rounds over which cpuCost takes the median.
	cpuRounds = 5
	// minRoundMicros is the minimum CPU time of a round in µs.
	minRoundMicros = 40_000
	// maxCallsPerRound limits the calls in a round, for calls that take almost no time.
	maxCallsPerRound = 1 << 24
)

// measureSizes calls measure for each size and returns the rounded results.
func measureSizes(sizes []int, measure func(n int) float64) (points []Point) {
	for _, n := range sizes {
		points = append(points, Point{float64(n), roundSignificant(measure(n))})
	}
	return points
}

// measureHeap measures the heap that the results of build keep alive, at each of the default sizes.
func measureHeap[T any](build func(n int) T) []Point {
	return measureSizes(defaultSizes, func(n int) float64 {
		return heapBytes(func() any { return build(n) })
	})
}

// heapBytes is the heap in bytes that the result of build keeps alive.
func heapBytes(build func() any) float64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

// heapInUse is the heap in bytes after two garbage collections. The second one frees objects whose finalizers ran after the first.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuMicros is the CPU time in µs that this process has used. It includes garbage collection and excludes the time in which other
// processes used the processor.
func cpuMicros() float64 {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage) // fails for invalid arguments only
	return timevalMicros(usage.Utime) + timevalMicros(usage.Stime)
}

func timevalMicros(t unix.Timeval) float64 { return float64(t.Sec)*1e6 + float64(t.Usec) }

// cpuCost is the CPU time of a call in µs: the median of cpuRounds rounds of calls. The calls are numbered from 0.
func cpuCost(call func(i int)) float64 {
	i, callsPerRound := 0, 1
	round := func() float64 {
		start := cpuMicros()
		for range callsPerRound {
			call(i)
			i++
		}
		return cpuMicros() - start
	}
	for round() < minRoundMicros && callsPerRound < maxCallsPerRound {
		callsPerRound *= 2
	}
	var costs []float64
	for range cpuRounds {
		costs = append(costs, round()/float64(callsPerRound))
	}
	slices.Sort(costs)
	return costs[len(costs)/2]
}

// encodedSize is the size in bytes of an encoded change or state of the store.
func encodedSize(v any) float64 { return float64(len(mustEncode(v))) }

// mustEncode encodes a generated change or state of the store.
func mustEncode(v any) []byte {
	raw, err := storestate.Encode(v)
	if err != nil {
		panic(fmt.Sprintf("capacity: encoding a generated %T: %v", v, err))
	}
	return raw
}

// mustDecodeChange decodes what mustEncode encoded.
func mustDecodeChange(raw []byte) storestate.Change {
	change, err := storestate.DecodeChange(raw)
	if err != nil {
		panic(fmt.Sprintf("capacity: decoding an encoded change: %v", err))
	}
	return change
}

// jsonSize is the size in bytes of a generated value as JSON.
func jsonSize(v any) float64 {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("capacity: encoding a generated %T: %v", v, err))
	}
	return float64(len(raw))
}
