package multiprocess

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ravenwheel/policy"
)

// Names of the files of a run, in its directory.
const (
	ScenarioFile = "scenario.json"
	resultFile   = "result.json"
)

// Play plays a scenario with the proxy's binary at the path program. It writes the scenario, the result, and the processes'
// configurations and logs into dir, and calls progress with a line of text for each fault.
func Play(ctx context.Context, s Scenario, program, dir string, progress func(string)) (*Result, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(dir, ScenarioFile), s.JSON(), 0o600); err != nil {
		return nil, err
	}
	c, err := New(Options{
		Program: program, Dir: dir, Seed: s.Seed, Zones: s.Zones, ProcessesPerZone: s.ProcessesPerZone, CachesPerZone: s.CachesPerZone,
		Parents: s.Parents, TransferTime: s.TransferTime, FillTime: s.FillTime, Peers: s.Peers, Objects: s.Objects,
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.Start(c.Processes...); err != nil {
		return nil, err
	}
	p := newPlayer(c, s, progress)
	stop := c.StartTraffic(func(*Process) float64 { return s.Rate })
	p.run(ctx)
	p.pendingInjections.Wait()
	stop()
	p.summarize()
	p.result.Violations = append(c.Violations(), p.clientViolations()...)
	encoded, err := json.MarshalIndent(p.result, "", " ")
	if err != nil {
		return p.result, err
	}
	return p.result, errors.Join(ctx.Err(), os.WriteFile(filepath.Join(dir, resultFile), append(encoded, '\n'), 0o600))
}

// player plays a scenario in a cluster.
type player struct {
	cluster   *Cluster
	scenario  Scenario
	rng       *rand.Rand
	progress  func(string)
	result    *Result
	startedAt float64 // ms of the cluster's clock

	pendingInjections sync.WaitGroup            // of the faults that are not undone yet
	affected          map[int][]policy.ServerID // caches that a fault affects, by the fault's index in the timeline
	previousTotals    Second                    // outcomes up to the end of the second that was recorded last

	mu          sync.Mutex        // guards the fields below and result.NotPlayed
	interrupted map[*Process]bool // processes that were killed or suspended: their requests in flight may be lost
	linkFaults  map[zonePair]LinkFault
}

// zonePair is the direction of a link between two zones.
type zonePair struct{ from, to int }

func newPlayer(c *Cluster, s Scenario, progress func(string)) *player {
	return &player{
		cluster: c, scenario: s, rng: rand.New(rand.NewPCG(s.Seed, injectionStream)), progress: progress,
		result: &Result{Scenario: s, Timeline: s.Timeline()}, startedAt: c.Clock.Now(),
		affected: map[int][]policy.ServerID{}, interrupted: map[*Process]bool{}, linkFaults: map[zonePair]LinkFault{},
	}
}

// elapsed returns the seconds since the start of the scenario.
func (p *player) elapsed() float64 { return (p.cluster.Clock.Now() - p.startedAt) / 1000 }

// timelineInterval is the time between two checks whether the next fault is due.
const timelineInterval = 10 * time.Millisecond

// run injects the faults of the timeline and records every second, until the end of the scenario.
func (p *player) run(ctx context.Context) {
	next := 0
	for second := 0; float64(second) < p.scenario.Seconds && ctx.Err() == nil; second++ {
		for p.elapsed() < float64(second+1) && ctx.Err() == nil {
			for next < len(p.result.Timeline) && p.result.Timeline[next].At <= p.elapsed() {
				fault := p.result.Timeline[next]
				p.progress(fmt.Sprintf("%5.1f s  %s", p.elapsed(), fault))
				p.affected[next] = p.startInjection(ctx, fault)
				next++
			}
			time.Sleep(timelineInterval)
		}
		p.recordSecond(second)
	}
}

// recordSecond records the outcomes of a second's requests, the number of running processes, and the least and the highest number
// of members that a process considers alive.
func (p *player) recordSecond(second int) {
	totals := p.cluster.Totals()
	current := Second{
		Requested: totals.Requested, Served: totals.Served, Rejected: totals.Rejected - totals.Retried, Failed: totals.Failed, Lost: totals.Lost,
	}
	recorded := Second{
		Requested: current.Requested - p.previousTotals.Requested, Served: current.Served - p.previousTotals.Served,
		Rejected: current.Rejected - p.previousTotals.Rejected, Failed: current.Failed - p.previousTotals.Failed, Lost: current.Lost - p.previousTotals.Lost,
	}
	p.previousTotals = current
	alive := AliveCount{Second: second, Least: len(p.cluster.Processes) + 1}
	var mu sync.Mutex
	_ = ForEach(p.cluster.Processes, func(q *Process) error {
		if !q.Running() {
			return nil
		}
		mu.Lock()
		recorded.Running++
		mu.Unlock()
		if !p.scenario.Peers || !q.inRotation.Load() {
			return nil
		}
		status, err := q.PeerSummary()
		if err != nil {
			return nil // the process may be about to exit
		}
		mu.Lock()
		defer mu.Unlock()
		alive.Least = min(alive.Least, status.Alive)
		alive.Most = max(alive.Most, status.Alive)
		return nil
	})
	p.result.Seconds = append(p.result.Seconds, recorded)
	if alive.Most > 0 {
		p.result.Alive = append(p.result.Alive, alive)
	}
}

// clientViolations returns the violations that clients observed, except at processes that were killed or suspended.
func (p *player) clientViolations() (violations []string) {
	for _, q := range p.cluster.Processes {
		if p.interrupted[q] {
			continue
		}
		for _, text := range p.cluster.Client(q).Violations() {
			violations = append(violations, q.Name+": "+text)
		}
	}
	return violations
}
