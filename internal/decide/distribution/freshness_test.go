package distribution_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/distribution"
)

func strictGate() *distribution.FreshnessGate {
	set := distribution.DefaultSettings(distribution.Purges, distribution.Peer{})
	set.Classes = map[string]distribution.Policy{"prices": distribution.PolicyStrict, "pictures": distribution.PolicyServeStale}
	return distribution.NewFreshnessGate(set)
}

func TestEachClassHasItsOwnPolicyPastTheBound(t *testing.T) {
	g := strictGate()
	g.Update(distribution.Freshness{FreshUntil: 5000, WatermarkTime: 2000})
	require.Equal(t, distribution.VerdictServe, g.Decide(4999, "prices", 100), "within the bound")
	require.Equal(t, distribution.VerdictServe, g.Decide(5000, "prices", 2000), "no older than the watermark")
	require.Equal(t, distribution.VerdictFetchOrigin, g.Decide(5000, "prices", 1999))
	require.Equal(t, distribution.VerdictServeStale, g.Decide(5000, "pictures", 1999))
	require.Equal(t, distribution.VerdictServeStale, g.Decide(5000, "not named", 1999))
}

func TestNothingIsServedBeforeTheFirstWatermark(t *testing.T) {
	require.Equal(t, distribution.VerdictFetchOrigin, strictGate().Decide(1e12, "prices", 1e12))
}

// Of ten thousand requests in each of ten seconds that ask for the origin, 20 a second and no more than one in twenty go.
func TestTheOriginIsShielded(t *testing.T) {
	g := strictGate()
	origin := 0
	for i := range 100_000 {
		if g.Decide(float64(i)/10, "prices", 0) == distribution.VerdictFetchOrigin {
			origin++
		}
	}
	require.LessOrEqual(t, origin, 20+10*20)
	require.Greater(t, origin, 10*20-20)
	g, origin = strictGate(), 0
	for i := range 100 { // ten a second: the share binds
		if g.Decide(float64(i)*100, "prices", 0) == distribution.VerdictFetchOrigin {
			origin++
		}
	}
	require.LessOrEqual(t, origin, 6)
}

// A thousand processes that are no longer behind end being strict over a span, none before it is within its bound.
func TestStrictEndsStaggered(t *testing.T) {
	ended := map[int]int{} // by second
	for i := range 1000 {
		set := distribution.DefaultSettings(distribution.Purges, distribution.Peer{Name: "p", Rank: 3})
		set.Seed = uint64(i)
		s := distribution.NewSubscriber(set)
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
		told := func() {
			handle(distribution.Connected{Link: link})
			handle(distribution.Received{Link: link, Bytes: 10, Message: distribution.SnapshotChunk{Stream: distribution.Purges, Epoch: 1, Through: 1, Last: true,
				Watermark: distribution.Watermark{Sequence: 1, At: int64(now)}}})
		}
		now += handle(distribution.Candidates{Peers: peers})
		handle(distribution.Tick{})
		told()
		require.False(t, state.Restricted, "it has just started")
		handle(distribution.Disconnected{Link: link})
		now += 20_000
		handle(distribution.Tick{})
		require.True(t, state.Restricted)
		told()
		require.True(t, state.Restricted, "it has only just come back")
		back := now
		for state.Restricted {
			now += 100
			handle(distribution.Received{Link: link, Bytes: 10, Message: distribution.Heartbeat{Stream: distribution.Purges, Epoch: 1,
				Watermark: distribution.Watermark{Sequence: 1, At: int64(now)}}})
			require.Less(t, now, back+10_200)
		}
		ended[int((now-back)/1000)]++
	}
	for second, n := range ended {
		require.Less(t, n, 200, "in second %d", second)
	}
}
