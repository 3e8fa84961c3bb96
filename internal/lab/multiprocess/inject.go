package multiprocess

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"ravenwheel/internal/lab/fleet"
	"ravenwheel/policy"
)

// drainTime is how long a cache that is replaced drains before it is removed.
const drainTime = 8 * time.Second

// startInjection injects a fault and undoes it after its duration, in the background. It returns the caches that it affects.
func (p *player) startInjection(ctx context.Context, f Fault) []policy.ServerID {
	processes := p.drawProcesses(f)
	caches := p.drawCaches(f)
	p.injections.Add(1)
	go func() {
		defer p.injections.Done()
		if err := p.inject(ctx, f, processes, caches); err != nil && ctx.Err() == nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.result.NotPlayed = append(p.result.NotPlayed, fmt.Sprintf("%s: %v", f, err))
		}
	}()
	if faultKinds[f.Kind].caches {
		return caches
	}
	return nil
}

// inject carries out a fault and undoes it after its duration.
func (p *player) inject(ctx context.Context, f Fault, processes []*Process, caches []policy.ServerID) error {
	switch f.Kind {
	case KillProcesses:
		return p.kill(ctx, f, processes)
	case RestartProcesses:
		return p.restart(processes)
	case SuspendProcesses:
		p.suspend(ctx, f, processes)
	case BlockLink, LoseDatagrams, DelayDatagrams, LimitBandwidth, ResetStreams:
		p.changeLinks(f, true)
		f.wait(ctx)
		p.changeLinks(f, false)
	case LoseZone, CrashCaches:
		p.cluster.KillCaches(caches...)
		f.wait(ctx)
		return p.cluster.RestartCaches(caches...)
	case ReplaceCaches:
		return p.replace(caches)
	case SlowCaches:
		p.disturb(ctx, f, caches, fleet.Fault{ExtraLatency: f.Magnitude})
	case FailingCaches:
		p.disturb(ctx, f, caches, fleet.Fault{Failing: true})
	case SilentCaches:
		p.disturb(ctx, f, caches, fleet.Fault{Unresponsive: true})
	case PurgeGroups:
		for group := range int(f.Magnitude * fleet.GroupCount) {
			p.cluster.Purge("", group)
		}
	case MoveDiscovery:
		return p.moveDiscovery()
	}
	return nil
}

// wait waits for the duration of the fault, or until the scenario is cancelled.
func (f Fault) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(f.Duration * float64(time.Second))):
	}
}

// kill kills processes, and starts them again if the fault has a duration.
func (p *player) kill(ctx context.Context, f Fault, processes []*Process) error {
	p.markInterrupted(processes)
	p.cluster.Kill(processes...)
	if f.Duration <= 0 {
		return nil
	}
	f.wait(ctx)
	return p.cluster.Start(processes...)
}

// restart stops and starts processes one after the other.
func (p *player) restart(processes []*Process) error {
	for _, q := range processes {
		if err := p.cluster.Stop(q); err != nil {
			return err
		}
		if err := p.cluster.Start(q); err != nil {
			return err
		}
	}
	return nil
}

// suspend suspends processes and takes them out of rotation for the duration of the fault.
func (p *player) suspend(ctx context.Context, f Fault, processes []*Process) {
	p.markInterrupted(processes)
	for _, q := range processes {
		q.inRotation.Store(false)
		_ = q.Signal(syscall.SIGSTOP)
	}
	f.wait(ctx)
	for _, q := range processes {
		if q.Signal(syscall.SIGCONT) == nil {
			q.inRotation.Store(true)
		}
	}
}

func (p *player) markInterrupted(processes []*Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range processes {
		p.interrupted[q] = true
	}
}

// changeLinks sets or clears a fault of the links between two zones, and leaves the links' other faults.
func (p *player) changeLinks(f Fault, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changeLink(f, zonePair{f.From, f.To}, on)
	if f.BothWays {
		p.changeLink(f, zonePair{f.To, f.From}, on)
	}
}

// changeLink is changeLinks for one direction. The caller holds the lock.
func (p *player) changeLink(f Fault, direction zonePair, on bool) {
	magnitude := 0.0
	if on {
		magnitude = f.Magnitude
	}
	link := p.links[direction]
	switch f.Kind {
	case BlockLink:
		link.Blocked = on
	case LoseDatagrams:
		link.LossFraction = magnitude
	case DelayDatagrams:
		link.Jitter = magnitude
	case LimitBandwidth:
		link.Bandwidth = magnitude
	case ResetStreams:
		link.Reset = on
	}
	p.links[direction] = link
	p.cluster.SetLink(direction.from, direction.to, link)
}

// replace replaces caches, and removes the old ones after drainTime.
func (p *player) replace(caches []policy.ServerID) error {
	for _, id := range caches {
		if err := p.cluster.ReplaceCache(id); err != nil {
			return err
		}
	}
	time.Sleep(drainTime)
	for _, id := range caches {
		if err := p.cluster.RemoveCache(id); err != nil {
			return err
		}
	}
	return nil
}

// disturb gives the servers of caches a fault for the duration of f.
func (p *player) disturb(ctx context.Context, f Fault, caches []policy.ServerID, fault fleet.Fault) {
	p.setServerFault(caches, fault)
	f.wait(ctx)
	p.setServerFault(caches, fleet.Fault{})
}

func (p *player) setServerFault(caches []policy.ServerID, fault fleet.Fault) {
	for _, id := range caches {
		if server := p.cluster.Fleet.Server(id); server != nil {
			server.SetFault(fault)
		}
	}
}

// moveDiscovery moves the discovery service to another address and reloads the processes that run.
func (p *player) moveDiscovery() error {
	previous, err := p.cluster.MoveDiscovery()
	if err != nil {
		return err
	}
	defer previous.Close()
	return p.cluster.Reload(p.cluster.running()...)
}

// drawProcesses draws the processes that a fault affects from those in rotation.
func (p *player) drawProcesses(f Fault) []*Process {
	if !faultKinds[f.Kind].fraction {
		return nil
	}
	var candidates []*Process
	for _, q := range p.cluster.Processes {
		if f.inZone(q.Zone) && q.inRotation.Load() {
			candidates = append(candidates, q)
		}
	}
	return drawFraction(p, candidates, f.Fraction)
}

// drawCaches draws the caches that a fault affects from those that are ready.
func (p *player) drawCaches(f Fault) []policy.ServerID {
	if f.Kind == LoseZone {
		return p.cluster.ReadyCaches(max(0, f.Zone))
	}
	if !faultKinds[f.Kind].fraction {
		return nil
	}
	var candidates []policy.ServerID
	for zone := range p.scenario.Zones {
		if f.inZone(zone) {
			candidates = append(candidates, p.cluster.ReadyCaches(zone)...)
		}
	}
	return drawFraction(p, candidates, f.Fraction)
}

// inZone reports whether the fault affects a zone.
func (f Fault) inZone(zone int) bool { return f.Zone < 0 || f.Zone == zone }

// drawFraction draws a fraction of the candidates, at least one if there are any.
func drawFraction[T any](p *player, candidates []T, fraction float64) []T {
	p.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := max(1, int(fraction*float64(len(candidates))+0.5))
	return candidates[:min(len(candidates), count)]
}
