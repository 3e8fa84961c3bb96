package clock

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// The wall clock is stepped while spans run on, on a manual clock and on the machine's.
func TestStepWall(t *testing.T) {
	for _, c := range []*Clock{Manual(1e12), System()} {
		began, wall := c.Now(), c.Wall()
		require.InDelta(t, began, wall, sameBegin)
		c.StepWall(-3_600_000)
		require.GreaterOrEqual(t, c.Now(), began)
		require.Less(t, c.Now(), began+60_000)
		require.InDelta(t, wall-3_600_000, c.Wall(), 60_000)
	}
}

// Times of another process of this machine are moved only where the wall clock was stepped between their starts.
func TestShift(t *testing.T) {
	here := System()
	for ahead, want := range map[float64]float64{0: 0, 100: 0, 7000: -7000, -3_600_000: 3_600_000} {
		epoch, ok := Shifted(ahead).Epoch()
		require.True(t, ok)
		require.InDelta(t, want, here.Shift(epoch), 100)
	}
	require.Zero(t, here.Shift(0), "it is not told")
}
