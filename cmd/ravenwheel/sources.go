package main

import (
	"context"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/applier"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/registry"
	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
	"ravenwheel/internal/state"
	"ravenwheel/policy"
)

// serverSources holds the sources of the servers that the proxy uses (a watched list, the store and discovery), the registry that
// merges them, the state that survives a restart, and the admin endpoint.
type serverSources struct {
	environment
	core      *core.Core
	shared    sharedState
	registry  *registry.Registry
	applier   *applier.Applier        // of the store's changes; nil: there is no store
	discovery *discoveryclient.Client // nil: none
	list      *filewatch.Watcher      // nil: no list is watched
	state     *state.Recorder         // nil: nothing survives a restart
	admin     *admin.Endpoint         // nil: off

	// resolver and requirements are for lists that operators push to the store.
	resolver     *resolver.Cache
	requirements serverlist.Requirements

	// discoveryOverdue receives a value whenever discovery has been silent for too long.
	discoveryOverdue chan struct{}
}

// sourceOptions holds what the sources are connected to besides the core and the shared state.
type sourceOptions struct {
	peers *peers.Peers // nil: none
	owner *ownership   // nil: no hand-over and no operators' console
}

const (
	// pushResolveTTL and pushResolveTimeout, in ms, are for the host names in lists that operators push.
	pushResolveTTL     = 30_000
	pushResolveTimeout = 2000
)

// startSources restores the state from before a restart, applies the events of discovery that the configuration holds, and follows
// all sources from then on. It returns the error of the first part that can't be started.
func startSources(env environment, proxy *core.Core, shared sharedState, options sourceOptions) (s *serverSources, err error) {
	s = &serverSources{
		environment:      env,
		core:             proxy,
		shared:           shared,
		resolver:         &resolver.Cache{Backend: systemResolver(), Clock: env.clock, TTL: pushResolveTTL, Timeout: pushResolveTimeout},
		requirements:     env.conf.ListRequirements(0),
		discoveryOverdue: make(chan struct{}, 1),
	}
	defer func() {
		if err != nil {
			s.close()
			s = nil
		}
	}()
	settings, ranks := s.membershipSettings()
	plan, err := s.openState(settings)
	if err != nil {
		return s, err
	}
	if s.registry, err = registry.New(s.registryOptions(settings)); err != nil {
		return s, err
	}
	if ranks.store != noSource {
		s.applier = s.newApplier(ranks.store)
	}
	restored := s.restore(plan, ranks)
	if options.owner != nil && options.owner.handover != nil {
		s.followHandover(options.owner)
	}
	if ranks.discovery != noSource {
		s.discovery = s.newDiscoveryClient(ranks.discovery)
		proxy.CatchUp = s.discovery.CatchUp
	}
	if env.file.Servers != nil {
		if err := s.startList(env.file.Servers, ranks.list, restored); err != nil {
			return s, err
		}
	}
	if env.file.Admin != nil {
		if err := s.startAdmin(env.file.Admin.Listen, options); err != nil {
			return s, err
		}
	}
	if s.applier != nil {
		// This follows the restored state, so that a drain that the store has ended meanwhile ends here too.
		go s.applier.Run(shared.changes)
	}
	if s.discovery != nil {
		go s.discovery.Run(context.Background()) // until the process has ended: it continues while the process drains
	}
	return s, nil
}

// registryOptions returns the options with which the registry publishes to the core, and to the state that survives a restart.
func (s *serverSources) registryOptions(settings membership.Settings) registry.Options {
	options := registry.Options{Membership: settings, Clock: s.clock, Log: s.log, Publish: s.core.UpdateMembers}
	if s.state != nil {
		options.Publish = func(p membership.Publish) { s.core.UpdateMembers(p); s.state.RecordPublish(p) }
		options.OnTransition = s.state.RecordTransition
	}
	return options
}

// followHandover applies the manual drains that the previous owner of the address passes on. The hand-over records them too, so an
// error of recording them here is ignored.
func (s *serverSources) followHandover(owner *ownership) {
	owner.handover.Subscribe(
		func(id policy.ServerID, drained bool) { _ = s.setManualDrain(id, drained) },
		func(id policy.ServerID, at float64) { s.registry.Handle(membership.ManualDrainEnded{ID: id, At: at}) })
}

// newApplier returns the applier of the store's changes. rank is the store's rank among the sources.
func (s *serverSources) newApplier(rank int) *applier.Applier {
	a := &applier.Applier{
		Clock:       s.clock,
		Log:         s.log,
		Source:      rank,
		ListEntries: s.conf.Entries,
		HandleEvent: s.registry.Handle,
		SetDrain:    s.setManualDrain,
		HandlePurge: s.core.ApplyPurge,
	}
	if s.state != nil { // an interface that holds a nil pointer would not be nil
		a.Recorder = s.state
	}
	return a
}

// startAdmin opens the admin endpoint and serves it.
func (s *serverSources) startAdmin(listen string, options sourceOptions) (err error) {
	a := admin.Options{
		Listen:     listen,
		Clock:      s.clock,
		Log:        s.log,
		Names:      s.conf.Names,
		Core:       s.core,
		Servers:    s.registry.Servers,
		State:      s.state,
		Store:      s.shared.store,
		Operations: s,
		Peers:      options.peers,
		Memory:     s.memory,
	}
	if s.shared.node != nil {
		a.Distribution = s.shared.node.Status
	}
	if options.owner != nil {
		a.Controller = options.owner.controller
	}
	if s.list != nil {
		a.ListStatus = s.list.Status
	}
	if s.discovery != nil {
		a.Discovery = s.discovery.Status
	}
	if s.admin, err = admin.Listen(a); err != nil {
		return err
	}
	go s.admin.Serve()
	return nil
}

func (s *serverSources) close() {
	if s.list != nil {
		s.list.Close()
	}
	if s.admin != nil {
		s.admin.Close()
	}
	if s.state != nil {
		_ = s.state.Close()
	}
}
