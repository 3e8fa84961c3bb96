package dedup

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// In whatever order messages arrive, none may be accepted twice, and one that is new and within the window must be accepted.
func TestWindowAcceptsEachMessageOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		accepted, incarnation, highest := map[[2]uint64]bool{}, uint64(0), uint64(0)
		for range 300 {
			messageIncarnation := rapid.Uint64Range(1, 3).Draw(t, "incarnation")
			step := rapid.OneOf(rapid.IntRange(-20, 20), rapid.IntRange(-2*WindowSize, 2*WindowSize)).Draw(t, "step")
			sequence := uint64(max(0, int(highest)+step))
			message := [2]uint64{messageIncarnation, sequence}
			isNew := w.Accept(messageIncarnation, sequence)
			require.False(t, isNew && accepted[message], "message accepted twice")
			switch {
			case messageIncarnation > incarnation:
				require.True(t, isNew)
				incarnation, highest = messageIncarnation, sequence
			case messageIncarnation == incarnation:
				require.Equal(t, !accepted[message] && sequence+WindowSize >= highest, isNew, "sequence %d, highest %d", sequence, highest)
				highest = max(highest, sequence)
			default:
				require.False(t, isNew, "message of an earlier incarnation accepted")
			}
			if isNew {
				accepted[message] = true
			}
		}
	})
}
