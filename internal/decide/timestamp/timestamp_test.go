package timestamp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	hour    = 3_600_000.0
	started = 1_764_576_000_000.0
)

// A watch is followed, with a word each second, and clocks step by seconds and by an hour, forward and back, this machine's or
// the others'. A purge that is told now is never read as older than what may lie before the last word, nor as one to come; a
// server that was started now is not read as warm.
func TestStepsOnALiveWatch(t *testing.T) {
	for _, step := range []float64{0, -hour, hour, -7000, 7000, -40_000} {
		now := started
		r := New(now)
		hear := func() { now += 1000; r.Heartbeat(now) }
		for range 100 {
			hear()
		}
		require.Equal(t, now-200, r.Purge(now, now-200), "exact while nothing steps")
		require.Equal(t, now-3000, r.Start(now, 1, now-3000))
		hear()
		now += 300
		made := now - 250
		at := r.Purge(now, made+step)
		require.GreaterOrEqual(t, at, made)
		require.LessOrEqual(t, at, now)
		hear()
		// Its stamp is of the stepped clock, and a purge has shown the step.
		made = now - 2500
		at = r.Start(now, 2, made+step)
		require.GreaterOrEqual(t, at, made)
		require.LessOrEqual(t, at, now)
		require.Equal(t, started+100_000-3000, r.Start(now, 1, started+100_000-3000), "what was read stays as it was read")
		// The clocks are set right again.
		hear()
		now += 100
		at = r.Purge(now, now-90)
		require.GreaterOrEqual(t, at, now-90)
		require.LessOrEqual(t, at, now)
	}
}

// No purge has shown the step when a server's start is told: one that seems to be long ago, or to come, is read as now.
func TestStartIsTheFirstToTell(t *testing.T) {
	for _, step := range []float64{-hour, hour, -18_000} {
		r := New(started)
		r.Heartbeat(started + 1000)
		now := started + 1900
		require.Equal(t, now, r.Start(now, 1, now-800+step))
	}
}

// Discovery was away, and tells at once what happened meanwhile: nothing of that is taken for a step.
func TestBackAfterAnOutage(t *testing.T) {
	r := New(started)
	r.Heartbeat(started + 1000)
	now := started + 61_000
	require.Equal(t, now-50_000, r.Purge(now, now-50_000))
	require.Equal(t, now-45_000, r.Start(now, 1, now-45_000))
	require.Equal(t, now-2*hour, r.SnapshotStart(now, 2, now-2*hour), "a whole list has servers of any age")
	require.Zero(t, r.Start(now, 3, 0))
}

// A process starts with its own wall clock off. The purges that it is told are of the last seconds: the newest one shows by
// how much, and servers that were just started are cold.
func TestKnownAtTheStart(t *testing.T) {
	const span = 6000.0
	for _, off := range []float64{0, hour, -hour} {
		right := started
		now := right + off
		r := New(now)
		r.Calibrate(now, right-400, span)
		for _, made := range []float64{right - 5000, right - 400} {
			at := r.InitialPurge(now, made)
			require.GreaterOrEqual(t, at, made+off)
			require.LessOrEqual(t, at, now)
		}
		at := r.SnapshotStart(now, 1, right-2000)
		require.GreaterOrEqual(t, at, now-2000)
		require.LessOrEqual(t, at, now)
	}
}
