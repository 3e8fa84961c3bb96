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

// proxyProcess is the proxy that is demonstrated.
type proxyProcess struct {
	command *exec.Cmd
	log     bytes.Buffer // complete once the process has exited
	exited  chan error
}

// startProxy starts the proxy's binary without the platform's environment variables.
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

// stop ends the proxy by SIGTERM. It returns an error if the proxy exits with another status than 0.
func (p *proxyProcess) stop() error {
	if err := p.command.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := <-p.exited; err != nil {
		return p.exitError("ended", err)
	}
	return nil
}

// kill ends the proxy if it still runs.
func (p *proxyProcess) kill() { _ = p.command.Process.Kill() }

// errExited is the cause where the proxy exited with status 0, but too early.
var errExited = errors.New("exit status 0")

// exitError describes the exit of the proxy, with its log. The proxy must have exited.
func (p *proxyProcess) exitError(what string, err error) error {
	return fmt.Errorf("the proxy %s: %w\n%s", what, cmp.Or(err, errExited), p.log.String())
}
