package main

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/scenario"
	"ravenwheel/internal/store"
)

// A valid revision is in force completely. An invalid one, which a member that runs another version may have accepted, changes
// nothing, and the previous one is restored unless there is a newer one by then.
func TestRevisionAppliesCompletelyOrNotAtAll(t *testing.T) {
	p := scenario.NewProxy(t)
	st, err := store.Open(store.Options{Clock: p.Clock})
	require.NoError(t, err)
	var out bytes.Buffer
	log, err := logs.New(&out, logs.Options{Level: "error"}, p.Clock)
	require.NoError(t, err)
	var used []uint64
	l := &revisionApplier{
		store: st, log: log, core: p.Core, pools: p.Pools, conf: &config.Config{MaxOpenRequests: 4096, AttemptsPerConn: 32, ConnectTimeoutMs: 400},
		file: &config.OperatorFile{LogOptions: logs.Options{Level: "error"}}, onApplied: func(n uint64) { used = append(used, n) },
	}
	set := func(base uint64, text string) {
		_, err := st.SetConfig(base, text, "ops")
		require.NoError(t, err)
		l.apply(st.Config())
	}
	good := `{"log": {"level": "info"}, "limits": {"requests": 1}, "keys": {"k1": {"alg": "HS256", "key": "eA=="}}}`
	set(0, good)
	require.Contains(t, out.String(), "revision in force", "the revision's log level is in force")
	k, ok := st.Key("k1")
	require.True(t, ok && string(k.Data) == "x")
	ctx, leave := context.WithCancel(context.Background())
	go p.Core.Do(ctx, core.Request{ID: "r1", Class: 1, Object: "o", Deadline: p.Clock.Now() + 900})
	require.Eventually(t, func() bool { return p.Core.Counters.InFlight.Load() == 1 }, time.Minute, time.Millisecond)
	full := core.Answer{Verdict: core.Rejected, RetryAfter: clock.Ms(scenario.Settings().MaxRetryAfter)}
	require.Equal(t, full, p.Core.Do(ctx, core.Request{ID: "r2", Class: 1, Object: "o", Deadline: p.Clock.Now() + 900}))
	leave()

	for _, bad := range []string{`{"limits": {"requests": 2}, "keys": {"k2": {"alg": "none", "key": "eA=="}}}`, "{", `{"site": {}}`} {
		set(st.Config().Number, bad)
		require.Equal(t, good, st.Config().Text, "the previous text must be restored after %s", bad)
		_, ok = st.Key("k2")
		require.False(t, ok, "no part of an invalid revision may be in force")
	}
	// A newer revision is set before the invalid one is handled: the newer one stays.
	_, err = st.SetConfig(st.Config().Number, "{", "ops")
	require.NoError(t, err)
	broken := st.Config()
	_, err = st.SetConfig(broken.Number, `{"keys": {}}`, "ops")
	require.NoError(t, err)
	l.apply(broken)
	l.apply(st.Config())
	require.Equal(t, `{"keys": {}}`, st.Config().Text)
	_, ok = st.Key("k1")
	require.False(t, ok, "keys that a revision does not name must be deleted")
	require.Equal(t, []uint64{1, st.Config().Number}, used)
}

// Without a store a valid revision from a distributor is in force; an invalid one changes nothing, and none is restored in its
// place.
func TestRevisionWithoutStoreIsNotRestored(t *testing.T) {
	p := scenario.NewProxy(t)
	var out bytes.Buffer
	log, err := logs.New(&out, logs.Options{Level: "error"}, p.Clock)
	require.NoError(t, err)
	var used []uint64
	l := &revisionApplier{
		log: log, core: p.Core, pools: p.Pools, conf: &config.Config{MaxOpenRequests: 4096, AttemptsPerConn: 32, ConnectTimeoutMs: 400},
		file: &config.OperatorFile{LogOptions: logs.Options{Level: "error"}}, onApplied: func(n uint64) { used = append(used, n) },
	}
	good := `{"log": {"level": "info"}, "keys": {"k1": {"alg": "HS256", "key": "eA=="}}}`
	l.apply(storestate.Revision{Number: 1, Text: good})
	l.apply(storestate.Revision{Number: 2, Text: "{"})
	require.Equal(t, good, l.textInForce)
	require.Equal(t, []uint64{1}, used)
	require.Contains(t, out.String(), "revision rejected")
}
