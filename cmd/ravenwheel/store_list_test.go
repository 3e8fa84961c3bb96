package main

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/applier"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/internal/store"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// Guards against a drain by the store's list that is forgotten over a restart, where the notice board lists the server as ready.
func TestStoreListIsInForceAfterRestart(t *testing.T) {
	clk, dir := clock.Manual(1_764_576_000_000), t.TempDir()
	file, err := config.ParseOperatorFile(filepath.Join(dir, "o.jsonc"), []byte(`{"state": {"dir": "state"}}`))
	require.NoError(t, err)
	file.Store.Name = "n3"
	names := discoveryclient.Names{Zones: []string{"east"}, Kinds: []string{"small", "origin"}}
	member := core.Member{Addr: "127.0.0.1:9"}
	member.ID, member.Weight = 1, 4
	conf := &config.Config{
		DiscoveryAddr: listenDiscovery(t).Addr().String(), Names: names, Classes: []string{"a"}, InitialRevision: 1,
		Settings:      policy.Settings{ParentKind: -1, OriginKind: 1, Classes: []policy.Class{{Deadline: time.Second}}},
		InitialEvents: []discoveryclient.Event{{Revision: 1, Complete: true, Members: []core.Member{member}}},
	}
	start := func() (*serverSources, *store.Store) {
		shared := sharedState{changes: applier.NewQueue()}
		shared.drains = applier.NewLocalDrains(shared.changes)
		shared.store, err = store.Open(store.Options{Clock: clk, OnChange: shared.drains.Push})
		require.NoError(t, err)
		c, err := core.New(conf.Settings, conf.Classes, 0, 7, clk, upstream.New(clk, upstream.Limits{}))
		require.NoError(t, err)
		sources, err := startSources(environment{file: file, conf: conf, clock: clk}, c, shared, sourceOptions{})
		require.NoError(t, err)
		return sources, shared.store
	}
	phase := func(s *serverSources) membership.Phase {
		servers, _ := s.registry.Servers()
		require.Len(t, servers, 1)
		return servers[0].Phase
	}
	setList := func(s *store.Store, generation uint64, draining bool) {
		_, err := s.Propose(storestate.Change{Kind: storestate.SetList, Name: storeList, List: &storestate.List{
			Generation: generation,
			Servers:    []serverlist.Server{{ID: 1, Addr: "127.0.0.1:9", Zone: "east", Kind: "small", Weight: 4, Draining: draining}},
		}})
		require.NoError(t, err)
	}
	before, st := start()
	require.Equal(t, membership.Ready, phase(before))
	setList(st, 7, true)
	require.Eventually(t, func() bool { return phase(before) == membership.Draining }, time.Minute, time.Millisecond)
	before.close()

	after, st := start() // its store is behind: it has no list
	defer after.close()
	require.Equal(t, membership.Draining, phase(after))
	setList(st, 6, false) // an earlier list, which this member receives again
	setList(st, 8, false)
	require.Eventually(t, func() bool { return phase(after) == membership.Ready }, time.Minute, time.Millisecond)
}
