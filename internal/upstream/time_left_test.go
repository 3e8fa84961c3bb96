package upstream_test

import (
	"context"
	"net"
	"os"
	"regexp"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

var timeLeftField = regexp.MustCompile(`,ttl=(\d+)`)

// timeLeft returns the time left in the fields of a frame, in ms.
func timeLeft(t *testing.T, fields string) float64 {
	m := timeLeftField.FindStringSubmatch(fields)
	require.NotNil(t, m, fields)
	ms, err := strconv.Atoi(m[1])
	require.NoError(t, err)
	return float64(ms)
}

// An attempt waits until its connection is established, dialled again or no longer blocked. The frame has the time left when its
// first byte is written, not the time left at the decision.
func TestTimeLeftIsTakenAtFirstByte(t *testing.T) {
	const budget, waited = 1000, 420
	reset := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNRESET)}
	for name, resets := range map[string]int{"established late": 0, "redialled": 2} {
		t.Run(name, func(t *testing.T) {
			clk, cache := clock.Manual(1e12), scenario.Listen(t)
			dials := make(chan int, 3)
			var dialled atomic.Int32
			mayContinue := make(chan struct{})
			pools := upstream.New(clk, upstream.Limits{AttemptsPerConn: 50, ConnsPerServer: 3, ConnectTimeout: 5000, Dial: func(network, addr string, wait time.Duration) (net.Conn, error) {
				n := int(dialled.Add(1))
				dials <- n
				<-mayContinue
				if n <= resets {
					return nil, reset
				}
				return net.DialTimeout(network, addr, wait)
			}})
			c, err := core.New(scenario.Settings(), []string{"replay", "asset", "seat-claim"}, 0, 7, clk, pools)
			require.NoError(t, err)
			list := []core.Member{{Addr: cache.Addr()}, {Addr: "127.0.0.1:1"}, {Addr: "127.0.0.1:1"}}
			for i, id := range []policy.ServerID{scenario.CacheID, scenario.ParentID, scenario.OriginID} {
				list[i].ID, list[i].Kind, list[i].Weight = id, i, 10
			}
			c.UpdateMembers(membership.Publish{Version: 1, Complete: true, Members: list})
			answer := make(chan core.Answer)
			go func() {
				answer <- c.Do(context.Background(), core.Request{ID: "00000000000000a1", Class: 1, Object: "7f3a9c21e0b4d655", Deadline: clk.Now() + budget})
			}()
			for range resets + 1 {
				<-dials
				clk.Advance(float64(waited) / float64(resets+1))
				mayContinue <- struct{}{}
			}
			parts, err := cache.Receive()
			require.NoError(t, err)
			require.LessOrEqual(t, timeLeft(t, parts[2]), float64(budget-waited))
			require.NoError(t, cache.Send([]string{parts[1], "served", "why=local,version=v1", "BYTES"}))
			require.Equal(t, core.Served, (<-answer).Verdict)
		})
	}
	t.Run("blocked", func(t *testing.T) {
		clk := clock.Manual(1e12)
		b := newBlockedConn(t, clk)
		b.send("waits", budget, 500, 10)
		clk.Advance(waited)
		nc := <-b.accepted
		buf := resp.Buffer{MaxFrameSize: 4 << 20}
		for {
			parts, _, err := buf.Next(nc)
			require.NoError(t, err)
			if string(parts[1]) == "waits" {
				require.LessOrEqual(t, timeLeft(t, string(parts[2])), float64(budget-waited))
				return
			}
		}
	})
}
