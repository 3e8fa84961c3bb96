package main

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/scenario"
)

// recordingCache answers requests as a cache server and records them. While it is overloaded, it rejects all.
type recordingCache struct {
	overloaded atomic.Bool
	mu         sync.Mutex
	fields     map[string]string // request fields by request id
	receivedAt map[string]time.Time
}

func (r *recordingCache) serve(t *testing.T, cache *scenario.Server) {
	r.fields, r.receivedAt = map[string]string{}, map[string]time.Time{}
	for t.Context().Err() == nil {
		words, err := cache.Receive()
		if err != nil || len(words) < 3 || words[0] != "fetch" {
			continue
		}
		r.mu.Lock()
		r.fields[words[1]], r.receivedAt[words[1]] = words[2], time.Now()
		r.mu.Unlock()
		if r.overloaded.Load() {
			_ = cache.Send([]string{words[1], "overload", "why=turned_away", ""})
		} else {
			_ = cache.Send([]string{words[1], "served", "why=local,version=v1", "BYTES"})
		}
	}
}

var newerField = regexp.MustCompile(`,newer=(\d+)`)

// maxCopyAge returns the age, in ms, of the oldest copy that a request accepts.
func maxCopyAge(t *testing.T, fields string) int64 {
	age := newerField.FindStringSubmatch(fields)
	require.NotNil(t, age, "no purge is applied to the request: %s", fields)
	ms, err := strconv.ParseInt(age[1], 10, 64)
	require.NoError(t, err)
	return ms
}

// requestAsset sends the n-th request of a client and returns the status of its answer.
func requestAsset(t *testing.T, c *scenario.Client, n int) string {
	require.NoError(t, c.Send([]string{"RPC.CALL", strconv.Itoa(n), "asset",
		fmt.Sprintf("rid=%016x,budget=60000,obj=%016x,nth=0,batch=17", n, n)}))
	words, err := c.Receive()
	require.NoError(t, err)
	require.GreaterOrEqual(t, len(words), 2, words)
	return words[1]
}

// The machine's wall clock steps back and forward, by seconds and by an hour, just after a server was overloaded. Requests are
// served as before, and a purge that is notified after the step is applied: only copies younger than the purge are accepted.
func TestWallClockStepsChangeNothing(t *testing.T) {
	const after = 1500 * time.Millisecond
	bin := buildOverlaid(t)
	for _, stepS := range []int{-3600, 3600, -7, 7} {
		t.Run(fmt.Sprintf("%d s", stepS), func(t *testing.T) {
			t.Parallel()
			cache, listen := scenario.Listen(t), freeAddr(t)
			// The service's first event is the one that the configuration holds, and it sends a heartbeat each second.
			service := fleet.NewDiscoveryService(clock.System(), []string{"z"}, []string{"small", "parent", "origin"}, nil)
			listener, err := service.Listen("127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			answers := &recordingCache{}
			go answers.serve(t, cache)
			cmd := exec.Command(bin)
			cmd.Env = append(os.Environ(), "LB_CONFIG="+configFile(t, listen, listener.Addr(), cache.Addr()),
				fmt.Sprintf("%s=%d", clockStepEnv, stepS), fmt.Sprintf("%s=%d", clockStepAfterEnv, after.Milliseconds()))
			logs := &strings.Builder{}
			cmd.Stderr = logs
			require.NoError(t, cmd.Start())
			started := time.Now()
			defer func() { _ = cmd.Process.Kill() }()
			require.Eventually(t, func() bool { up, err := requestOnceHealthy(listen); return up && err == nil }, time.Minute, 5*time.Millisecond)
			c := scenario.Dial(t, listen)
			n := 0
			answers.overloaded.Store(true)
			for time.Since(started) < after+500*time.Millisecond {
				n++
				require.Contains(t, []string{"ok", "full"}, requestAsset(t, c, n))
				time.Sleep(10 * time.Millisecond)
			}
			answers.overloaded.Store(false)
			time.Sleep(300 * time.Millisecond) // longer than a server gets no requests after an overload
			rejected := 0
			for range 200 {
				n++
				if requestAsset(t, c, n) != "ok" {
					rejected++
				}
			}
			require.Zero(t, rejected, "rejected of 200 requests after the step")

			purged := time.Now().UnixMilli()
			service.Purge("", 17, float64(purged))
			time.Sleep(1100 * time.Millisecond) // the purge's grace
			n++
			require.Equal(t, "ok", requestAsset(t, c, n))
			id := fmt.Sprintf("%016x", n)
			answers.mu.Lock()
			fields, receivedAt := answers.fields[id], answers.receivedAt[id]
			answers.mu.Unlock()
			require.Greater(t, receivedAt.UnixMilli()-maxCopyAge(t, fields), purged, "the request accepts a copy from before the purge: %s", fields)
			require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
			require.NoError(t, cmd.Wait(), logs.String())
		})
	}
}
