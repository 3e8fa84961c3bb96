package core_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// Discovery has sent a purge that is not processed yet when the router decides on an attempt. That attempt is skipped, and the
// router decides again with the purge applied. This holds for the first attempt of a request and for a retry.
func TestPendingPurgeIsAppliedBeforeAttempt(t *testing.T) {
	for purgeAtCall := 2; purgeAtCall <= 3; purgeAtCall++ { // the first call comes before any decision
		synctest.Test(t, func(t *testing.T) {
			settings := scenario.Settings()
			settings.PurgeDuration = 6 * time.Second
			clk := clock.Manual(1e12)
			reset := core.Outcome{Result: policy.Reset, Written: true} // causes a retry
			upstream := &scriptedUpstream{clock: clk, delay: 100, outcomes: []core.Outcome{reset, {Result: policy.OK, Written: true}}}
			c, err := core.New(settings, []string{"tiles", "pages", "reports"}, 0, 7, clk, upstream)
			require.NoError(t, err)
			c.UpdateMembers(testMembers())
			calls, purgedAt := 0, -1
			c.CatchUp = func() bool {
				if calls++; calls != purgeAtCall {
					return false
				}
				purgedAt = len(upstream.sent)
				c.ApplyPurge(core.Purge{Object: "o", Group: -1, At: clk.Now() - 50})
				return true
			}
			runRequest(t, c, clk, core.Request{ID: "a", Class: 1, Object: "o", Deadline: clk.Now() + 2000})
			require.GreaterOrEqual(t, purgedAt, 0)
			for n, a := range upstream.sent {
				require.Equal(t, n >= purgedAt, a.MaxAge > 0, "attempt %d, purge before attempt %d", n, purgedAt)
			}
			require.Greater(t, len(upstream.sent), purgedAt)
		})
	}
}
