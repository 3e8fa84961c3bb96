package load

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/scenario"
)

// The number of due requests is the integral of the rate over time, their times do not decrease, and each phase has its share.
// Texts that are not a schedule are rejected.
func TestScheduleFollowsTheRate(t *testing.T) {
	phases, err := ParsePhases("10:50-150, 5:400")
	require.NoError(t, err)
	var due []float64
	ForEachDueTime(phases, func(ms float64) bool { due = append(due, ms); return true })
	require.InDelta(t, 10*100+5*400, len(due), 1)
	require.IsNonDecreasing(t, due)
	inFirstPhase := 0
	for _, ms := range due {
		if ms < 5000 {
			inFirstPhase++
		}
	}
	require.InDelta(t, 5*75, inFirstPhase, 1)
	for _, invalid := range []string{"", "10", "x:5", "10:-5", "9999:1", "1:1e9"} {
		_, err := ParsePhases(invalid)
		require.Error(t, err, invalid)
	}
	calls := 0
	ForEachDueTime(phases, func(float64) bool { calls++; return calls < 7 })
	require.Equal(t, 7, calls)
}

// Misbehaving clients connect again after the proxy has closed their connection.
func TestMisbehavingClientsReconnect(t *testing.T) {
	addr := scenario.ServeConnsInTurn(t, func(net.Conn) {})
	counts, err := ParseMisbehaving("idle=3,half=2,leave=1")
	require.NoError(t, err)
	clients := StartMisbehaving(addr, counts)
	require.Eventually(t, func() bool { return clients.Ended.Load() > 10 }, time.Minute, time.Millisecond)
	clients.Stop()
	for _, invalid := range []string{"idle", "idle=x", "idle=99999", "rude=1"} {
		_, err := ParseMisbehaving(invalid)
		require.Error(t, err, invalid)
	}
}
