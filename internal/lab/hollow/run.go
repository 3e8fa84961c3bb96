package hollow

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// Mode selects how entries are distributed to the processes.
type Mode string

// The modes.
const (
	// ModeLevels distributes entries through levels of distributors.
	ModeLevels Mode = "levels"
	// ModeDirect replicates every entry from the store's leader to every process. It is the baseline for a comparison.
	ModeDirect Mode = "direct"
)

// Run plays a scenario with size processes. With measureHarness it then plays the same events without the deciders, to measure the
// CPU time of the simulation itself. It returns an error if the context is cancelled, with the result up to that time.
func Run(ctx context.Context, scenario Scenario, size int, mode Mode, measureHarness bool) (*Result, error) {
	heapBefore := heapInUse()
	sim := newSimulation(scenario, size, mode)
	if measureHarness {
		sim.trace = &callTrace{}
	}
	began, cpuBefore := time.Now(), cpuSeconds()
	err := sim.run(ctx)
	cpu, wall := cpuSeconds()-cpuBefore, time.Since(began).Seconds()
	result := sim.result(size, mode)
	result.CPUSeconds, result.WallSeconds = cpu, wall
	if err != nil {
		return result, err
	}
	sim.checkLimits(result)
	trace := sim.trace
	sim.trace = nil
	sim.measureHeap(result, heapBefore)
	if measureHarness {
		err = result.measureHarness(ctx, scenario, size, trace)
	}
	return result, err
}

// measureHarness plays back a trace, and measures the CPU time of that. If the trace is full it covers only a part of the run, and
// the CPU time for the whole run is estimated in proportion to the number of events.
func (r *Result) measureHarness(ctx context.Context, scenario Scenario, size int, trace *callTrace) error {
	sim := newSimulation(scenario, size, ModeLevels)
	sim.propagator = &replayer{sim: sim, trace: trace}
	if trace.full {
		sim.stopEarly = trace.readToLimit
	}
	cpuBefore := cpuSeconds()
	if err := sim.run(ctx); err != nil {
		return err
	}
	r.HarnessCPUSeconds = cpuSeconds() - cpuBefore
	r.HarnessComplete = !trace.full
	if trace.full {
		r.HarnessCPUSeconds *= float64(r.Events) / float64(sim.processed)
	}
	return nil
}

// measureHeap measures the heap of each role's processes: the bytes that garbage collection frees once their state is dropped.
func (sim *simulation) measureHeap(r *Result, heapBefore uint64) {
	heap := heapInUse()
	r.HeapMB = megabytes(heap - min(heapBefore, heap))
	for _, e := range sim.heap {
		if e.payload != nil {
			e.payload.decoded = nil // messages in transit do not count as heap of a process
		}
	}
	for role := range sim.byRole {
		r.RoleCosts[role].HeapMB = sim.heapPerProcess(Role(role), true)
		r.RoleCosts[role].LightHeapMB = sim.heapPerProcess(Role(role), false)
	}
	runtime.KeepAlive(sim)
}

// heapPerProcess drops the state of a role's full processes, or of its other processes, and returns the mean heap in MB of one of
// them. It returns 0 if there are none.
func (sim *simulation) heapPerProcess(role Role, full bool) float64 {
	before, count := heapInUse(), 0
	for _, p := range sim.byRole[role] {
		if p.full == full {
			p.streams, p.applier, p.deferredEvents, p.omitted = [streamCount]streamNode{}, nil, nil, nil
			count++
		}
	}
	if count == 0 {
		return 0
	}
	after := heapInUse()
	return megabytes(before-min(after, before)) / float64(count)
}

func megabytes(bytes uint64) float64 { return float64(bytes) / 1e6 }

// heapInUse returns the heap in bytes after two garbage collections. The second one frees objects that the first one finalised.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuSeconds returns the CPU time that this operating-system process has used so far.
func cpuSeconds() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return timevalSeconds(usage.Utime) + timevalSeconds(usage.Stime)
}

func timevalSeconds(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
