package core_test

import (
	"context"
	"fmt"
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

// scriptedUpstream ends attempts with the listed outcomes in turn, after the given ms.
type scriptedUpstream struct {
	clock    *clock.Clock
	outcomes []core.Outcome
	after    float64
	sent     []core.Attempt
}

func (d *scriptedUpstream) Send(a core.Attempt, end func(core.Outcome)) func() bool {
	e := d.outcomes[len(d.sent)%len(d.outcomes)]
	d.sent = append(d.sent, a)
	stop := d.clock.After(d.after, func() { end(e) })
	return func() bool { stop(); return e.Written }
}

func (d *scriptedUpstream) UpdateMembers([]core.Member, bool) {}

// newKeyedCore returns a core whose third class has idempotency keys with the given window.
func newKeyedCore(t *testing.T, window time.Duration, d *scriptedUpstream) *core.Core {
	set := scenario.Settings()
	set.Classes[2].Idempotency, set.Classes[2].DedupWindow = policy.IdempotentByKey, window
	c, err := core.New(set, []string{"tiles", "pages", "reports"}, 0, 7, d.clock, d)
	require.NoError(t, err)
	c.UpdateMembers(coreMembers())
	return c
}

// do runs one request while it advances the clock.
func do(t *testing.T, c *core.Core, clk *clock.Clock, q core.Request) {
	done := make(chan struct{})
	go func() { c.Do(context.Background(), q); close(done) }()
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

// The client's idempotency key is sent unchanged with every attempt, and none where the client has none.
func TestIdempotencyKeyIsSentWithEveryAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clk := clock.Manual(1e12)
		d := &scriptedUpstream{clock: clk, after: 100, outcomes: []core.Outcome{{Result: policy.Reset, Written: true}, {Result: policy.OK, Written: true}}}
		c := newKeyedCore(t, 6*time.Second, d)
		for n, key := range []string{"k1", ""} {
			d.sent = nil
			do(t, c, clk, core.Request{ID: fmt.Sprint(n), Class: 2, Object: "o", IdempotencyKey: key, Deadline: clk.Now() + 2000})
			require.Len(t, d.sent, 2)
			require.Equal(t, key, d.sent[0].IdempotencyKey)
			require.Equal(t, key, d.sent[1].IdempotencyKey)
		}
	})
}

// A retry with an idempotency key is not written later than the deduplication window from the first attempt
// that may have been executed.
func TestKeyedRetryIsNotWrittenAfterDedupWindow(t *testing.T) {
	for _, c := range []struct {
		first policy.Result
		class int
		want  float64 // ms from the first attempt by which the second one is written
	}{
		{policy.Reset, 2, 1000}, {policy.Unknown, 2, 1000}, {policy.Overloaded, 2, 1400}, {policy.Skipped, 2, 1400}, {policy.Reset, 1, 1400},
	} {
		synctest.Test(t, func(t *testing.T) {
			clk := clock.Manual(1e12)
			d := &scriptedUpstream{clock: clk, after: 900, outcomes: []core.Outcome{{Result: c.first, Written: true}, {Result: policy.OK, Written: true}}}
			do(t, newKeyedCore(t, time.Second, d), clk, core.Request{ID: "a", Class: c.class, Object: "o", IdempotencyKey: "k1", Deadline: 1e12 + 2400})
			require.GreaterOrEqual(t, len(d.sent), 2)
			require.InDelta(t, 1e12+c.want, d.sent[1].SendBy, 0.01, "%+v", c)
		})
	}
}

// A request makes no more attempts than its inbox has room for, whatever the settings allow, and no message
// is lost.
func TestAttemptsAreBounded(t *testing.T) {
	for limit, most := range map[int]int{0: 64, 1000: 64, 8: 8} {
		synctest.Test(t, func(t *testing.T) {
			set := scenario.Settings()
			set.MaxAttempts = limit
			clk := clock.Manual(1e12)
			d := &scriptedUpstream{clock: clk, outcomes: []core.Outcome{{Result: policy.Skipped}}}
			c, err := core.New(set, []string{"tiles", "pages", "reports"}, 0, 7, clk, d)
			require.NoError(t, err)
			c.UpdateMembers(coreMembers())
			do(t, c, clk, core.Request{ID: "a", Class: 1, Object: "o", Deadline: clk.Now() + 2000})
			require.Equal(t, most, len(d.sent), "limit %d", limit)
		})
	}
	require.Zero(t, invariant.Violations())
}

// A rejection has a Retry-After only where clients support it.
func TestRejectWithoutRetryAfter(t *testing.T) {
	for advice, want := range map[bool]float64{true: 500, false: 0} {
		set := scenario.Settings()
		set.SendsRetryAfter = advice
		clk := clock.Manual(1e12)
		c, err := core.New(set, []string{"tiles", "pages", "reports"}, 0, 7, clk, &scriptedUpstream{clock: clk})
		require.NoError(t, err)
		require.Equal(t, core.Answer{Verdict: core.Rejected, RetryAfter: want}, c.Reject())
	}
}
