package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/control"
	"ravenwheel/internal/core"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/handover"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/upstream"
)

const (
	// killAfter: SIGKILL comes no sooner than the longest deadline and so many ms after SIGTERM. stopMargin before that
	// the program ends of itself; idleEvery it looks whether anything is still owed.
	killAfter, stopMargin, idleEvery = 700, 100, 10
	// countedMost: a longer deadline is counted as this. answerMargin is for an answer to be written within, in ms.
	countedMost  = 3 * time.Second
	answerMargin = 150
	// leastConns, mostConns: connections to one cache server, one in connShare of the descriptors.
	leastConns, mostConns, connShare = 4, 8, 32
	// ownSockets: listeners, the board, the console's calls and the runtime's own. leastForServers serves with the fewest descriptors.
	ownSockets, leastForServers = 32, 8
	// profileFor: a profile covers the start and some traffic, and is whole though SIGKILL follows.
	profileFor = 20 * time.Second
)

// forServers is how many connections there may be to all servers together: what descriptors clients leave, with those of them that
// are told to end, and what the program and its runtime hold themselves.
func forServers(sockets int) int {
	return max(leastForServers, sockets-sockets/2-sockets/16-ownSockets)
}

// profile names the file that a CPU profile of the run is written to; empty: none.
var profile string

// read is what the program is started with: the operator's file, and the platform's where it does not stand alone.
func read() (*config.OperatorFile, *config.Config, error) {
	o, err := config.LoadOperatorFile(operatorFile)
	if err != nil {
		return nil, nil, err
	}
	if serversPath != "" {
		if o.Servers == nil {
			return nil, nil, fmt.Errorf("--servers: the operator's file sets up no servers")
		}
		o.Servers.Path = serversPath
	}
	conf, err := config.Read(os.Getenv, o)
	return o, conf, err
}

func check(cmd *cobra.Command, _ []string) error {
	_, c, err := read()
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s on %s: %d classes, %d events known\n", c.Name, c.Listen, len(c.Classes), len(c.InitialEvents))
	return nil
}

func serve(*cobra.Command, []string) error {
	operator, conf, err := read()
	if err != nil {
		return err
	}
	clk := clock.System()
	log, err := logs.New(os.Stderr, operator.LogOptions, clk)
	if err != nil {
		return err
	}
	// Taken before anything else is up: unhandled, SIGHUP would end the process.
	reload := make(chan os.Signal, mostSignals)
	signal.Notify(reload, syscall.SIGHUP)
	limit(conf)
	if err := startProfile(); err != nil {
		return err
	}
	up, c, err := newCore(conf, clk, log)
	if err != nil {
		return err
	}
	talk, err := startPeers(operator, conf, clk, log, c)
	if err != nil {
		return err
	}
	if talk != nil {
		defer talk.Close()
	}
	shared, err := openShared(operator, conf, clk, log)
	if err != nil {
		return err
	}
	defer shared.close()
	// Signals stay this program's own until it has ended. Guards against a SIGTERM that comes behind another reason to stop, and
	// found its default action in force again: the process was gone at once, with answers owed.
	signalled, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(signalled)
	defer stop()
	place, err := takePlace(ctx.Done(), conf, clk, log, stop)
	if err != nil {
		return unlessEnded(err)
	}
	defer place.close()
	src, err := startSources(operator, conf, clk, log, c, shared, talk, place)
	if err != nil {
		return err
	}
	defer src.close()
	go src.reloads(reload, log) // also while it waits for its address: discovery may move then too
	ln, err := place.listen(conf, c)
	if err != nil {
		return unlessEnded(err)
	}
	stopOperator, err := startOperator(operator, conf, clk, log, c, up, shared, src)
	if err != nil {
		return err
	}
	front := resp.New(ln, conf.Sockets/2, clk, c)
	place.serve(front, src)
	failed := make(chan error, 1)
	go func() { failed <- front.Serve() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	drain(clk, front, conf, stopOperator, place.desk.Stop)
	return nil
}

// unlessEnded is an error of a process that waits for its address, which is none where it was told to end meanwhile.
func unlessEnded(err error) error {
	if errors.Is(err, handover.ErrShutdown) {
		return nil
	}
	return err
}

// startProfile writes a CPU profile of the start, if one is asked for.
func startProfile() error {
	if profile == "" {
		return nil
	}
	f, err := os.Create(profile)
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	time.AfterFunc(profileFor, func() {
		pprof.StopCPUProfile()
		f.Close()
	})
	return nil
}

// newCore returns the core, and the connections to the servers that it sends to.
func newCore(conf *config.Config, clk *clock.Clock, log *logs.Log) (*upstream.Pools, *core.Core, error) {
	up := upstream.New(clk, upstream.Limits{
		RequestsPerConn: conf.StreamsPerConn, ConnsPerServer: min(mostConns, max(leastConns, conf.Sockets/connShare)), ConnectTimeout: conf.ConnectTimeoutMs, IdleTimeout: conf.IdleTimeoutMs, MaxConns: forServers(conf.Sockets),
		RequestLifetime: clock.Ms(longest(conf)),
	})
	c, err := core.New(conf.Settings, conf.Classes, conf.MaxOpenRequests, conf.Seed, clk, up)
	if err != nil {
		return nil, nil, err
	}
	c.Log = func(text string) { log.Info("module").Msg(text) }
	return up, c, nil
}

// drain lets what is still on its way in come, then answers what is open and ends the connections. told has the front do so;
// where another process has the clients by then, nothing is on its way here but what clients ask on connections that they
// hold. It waits for connections, and not for answers alone: a request that came between the last answer and the exit of the
// process was reset, unread. Nor is the listener closed over connections that wait in its queue.
func drain(clk *clock.Clock, front *resp.Front, conf *config.Config, stopOperator func(context.Context), told func() (passed bool)) {
	end := clk.Now() + clock.Ms(longest(conf)) + killAfter - stopMargin
	passed := told()
	if !passed {
		pause(clk, control.StopAfter)
	}
	// Another process that passed over this one has a queue of its own, and this one's is still its own to empty.
	if !passed || front.IsAccepting() {
		for front.HasQueuedConns() && clk.Now() < end {
			pause(clk, idleEvery)
		}
		_ = front.Close()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer clk.After(end-clk.Now(), cancel)()
	stopOperator(ctx)
	for front.OpenConns() > 0 && clk.Now() < end {
		pause(clk, idleEvery)
	}
}

// pause waits for so many ms of a clock.
func pause(clk *clock.Clock, ms float64) {
	over := make(chan struct{})
	clk.After(ms, func() { close(over) })
	<-over
}

// killed is how many ms after SIGTERM all has to be answered, as SIGKILL may come then: after the longest deadline, counted
// as 3 s where it is longer, and killAfter.
func killed(conf *config.Config) float64 {
	most := time.Duration(0)
	for _, c := range conf.Settings.Classes {
		most = max(most, c.Deadline)
	}
	return clock.Ms(min(most, countedMost)) + killAfter - answerMargin
}

// longest is the longest deadline of a class, 3 s at least: the program does not end of itself while SIGKILL may come later.
func longest(conf *config.Config) time.Duration {
	most := countedMost
	for _, c := range conf.Settings.Classes {
		most = max(most, c.Deadline)
	}
	return most
}

// limit keeps the runtime within what the platform gives: its cores, and its memory less what the runtime
// does not count.
func limit(conf *config.Config) {
	if conf.Sockets <= 0 {
		conf.Sockets = 1024
	}
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	control.LimitMemory(conf.MemoryMB, false)
}
