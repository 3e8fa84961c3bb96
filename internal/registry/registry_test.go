package registry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/registry"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// entries returns n servers in 20 zones.
func entries(n int) []membership.Entry {
	out := make([]membership.Entry, n)
	for i := range out {
		out[i].ID, out[i].Addr = policy.ServerID(i+1), fmt.Sprintf("127.1.%d.%d:4100", i/250, i%250+1)
		out[i].Zone, out[i].Weight = i%20, 4
	}
	return out
}

func settings() membership.Settings {
	return membership.Settings{
		Sources: []membership.Source{{Name: "file"}}, DrainTimeout: 1000, GoneRetention: 1000, WeightStep: 2, WeightInterval: 100,
	}
}

// Drains and weight steps take effect when they are due, in order, and each change is published once.
func TestTimedChangesArePublishedInOrder(t *testing.T) {
	clk := clock.Manual(1000)
	var got []string
	r, err := registry.New(registry.Options{Membership: settings(), Clock: clk, Publish: func(p membership.Publish) {
		for _, m := range p.Members {
			got = append(got, fmt.Sprint(clk.Now(), " ", m.ID, " ", m.State, " ", m.Weight))
		}
	}})
	require.NoError(t, err)
	list := entries(2)
	r.Handle(membership.Snapshot{Generation: 1, Entries: list})
	list[1].Weight = 10
	r.Handle(membership.Snapshot{Generation: 2, Entries: list[1:]})
	clk.Advance(5000)
	require.Equal(t, []string{"1000 1 0 4", "1000 2 0 4", "1000 1 1 4", "1000 2 0 8", "1100 2 0 10", "2000 1 2 4"}, got)
	servers, version := r.Servers()
	require.Len(t, servers, 1, "the server that was gone is deleted")
	require.EqualValues(t, 4, version)
}

// Two sources and the clock send events concurrently: versions are published one by one, in order.
func TestConcurrentEventsPublishInOrder(t *testing.T) {
	clk := clock.Manual(0)
	var last uint64
	membershipSettings := settings()
	membershipSettings.Sources = append(membershipSettings.Sources, membership.Source{Name: "discovery", Immediate: true})
	r, err := registry.New(registry.Options{Membership: membershipSettings, Clock: clk, Publish: func(p membership.Publish) {
		require.Equal(t, last+1, p.Version)
		last = p.Version
	}})
	require.NoError(t, err)
	var wait sync.WaitGroup
	for source := range 2 {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for n := range 200 {
				r.Handle(membership.Snapshot{Source: source, Generation: uint64(n + 1), Entries: entries(5)[n%3:]})
			}
		}()
	}
	for range 100 {
		clk.Advance(50)
	}
	wait.Wait()
}

// newCore returns a core with its connection pools, and a registry that publishes 10,000 servers to it.
func newCore(b *testing.B) (*registry.Registry, *core.Core, []membership.Entry) {
	clk := clock.System()
	up := upstream.New(clk, upstream.Limits{AttemptsPerConn: 32, ConnsPerServer: 4})
	routing := policy.Settings{Routers: 1, ParentKind: 1, OriginKind: 2, Classes: []policy.Class{{Deadline: time.Second}}}
	c, err := core.New(routing, []string{"a"}, 0, 7, clk, up)
	require.NoError(b, err)
	r, err := registry.New(registry.Options{Membership: settings(), Clock: clk, Publish: c.UpdateMembers})
	require.NoError(b, err)
	list := entries(10_000)
	r.Handle(membership.Snapshot{Generation: 1, Entries: list})
	return r, c, list
}

// BenchmarkPublishChange measures a delta of one server in 10,000, from the registry to the pools and the routing module.
func BenchmarkPublishChange(b *testing.B) {
	r, _, list := newCore(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		e := list[i*37%len(list)]
		e.State = policy.State(i % 2)
		r.Handle(membership.Delta{Generation: uint64(i + 2), Entries: []membership.Entry{e}})
	}
}

// BenchmarkPublishList measures the same change in a snapshot of all servers.
func BenchmarkPublishList(b *testing.B) {
	r, _, list := newCore(b)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		list[i*37%len(list)].State = policy.State(i % 2)
		r.Handle(membership.Snapshot{Generation: uint64(i + 2), Entries: list})
	}
}
