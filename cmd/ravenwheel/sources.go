package main

import (
	"context"
	"fmt"
	"path/filepath"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/registry"
	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/source/resolver"
	"ravenwheel/internal/state"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

const (
	// storeDrain: ms for which a server drains that the store's list drops, where no watched list says otherwise.
	storeDrain = 10_000
	// silentAfter: ms without a frame after which an operator is told that the board is silent.
	silentAfter = 10_000
)

// serversPath is read in place of the path that the operator's file names; empty: that one.
var serversPath string

// sources are who tells of servers: a list that is watched, which comes first where both list a server, and the
// notice board.
type sources struct {
	roster *registry.Registry
	board  *discoveryclient.Client // nil: none
	list   *filewatch.Watcher      // nil: none
	state  *state.Recorder         // nil: nothing is kept
	admin  *admin.Admin            // nil: off
	store  *store.Store            // nil: none is set up
	core   *core.Core
	conf   *config.Config // of the start
	clk    *clock.Clock
	log    *logs.Log
	names  *resolver.Cache
	facts  serverlist.Requirements
	member bool // of the store: what operators do goes to all of its members
	// overdue tells that discovery has not spoken for too long.
	overdue chan struct{}
	only    bool // it hears what the store holds and is no member: what operators do there is done at one
}

// ranks are the places of the sources in the ledger's settings, those that come first where several list a server; -1: there is none.
type ranks struct{ file, store, board int }

// ledgerSettings are those of the one ledger, by who tells of servers here.
func (s *sources) ledgerSettings(o *config.OperatorFile) (set membership.Settings, at ranks) {
	at = ranks{-1, -1, -1}
	if l := o.Servers; l != nil {
		at.file = len(set.Sources)
		set.Sources = append(set.Sources, membership.Source{Name: filepath.Base(l.Path)})
		set.DrainTimeout, set.GoneRetention, set.WeightStep, set.WeightInterval = l.DrainMs, l.RememberMs, l.WeightStep, l.WeightIntervalMs
	}
	if s.member || s.only {
		at.store = len(set.Sources)
		set.Sources = append(set.Sources, membership.Source{Name: "store"})
		if o.Servers == nil {
			set.DrainTimeout, set.GoneRetention = storeDrain, storeDrain
		}
	}
	if s.conf.DiscoveryAddr != "" {
		at.board = len(set.Sources)
		b := membership.Source{Name: "board", Immediate: true}
		if o.Path != "" {
			b.SilentAfter = silentAfter
		}
		set.Sources = append(set.Sources, b)
	}
	return set, at
}

// startSources takes in what is known at the start, and follows what comes later: shared brings the facts of the store,
// from before it opened. talk is this process among its peers (nil: alone), at what the process before it has passed on,
// and what operators empty (nil: neither).
func startSources(o *config.OperatorFile, conf *config.Config, clk *clock.Clock, log *logs.Log, c *core.Core, shared shared,
	talk *peers.Peers, at *place) (*sources, error) {
	s := &sources{
		store: shared.store, member: shared.member(o), only: shared.only(o), core: c, conf: conf, clk: clk, log: log,
		overdue: make(chan struct{}, 1), names: &resolver.Cache{Backend: systemResolver(), Clock: clk, TTL: 30_000, Timeout: 2000}, facts: conf.ListFacts(0),
	}
	set, rank := s.ledgerSettings(o)
	plan, err := s.startState(o, conf, set, clk, log)
	if err != nil {
		return nil, err
	}
	if s.roster, err = registry.New(s.ledger(set)); err != nil {
		s.close()
		return nil, err
	}
	kept := s.restore(plan, rank.file)
	if at != nil && at.hand != nil {
		at.hand.Subscribe(
			func(id policy.CacheID, out bool) { _ = s.drained(id, out) }, // kept by the hand-over, as well as by the keeper
			func(id policy.CacheID, at float64) { s.roster.Handle(membership.ManualDrainEnded{ID: id, At: at}) })
	}
	if rank.board >= 0 {
		s.board = s.discovery(rank.board)
		c.CatchUp = s.board.CatchUp
	}
	if l := o.Servers; l != nil {
		if err := s.startList(l, rank.file, conf, kept, clk, log); err != nil {
			s.close()
			return nil, err
		}
	}
	if o.Admin != nil {
		if err := s.startAdmin(o.Admin.Listen, shared, talk, at); err != nil {
			s.close()
			return nil, err
		}
	}
	if rank.store >= 0 {
		// After what was kept before the restart: a drain that the store ended meanwhile is ended here too.
		go s.hears(rank.store, conf, log).Run(shared.heard)
	}
	if s.board != nil {
		go s.board.Run(context.Background()) // also while stopping: the rules go on
	}
	return s, nil
}

// ledger is how the registry publishes: to the core, and to what is kept.
func (s *sources) ledger(set membership.Settings) registry.Options {
	o := registry.Options{Membership: set, Clock: s.clk, Log: s.log, Publish: s.core.UpdateMembers}
	if s.state != nil {
		o.Publish = func(p membership.Publish) { s.core.UpdateMembers(p); s.state.RecordPublish(p) }
		o.OnTransition = s.state.RecordTransition
	}
	return o
}

// purged has a purge that a source told come into force, and kept.
func (s *sources) purged(p core.Purge) {
	s.core.Purged(p)
	if s.state != nil {
		s.state.RecordPurgeAsync(recovery.Purge{Object: p.Object, Group: p.Group, IssuedAt: p.At, NotifiedAt: s.clk.Now()})
	}
}

// restore has what was told before the restart bind, before anything new is heard and before the first request, and returns the
// watched list that was kept (nil: none). file is the list's rank.
func (s *sources) restore(plan recovery.Plan, file int) (kept *serverlist.List) {
	for _, p := range plan.Purges {
		group := p.Group
		if p.Object != "" {
			group = -1
		}
		s.core.Purged(core.Purge{Object: p.Object, Group: group, At: p.IssuedAt})
	}
	if plan.Boots > 0 { // else nothing is known, and that is not to say that every server is new
		floors := map[int]uint64{}
		if l, ok := plan.List(listSource); ok {
			floors[file], kept = l.Generation, serverlist.NewList(l.Generation, l.Servers)
		}
		s.roster.Restore(plan.Remembered, floors)
	}
	for _, id := range plan.ManualDrains {
		s.roster.Handle(membership.ManualDrain{ID: policy.CacheID(id), On: true})
	}
	return kept
}

// startAdmin opens the operators' address.
func (s *sources) startAdmin(listen string, shared shared, talk *peers.Peers, at *place) (err error) {
	a := admin.Options{
		Listen: listen, Clock: s.clk, Log: s.log, Names: s.conf.Names, Core: s.core, Servers: s.roster.Servers, State: s.state,
		Store: shared.store, Operations: s, Peers: talk,
	}
	if shared.node != nil {
		a.Distribution = shared.node.Status
	}
	if at != nil {
		a.Controller = at.desk
	}
	if s.list != nil {
		a.ListStatus = s.list.Status
	}
	if s.board != nil {
		a.Discovery = s.board.Status
	}
	if s.admin, err = admin.Listen(a); err != nil {
		return err
	}
	go s.admin.Serve()
	return nil
}

// listSource is the name under which the watched list is kept: there is one, whatever its file is called.
const listSource = "list"

// startState recovers what was kept, and takes its directory.
func (s *sources) startState(o *config.OperatorFile, conf *config.Config, set membership.Settings, clk *clock.Clock, log *logs.Log) (plan recovery.Plan, err error) {
	if o.State == nil {
		return plan, nil
	}
	began := clk.Now()
	s.state, plan, err = state.Open(state.Options{
		Dir: o.State.Dir, Clock: clk, Log: log, BatchDelay: o.State.BatchDelayMs, Settings: recovery.Settings{
			PurgePropagation: clock.Ms(conf.Settings.PurgeDuration), PurgeGrace: clock.Ms(conf.Settings.PurgeGrace), GoneRetention: set.GoneRetention,
		},
	})
	if err != nil {
		return plan, fmt.Errorf("state: %w", err)
	}
	if plan.ClockStepBack > 0 {
		log.Warn("state").Float64("ms", plan.ClockStepBack).Msg("the clock is behind what was seen before the restart: what binds, binds from now on")
	}
	log.Info("state").Int("boots", plan.Boots).Int("purges", len(plan.Purges)).Int("servers", len(plan.Remembered)).
		Float64("ms", clk.Now()-began).Msg("state recovered")
	return plan, nil
}

// startList reads the list that is there. Where it can't be used, the one that was kept is; without either, a proxy that
// stands alone could serve nobody, and does not start. Where the board tells of servers too, the list is waited for.
func (s *sources) startList(l *config.Servers, at int, conf *config.Config, kept *serverlist.List, clk *clock.Clock, log *logs.Log) error {
	facts := conf.ListFacts(l.MaxDroppedFraction)
	cache := &resolver.Cache{Backend: systemResolver(), Clock: clk, TTL: l.ResolveTTLMs, Timeout: l.ResolveTimeoutMs}
	s.facts = facts
	take := func(set *serverlist.List) {
		if s.state != nil {
			_ = s.state.RecordList(listSource, set) // the keeper says so; not to take the list would be worse
		}
		s.roster.Handle(membership.Snapshot{Source: at, Generation: set.Generation, Entries: conf.Entries(set)})
	}
	set, err := filewatch.Load(l.Path, facts, cache, kept)
	switch {
	case err == nil:
		take(set)
	case kept != nil:
		log.Error("list").Err(err).Uint64("in_use", kept.Generation).Msg("server list refused: the one kept from before the restart is used")
		set = kept
		take(set)
	case conf.DiscoveryAddr == "":
		return err
	}
	s.list = filewatch.New(filewatch.Options{
		Path: l.Path, Requirements: facts, Debounce: l.Debounce(), Resolver: cache, Clock: clk, Log: log, OnList: take,
	}, set)
	go s.list.Run()
	return nil
}

func (s *sources) close() {
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
