package multiprocess

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenwheel/internal/lab/load"
)

// Traffic sends requests to each process at a steady rate of its own for as long as clients are led to it, whatever becomes
// of those before. stop ends it and waits for what is open.
func (f *Field) Traffic(perS func(*Process) float64) (stop func()) {
	end := make(chan struct{})
	var wait sync.WaitGroup
	for _, p := range f.Processes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			tick := time.NewTicker(time.Duration(float64(time.Second) / perS(p)))
			defer tick.Stop()
			for {
				select {
				case <-end:
					f.Client(p).WaitIdle()
					return
				case <-tick.C:
					if p.taken.Load() {
						f.Client(p).Send()
					}
				}
			}
		}()
	}
	return func() { close(end); wait.Wait() }
}

// Took is how long what was served took, from when it was asked, in microseconds.
func (f *Field) Took() *hdrhistogram.Histogram {
	all := hdrhistogram.New(1, 60_000_000, 3)
	for _, p := range f.Processes {
		for _, s := range f.Client(p).Results() {
			all.Merge(s.Latency)
		}
	}
	return all
}

// Served is how much was served by a process.
func (f *Field) Served(p *Process) (n int) {
	for _, s := range f.Client(p).Results() {
		n += s.Served
	}
	return n
}

// Sum is what became of all requests, of all classes and processes.
func (f *Field) Sum() (all load.ClassResult) {
	for _, p := range f.Processes {
		for _, s := range f.Client(p).Results() {
			all.Requested += s.Requested
			all.Served += s.Served
			all.Rejected += s.Rejected
			all.Failed += s.Failed
			all.Lost += s.Lost
			all.Retried += s.Retried
		}
	}
	return all
}

// Client is the clients of a process; they are made when first asked for.
func (f *Field) Client(p *Process) *load.Client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.clients[p] == nil {
		f.clients[p] = load.New(load.Options{
			Addr: p.Listen, Clock: f.Clock, Seed: f.opt.Seed + hashName(p.Name), Conns: 2, Objects: f.opt.Objects, Classes: f.opt.Classes, Retries: 2,
		})
	}
	return f.clients[p]
}
