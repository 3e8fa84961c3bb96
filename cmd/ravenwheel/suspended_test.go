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

// A process is suspended, a purge is written to its connection to discovery, clients send requests, and the process is resumed
// after the purge's grace. Whichever socket the process reads first, no request accepts a copy from before the purge.
func TestPurgeIsAppliedAfterSuspension(t *testing.T) {
	const clients, wakes = 8, 6
	f := startDiscoveryProxy(t, buildProgram(t), 1, 1)
	var conns []*scenario.Client
	for range clients {
		conns = append(conns, scenario.Dial(t, f.listen))
	}
	for n, c := range conns {
		require.Equal(t, "ok", requestAsset(t, c, n+1))
	}
	tag := clients
	for wake := range wakes {
		require.NoError(t, f.cmd.Process.Signal(syscall.SIGSTOP))
		purged := time.Now().UnixMilli()
		f.service.Purge("", purgedGroup, float64(purged))
		time.Sleep(purgeGrace + 200*time.Millisecond)
		first := tag + 1
		for _, c := range conns {
			tag++
			require.NoError(t, c.Send([]string{"RPC.CALL", fmt.Sprint(tag), "asset",
				fmt.Sprintf("rid=%016x,budget=60000,obj=%016x,nth=0,batch=%d", tag, tag, purgedGroup)}))
		}
		require.NoError(t, f.cmd.Process.Signal(syscall.SIGCONT))
		for _, c := range conns {
			_, err := c.Receive()
			require.NoError(t, err)
		}
		f.cache.mu.Lock()
		for n := first; n <= tag; n++ {
			id := fmt.Sprintf("%016x", n)
			fields, receivedAt := f.cache.fields[id], f.cache.receivedAt[id]
			require.True(t, strings.Contains(fields, ",newer="), "wake %d: the request accepts any copy: %s", wake, fields)
			require.GreaterOrEqual(t, receivedAt.UnixMilli()-maxCopyAge(t, fields), purged, "wake %d: the request accepts a copy from before the purge: %s", wake, fields)
		}
		f.cache.mu.Unlock()
	}
}
