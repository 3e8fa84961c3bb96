package main

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/applier"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/registry"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// Guards against a SUSPEND that is answered with SUCCESS by a member of the store which has not applied the store's change yet.
func TestDrainIsInForceBeforeMemberAppliesIt(t *testing.T) {
	const id = policy.ServerID(1)
	clk := clock.Manual(1_764_576_000_000)
	file := &config.OperatorFile{}
	file.Store.Name = "n3"
	s := &serverSources{environment: environment{file: file, clock: clk}}
	s.shared.changes = applier.NewQueue() // nothing applies its changes, as in a member that is behind
	s.shared.drains = applier.NewLocalDrains(s.shared.changes)
	var err error
	s.shared.store, err = store.Open(store.Options{Clock: clk, OnChange: s.shared.drains.Push})
	require.NoError(t, err)
	s.registry, err = registry.New(registry.Options{
		Membership: membership.Settings{Sources: []membership.Source{{Name: "board", Immediate: true}}}, Clock: clk,
		Publish: func(membership.Publish) {},
	})
	require.NoError(t, err)
	entry := membership.Entry{}
	entry.ID, entry.Addr, entry.Weight = id, "127.0.0.1:9", 4
	s.registry.Handle(membership.Delta{Generation: 1, Entries: []membership.Entry{entry}})
	phase := func() membership.Phase {
		servers, _ := s.registry.Servers()
		require.Len(t, servers, 1)
		return servers[0].Phase
	}
	require.Equal(t, membership.Ready, phase())
	require.NoError(t, s.Drain(id, true))
	require.Equal(t, membership.Draining, phase())

	// Without a quorum the drain is in force here, and the error says that it is not stored.
	require.NoError(t, s.setManualDrain(id, false))
	require.NoError(t, s.shared.store.Close())
	require.ErrorIs(t, s.Drain(id, true), store.ErrUnavailable)
	require.Equal(t, membership.Draining, phase())
}
