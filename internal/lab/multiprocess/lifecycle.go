package multiprocess

import (
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"
)

// concurrencyPerCore is the number of processes per core that ForEach handles at a time.
const concurrencyPerCore = 4

// ForEach calls do for each process, for several concurrently. After all calls, it returns the error that occurred first.
func ForEach(processes []*Process, do func(*Process) error) error {
	var (
		firstErr error
		mu       sync.Mutex
		wait     sync.WaitGroup
	)
	slots := make(chan struct{}, concurrencyPerCore*runtime.NumCPU())
	for _, p := range processes {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			defer func() { <-slots }()
			if err := do(p); err != nil {
				mu.Lock()
				defer mu.Unlock()
				if firstErr == nil {
					firstErr = err
				}
			}
		}()
	}
	wait.Wait()
	return firstErr
}

// Processes that gossip are started in batches of startBatch. After each batch, Start checks every agreementInterval whether all
// processes agree on the members, and goes on after agreementTimeout even if they do not.
const (
	startBatch        = 40
	agreementTimeout  = 30 * time.Second
	agreementInterval = 250 * time.Millisecond
)

// Start starts processes that do not run, with the present endpoint list, and waits until they are ready. Processes that gossip
// are started in batches: if hundreds started at once, every pair would do its TLS handshakes in the same seconds, and the
// machine, which all of them share, would be too slow for them to answer each other in time.
func (c *Cluster) Start(processes ...*Process) error {
	if !c.options.Peers {
		return c.startBatch(processes)
	}
	for batch := range slices.Chunk(processes, startBatch) {
		if err := c.startBatch(batch); err != nil {
			return err
		}
		if len(batch) == len(processes) {
			return nil
		}
		running := c.running()
		deadline := time.Now().Add(agreementTimeout)
		for time.Now().Before(deadline) && CheckAgreement(running, running) != nil {
			time.Sleep(agreementInterval)
		}
	}
	return nil
}

// running returns the processes that run.
func (c *Cluster) running() (running []*Process) {
	for _, p := range c.Processes {
		if p.Running() {
			running = append(running, p)
		}
	}
	return running
}

func (c *Cluster) startBatch(processes []*Process) error {
	return ForEach(processes, func(p *Process) error {
		if err := c.configure(p, c.DiscoveryListener.Addr()); err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		if err := p.WaitReady(ReadyTimeout); err != nil {
			return err
		}
		p.inRotation.Store(true)
		return nil
	})
}

// rotationDelay is how long clients still send to a process after its SIGTERM.
const rotationDelay = 300 * time.Millisecond

// Stop sends SIGTERM to processes, stops their clients rotationDelay later, and waits until the processes exit. It returns an
// error if one exits with a status other than 0 or does not exit within ReadyTimeout.
func (c *Cluster) Stop(processes ...*Process) error {
	return ForEach(processes, func(p *Process) error {
		if err := p.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		time.Sleep(rotationDelay)
		p.inRotation.Store(false)
		return p.WaitExit(ReadyTimeout)
	})
}

// Kill sends SIGKILL to all processes and then waits for their exit. Their requests in flight are lost.
func (c *Cluster) Kill(processes ...*Process) {
	for _, p := range processes {
		p.inRotation.Store(false)
		_ = p.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		_ = p.WaitExit(ReadyTimeout)
	}
}

// Reload writes the configurations of processes again, with the present endpoint list, and sends the processes SIGHUP.
func (c *Cluster) Reload(processes ...*Process) error {
	return ForEach(processes, func(p *Process) error {
		if err := c.configure(p, c.DiscoveryListener.Addr()); err != nil {
			return err
		}
		return p.Signal(syscall.SIGHUP)
	})
}
