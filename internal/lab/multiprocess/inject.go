package multiprocess

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"ravenwheel/internal/lab/fleet"
	"ravenwheel/policy"
)

// drainTime is how long a replaced cache drains before it is removed.
const drainTime = 8 * time.Second

// startInjection injects a fault and undoes it after its duration, in a goroutine. It returns the caches whose load the fault
// affects.
func (p *player) startInjection(ctx context.Context, f Fault) []policy.ServerID {
	processes := p.drawProcesses(f)
	caches := p.drawCaches(f)
	p.pendingInjections.Add(1)
	go func() {
		defer p.pendingInjections.Done()
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

// inject injects a fault into the given processes or caches, and undoes it after its duration.
func (p *player) inject(ctx context.Context, f Fault, processes []*Process, caches []policy.ServerID) error {
	switch f.Kind {
	case KillProcesses:
		return p.killProcesses(ctx, f, processes)
	case RestartProcesses:
		return p.restartProcesses(processes)
	case SuspendProcesses:
		p.suspendProcesses(ctx, f, processes)
	case BlockLink, LoseDatagrams, DelayDatagrams, LimitBandwidth, ResetStreams:
		p.setLinkFaults(f, true)
		f.wait(ctx)
		p.setLinkFaults(f, false)
	case LoseZone, CrashCaches:
		p.cluster.KillCaches(caches...)
		f.wait(ctx)
		return p.cluster.RestartCaches(caches...)
	case ReplaceCaches:
		return p.replaceCaches(caches)
	case SlowCaches:
		p.injectServerFault(ctx, f, caches, fleet.Fault{ExtraLatency: f.Magnitude})
	case FailingCaches:
		p.injectServerFault(ctx, f, caches, fleet.Fault{Failing: true})
	case SilentCaches:
		p.injectServerFault(ctx, f, caches, fleet.Fault{Unresponsive: true})
	case PurgeGroups:
		for group := range int(f.Magnitude * fleet.GroupCount) {
			p.cluster.Purge("", group)
		}
	case MoveDiscovery:
		return p.moveDiscovery()
	}
	return nil
}

// wait waits for the duration of the fault, or until ctx is cancelled.
func (f Fault) wait(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(f.Duration * float64(time.Second))):
	}
}

// killProcesses kills processes, and starts them again if the fault has a duration.
func (p *player) killProcesses(ctx context.Context, f Fault, processes []*Process) error {
	p.markInterrupted(processes)
	p.cluster.Kill(processes...)
	if f.Duration <= 0 {
		return nil
	}
	f.wait(ctx)
	return p.cluster.Start(processes...)
}

// restartProcesses stops and starts processes one after the other.
func (p *player) restartProcesses(processes []*Process) error {
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

// suspendProcesses suspends processes and takes them out of rotation for the duration of the fault.
func (p *player) suspendProcesses(ctx context.Context, f Fault, processes []*Process) {
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

// setLinkFaults sets a fault of the link between two zones, or clears it if active is not set. Other faults of the link stay.
func (p *player) setLinkFaults(f Fault, active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setLinkFault(f, zonePair{f.From, f.To}, active)
	if f.BothWays {
		p.setLinkFault(f, zonePair{f.To, f.From}, active)
	}
}

// setLinkFault does what setLinkFaults does for one direction. The caller holds the lock.
func (p *player) setLinkFault(f Fault, direction zonePair, active bool) {
	magnitude := 0.0
	if active {
		magnitude = f.Magnitude
	}
	linkFault := p.linkFaults[direction]
	switch f.Kind {
	case BlockLink:
		linkFault.Blocked = active
	case LoseDatagrams:
		linkFault.LossFraction = magnitude
	case DelayDatagrams:
		linkFault.Jitter = magnitude
	case LimitBandwidth:
		linkFault.Bandwidth = magnitude
	case ResetStreams:
		linkFault.Reset = active
	}
	p.linkFaults[direction] = linkFault
	p.cluster.SetLinkFault(direction.from, direction.to, linkFault)
}

// replaceCaches drains caches while new ones start, and removes the drained ones after drainTime.
func (p *player) replaceCaches(caches []policy.ServerID) error {
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

// injectServerFault sets a fault at the stand-ins of caches for the duration of f.
func (p *player) injectServerFault(ctx context.Context, f Fault, caches []policy.ServerID, fault fleet.Fault) {
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

// moveDiscovery moves the discovery service to another address and makes the running processes reload their configuration.
func (p *player) moveDiscovery() error {
	previous, err := p.cluster.MoveDiscovery()
	if err != nil {
		return err
	}
	defer previous.Close()
	return p.cluster.Reload(p.cluster.running()...)
}

// drawProcesses draws, from the processes in rotation, those that a fault affects.
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

// drawCaches draws, from the ready caches, those that a fault affects.
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

// inZone reports whether the fault may affect processes or caches of a zone.
func (f Fault) inZone(zone int) bool { return f.Zone < 0 || f.Zone == zone }

// drawFraction draws a fraction of the candidates, at least one if there are any.
func drawFraction[T any](p *player, candidates []T, fraction float64) []T {
	p.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	count := max(1, int(fraction*float64(len(candidates))+0.5))
	return candidates[:min(len(candidates), count)]
}
