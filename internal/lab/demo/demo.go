// Package demo runs a demonstration on loopback: it starts stand-in servers and a proxy with an operator's file, sends requests,
// changes the server list meanwhile, and prints what servers and clients observed. It fails if a rule was broken. It has no tests
// of its own; "ravenlab demo" runs it.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/load"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
)

// Options configure a demonstration.
type Options struct {
	Proxy    string  // path of the proxy's binary
	Operator string  // path of the operator's file, which must have the sections "proxy" and "admin"
	Rate     float64 // requests per second
	Out      io.Writer
}

// Times of the stand-in servers, in ms.
const (
	transferTime = 4
	fillTime     = 25
)

// ErrIncompleteOperatorFile is returned for an operator's file that lacks the section "proxy" or "admin".
var ErrIncompleteOperatorFile = errors.New("section \"proxy\" or \"admin\" is missing; a demonstration needs both")

// demonstration is the state of one run.
type demonstration struct {
	options       Options
	clock         *clock.Clock
	began         float64 // when the stand-in servers had started, in ms of the clock
	listPath      string  // path of the server list that the proxy watches
	config        *config.Config
	operator      *config.OperatorFile
	fleet         *fleet.Fleet
	client        *load.Client
	notifications []fleet.Notification // the drains and purges of which the proxy was notified, for checking the rules
}

// Run runs the demonstration. It returns a ViolationsError if there were violations of rules, and another error if it could not
// complete the demonstration.
func Run(ctx context.Context, o Options) error {
	dir, err := os.MkdirTemp("", "ravenwheel-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	d := &demonstration{options: o, clock: clock.System()}
	if err := d.readConfiguration(); err != nil {
		return err
	}
	list, err := d.copyList(dir)
	if err != nil {
		return err
	}
	d.fleet = fleet.New(fleet.Options{
		Clock: d.clock, TransferTime: transferTime, FillTime: fillTime, PurgeDelay: d.operator.Site.PurgeDurationMs,
	})
	defer d.fleet.Close()
	if err := d.startServers(list); err != nil {
		return err
	}
	d.began = d.clock.Now()
	d.printf("%d stand-in servers listen: caches, parents and an origin", len(list.Servers))
	return d.runWithProxy(ctx, list)
}

// readConfiguration reads the operator's file and the proxy's configuration that follows from it.
func (d *demonstration) readConfiguration() (err error) {
	if d.operator, err = config.LoadOperatorFile(d.options.Operator); err != nil {
		return err
	}
	if d.operator.Proxy == nil || d.operator.Admin == nil {
		return fmt.Errorf("%s: %w", d.options.Operator, ErrIncompleteOperatorFile)
	}
	d.config, err = config.Read(os.Getenv, d.operator)
	return err
}

// copyList copies the server list into a directory, so that the demonstration changes only the copy, and reads the copy.
func (d *demonstration) copyList(dir string) (*serverlist.List, error) {
	text, err := os.ReadFile(d.operator.Servers.Path)
	if err != nil {
		return nil, err
	}
	d.listPath = filepath.Join(dir, "servers.jsonc")
	if err := os.WriteFile(d.listPath, text, 0o600); err != nil {
		return nil, err
	}
	return filewatch.Load(d.listPath, d.config.ListRequirements(0), &resolver.Cache{Clock: d.clock}, nil)
}

// startServers starts stand-ins for those servers of a list that are not running yet.
func (d *demonstration) startServers(list *serverlist.List) error {
	return d.fleet.StartList(list, d.operator.Site.ParentKind, d.operator.Site.OriginKind)
}

// printf prints a line with the time since the start.
func (d *demonstration) printf(format string, args ...any) {
	fmt.Fprintf(d.options.Out, "%6.1f s  %s\n", (d.clock.Now()-d.began)/1000, fmt.Sprintf(format, args...))
}

// runWithProxy starts the proxy, changes the server list while clients send requests, stops the proxy, and prints the report.
func (d *demonstration) runWithProxy(ctx context.Context, list *serverlist.List) error {
	proxy, err := startProxy(d.options.Proxy, "serve", "--operator", d.options.Operator, "--servers", d.listPath)
	if err != nil {
		return err
	}
	defer proxy.kill()
	if err := d.awaitReady(ctx, proxy); err != nil {
		return err
	}
	d.printf("the proxy listens on %s with the operator's file %s, without the platform", d.config.Listen, filepath.Base(d.options.Operator))
	stop := d.startTraffic()
	err = d.runSteps(ctx, list)
	stop()
	if err != nil {
		return err
	}
	d.client.WaitIdle()
	defer d.client.Close()
	if err := proxy.stop(); err != nil {
		return err
	}
	d.printf("SIGTERM: the proxy answered all open requests and exited with status 0")
	return d.report()
}

// readinessInterval is how often the demonstration checks whether the proxy is ready.
const readinessInterval = 20 * time.Millisecond

// awaitReady waits until the proxy answers on its admin address.
func (d *demonstration) awaitReady(ctx context.Context, proxy *proxyProcess) error {
	for {
		select {
		case err := <-proxy.exited:
			return proxy.exitError("did not start", err)
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readinessInterval):
			if _, err := d.serversInUse(); err == nil {
				return nil
			}
		}
	}
}
