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

// If discovery has sent a purge that is not processed yet when an attempt was decided on, that attempt is
// skipped and the next one is decided with the purge known, for each attempt of a request.
func TestPendingPurgeIsAppliedBeforeAttempt(t *testing.T) {
	for stale := 2; stale <= 3; stale++ { // the first call comes before any decision
		synctest.Test(t, func(t *testing.T) {
			set := scenario.Settings()
			set.PurgeDuration = 6 * time.Second
			clk := clock.Manual(1e12)
			reset := core.Outcome{Result: policy.Reset, Written: true} // so that there is a retry
			d := &scriptedUpstream{clock: clk, after: 100, outcomes: []core.Outcome{reset, {Result: policy.OK, Written: true}}}
			c, err := core.New(set, []string{"tiles", "pages", "reports"}, 0, 7, clk, d)
			require.NoError(t, err)
			c.UpdateMembers(coreMembers())
			calls, purgedAt := 0, -1
			c.CatchUp = func() bool {
				if calls++; calls != stale {
					return false
				}
				purgedAt = len(d.sent)
				c.ApplyPurge(core.Purge{Object: "o", Group: -1, At: clk.Now() - 50})
				return true
			}
			do(t, c, clk, core.Request{ID: "a", Class: 1, Object: "o", Deadline: clk.Now() + 2000})
			require.GreaterOrEqual(t, purgedAt, 0)
			for n, a := range d.sent {
				require.Equal(t, n >= purgedAt, a.MaxAge > 0, "attempt %d, purge before attempt %d", n, purgedAt)
			}
			require.Greater(t, len(d.sent), purgedAt)
		})
	}
}
