package distribution_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/distribution"
)

// newTestGate returns a gate with the strict class "prices" and the class "pictures", which may be served stale.
func newTestGate() *distribution.FreshnessGate {
	settings := distribution.DefaultSettings(distribution.Purges, distribution.Peer{})
	settings.Classes = map[string]distribution.StalePolicy{"prices": distribution.PolicyStrict, "pictures": distribution.PolicyServeStale}
	return distribution.NewFreshnessGate(settings)
}

func TestPolicyOfEachClassPastMaxLag(t *testing.T) {
	g := newTestGate()
	g.Update(distribution.Freshness{FreshUntil: 5000, WatermarkTime: 2000})
	require.Equal(t, distribution.VerdictServe, g.Decide(4999, "prices", 100), "within MaxLag")
	require.Equal(t, distribution.VerdictServe, g.Decide(5000, "prices", 2000), "no older than the watermark")
	require.Equal(t, distribution.VerdictFetchOrigin, g.Decide(5000, "prices", 1999))
	require.Equal(t, distribution.VerdictServeStale, g.Decide(5000, "pictures", 1999))
	require.Equal(t, distribution.VerdictServeStale, g.Decide(5000, "class without a policy", 1999))
}

func TestStrictClassServesNoCopyBeforeFirstWatermark(t *testing.T) {
	require.Equal(t, distribution.VerdictFetchOrigin, newTestGate().Decide(1e12, "prices", 1e12))
}

// 10,000 requests a second ask for the origin over ten seconds: at most 20 a second are admitted, beside the 20 with which the gate
// starts. Of 100 requests at ten a second at most one in twenty is admitted, beside the one with which the gate starts.
func TestRequestsToOriginAreLimited(t *testing.T) {
	g := newTestGate()
	origin := 0
	for i := range 100_000 {
		if g.Decide(float64(i)/10, "prices", 0) == distribution.VerdictFetchOrigin {
			origin++
		}
	}
	require.LessOrEqual(t, origin, 20+10*20)
	require.Greater(t, origin, 10*20-20)
	g, origin = newTestGate(), 0
	for i := range 100 { // ten a second: OriginFraction is the limit
		if g.Decide(float64(i)*100, "prices", 0) == distribution.VerdictFetchOrigin {
			origin++
		}
	}
	require.LessOrEqual(t, origin, 6)
}

// 1,000 processes that have caught up must end the restriction of strict classes spread over RelaxSpread, and none before it is within
// MaxLag. If all ended it at once, the load of the whole fleet would change in one instant.
func TestRestrictionEndsStaggered(t *testing.T) {
	endedInSecond := map[int]int{} // number of processes, by the second after they caught up
	for i := range 1000 {
		settings := distribution.DefaultSettings(distribution.Purges, distribution.Peer{Name: "p", Rank: 3})
		settings.Seed = uint64(i)
		s := distribution.NewSubscriber(settings)
		var state distribution.Freshness
		var link distribution.Link
		now := 1e6
		handle := func(e distribution.Event) (wake float64) {
			for _, a := range s.Handle(now, e) {
				switch a := a.(type) {
				case distribution.SetFreshness:
					state = a.State
				case distribution.Connect:
					link = a.Link
				case distribution.Wake:
					wake = a.After
				}
			}
			return wake
		}
		receiveSnapshot := func() {
			handle(distribution.Connected{Link: link})
			handle(distribution.Received{Link: link, Bytes: 10, Message: distribution.SnapshotChunk{Stream: distribution.Purges, Epoch: 1, Through: 1, Last: true,
				Watermark: distribution.Watermark{Sequence: 1, At: int64(now)}}})
		}
		now += handle(distribution.Candidates{Peers: peers})
		handle(distribution.Tick{})
		receiveSnapshot()
		require.False(t, state.Restricted, "the restriction of a process that has just started ends at once")
		handle(distribution.Disconnected{Link: link})
		now += 20_000
		handle(distribution.Tick{})
		require.True(t, state.Restricted)
		receiveSnapshot()
		require.True(t, state.Restricted, "the restriction goes on after the process has caught up")
		caughtUpAt := now
		for state.Restricted {
			now += 100
			handle(distribution.Received{Link: link, Bytes: 10, Message: distribution.Heartbeat{Stream: distribution.Purges, Epoch: 1,
				Watermark: distribution.Watermark{Sequence: 1, At: int64(now)}}})
			require.Less(t, now, caughtUpAt+10_200)
		}
		endedInSecond[int((now-caughtUpAt)/1000)]++
	}
	for second, n := range endedInSecond {
		require.Less(t, n, 200, "in second %d", second)
	}
}
