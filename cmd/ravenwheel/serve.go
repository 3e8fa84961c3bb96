package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ravenwheel/internal/atmostonce"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/handover"
	"ravenwheel/internal/upstream"
)

// serve runs the proxy until SIGTERM or SIGINT, or until another process has taken over.
func serve(*cobra.Command, []string) error {
	env, err := newEnvironment()
	if err != nil {
		return err
	}
	// SIGHUP is handled before anything else starts, because its default action would end the process.
	reload := make(chan os.Signal, maxReloadSignals)
	signal.Notify(reload, syscall.SIGHUP)
	limitRuntime(env)
	if err := startProfile(); err != nil {
		return err
	}
	pools, proxy, err := newCore(env)
	if err != nil {
		return err
	}
	peers, err := startPeers(env, proxy)
	if err != nil {
		return err
	}
	if peers != nil {
		defer peers.Close()
	}
	shared, err := openSharedState(env)
	if err != nil {
		return err
	}
	defer shared.close()
	return serveClients(env, reload, proxy, pools, shared, sourceOptions{peers: peers})
}

// serveClients waits until this process owns the clients' address, serves clients, and drains when the process is to end.
func serveClients(env environment, reload chan os.Signal, proxy *core.Core, pools *upstream.Pools, shared sharedState, options sourceOptions) error {
	// The signals stay handled until the process has ended. If their default action were restored, a SIGTERM after another reason
	// to stop would end the process at once, with requests open.
	signalled, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	ctx, stop := context.WithCancel(signalled)
	defer stop()
	owner, err := startOwnership(ctx.Done(), env, proxy, stop)
	if err != nil {
		return ignoreShutdown(err)
	}
	defer owner.close()
	options.owner = owner
	sources, err := startSources(env, proxy, shared, options)
	if err != nil {
		return err
	}
	defer sources.close()
	go sources.followReloads(reload) // before the process owns the address, as discovery may move meanwhile
	if shared.isMember(env.file) && !shared.awaitCatchUp(ctx) {
		env.log.Warn("store").Msg("not caught up with the store; serving with the state of this member")
	}
	ln, err := owner.listen(env.conf, proxy)
	if err != nil {
		return ignoreShutdown(err)
	}
	services, err := startServices(env, proxy, pools, shared, sources)
	if err != nil {
		return err
	}
	front := resp.New(ln, env.conf.Sockets/clientSocketsDivisor, env.clock, proxy)
	front.SetMemory(env.memory)
	env.memory.AddStalledClient(front.CostliestStalledClient)
	report := &memoryReport{env: env, front: front, signed: services.signed}
	stopReports := report.start()
	defer report.write("ending")
	owner.controller.Attach(front, sources, owner.handover)
	failed := make(chan error, 1)
	go func() { failed <- front.Serve() }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	stopReports()
	shutDown(env.clock, front, env.conf, services.shutDown, owner.controller.Stop)
	return nil
}

// ignoreShutdown returns err, or nil for handover.ErrShutdown: a process that is to end while it waits for the address has not
// failed.
func ignoreShutdown(err error) error {
	if errors.Is(err, handover.ErrShutdown) {
		return nil
	}
	return err
}

// The division of the descriptors for connections (config.Config.Sockets) among kinds of connections. A divisor of n gives a kind
// one in n of the descriptors.
const (
	// clientSocketsDivisor is the divisor for client connections.
	clientSocketsDivisor = 2
	// lingeringSocketsDivisor is the divisor for client connections that are being closed: front/resp lets one linger for every
	// eight client connections.
	lingeringSocketsDivisor = 16
	// signedSocketsDivisor is the divisor for connections of clients with signed links, where that front is on.
	signedSocketsDivisor = 8
	// reservedSockets are the descriptors for listeners, discovery, the console and the runtime.
	reservedSockets = 32
	// minServerConns is the lower bound of maxServerConns.
	minServerConns = 8
	// connsPerServerDivisor is the divisor for the connections to one server. The other two bound the result.
	minConnsPerServer, maxConnsPerServer, connsPerServerDivisor = 4, 8, 32
)

// maxServerConns is how many connections there may be to all servers together. signed is whether the front of signed links is on.
func maxServerConns(sockets int, signed bool) int {
	clients := sockets/clientSocketsDivisor + sockets/lingeringSocketsDivisor
	if signed {
		clients += sockets / signedSocketsDivisor
	}
	return max(minServerConns, sockets-clients-reservedSockets)
}

// newCore returns the core, and the pools of connections to the servers that it sends requests to.
func newCore(env environment) (*upstream.Pools, *core.Core, error) {
	conf := env.conf
	pools := upstream.New(env.clock, upstream.Limits{
		AttemptsPerConn: conf.AttemptsPerConn,
		ConnsPerServer:  min(maxConnsPerServer, max(minConnsPerServer, conf.Sockets/connsPerServerDivisor)),
		ConnectTimeout:  conf.ConnectTimeoutMs,
		IdleTimeout:     conf.IdleTimeoutMs,
		MaxConns:        maxServerConns(conf.Sockets, env.file.Signed != nil),
		Memory:          env.memory,
	})
	proxy, err := core.New(conf.Settings, conf.Classes, conf.MaxOpenRequests, conf.Seed, env.clock, pools)
	if err != nil {
		return nil, nil, err
	}
	proxy.AtMostOnce = atmostonce.New(env.clock, atMostOnceSlots(conf.MemoryMB), atMostOnceMs(conf), conf.HandoverDir != "")
	proxy.Log = func(text string) { env.log.Info("module").Msg(text) }
	return pools, proxy, nil
}

const (
	// slotsPerMB is the number of requests that must not run twice and are remembered, for each megabyte of memory, 8 bytes each.
	slotsPerMB = 512
	// minSlots and maxSlots bound the number; maxSlots also holds where memory is not limited.
	minSlots, maxSlots = 1 << 13, 1 << 17
	// extraAtMostOnceMs is for how long an id is remembered beyond the longest time for which its request may be open.
	extraAtMostOnceMs = 10_000
)

// atMostOnceSlots returns the number of slots of the registry of requests that must not run twice: a power of 2.
func atMostOnceSlots(memoryMB int) int {
	slots := maxSlots
	for memoryMB > 0 && slots > minSlots && slots > memoryMB*slotsPerMB {
		slots /= 2
	}
	return slots
}

// atMostOnceMs returns for how long, in ms, the id of such a request is remembered.
func atMostOnceMs(conf *config.Config) float64 {
	return clock.Ms(maxRequestLifetime(conf)) + extraAtMostOnceMs
}

// profilePath is the file that a CPU profile is written to; empty: none.
var profilePath string

// profileDuration covers the start and some traffic. The profile ends after it, so that the file is complete even if SIGKILL ends
// the process later.
const profileDuration = 20 * time.Second

// startProfile writes a CPU profile of the start, if the flag asks for one.
func startProfile() error {
	if profilePath == "" {
		return nil
	}
	file, err := os.Create(profilePath)
	if err != nil {
		return err
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return err
	}
	time.AfterFunc(profileDuration, func() {
		pprof.StopCPUProfile()
		file.Close()
	})
	return nil
}
