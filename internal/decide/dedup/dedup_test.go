package dedup

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ravenwheel/internal/scenario/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// Nothing is taken twice, whatever comes in whatever order, and what is new and not too far behind is always taken.
func TestWindowModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var w Window
		taken, start, highest := map[[2]uint64]bool{}, uint64(0), uint64(0)
		for range 300 {
			s := rapid.Uint64Range(1, 3).Draw(t, "start")
			n := uint64(max(0, int(highest)+rapid.OneOf(rapid.IntRange(-20, 20), rapid.IntRange(-2*Span, 2*Span)).Draw(t, "step")))
			got := w.Take(s, n)
			require.False(t, got && taken[[2]uint64{s, n}], "taken twice")
			if s > start {
				require.True(t, got)
				start, highest = s, n
			} else if s == start {
				require.Equal(t, !taken[[2]uint64{s, n}] && n+Span >= highest, got, "%d behind %d", n, highest)
				highest = max(highest, n)
			} else {
				require.False(t, got, "of an older start")
			}
			if got {
				taken[[2]uint64{s, n}] = true
			}
		}
	})
}
