package drain

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var set = Settings{CloseIdleAfterDrain: 350, CloseIdleAfterStop: 800, RejectAfter: 1600, KillAfter: 2000, RequestsAfterStop: 600, RejectBeforeKill: 400, PartialFrameTimeout: 3000}

// What whoever asks is told, and what connections get, over a day of calls.
func TestLife(t *testing.T) {
	s := New(set)
	rest := Conn{}
	step := func(now float64, e Event, ok, takes bool, phase Phase) Plan {
		t.Helper()
		require.Equal(t, ok, s.Handle(now, e))
		require.Equal(t, takes, s.Ready())
		require.Equal(t, phase, s.Phase())
		return s.Plan(s.Phase() == HandingOver)
	}
	require.False(t, s.Ready(), "nobody is served before the address is owned")
	require.Equal(t, Plan{}, step(0, AddressOwned, true, true, Serving))
	p := step(1000, Drain, true, false, Draining)
	require.False(t, p.ShouldClose(1349, rest), "the front still sends new connections: it would come back at once")
	require.True(t, p.ShouldClose(1350, rest))
	require.True(t, p.AcceptsRequest(2599))
	require.False(t, p.AcceptsRequest(2600), "so that a connection never at rest comes to rest")
	require.Equal(t, p, step(1500, Drain, true, false, Draining), "twice is once, and the time goes on")
	require.Equal(t, Plan{}, step(9000, Resume, true, true, Serving))
	step(9100, Resume, true, true, Serving)
	p = step(10_000, AddressYielded, true, true, HandingOver)
	require.True(t, p.ShouldClose(10_000, rest), "new connections reach the other process at once")
	step(10_100, Drain, false, true, HandingOver)
	step(10_200, AddressOwned, true, true, Serving)
	step(11_000, Drain, true, false, Draining)
	step(12_000, AddressYielded, true, true, HandingOver)
	step(12_100, Stop, true, false, Stopping)
	require.InDelta(t, 12_000, s.Plan(true).CloseIdleFrom, 0, "a stop goes on where the other process took over")
	require.Equal(t, Plan{Active: true, CloseIdleFrom: 12_800, RejectFrom: 13_600, PartialFrameUntil: 14_100, AnswerBy: 14_100}, s.Plan(false),
		"one that ends alone ends its connections too, once none is on its way here")
	for _, successor := range []bool{false, true} {
		p = s.Plan(successor)
		require.InDelta(t, 14_100, p.Deadline(15_000), 0, "whatever a client would wait, it is killed then")
		require.InDelta(t, 14_000, p.Deadline(14_000), 0)
	}
	require.InDelta(t, 15_000, Plan{}.Deadline(15_000), 0)
	for _, e := range []Event{AddressOwned, AddressYielded, Drain, Resume, Stop} {
		require.Equal(t, e != Drain && e != Resume, s.Handle(13_000, e))
		require.Equal(t, Stopping, s.Phase(), "nothing brings one back that ends")
	}
}

// One that was paused before it owns its address is drained from then on.
func TestPausedEarly(t *testing.T) {
	s := New(set)
	require.True(t, s.Handle(0, Drain))
	require.True(t, s.Handle(5, AddressOwned))
	require.Equal(t, Draining, s.Phase())
	require.False(t, s.Ready())
}

// No connection that is owed something, or of which something has come, ends; and two seconds after a pause none is left
// that came to rest once.
func TestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(set)
		s.Handle(0, AddressOwned)
		s.Handle(0, Drain)
		p := s.Plan(false)
		now := rapid.Float64Range(0, 4000).Draw(t, "now")
		c := Conn{
			Pending: rapid.IntRange(0, 2).Draw(t, "open"), PartialFrame: rapid.Bool().Draw(t, "half"),
			Unread: rapid.Bool().Draw(t, "unread"), New: rapid.Bool().Draw(t, "new"),
		}
		ends := p.ShouldClose(now, c)
		require.False(t, ends && (c.Pending > 0 || c.Unread || c.New))
		if now >= 2000 && c.Pending == 0 && !c.Unread && !c.New {
			require.True(t, ends || c.PartialFrame && now < 3000)
			require.False(t, p.AcceptsRequest(now))
		}
	})
}

// The longest deadline is short, so that the kill comes soon. Requests on connections that stand are taken until 0.6 s, as they
// come until then; there is time between the last that is taken and the kill in which each connection can come to rest.
func TestKilledSoon(t *testing.T) {
	for _, within := range []float64{850, 1050, 1550, 3550} {
		for _, successor := range []bool{false, true} {
			short := set
			short.KillAfter = within
			s := New(short)
			s.Handle(0, AddressOwned)
			if successor {
				s.Handle(100, AddressYielded)
			}
			s.Handle(200, Stop)
			p := s.Plan(successor)
			require.True(t, p.AcceptsRequest(200+600-1), within)
			require.False(t, p.AcceptsRequest(200+within-250), "nothing that comes now could be refused, and its connection ended, in time: %v", within)
			require.True(t, p.ShouldClose(200+within-250, Conn{}), within)
			require.False(t, p.ShouldClose(200+within-1, Conn{PartialFrame: true}), "a client that writes slowly has until then")
			require.True(t, p.ShouldClose(200+within, Conn{PartialFrame: true}))
		}
	}
}
