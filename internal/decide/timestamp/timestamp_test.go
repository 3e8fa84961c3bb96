package timestamp

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	hour    = 3_600_000.0
	started = 1_764_576_000_000.0
)

// A source is followed, with an event each second, and clocks step by seconds and by an hour, forward and back, this machine's or
// the source's. A purge that arrives now is never translated to a time before it was made, nor to the future; a server that was
// just started does not count as warm.
func TestTranslatesAcrossClockSteps(t *testing.T) {
	for _, step := range []float64{0, -hour, hour, -7000, 7000, -40_000} {
		now := started
		r := New(now)
		heartbeat := func() { now += 1000; r.Heartbeat(now) }
		for range 100 {
			heartbeat()
		}
		require.Equal(t, now-200, r.Purge(now, now-200), "exact while nothing steps")
		require.Equal(t, now-3000, r.Start(now, 1, now-3000))
		heartbeat()
		now += 300
		made := now - 250
		at := r.Purge(now, made+step)
		require.GreaterOrEqual(t, at, made)
		require.LessOrEqual(t, at, now)
		heartbeat()
		// The timestamp is of the stepped clock, and a purge has shown the step.
		made = now - 2500
		at = r.Start(now, 2, made+step)
		require.GreaterOrEqual(t, at, made)
		require.LessOrEqual(t, at, now)
		require.Equal(t, started+100_000-3000, r.Start(now, 1, started+100_000-3000), "a translation does not change")
		// The clocks are set right again.
		heartbeat()
		now += 100
		at = r.Purge(now, now-90)
		require.GreaterOrEqual(t, at, now-90)
		require.LessOrEqual(t, at, now)
	}
}

// No purge has shown the step when a server's start arrives: one that seems to be long ago, or in the future, counts as now.
func TestStartAfterUnknownStepCountsAsNow(t *testing.T) {
	for _, step := range []float64{-hour, hour, -18_000} {
		r := New(started)
		r.Heartbeat(started + 1000)
		now := started + 1900
		require.Equal(t, now, r.Start(now, 1, now-800+step))
	}
}

// The source was away, and sends at once what happened in the meantime: nothing of that counts as a step.
func TestEventsAfterOutageAreNotSteps(t *testing.T) {
	r := New(started)
	r.Heartbeat(started + 1000)
	now := started + 61_000
	require.Equal(t, now-50_000, r.Purge(now, now-50_000))
	require.Equal(t, now-45_000, r.Start(now, 1, now-45_000))
	require.Equal(t, now-2*hour, r.SnapshotStart(now, 2, now-2*hour), "a complete list has servers of any age")
	require.Zero(t, r.Start(now, 3, 0))
}

// A process starts with a wrong wall clock. The initial purges are of the last seconds: the newest one shows by how much, and
// servers that were just started are warming up.
func TestCalibratesWithInitialPurges(t *testing.T) {
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
