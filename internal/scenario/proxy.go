package scenario

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// The ids of the servers, which are s-00000001 and so on in frames.
const (
	CacheID  policy.ServerID = 1
	ParentID policy.ServerID = 11
	OriginID policy.ServerID = 20
)

// Settings returns the settings of a small deployment with two classes of reads and one of writes.
func Settings() policy.Settings {
	return policy.Settings{
		Routers: 1, ParentKind: 1, OriginKind: 2, OutcomeDetail: policy.DetailAll, MaxAttempts: 4, CanCancel: true,
		SendsRetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, ConnectTimeout: 400 * time.Millisecond,
		DrainGrace: 2 * time.Second, PurgeGrace: time.Second, PurgeDuration: 6 * time.Second,
		Classes: []policy.Class{
			{LatencyObjective: 400 * time.Millisecond, Deadline: 5 * time.Second, PriorityWeight: 1, Multipart: true},
			{LatencyObjective: 400 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 1},
			{LatencyObjective: 600 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 3, Idempotency: policy.NotIdempotent, Uncached: true},
		},
	}
}

// Proxy is a core with real sockets to a fake cache server, under a manual clock.
type Proxy struct {
	Clock *clock.Clock
	Core  *core.Core
	Pools *upstream.Pools
	Cache *Server
}

// startMs is the time at which scenarios start: 2025-12-01 08:00 UTC, in Unix ms.
const startMs = 1_764_576_000_000

// NewProxy starts a core with the settings of Settings and one cache server, which is a fake. Nothing listens at the addresses of
// its parent and of the origin.
func NewProxy(t *testing.T) *Proxy { return NewProxyWithSettings(t, Settings()) }

// NewProxyWithSettings is NewProxy for other settings, with as many classes.
func NewProxyWithSettings(t *testing.T, settings policy.Settings) *Proxy {
	p := &Proxy{Clock: clock.Manual(startMs), Cache: Listen(t)}
	p.Pools = upstream.New(p.Clock, upstream.Limits{AttemptsPerConn: 100, ConnsPerServer: 4, ConnectTimeout: 5000, IdleTimeout: 30_000})
	var err error
	p.Core, err = core.New(settings, []string{"replay", "asset", "seat-claim"}, 0, 7, p.Clock, p.Pools)
	require.NoError(t, err)
	list := []core.Member{{Addr: p.Cache.Addr()}, {Addr: "127.0.0.1:1"}, {Addr: "127.0.0.1:1"}}
	for i, id := range []policy.ServerID{CacheID, ParentID, OriginID} {
		list[i].ID, list[i].Kind, list[i].Weight = id, i, 10
	}
	p.Core.UpdateMembers(membership.Publish{Version: 1, Complete: true, Members: list})
	return p
}
