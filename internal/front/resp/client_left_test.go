package resp_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	frames "ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
)

// The front's reader is delayed, and then finds a request directly followed by the client's close, reset or cancel. No attempt may
// start for a client that has left, and no retry may start after an attempt that failed.
func TestNoAttemptForClientThatLeft(t *testing.T) {
	frame := frames.AppendFrame(nil, strings.Fields(assetCall)...)
	for name, leave := range map[string]func(nc *net.TCPConn) error{
		"closes": (*net.TCPConn).Close,
		"resets": func(nc *net.TCPConn) error { _ = nc.SetLinger(0); return nc.Close() },
		"cancels": func(nc *net.TCPConn) error {
			_, err := nc.Write(frames.AppendFrame(nil, "RPC.CANCEL", "1"))
			return err
		},
	} {
		t.Run("first attempt, "+name, func(t *testing.T) {
			p := scenario.NewProxy(t)
			f, gate := gatedFront(t, p, 10)
			for range 50 { // the order in which goroutines run varies
				nc, err := net.Dial("tcp", f.Addr())
				require.NoError(t, err)
				before := gate.bytesRead.Load()
				_, err = nc.Write(frames.AppendFrame(nil, "RPC.HEALTH", "9"))
				require.NoError(t, err)
				require.Eventually(t, func() bool { return gate.bytesBeforeRead.Load() > before && f.Idle() }, time.Minute, time.Millisecond)
				gate.mu.Lock()
				_, err = nc.Write(frame)
				require.NoError(t, err)
				require.NoError(t, leave(nc.(*net.TCPConn)))
				time.Sleep(time.Millisecond)
				gate.mu.Unlock()
				if name == "cancels" {
					require.Eventually(t, func() bool { return f.Idle() && gate.bytesBeforeRead.Load() >= before+int64(len(frame)) }, time.Minute, 100*time.Microsecond)
					require.NoError(t, nc.Close())
				}
				require.Eventually(t, func() bool { return f.OpenConns() == 0 && f.Idle() }, time.Minute, 100*time.Microsecond)
				require.Zero(t, p.Core.Counters.Attempts.Load(), "the client had left by the time its request was read")
			}
		})
		if name == "cancels" {
			continue
		}
		t.Run("retry, "+name, func(t *testing.T) {
			p := scenario.NewProxy(t)
			f, gate := gatedFront(t, p, 10)
			nc, err := net.Dial("tcp", f.Addr())
			require.NoError(t, err)
			_, err = nc.Write(frame)
			require.NoError(t, err)
			actors := map[string]scenario.Actor{"s": p.Cache}
			scenario.Run(t, p.Clock, actors, `
				s expect fetch 00000000000000a1 * -`)
			gate.mu.Lock()
			require.NoError(t, leave(nc.(*net.TCPConn)))
			time.Sleep(time.Millisecond)
			scenario.Run(t, p.Clock, actors, `
				s send 00000000000000a1 crashed`)
			require.Eventually(t, func() bool { return p.Core.Counters.InFlight.Load() == 0 || p.Core.Counters.Attempts.Load() > 1 }, 10*time.Second, time.Millisecond)
			gate.mu.Unlock()
			require.EqualValues(t, 1, p.Core.Counters.Attempts.Load())
		})
	}
}
