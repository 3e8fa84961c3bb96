package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A step of the wall clock does not change Now, neither on a manual clock nor on a system clock.
func TestStepWallDoesNotMoveNow(t *testing.T) {
	for _, c := range []*Clock{Manual(1e12), System()} {
		now, wall := c.Now(), c.Wall()
		require.InDelta(t, now, wall, minShiftMs)
		c.StepWall(-3_600_000)
		require.GreaterOrEqual(t, c.Now(), now)
		require.Less(t, c.Now(), now+60_000)
		require.InDelta(t, wall-3_600_000, c.Wall(), 60_000)
	}
}

// Times of another process of this machine are shifted only if the wall clock was stepped between the starts of the two processes.
func TestShiftFollowsStepsBetweenStarts(t *testing.T) {
	here := System()
	for ahead, want := range map[float64]float64{0: 0, 100: 0, 7000: -7000, -3_600_000: 3_600_000} {
		epoch, ok := SystemAhead(ahead).Epoch()
		require.True(t, ok)
		require.InDelta(t, want, here.Shift(epoch), 100)
	}
	require.Zero(t, here.Shift(0), "an unknown epoch gives no shift")
}

func TestNextTimerIsTheEarliest(t *testing.T) {
	c := Manual(100)
	_, ok := c.NextTimer()
	require.False(t, ok)
	c.After(20, func() {})
	c.After(10, func() {})
	due, ok := c.NextTimer()
	require.True(t, ok)
	require.InDelta(t, 110, due, 1e-9)
	c.Advance(15)
	due, _ = c.NextTimer()
	require.InDelta(t, 120, due, 1e-9)
}
