package main

import (
	"bytes"
	"io"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/scenario"
)

// An owner is suspended while another process takes over its address, and stops owning it when it is resumed. SIGTERMs that follow
// change nothing: its open requests are answered, and it ends by itself.
func TestTerminatedAfterTakeoverAnswersAll(t *testing.T) {
	bin, listen, dir, cache := buildProgram(t), freeAddr(t), t.TempDir(), scenario.Listen(t)
	service := listenDiscovery(t)
	go func() {
		for {
			nc, err := service.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, nc) }()
		}
	}()
	config := configFile(t, listen, service.Addr().String(), cache.Addr())
	text, err := os.ReadFile(config)
	require.NoError(t, err)
	text = bytes.ReplaceAll(text, []byte(strconv.Quote("127.0.0.1:1")), []byte(strconv.Quote(cache.Addr())))
	require.NoError(t, os.WriteFile(config, text, 0o600))
	old := startProcess(t, bin, config, dir)
	old.awaitReady(t)
	c := scenario.Dial(t, listen)
	actors := map[string]scenario.Actor{"c": c, "s": cache}
	scenario.Run(t, clock.System(), actors, `
		c send RPC.CALL 1 asset rid=00000000000000a1,budget=60000,obj=7f3a9c21e0b4d655,nth=0,batch=17
		s expect fetch 00000000000000a1 lane=asset,* -`)
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGSTOP))
	next := startProcess(t, bin, config, dir)
	next.awaitReady(t)
	require.NoError(t, old.cmd.Process.Signal(syscall.SIGCONT))
	require.Eventually(t, func() bool { return old.callConsole("STATUS") == "FAILURE stopping" }, time.Minute, 5*time.Millisecond, "the resumed owner must stop owning the address")
	for range 3 {
		require.NoError(t, old.cmd.Process.Signal(syscall.SIGTERM))
		time.Sleep(50 * time.Millisecond)
	}
	scenario.Run(t, clock.System(), actors, `
		s send 00000000000000a1 served why=local,version=v1 BYTES
		c expect 1 ok - BYTES`)
	require.NoError(t, old.cmd.Wait(), "%s", old.logs)
	require.Equal(t, "SUCCESS serving", next.callConsole("STATUS"))
	require.NoError(t, next.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, next.cmd.Wait(), "%s", next.logs)
}

// A successor gets SIGTERM before it owns the address. It ends, and the owner continues to serve.
func TestTerminatedSuccessorLeavesOwner(t *testing.T) {
	bin, listen, dir, cache, service := buildProgram(t), freeAddr(t), t.TempDir(), scenario.Listen(t), listenDiscovery(t)
	config := configFile(t, listen, service.Addr().String(), cache.Addr())
	owner := startProcess(t, bin, config, dir)
	owner.awaitReady(t)
	require.NoError(t, owner.cmd.Process.Signal(syscall.SIGSTOP))
	next := startProcess(t, bin, config, dir)
	require.Eventually(t, func() bool { return next.callConsole("STATUS") == "FAILURE starting" }, time.Minute, time.Millisecond)
	time.Sleep(100 * time.Millisecond) // by then the successor has sent its request to the owner, which does not answer
	require.NoError(t, next.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, next.cmd.Wait(), "%s", next.logs)
	require.NotContains(t, next.logs.String(), "owns the address")
	require.NoError(t, owner.cmd.Process.Signal(syscall.SIGCONT))
	time.Sleep(600 * time.Millisecond) // the owner checks twice whether another process owns the address
	require.Equal(t, "SUCCESS serving", owner.callConsole("STATUS"), "%s", owner.logs)
	require.NoError(t, owner.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, owner.cmd.Wait(), "%s", owner.logs)
}

// An owner is suspended with a connection and its request in the listener's queue, and another process takes over the address with
// a listener of its own. When the owner is resumed, it answers the requests in its queue before it ends.
func TestSuspendedOwnerAnswersListenerQueue(t *testing.T) {
	bin, listen, dir, cache := buildProgram(t), freeAddr(t), t.TempDir(), scenario.Listen(t)
	answers := &recordingCache{}
	go answers.serve(t, cache)
	config := configFile(t, listen, listenDiscovery(t).Addr().String(), cache.Addr())
	owner := startProcess(t, bin, config, dir)
	owner.awaitReady(t)
	require.NoError(t, owner.cmd.Process.Signal(syscall.SIGSTOP))
	waits := scenario.Dial(t, listen)
	require.NoError(t, waits.Send([]string{"RPC.CALL", "1", "asset", "rid=00000000000000a1,budget=60000,obj=7f3a9c21e0b4d655,nth=0,batch=17"}))
	next := startProcess(t, bin, config, dir)
	next.awaitReady(t)
	require.NoError(t, owner.cmd.Process.Signal(syscall.SIGCONT))
	scenario.Run(t, clock.System(), map[string]scenario.Actor{"waits": waits}, `
		waits expect 1 ok - BYTES`)
	require.NoError(t, owner.cmd.Wait(), "%s", owner.logs)
	for n := range 20 { // all new connections reach the other process
		require.Equal(t, "ok", requestAsset(t, scenario.Dial(t, listen), n+1))
	}
	require.NoError(t, next.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, next.cmd.Wait(), "%s", next.logs)
}
