package drain

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testSettings = Settings{CloseIdleAfterDrain: 350, CloseIdleAfterStop: 800, RejectAfter: 1600, KillAfter: 2000, AcceptAfterStop: 600, RejectBeforeKill: 400, PartialFrameTimeout: 3000}

// Over a sequence of events, the readiness answer, the phase and the plan are as expected.
func TestPhasesAndPlans(t *testing.T) {
	s := New(testSettings)
	idle := Conn{}
	step := func(now float64, event Event, ok, ready bool, phase Phase) Plan {
		t.Helper()
		require.Equal(t, ok, s.Handle(now, event))
		require.Equal(t, ready, s.Ready())
		require.Equal(t, phase, s.Phase())
		return s.Plan(s.Phase() == HandingOver)
	}
	require.False(t, s.Ready(), "not ready before the address is owned")
	require.Equal(t, Plan{}, step(0, AddressOwned, true, true, Serving))
	plan := step(1000, Drain, true, false, Draining)
	require.False(t, plan.ShouldClose(1349, idle), "the load balancer still sends new connections")
	require.True(t, plan.ShouldClose(1350, idle))
	require.True(t, plan.AcceptsRequest(2599))
	require.False(t, plan.AcceptsRequest(2600), "new requests are rejected, so that a connection that is never idle becomes idle")
	require.Equal(t, plan, step(1500, Drain, true, false, Draining), "a second drain changes nothing")
	require.Equal(t, Plan{}, step(9000, Resume, true, true, Serving))
	step(9100, Resume, true, true, Serving)
	plan = step(10_000, AddressYielded, true, true, HandingOver)
	require.True(t, plan.ShouldClose(10_000, idle), "new connections reach the successor at once")
	step(10_100, Drain, false, true, HandingOver)
	step(10_200, AddressOwned, true, true, Serving)
	step(11_000, Drain, true, false, Draining)
	step(12_000, AddressYielded, true, true, HandingOver)
	step(12_100, Stop, true, false, Stopping)
	require.InDelta(t, 12_000, s.Plan(true).CloseIdleFrom, 0, "a stop continues the handover's drain")
	require.Equal(t, Plan{Active: true, CloseIdleFrom: 12_800, RejectFrom: 13_600, PartialFrameUntil: 14_100, AnswerBy: 14_100}, s.Plan(false),
		"without a successor, idle connections are closed once no new ones arrive")
	for _, successor := range []bool{false, true} {
		plan = s.Plan(successor)
		require.InDelta(t, 14_100, plan.Deadline(15_000), 0, "a request is answered before the kill, whatever its deadline")
		require.InDelta(t, 14_000, plan.Deadline(14_000), 0)
	}
	require.InDelta(t, 15_000, Plan{}.Deadline(15_000), 0)
	for _, event := range []Event{AddressOwned, AddressYielded, Drain, Resume, Stop} {
		require.Equal(t, event != Drain && event != Resume, s.Handle(13_000, event))
		require.Equal(t, Stopping, s.Phase(), "a stop is final")
	}
}

// A proxy for which a drain is requested before it owns its address drains as soon as it owns the address.
func TestDrainBeforeAddressIsOwned(t *testing.T) {
	s := New(testSettings)
	require.True(t, s.Handle(0, Drain))
	require.True(t, s.Handle(5, AddressOwned))
	require.Equal(t, Draining, s.Phase())
	require.False(t, s.Ready())
}

// A connection is not closed if it has pending requests or if a byte of its next request has arrived. Two seconds after the
// beginning of a drain, every connection that is idle is closed.
func TestDrainKeepsPendingConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(testSettings)
		s.Handle(0, AddressOwned)
		s.Handle(0, Drain)
		plan := s.Plan(false)
		now := rapid.Float64Range(0, 4000).Draw(t, "now")
		c := Conn{
			Pending: rapid.IntRange(0, 2).Draw(t, "pending"), PartialFrame: rapid.Bool().Draw(t, "partial frame"),
			Unread: rapid.Bool().Draw(t, "unread"), New: rapid.Bool().Draw(t, "new"),
		}
		shouldClose := plan.ShouldClose(now, c)
		require.False(t, shouldClose && (c.Pending > 0 || c.Unread || c.New))
		if now >= 2000 && c.Pending == 0 && !c.Unread && !c.New {
			require.True(t, shouldClose || c.PartialFrame && now < 3000)
			require.False(t, plan.AcceptsRequest(now))
		}
	})
}

// The kill follows soon after the stop. Requests on open connections are accepted during AcceptAfterStop, and between the last
// accepted request and the kill there is time for each connection to become idle.
func TestStopWithEarlyKill(t *testing.T) {
	for _, killAfter := range []float64{850, 1050, 1550, 3550} {
		for _, successor := range []bool{false, true} {
			settings := testSettings
			settings.KillAfter = killAfter
			s := New(settings)
			s.Handle(0, AddressOwned)
			if successor {
				s.Handle(100, AddressYielded)
			}
			s.Handle(200, Stop)
			plan := s.Plan(successor)
			require.True(t, plan.AcceptsRequest(200+600-1), killAfter)
			require.False(t, plan.AcceptsRequest(200+killAfter-250), "too late to reject a request and close its connection in time: %v", killAfter)
			require.True(t, plan.ShouldClose(200+killAfter-250, Conn{}), killAfter)
			require.False(t, plan.ShouldClose(200+killAfter-1, Conn{PartialFrame: true}), "a slow client has until the kill")
			require.True(t, plan.ShouldClose(200+killAfter, Conn{PartialFrame: true}))
		}
	}
}
