package demo

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"syscall"
)

// proxyProcess is the process of the proxy.
type proxyProcess struct {
	command *exec.Cmd
	log     bytes.Buffer // complete once the process has exited
	exited  chan error
}

// startProxy starts the proxy's binary without the environment variables that the platform sets.
func startProxy(program string, args ...string) (*proxyProcess, error) {
	p := &proxyProcess{command: exec.Command(program, args...), exited: make(chan error, 1)}
	p.command.Stderr = &p.log
	p.command.Env = slices.DeleteFunc(os.Environ(), func(variable string) bool { return strings.HasPrefix(variable, "LB_") })
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	go func() { p.exited <- p.command.Wait() }()
	return p, nil
}

// stop sends the proxy SIGTERM and waits for its exit. It returns an error if the exit status is not 0.
func (p *proxyProcess) stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := <-p.exited; err != nil {
		return p.exitError("failed to stop cleanly", err)
	}
	return nil
}

// kill ends the proxy if it still runs.
func (p *proxyProcess) kill() { _ = p.command.Process.Kill() }

// errExited is the cause if the proxy exited with status 0 before it was stopped.
var errExited = errors.New("exit status 0")

// exitError returns an error that describes the exit of the proxy, with its log. The proxy must have exited.
func (p *proxyProcess) exitError(what string, err error) error {
	return fmt.Errorf("the proxy %s: %w\n%s", what, cmp.Or(err, errExited), p.log.String())
}
