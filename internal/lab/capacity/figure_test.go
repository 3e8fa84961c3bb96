package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// linearRecordingSet is a set with one recording, "x", which is linear and measured at sizes from 100 to 1,000.
func linearRecordingSet() RecordingSet {
	r := Recording{
		Name: "x", Role: Proxy, Driver: "servers", Quantity: "memory", Unit: "bytes", Command: "c",
		Points: []Point{{100, 1100}, {300, 3100}, {500, 5100}, {1000, 10_100}},
	}
	return RecordingSet{"x": r.Fitted()}
}

// A figure computed from several figures has the weakest basis and the largest extrapolation of these.
func TestCombinedFigureHasWeakestBasis(t *testing.T) {
	recordings := linearRecordingSet()
	within, beyond := recordings.Estimate("x", given(400)), recordings.Estimate("x", given(17_000))
	require.Equal(t, Measured, within.Basis)
	require.InDelta(t, 4100, within.Value, 0.1)
	require.Equal(t, Extrapolated, beyond.Basis)
	require.InDelta(t, 17, beyond.Extrapolation, 1e-9)
	require.Equal(t, Extrapolated, recordings.Estimate("x", given(10)).Basis, "below the measured sizes")
	require.Equal(t, Assumed, recordings.Estimate("x", assumed(400)).Basis, "at an assumed size")
	for _, f := range []Figure{within.Plus(beyond), beyond.Plus(within), within.Times(beyond), within.DividedBy(beyond)} {
		require.Equal(t, Extrapolated, f.Basis)
		require.InDelta(t, 17, f.Extrapolation, 1e-9)
	}
	both := beyond.Plus(assumed(1))
	require.Equal(t, Assumed, both.Basis)
	require.InDelta(t, 17, both.Extrapolation, 1e-9, "the extrapolation is kept")
	require.Equal(t, "170 KB x17", beyond.FormatBytes())
	require.Equal(t, "170 KB a, x17", both.FormatBytes())
	require.Equal(t, "4.1 KB m", within.FormatBytes())
	require.Equal(t, given(5).Plus(given(0)), given(5))
	r := recordings["x"]
	r.Points[1].Measured = 3300
	require.InDelta(t, 3300, recordings.Estimate("x", given(300)).Value, 0, "at a measured size: the measured value, not the fitted one")
}

// Numbers have three significant digits and groups of thousands.
func TestFormatNumber(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 0.01234: "0.0123", 1: "1", 12.34: "12.3", 123.4: "123", 1234: "1,230", 1_234_567: "1,230,000", -2140: "-2,140", 99.96: "100",
		999.6: "1,000",
	} {
		require.Equal(t, want, formatNumber(v), "%v", v)
	}
	require.Equal(t, "16,384", formatCount(given(16_384)))
}
