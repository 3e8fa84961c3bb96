package hollow

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// Play plays a scenario at one size, by one way, and then its loop once more with empty machines if loop is set.
func Play(ctx context.Context, s Spec, n int, isDirect, loop bool) (*Result, error) {
	name := "levels"
	if isDirect {
		name = "direct"
	}
	base := heap()
	w := newWorld(s, n, isDirect)
	if loop {
		w.tape = &tape{}
	}
	began, spent := time.Now(), processor()
	err := w.run(ctx)
	took, wall := processor()-spent, time.Since(began).Seconds()
	r := w.result(n, name)
	r.Processor, r.Wall = took, wall
	if err != nil {
		return r, err
	}
	w.judge(r)
	kept := w.tape
	w.tape = nil
	w.weigh(r, base)
	if loop {
		err = r.measureHarness(ctx, s, n, kept)
	}
	return r, err
}

// measureHarness plays the loop with empty machines.
func (r *Result) measureHarness(ctx context.Context, s Spec, n int, kept *tape) error {
	w := newWorld(s, n, false)
	w.way = &empty{w: w, tape: kept}
	spent := processor()
	if kept.full { // what it held is played, and counted for the whole by its events
		w.until = func() bool { return kept.at >= mostBlocks*blockNotes }
	}
	if err := w.run(ctx); err != nil {
		return err
	}
	r.Harness = processor() - spent
	if r.HarnessEnded = !kept.full; kept.full {
		r.Harness *= float64(r.Events) / float64(w.done)
	}
	return nil
}

// weigh tells the heap of the processes of each role: what a collection frees once they let go of it.
func (w *world) weigh(r *Result, base uint64) {
	before := heap()
	r.HeapMB = float64(before-min(base, before)) / 1e6
	for _, e := range w.heap { // what is on its way belongs to the harness
		if e.load != nil {
			e.load.shared = nil
		}
	}
	for role := range w.byRole {
		for _, whole := range []bool{true, false} {
			count := 0
			before = heap()
			for _, p := range w.byRole[role] {
				if p.whole == whole {
					p.sides, p.applier, p.inbox, p.owed = [2]side{}, nil, nil, nil
					count++
				}
			}
			if count == 0 {
				continue
			}
			mb := float64(max(0, int64(before)-int64(heap()))) / float64(count) / 1e6
			if whole {
				r.PerRole[role].HeapMB = mb
			} else {
				r.PerRole[role].LightMB = mb
			}
		}
	}
	runtime.KeepAlive(w)
}

// heap is what is in use after a collection. Two, as what the first one finalises is freed by the next.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processor is the processor time that this process has used, in seconds.
func processor() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	at := func(t syscall.Timeval) float64 { return float64(t.Sec) + float64(t.Usec)/1e6 }
	return at(u.Utime) + at(u.Stime)
}
