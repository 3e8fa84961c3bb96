package signed_test

import (
	"net"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/scenario"
)

// Guards against silent connections that take all descriptors of the process: they make room, and open requests are answered.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	const maxConns, silent = 4, 12
	f := startFront(t, frontSetup{settings: scenario.Settings(), maxConns: maxConns})
	f.runPart(getWithLink + "{good}")
	waiting := f.receiveAttempt()

	base, err := url.Parse(f.signer.base)
	require.NoError(t, err)
	closed := make(chan struct{}, silent)
	for range silent {
		conn, err := net.Dial("tcp", base.Host)
		require.NoError(t, err)
		defer conn.Close()
		go func() {
			_, _ = conn.Read(make([]byte, 1))
			closed <- struct{}{}
		}()
	}
	for range silent - (maxConns - 1) {
		select {
		case <-closed:
		case <-time.After(time.Minute):
			require.Fail(t, "more connections are open than the limit allows")
		}
	}
	f.serve(waiting)
	f.run(getWithLink + "{good}" + expectRead + respondServed)
}
