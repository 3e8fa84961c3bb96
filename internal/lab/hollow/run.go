package hollow

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// Play plays a scenario at one size, by one way, and then its loop once more with empty machines if loop is set.
func Run(ctx context.Context, s Scenario, n int, isDirect, loop bool) (*Result, error) {
	name := "levels"
	if isDirect {
		name = "direct"
	}
	base := heapInUse()
	sim := newSimulation(s, n, isDirect)
	if loop {
		sim.trace = &callTrace{}
	}
	began, spent := time.Now(), cpuSeconds()
	err := sim.run(ctx)
	took, wall := cpuSeconds()-spent, time.Since(began).Seconds()
	r := sim.result(n, name)
	r.CPUSeconds, r.WallSeconds = took, wall
	if err != nil {
		return r, err
	}
	sim.judge(r)
	kept := sim.trace
	sim.trace = nil
	sim.measureHeap(r, base)
	if loop {
		err = r.measureHarness(ctx, s, n, kept)
	}
	return r, err
}

// measureHarness plays the loop with empty machines.
func (r *Result) measureHarness(ctx context.Context, s Scenario, n int, kept *callTrace) error {
	sim := newSimulation(s, n, false)
	sim.propagator = &replayer{sim: sim, trace: kept}
	spent := cpuSeconds()
	if kept.full { // what it held is played, and counted for the whole by its events
		sim.stopEarly = func() bool { return kept.readPosition >= maxBlocks*blockRecords }
	}
	if err := sim.run(ctx); err != nil {
		return err
	}
	r.HarnessCPUSeconds = cpuSeconds() - spent
	if r.HarnessComplete = !kept.full; kept.full {
		r.HarnessCPUSeconds *= float64(r.Events) / float64(sim.processed)
	}
	return nil
}

// weigh tells the heap of the processes of each role: what a collection frees once they let go of it.
func (sim *simulation) measureHeap(r *Result, base uint64) {
	before := heapInUse()
	r.HeapMB = float64(before-min(base, before)) / 1e6
	for _, e := range sim.heap { // what is on its way belongs to the harness
		if e.payload != nil {
			e.payload.decoded = nil
		}
	}
	for role := range sim.byRole {
		for _, whole := range []bool{true, false} {
			count := 0
			before = heapInUse()
			for _, p := range sim.byRole[role] {
				if p.full == whole {
					p.streams, p.applier, p.inbox, p.omitted = [2]streamNode{}, nil, nil, nil
					count++
				}
			}
			if count == 0 {
				continue
			}
			mb := float64(max(0, int64(before)-int64(heapInUse()))) / float64(count) / 1e6
			if whole {
				r.RoleCosts[role].HeapMB = mb
			} else {
				r.RoleCosts[role].LightHeapMB = mb
			}
		}
	}
	runtime.KeepAlive(sim)
}

// heap is what is in use after a collection. Two, as what the first one finalises is freed by the next.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processor is the processor time that this process has used, in seconds.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	at := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return at(u.Utime) + at(u.Stime)
}
