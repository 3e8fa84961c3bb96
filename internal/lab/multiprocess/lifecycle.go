package multiprocess

import (
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Each does something for some processes, so many at once that the machine bears it, and returns the first error.
func Each(ps []*Process, do func(*Process) error) error {
	var first error
	var mu sync.Mutex
	var wait sync.WaitGroup
	room := make(chan struct{}, startAtOnce*runtime.NumCPU())
	for _, p := range ps {
		wait.Add(1)
		room <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-room }()
			if err := do(p); err != nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = err
				}
			}
		}()
	}
	wait.Wait()
	return first
}

// Start starts processes that are not there, with the list as it is now, and waits until they are ready. Those that know each
// other start in steps, each once those before it agree: with hundreds at once every pair checks each other's certificates in
// the same seconds, and a machine that all of them share gives nobody an answer in time.
func (f *Field) Start(ps ...*Process) error {
	if !f.opt.Peers {
		return f.start(ps)
	}
	for step := range slices.Chunk(ps, startStep) {
		if err := f.start(step); err != nil {
			return err
		}
		if len(ps) == len(step) {
			return nil
		}
		var up []*Process
		for _, p := range f.Processes {
			if p.Running() {
				up = append(up, p)
			}
		}
		for end := time.Now().Add(stepWait); time.Now().Before(end) && Agree(up, up) != nil; time.Sleep(stepEvery) {
		}
	}
	return nil
}

// startStep processes that know each other start at a time, and wait until they agree or stepWait is over.
const (
	startStep = 40
	stepWait  = 30 * time.Second
	stepEvery = 250 * time.Millisecond
)

func (f *Field) start(ps []*Process) error {
	return Each(ps, func(p *Process) error {
		if err := f.configure(p, f.Door.Addr()); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		if err := p.Ready(ReadyWithin); err != nil {
			return err
		}
		p.taken.Store(true)
		return nil
	})
}

// leadAway is how long clients still come to a process that was told to end.
const leadAway = 300 * time.Millisecond

// Stop ends processes by SIGTERM, leads their clients away a moment later, and waits for their end, which must be by exit 0.
func (f *Field) Stop(ps ...*Process) error {
	return Each(ps, func(p *Process) error {
		if err := p.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		time.Sleep(leadAway)
		p.taken.Store(false)
		return p.End(ReadyWithin)
	})
}

// Kill ends processes at one instant, as a power cut does. What they hold is lost with them.
func (f *Field) Kill(ps ...*Process) {
	for _, p := range ps {
		p.taken.Store(false)
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range ps {
		_ = p.End(ReadyWithin)
	}
}

// Reload tells processes of a new configuration by SIGHUP.
func (f *Field) Reload(ps ...*Process) error {
	return Each(ps, func(p *Process) error {
		if err := f.configure(p, f.Door.Addr()); err != nil {
			return err
		}
		return p.Signal(syscall.SIGHUP)
	})
}
