package multiprocess

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ravenwheel/internal/lab/load"
)

// Settings of the client of each process.
const (
	clientConns   = 2 // connections
	clientRetries = 2 // at most, of a rejected request, and of a failed one that does not write
)

// maxLatency is the longest latency that histograms record, in µs, with latencyDigits significant digits.
const (
	maxLatency    = 60_000_000
	latencyDigits = 3
)

// StartTraffic sends requests to each process while it is in rotation, at a fixed rate in requests per second that does not depend
// on the answers (open loop). stop ends the traffic and waits for the requests in flight.
func (c *Cluster) StartTraffic(rate func(*Process) float64) (stop func()) {
	stopped := make(chan struct{})
	var wait sync.WaitGroup
	for _, p := range c.Processes {
		wait.Add(1)
		go func() {
			defer wait.Done()
			c.sendRequests(p, rate(p), stopped)
		}()
	}
	return func() {
		close(stopped)
		wait.Wait()
	}
}

func (c *Cluster) sendRequests(p *Process, rate float64, stopped <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			c.Client(p).WaitIdle()
			return
		case <-ticker.C:
			if p.inRotation.Load() {
				c.Client(p).Send()
			}
		}
	}
}

// Latency returns the latencies of the requests that were served, in µs.
func (c *Cluster) Latency() *hdrhistogram.Histogram {
	all := hdrhistogram.New(1, maxLatency, latencyDigits)
	for _, p := range c.Processes {
		for _, result := range c.Client(p).Results() {
			all.Merge(result.Latency)
		}
	}
	return all
}

// Served returns the number of requests that a process served.
func (c *Cluster) Served(p *Process) (n int) {
	for _, result := range c.Client(p).Results() {
		n += result.Served
	}
	return n
}

// Totals returns the outcomes of the requests of all classes at all processes, without latencies.
func (c *Cluster) Totals() (totals load.ClassResult) {
	for _, p := range c.Processes {
		for _, result := range c.Client(p).Results() {
			totals.Requested += result.Requested
			totals.Served += result.Served
			totals.Rejected += result.Rejected
			totals.Failed += result.Failed
			totals.Lost += result.Lost
			totals.Retried += result.Retried
		}
	}
	return totals
}

// Client returns the client of a process. The first call for a process creates it.
func (c *Cluster) Client(p *Process) *load.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients[p] == nil {
		c.clients[p] = load.New(load.Options{
			Addr: p.Listen, Clock: c.Clock, Seed: c.options.Seed + hashName(p.Name), Conns: clientConns, Objects: c.options.Objects,
			Classes: c.options.Classes, Retries: clientRetries,
		})
	}
	return c.clients[p]
}
