package core_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// scriptedUpstream ends each attempt after the delay, in ms, with the listed outcomes in turn.
type scriptedUpstream struct {
	clock    *clock.Clock
	outcomes []core.Outcome
	delay    float64
	sent     []core.Attempt
}

func (u *scriptedUpstream) Send(a core.Attempt, end func(core.Outcome)) func() bool {
	outcome := u.outcomes[len(u.sent)%len(u.outcomes)]
	u.sent = append(u.sent, a)
	stop := u.clock.After(u.delay, func() { end(outcome) })
	return func() bool { stop(); return outcome.Written }
}

func (u *scriptedUpstream) UpdateMembers([]core.Member, bool) {}

// newKeyedCore returns a core whose third class is idempotent by key with the given deduplication window.
func newKeyedCore(t *testing.T, window time.Duration, upstream *scriptedUpstream) *core.Core {
	settings := scenario.Settings()
	settings.Classes[2].Idempotency, settings.Classes[2].DedupWindow = policy.IdempotentByKey, window
	c, err := core.New(settings, []string{"tiles", "pages", "reports"}, 0, 7, upstream.clock, upstream)
	require.NoError(t, err)
	c.UpdateMembers(testMembers())
	return c
}

// runRequest runs one request to its end and advances the clock meanwhile.
func runRequest(t *testing.T, c *core.Core, clk *clock.Clock, request core.Request) {
	done := make(chan struct{})
	go func() { c.Do(context.Background(), request); close(done) }()
	for range 500 {
		synctest.Wait()
		select {
		case <-done:
			return
		default:
			clk.Advance(10)
		}
	}
	require.Fail(t, "no answer")
}

// The client's idempotency key is sent unchanged with every attempt.
func TestIdempotencyKeyIsSentWithEveryAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clk := clock.Manual(1e12)
		upstream := &scriptedUpstream{clock: clk, delay: 100, outcomes: []core.Outcome{{Result: policy.Reset, Written: true}, {Result: policy.OK, Written: true}}}
		runRequest(t, newKeyedCore(t, 6*time.Second, upstream), clk, core.Request{ID: "a", Class: 2, Object: "o", IdempotencyKey: "k1", Deadline: clk.Now() + 2000})
		require.Len(t, upstream.sent, 2)
		for _, a := range upstream.sent {
			require.Equal(t, "k1", a.IdempotencyKey)
			require.False(t, a.NonIdempotent)
		}
	})
}

// Guards against a second attempt of a request whose client sent no key, in a class that is idempotent by key.
func TestRequestWithoutKeyHasOneAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clk := clock.Manual(1e12)
		upstream := &scriptedUpstream{clock: clk, delay: 100, outcomes: []core.Outcome{{Result: policy.Reset, Written: true}, {Result: policy.OK, Written: true}}}
		c := newKeyedCore(t, 6*time.Second, upstream)
		runRequest(t, c, clk, core.Request{ID: "a", Class: 2, Object: "o", Deadline: clk.Now() + 2000})
		require.Len(t, upstream.sent, 1)
		require.Empty(t, upstream.sent[0].IdempotencyKey)
		require.True(t, upstream.sent[0].NonIdempotent)
		require.EqualValues(t, 1, c.Counters.Failed.Load())
	})
}

// A retry with an idempotency key is written only within the deduplication window, counted from the first attempt that may have
// been executed.
func TestKeyedRetryIsNotWrittenAfterDedupWindow(t *testing.T) {
	for _, c := range []struct {
		firstResult policy.Result
		class       int
		want        float64 // ms after the first attempt until which the second one may be written
	}{
		{policy.Reset, 2, 1000}, {policy.Unknown, 2, 1000}, {policy.Overloaded, 2, 1400}, {policy.Skipped, 2, 1400}, {policy.Reset, 1, 1400},
	} {
		synctest.Test(t, func(t *testing.T) {
			clk := clock.Manual(1e12)
			upstream := &scriptedUpstream{clock: clk, delay: 900, outcomes: []core.Outcome{{Result: c.firstResult, Written: true}, {Result: policy.OK, Written: true}}}
			runRequest(t, newKeyedCore(t, time.Second, upstream), clk, core.Request{ID: "a", Class: c.class, Object: "o", IdempotencyKey: "k1", Deadline: 1e12 + 2400})
			require.GreaterOrEqual(t, len(upstream.sent), 2)
			require.InDelta(t, 1e12+c.want, upstream.sent[1].SendBy, 0.01, "%+v", c)
		})
	}
}

// Whatever the settings allow, a request makes at most as many attempts as its inbox has room for, and no message is lost.
func TestAttemptsAreBounded(t *testing.T) {
	for limit, want := range map[int]int{0: 64, 1000: 64, 8: 8} {
		synctest.Test(t, func(t *testing.T) {
			settings := scenario.Settings()
			settings.MaxAttempts = limit
			clk := clock.Manual(1e12)
			upstream := &scriptedUpstream{clock: clk, outcomes: []core.Outcome{{Result: policy.Skipped}}}
			c, err := core.New(settings, []string{"tiles", "pages", "reports"}, 0, 7, clk, upstream)
			require.NoError(t, err)
			c.UpdateMembers(testMembers())
			runRequest(t, c, clk, core.Request{ID: "a", Class: 1, Object: "o", Deadline: clk.Now() + 2000})
			require.Equal(t, want, len(upstream.sent), "limit %d", limit)
		})
	}
	require.Zero(t, invariant.Violations())
}

// A rejection has a Retry-After only if the settings say that clients support it.
func TestRejectWithoutRetryAfter(t *testing.T) {
	for sendsRetryAfter, want := range map[bool]float64{true: 500, false: 0} {
		settings := scenario.Settings()
		settings.SendsRetryAfter = sendsRetryAfter
		clk := clock.Manual(1e12)
		c, err := core.New(settings, []string{"tiles", "pages", "reports"}, 0, 7, clk, &scriptedUpstream{clock: clk})
		require.NoError(t, err)
		require.Equal(t, core.Answer{Verdict: core.Rejected, RetryAfter: want}, c.Reject())
	}
}
