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

// Process is a proxy process that may be started several times. Its name and its address for clients never change.
type Process struct {
	Name     string
	Listen   string // address for clients
	PeerAddr string // address for gossip; empty if the process does not gossip
	Zone     int

	program    string
	dir        string // for its configuration, log and stored state
	args       []string
	inRotation atomic.Bool // clients send requests to it

	mu      sync.Mutex
	command *exec.Cmd     // nil while the process does not run
	exited  chan struct{} // closed when the process has exited after its last start
	err     error         // of the exit after the last start; nil for status 0
	killed  bool          // Signal sent SIGKILL since the last start, so the exit is no error
	starts  int
	log     *os.File
}

// ErrRunning is returned by calls that need a process not to run, if it runs.
var ErrRunning = errors.New("process is running")

// ErrNotRunning is returned by calls that need a process to run, if it does not.
var ErrNotRunning = errors.New("process is not running")

// start starts the process with the configuration in its directory. It does not wait until the process accepts clients, as
// WaitReady does.
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
	// The kernel kills the proxy when this process ends, even by SIGKILL.
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

// reap waits until a started process exits, and records its error.
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

// exitError returns the error of the exit after the last start. It is nil for status 0, while the process runs, and if Signal
// killed the process.
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

// WaitExit waits until the process has exited. It returns an error if that takes longer than timeout, or if the process exited
// with a status other than 0 and was not killed by Signal.
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
			return fmt.Errorf("process %s exited: %w\n%s", p.Name, err, p.logTail())
		}
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("process %s did not exit within %v", p.Name, timeout)
	}
}

// maxLogTail is the length in bytes of the end of a log that errors show.
const maxLogTail = 2000

func (p *Process) logTail() string {
	log := p.Log()
	return log[max(0, len(log)-maxLogTail):]
}

// Log returns what the process has logged, over all its starts.
func (p *Process) Log() string {
	content, _ := os.ReadFile(p.logPath()) // no file before the first start
	return string(content)
}

// readinessInterval is the time between two health checks of a process that is starting.
const readinessInterval = 20 * time.Millisecond

// WaitReady waits until the process answers a health check. It returns an error if the process exits or is not ready within
// timeout.
func (p *Process) WaitReady(timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(readinessInterval) {
		if healthy(p.Listen) {
			return nil
		}
		if !p.Running() {
			return fmt.Errorf("process %s exited before it was ready: %w\n%s", p.Name, cmp.Or(p.exitError(), ErrNotRunning), p.logTail())
		}
	}
	return fmt.Errorf("process %s is not ready after %v\n%s", p.Name, timeout, p.logTail())
}

// healthTimeout bounds the time to connect for a health check, and then the time until its answer.
const healthTimeout = time.Second

// healthy reports whether the proxy at an address answers RPC.HEALTH with "yes".
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

// writeConfiguration replaces the file that the process reads when it starts and on SIGHUP.
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
