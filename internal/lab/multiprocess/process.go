package multiprocess

import (
	"bytes"
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

// Process is one process of the program under its name and address, over all its starts.
type Process struct {
	Name, Listen string
	PeerAddr     string // for other processes, where they know each other
	Zone         int

	bin, dir string
	args     []string
	taken    atomic.Bool // clients are led to it

	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{} // closed once the process of now has ended
	err    error         // how it ended
	killed bool          // by us, so that its end is none of its own
	starts int
	log    *os.File
}

// errRunning: it runs already.
var errRunning = errors.New("it runs already")

// start begins a process with the configuration that is in its directory. It becomes ready by itself; see Ready.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s: %w", p.Name, errRunning)
	}
	p.starts++
	var err error
	if p.log, err = os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(p.bin, p.args...)
	cmd.Env = []string{"LB_NAME=" + p.Name, "LB_LISTEN=" + p.Listen, "LB_CONFIG=" + filepath.Join(p.dir, "config.json"), "TMPDIR=" + p.dir}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// A field that is killed itself leaves no process behind.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.log.Close()
		return fmt.Errorf("%s: %w", p.Name, err)
	}
	p.cmd, p.ended, p.err, p.killed = cmd, make(chan struct{}), nil, false
	go p.wait(cmd, p.ended)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		err = nil
	}
	p.cmd, p.err = nil, err
	p.log.Close()
	close(ended)
}

// Running tells whether a process is there.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// Pid is the id of the process of now; 0: none.
func (p *Process) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal, by the id of the process that was started here and to no other.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s: no process to signal", p.Name)
	}
	p.killed = p.killed || s == syscall.SIGKILL
	return p.cmd.Process.Signal(s)
}

// End waits until the process has ended, and tells how: nil for exit 0, and for one that was killed from here.
func (p *Process) End(within time.Duration) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.err != nil {
			return fmt.Errorf("%s: %w\n%s", p.Name, p.err, p.tail())
		}
		return nil
	case <-time.After(within):
		return fmt.Errorf("%s: still there after %v", p.Name, within)
	}
}

// mostTail of a log is shown with a failure.
const mostTail = 2000

func (p *Process) tail() string {
	raw, _ := os.ReadFile(filepath.Join(p.dir, "log"))
	return string(raw[max(0, len(raw)-mostTail):])
}

// Log is what it has written, over all its starts.
func (p *Process) Log() string {
	raw, _ := os.ReadFile(filepath.Join(p.dir, "log"))
	return string(raw)
}

// readyEvery: pause between two questions whether a process is ready.
const readyEvery = 20 * time.Millisecond

// Ready waits until the process answers RPC.HEALTH, as a front would that takes it in.
func (p *Process) Ready(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(readyEvery) {
		if healthy(p.Listen) {
			return nil
		}
		if !p.Running() {
			return fmt.Errorf("%s: it did not start: %v\n%s", p.Name, p.err, p.tail())
		}
	}
	return fmt.Errorf("%s: not ready after %v\n%s", p.Name, within, p.tail())
}

func healthy(addr string) bool {
	nc, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(time.Second))
	if _, err := nc.Write(resp.AppendFrame(nil, "RPC.HEALTH", "1")); err != nil {
		return false
	}
	buf := resp.Buffer{MaxFrameSize: resp.MaxRequestSize}
	parts, _, err := buf.Next(nc)
	return err == nil && len(parts) == 2 && string(parts[1]) == "yes"
}

// Configure writes the configuration that the next start reads, and a SIGHUP.
func (p *Process) Configure(c map[string]any) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	path := filepath.Join(p.dir, "config.json")
	if err := os.WriteFile(path+".new", raw, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Crashes are the lines of its log that a crash of Go's runtime leaves.
func (p *Process) Crashes() (lines []string) {
	for _, l := range strings.Split(p.Log(), "\n") {
		if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") || bytes.Contains([]byte(l), []byte("DATA RACE")) {
			lines = append(lines, p.Name+": "+l)
		}
	}
	return lines
}
