package multiprocess

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ravenwheel/internal/resp"
)

// Process is one proxy process, over all its starts. Its name and client address stay the same.
type Process struct {
	Name     string
	Listen   string // address for clients
	PeerAddr string // address for gossip; empty without it
	Zone     int

	program    string
	dir        string // for its files
	args       []string
	inRotation atomic.Bool // clients send requests to it

	mu      sync.Mutex
	command *exec.Cmd     // nil while it does not run
	exited  chan struct{} // closed when the last start has exited
	err     error         // how the last start exited
	killed  bool          // by a signal from here, so that its exit is no error
	starts  int
	log     *os.File
}

// ErrRunning is returned where a process must not run, but does.
var ErrRunning = errors.New("process is running")

// ErrNotRunning is returned where a process must run, but does not.
var ErrNotRunning = errors.New("process is not running")

// start starts the process with the configuration in its directory. WaitReady waits until it accepts clients.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return fmt.Errorf("start %s: %w", p.Name, ErrRunning)
	}
	p.starts++
	var err error
	if p.log, err = os.OpenFile(p.logPath(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	command := exec.Command(p.program, p.args...)
	command.Env = []string{"LB_NAME=" + p.Name, "LB_LISTEN=" + p.Listen, "LB_CONFIG=" + p.configurationPath(), "TMPDIR=" + p.dir}
	command.Stdout, command.Stderr = p.log, p.log
	// The kernel kills it when this process is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		p.log.Close()
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.command, p.exited, p.err, p.killed = command, make(chan struct{}), nil, false
	go p.reap(command, p.exited)
	return nil
}

func (p *Process) configurationPath() string { return filepath.Join(p.dir, "config.json") }

func (p *Process) logPath() string { return filepath.Join(p.dir, "log") }

// reap waits for the exit of a start and records how it exited.
func (p *Process) reap(command *exec.Cmd, exited chan struct{}) {
	err := command.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		err = nil
	}
	p.command, p.err = nil, err
	p.log.Close()
	close(exited)
}

// exitError returns how the last start exited: nil for status 0, while it runs, and if it was killed from here.
func (p *Process) exitError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.err
}

// Running reports whether the process runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}

// PID returns the process id, or 0 if the process does not run.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Signal sends a signal to the process. It returns ErrNotRunning if it does not run.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return fmt.Errorf("signal %s: %w", p.Name, ErrNotRunning)
	}
	p.killed = p.killed || s == syscall.SIGKILL
	return p.command.Process.Signal(s)
}

// WaitExit waits until the process has exited. It returns an error if that takes longer than timeout or if the process exited
// with another status than 0, unless it was killed from here.
func (p *Process) WaitExit(timeout time.Duration) error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return nil
	}
	select {
	case <-exited:
		if err := p.exitError(); err != nil {
			return fmt.Errorf("%s exited: %w\n%s", p.Name, err, p.logTail())
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %v", p.Name, timeout)
	}
}

// maxLogTail is how many bytes of a log are shown in an error.
const maxLogTail = 2000

func (p *Process) logTail() string {
	log := p.Log()
	return log[max(0, len(log)-maxLogTail):]
}

// Log returns what the process has logged, over all its starts.
func (p *Process) Log() string {
	content, _ := os.ReadFile(p.logPath()) // none before the first start
	return string(content)
}

// readinessInterval is the time between two health checks of a process that starts.
const readinessInterval = 20 * time.Millisecond

// WaitReady waits until the process answers a health check. It returns an error if the process exits or is not ready within
// timeout.
func (p *Process) WaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(readinessInterval) {
		if healthy(p.Listen) {
			return nil
		}
		if !p.Running() {
			return fmt.Errorf("%s did not start: %w\n%s", p.Name, cmp.Or(p.exitError(), ErrNotRunning), p.logTail())
		}
	}
	return fmt.Errorf("%s is not ready after %v\n%s", p.Name, timeout, p.logTail())
}

// healthTimeout bounds connecting for a health check, and then its answer.
const healthTimeout = time.Second

// healthy reports whether the proxy at an address answers RPC.HEALTH with yes.
func healthy(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, healthTimeout)
	if err != nil {
		return false
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(healthTimeout))
	if _, err := nc.Write(resp.AppendFrame(nil, "RPC.HEALTH", "1")); err != nil {
		return false
	}
	buf := resp.Buffer{MaxFrameSize: resp.MaxRequestSize}
	parts, _, err := buf.Next(nc)
	return err == nil && len(parts) == 2 && string(parts[1]) == "yes"
}

// writeConfiguration replaces the configuration, which the process reads when it starts and at SIGHUP.
func (p *Process) writeConfiguration(c configuration) error {
	encoded, err := json.Marshal(c)
	if err != nil {
		return err
	}
	temporary := p.configurationPath() + ".new"
	if err := os.WriteFile(temporary, encoded, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, p.configurationPath())
}

// crashLines returns the lines of the log in which Go's runtime reports a crash or a data race.
func (p *Process) crashLines() (lines []string) {
	for line := range strings.Lines(p.Log()) {
		line = strings.TrimSuffix(line, "\n")
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") || strings.Contains(line, "DATA RACE") {
			lines = append(lines, p.Name+": "+line)
		}
	}
	return lines
}
