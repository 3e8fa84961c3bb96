package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/scenario"
)

// A process is stopped, a purge is written to its open connection to discovery, clients ask, and it is woken after the time to heed
// the purge is over. It read the clients' requests before what discovery had written as often as not, and sent them on content with
// copies from before the purge: whichever socket came first.
func TestPurgeWhileSuspended(t *testing.T) {
	const clients, wakes = 8, 6
	f := startFollower(t, build(t), 1, 1)
	var all []*scenario.Client
	for range clients {
		all = append(all, scenario.Dial(t, f.listen))
	}
	for n, c := range all {
		require.Equal(t, "ok", ask(t, c, n+1))
	}
	tag := clients
	for wake := range wakes {
		require.NoError(t, f.cmd.Process.Signal(syscall.SIGSTOP))
		f.board.Purge("", purgedGroup, float64(time.Now().UnixMilli()))
		purged := time.Now().UnixMilli()
		time.Sleep(purgeGrace + 200*time.Millisecond)
		first := tag + 1
		for _, c := range all {
			tag++
			require.NoError(t, c.Send([]string{"RPC.CALL", fmt.Sprint(tag), "asset",
				fmt.Sprintf("rid=%016x,budget=60000,obj=%016x,nth=0,batch=%d", tag, tag, purgedGroup)}))
		}
		require.NoError(t, f.cmd.Process.Signal(syscall.SIGCONT))
		for _, c := range all {
			_, err := c.Receive()
			require.NoError(t, err)
		}
		f.answers.mu.Lock()
		for n := first; n <= tag; n++ {
			id := fmt.Sprintf("%016x", n)
			fields, came := f.answers.asked[id], f.answers.came[id]
			require.True(t, strings.Contains(fields, ",newer="), "wake %d: %s is content with any copy", wake, fields)
			require.GreaterOrEqual(t, came.UnixMilli()-newerOf(t, fields), purged, "wake %d: a copy from before the purge would do: %s", wake, fields)
		}
		f.answers.mu.Unlock()
	}
}
