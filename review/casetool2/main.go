// Command casetool2 plays the cases 6 to 10 of the review: it starts the project's programs with the commands of the deploy file,
// and is client, cache server, notice board and operator to them. It is started by a case's run.sh, in the folder of the case.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// play is one run of a case.
type play struct {
	root    string // of the repository
	dir     string // temporary
	trouble bool
	began   time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*process
	given     map[string]bool // addresses that freeAddr has returned
	broken    int
}

var cases = map[string]func(*play){}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casetool2 CASE, in the folder of the case")
		os.Exit(exitUnusable)
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), given: map[string]bool{}}
	var err error
	if p.record, err = os.Create("record.txt"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUnusable)
	}
	here, err := os.Getwd()
	p.check(err, "working directory")
	p.root = filepath.Dir(filepath.Dir(here))
	p.dir, err = os.MkdirTemp("", "case")
	p.check(err, "temporary folder")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			p.unusable("interrupted")
		case <-time.After(maxDuration):
			p.unusable("not finished in time")
		}
	}()
	p.logf("case %s, trouble %v", os.Args[1], p.trouble)
	cases[os.Args[1]](p)
	if p.broken > 0 {
		p.logf("RULE BROKEN, %d times", p.broken)
		p.exit(exitBroken)
	}
	p.logf("the rule held")
	p.exit(exitHeld)
}

// logf writes a line to the record, with the time in ms since the begin.
func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.1f ms  %s\n", float64(time.Since(p.began).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// breach records that the rule is broken.
func (p *play) breach(format string, args ...any) {
	p.broken++
	p.logf("BROKEN: "+format, args...)
}

// check ends a case that can't run because of err.
func (p *play) check(err error, what string) {
	if err != nil {
		p.unusable("%s: %v", what, err)
	}
}

// require ends a case whose preparation did not succeed.
func (p *play) require(ok bool, format string, args ...any) {
	if !ok {
		p.unusable(format, args...)
	}
}

func (p *play) unusable(format string, args ...any) {
	p.logf("the case could not run: "+format, args...)
	logs, _ := filepath.Glob(filepath.Join(p.dir, "*.log"))
	for _, path := range logs {
		text, _ := os.ReadFile(path)
		p.logf("log %s:\n%s", filepath.Base(path), text)
	}
	p.exit(exitUnusable)
}

// exit ends all processes and removes the temporary folder.
func (p *play) exit(code int) {
	p.mu.Lock()
	processes := p.processes
	p.mu.Unlock()
	for _, x := range processes {
		x.kill()
	}
	_ = os.RemoveAll(p.dir)
	os.Exit(code)
}

// process is a started program of the project.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts the program by the command of the deploy file, with arguments and environment. Its log is kept in the temporary
// folder, and goes into the record if the case can't run.
func (p *play) start(name string, env []string, args string) *process {
	text, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	p.check(err, "deploy file")
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	p.require(run != nil, "no run command in the deploy file")
	x := &process{name: name, cmd: exec.Command("/bin/sh", "-c", string(run[1])+" "+args), ended: make(chan struct{})}
	x.cmd.Dir, x.cmd.Env = p.root, append(append(os.Environ(), "GODEBUG=netdns=go"), env...)
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := os.OpenFile(filepath.Join(p.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	p.check(err, "log of "+name)
	x.cmd.Stdout, x.cmd.Stderr = log, log
	p.check(x.cmd.Start(), "start "+name)
	log.Close()
	p.logf("started %s, process %d: %s %s", name, x.cmd.Process.Pid, run[1], args)
	p.mu.Lock()
	p.processes = append(p.processes, x)
	p.mu.Unlock()
	go func() {
		_ = x.cmd.Wait()
		close(x.ended)
	}()
	return x
}

func (x *process) signal(s syscall.Signal) { _ = x.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (x *process) kill() {
	x.signal(syscall.SIGKILL)
	<-x.ended
}

// stop sends SIGTERM and waits for the end of the process.
func (x *process) stop(p *play) {
	x.signal(syscall.SIGTERM)
	select {
	case <-x.ended:
	case <-time.After(15 * time.Second):
		p.unusable("%s did not end after SIGTERM", x.name)
	}
	p.logf("%s ended after SIGTERM", x.name)
}

// until waits until a condition holds.
func (p *play) until(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			p.unusable("waited in vain: %s", what)
		}
	}
}
