package scenario

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// The ids of the stand-ins, as they are named on the sockets: s-00000001 and so on.
const (
	CacheID  policy.CacheID = 1
	ParentID policy.CacheID = 11
	OriginID policy.CacheID = 20
)

// Settings are those of a small deployment with two classes that read and one that writes.
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

// Proxy is a core on real sockets to stand-ins, under a clock that the test moves.
type Proxy struct {
	Clock *clock.Clock
	Core  *core.Core
	Pools *upstream.Pools
	Cache *Server
}

// NewProxy starts a core whose one cache, which fills from a parent and the origin, is a stand-in.
func NewProxy(t *testing.T) *Proxy {
	p := &Proxy{Clock: clock.Manual(1_764_576_000_000), Cache: Listen(t)}
	p.Pools = upstream.New(p.Clock, upstream.Limits{RequestsPerConn: 100, ConnsPerServer: 4, ConnectTimeout: 5000, IdleTimeout: 30_000})
	var err error
	p.Core, err = core.New(Settings(), []string{"replay", "asset", "seat-claim"}, 0, 7, p.Clock, p.Pools)
	require.NoError(t, err)
	list := []core.Member{{Addr: p.Cache.Addr()}, {Addr: "127.0.0.1:1"}, {Addr: "127.0.0.1:1"}}
	for i, id := range []policy.CacheID{CacheID, ParentID, OriginID} {
		list[i].ID, list[i].Kind, list[i].Weight = id, i, 10
	}
	p.Core.UpdateMembers(membership.Publish{Version: 1, Complete: true, Members: list})
	return p
}

// AttemptSender sends attempts to the cache without a core: "send ID [once]"; it expects "ID RESULT".
type AttemptSender struct {
	to   *upstream.Pools
	in   inbox
	sent atomic.Bool
}

// NewAttemptSender returns an actor over pools.
func NewAttemptSender(to *upstream.Pools) *AttemptSender {
	return &AttemptSender{to: to, in: make(inbox, 100)}
}

// WrittenCompletely tells whether what ended last had been written whole.
func (a *AttemptSender) WrittenCompletely() bool { return a.sent.Load() }

// Send implements Actor.
func (a *AttemptSender) Send(words []string) error {
	a.to.Send(core.Attempt{
		ID: words[0], Class: "asset", Object: "o", Server: CacheID, Source: CacheID, Deadline: a.to.Clock().Now() + 1000, NonIdempotent: len(words) > 1,
	}, func(e core.Outcome) {
		a.sent.Store(e.Written)
		a.in <- message{words: []string{words[0], results[e.Result]}}
	})
	return nil
}

var results = map[policy.Result]string{
	policy.OK: "ok", policy.Failed: "failed", policy.Overloaded: "full", policy.TimedOut: "timeout",
	policy.ConnectFailed: "unconnected", policy.Reset: "reset", policy.Skipped: "moot", policy.Miss: "miss",
}

// Receive implements Actor.
func (a *AttemptSender) Receive() ([]string, error) { m, err := a.in.take(); return m.words, err }

// Close implements Actor; there is nothing to end.
func (a *AttemptSender) Close() error { return nil }
