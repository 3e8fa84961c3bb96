package core_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/policy"
)

// Guards against a purge that binds nothing, as its object is written in capitals and the requests' objects are not, or vice versa.
func TestPurgeBindsWhateverTheCaseOfTheObject(t *testing.T) {
	const small, capitals = "7f3a9c21e0b4d655", "7F3A9C21E0B4D655"
	for _, names := range [][2]string{{small, small}, {capitals, small}, {small, capitals}} {
		synctest.Test(t, func(t *testing.T) {
			clk := clock.Manual(1e12)
			upstream := &scriptedUpstream{clock: clk, delay: 10, outcomes: []core.Outcome{{Result: policy.OK, Written: true}}}
			c := newKeyedCore(t, time.Second, upstream)
			c.ApplyPurge(core.Purge{Object: names[0], Group: -1, At: clk.Now()})
			clk.Advance(100)
			runRequest(t, c, clk, core.Request{ID: "a", Class: 1, Object: names[1], Group: -1, Deadline: clk.Now() + 2000})
			require.InDelta(t, 100, upstream.sent[0].MaxAge, 0.01, "%v", names)
			require.Equal(t, names[1], upstream.sent[0].Object, "the object's name is forwarded unchanged")
		})
	}
}
