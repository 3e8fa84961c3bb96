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

// deaf is an upstream whose attempts end so, after so many ms.
type deaf struct {
	clock *clock.Clock
	ends  []core.Outcome
	after float64
	sent  []core.Attempt
}

func (d *deaf) Send(a core.Attempt, end func(core.Outcome)) func() bool {
	e := d.ends[len(d.sent)%len(d.ends)]
	d.sent = append(d.sent, a)
	stop := d.clock.After(d.after, func() { end(e) })
	return func() bool { stop(); return e.Written }
}

func (d *deaf) UpdateMembers([]core.Member, bool) {}

// keyed is a core whose third class is deduplicated for so many ms.
func keyed(t *testing.T, window time.Duration, d *deaf) *core.Core {
	set := scenario.Settings()
	set.Classes[2].Idempotency, set.Classes[2].DedupWindow = policy.IdempotentByKey, window
	c, err := core.New(set, []string{"tiles", "pages", "reports"}, 0, 7, d.clock, d)
	require.NoError(t, err)
	c.UpdateMembers(coreMembers())
	return c
}

// ask has one request lived while the clock moves on.
func ask(t *testing.T, c *core.Core, clk *clock.Clock, q core.Request) {
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

// The client's key passes on unchanged with every attempt, and where the client sent none there is none.
func TestKeyPassesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clk := clock.Manual(1e12)
		d := &deaf{clock: clk, after: 100, ends: []core.Outcome{{Result: policy.Reset, Written: true}, {Result: policy.OK, Written: true}}}
		c := keyed(t, 6*time.Second, d)
		for n, key := range []string{"k1", ""} {
			d.sent = nil
			ask(t, c, clk, core.Request{ID: fmt.Sprint(n), Class: 2, Object: "o", IdempotencyKey: key, Deadline: clk.Now() + 2000})
			require.Len(t, d.sent, 2)
			require.Equal(t, key, d.sent[0].IdempotencyKey)
			require.Equal(t, key, d.sent[1].IdempotencyKey)
		}
	})
}

// Repeats are discarded for a while from the first attempt that may have run. One that was decided on within that while is
// not written past it; what never ran does not count.
func TestRepeatsKeepToTheirWindow(t *testing.T) {
	for _, c := range []struct {
		first policy.Result
		class int
		want  float64 // ms from the first attempt by which the second one is written
	}{
		{policy.Reset, 2, 1000}, {policy.Unknown, 2, 1000}, {policy.Overloaded, 2, 1400}, {policy.Skipped, 2, 1400}, {policy.Reset, 1, 1400},
	} {
		synctest.Test(t, func(t *testing.T) {
			clk := clock.Manual(1e12)
			d := &deaf{clock: clk, after: 900, ends: []core.Outcome{{Result: c.first, Written: true}, {Result: policy.OK, Written: true}}}
			ask(t, keyed(t, time.Second, d), clk, core.Request{ID: "a", Class: c.class, Object: "o", IdempotencyKey: "k1", Deadline: 1e12 + 2400})
			require.GreaterOrEqual(t, len(d.sent), 2)
			require.InDelta(t, 1e12+c.want, d.sent[1].SendBy, 0.01, "%+v", c)
		})
	}
}

// However many tries the settings allow, a request makes no more than there is room for in its mailbox, and none is dropped.
func TestTriesAreBounded(t *testing.T) {
	for told, most := range map[int]int{0: 64, 1000: 64, 8: 8} {
		synctest.Test(t, func(t *testing.T) {
			set := scenario.Settings()
			set.MaxAttempts = told
			clk := clock.Manual(1e12)
			d := &deaf{clock: clk, ends: []core.Outcome{{Result: policy.Skipped}}}
			c, err := core.New(set, []string{"tiles", "pages", "reports"}, 0, 7, clk, d)
			require.NoError(t, err)
			c.UpdateMembers(coreMembers())
			ask(t, c, clk, core.Request{ID: "a", Class: 1, Object: "o", Deadline: clk.Now() + 2000})
			require.Equal(t, most, len(d.sent), "told %d", told)
		})
	}
	require.Zero(t, invariant.Broken())
}

// Where clients get no advice, a request that is turned away unseen has none either.
func TestNoAdvice(t *testing.T) {
	for advice, want := range map[bool]float64{true: 500, false: 0} {
		set := scenario.Settings()
		set.SendsRetryAfter = advice
		clk := clock.Manual(1e12)
		c, err := core.New(set, []string{"tiles", "pages", "reports"}, 0, 7, clk, &deaf{clock: clk})
		require.NoError(t, err)
		require.Equal(t, core.Answer{Verdict: core.Rejected, RetryAfter: want}, c.Reject())
	}
}
