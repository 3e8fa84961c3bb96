package load

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/scenario"
)

// A schedule has as many requests due as the area under its rate, in order and within its time.
func TestScheduleFollowsTheRate(t *testing.T) {
	phases, err := ParsePhases("10:50-150, 5:400")
	require.NoError(t, err)
	var due []float64
	ForEachDueTime(phases, func(ms float64) bool { due = append(due, ms); return true })
	require.InDelta(t, 10*100+5*400, len(due), 1)
	require.IsNonDecreasing(t, due)
	first := 0
	for _, ms := range due {
		if ms < 5000 {
			first++
		}
	}
	require.InDelta(t, 5*75, first, 1)
	for _, bad := range []string{"", "10", "x:5", "10:-5", "9999:1", "1:1e9"} {
		_, err := ParsePhases(bad)
		require.Error(t, err, bad)
	}
	n := 0
	ForEachDueTime(phases, func(float64) bool { n++; return n < 7 })
	require.Equal(t, 7, n)
}

// Misbehaving clients connect again after the proxy has ended their connection.
func TestMisbehavingClientsReconnect(t *testing.T) {
	addr := scenario.ServeConnsInTurn(t, func(net.Conn) {})
	crowd, err := ParseMisbehaving("idle=3,half=2,leave=1")
	require.NoError(t, err)
	b := StartMisbehaving(addr, crowd)
	require.Eventually(t, func() bool { return b.Ended.Load() > 10 }, time.Minute, time.Millisecond)
	b.Stop()
	for _, bad := range []string{"idle", "idle=x", "idle=99999", "rude=1"} {
		_, err := ParseMisbehaving(bad)
		require.Error(t, err, bad)
	}
}
