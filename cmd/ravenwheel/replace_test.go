package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
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
	"ravenwheel/internal/resp"
	"ravenwheel/internal/scenario"
	"ravenwheel/policy"
)

// proxyProcess is one process of a proxy that is replaced again and again.
type proxyProcess struct {
	cmd     *exec.Cmd
	console string
	logs    *strings.Builder
}

func startProcess(t *testing.T, bin, config, dir string) *proxyProcess {
	r := &proxyProcess{cmd: exec.Command(bin), console: freeAddr(t), logs: &strings.Builder{}}
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+config, "LB_CONSOLE="+r.console, "TMPDIR="+dir)
	r.cmd.Stderr = r.logs
	require.NoError(t, r.cmd.Start())
	t.Cleanup(func() { _ = r.cmd.Process.Kill() })
	return r
}

func (r *proxyProcess) callConsole(line string) string {
	nc, err := net.Dial("tcp", r.console)
	if err != nil {
		return err.Error()
	}
	defer nc.Close()
	_, _ = nc.Write([]byte(line + "\n"))
	text, _ := io.ReadAll(nc)
	return strings.TrimSpace(string(text))
}

func (r *proxyProcess) awaitReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool { return strings.HasPrefix(r.callConsole("STATUS"), "SUCCESS") }, time.Minute, 5*time.Millisecond, "never ready")
}

// sequentialClient sends one request after the other on a connection of its own. A request that crosses the close of an idle connection is sent
// once more, as clients do; any other one without an answer is lost.
type sequentialClient struct {
	addr          string
	kills         *atomic.Int64 // of processes so far: what one had taken dies with it
	stop          atomic.Bool
	sent, crossed int
	rejected      int
	err           error
}

func (a *sequentialClient) run(n int) {
	var nc net.Conn
	var in resp.Buffer
	in.MaxFrameSize = resp.MaxResponseSize
	for i := 0; !a.stop.Load(); i++ {
		frame := resp.AppendFrame(nil, "RPC.CALL", strconv.Itoa(i+1), "asset", fmt.Sprintf("rid=%08x%08x,budget=50000,obj=%016x,nth=0,batch=17", n, i, i%50))
		a.sent++
		kills := a.kills.Load()
		for try := 0; ; try++ {
			if nc != nil { // the proxy has closed this one meanwhile
				_ = nc.SetReadDeadline(time.Now().Add(20 * time.Microsecond))
				if _, err := nc.Read(make([]byte, 1)); errors.Is(err, io.EOF) {
					nc.Close()
					nc = nil
				} else {
					_ = nc.SetReadDeadline(time.Time{})
				}
			}
			if nc == nil {
				var err error
				if nc, err = net.Dial("tcp", a.addr); err != nil {
					a.err = fmt.Errorf("rejected: %w", err)
					return
				}
				in = resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
			}
			_, err := nc.Write(frame)
			var parts [][]byte
			if err == nil {
				parts, _, err = in.Next(nc)
			}
			if err == nil && string(parts[1]) == "ok" {
				break
			}
			if err == nil && string(parts[1]) == "full" { // harmless: as when a connection that never rests has to end
				a.rejected++
				try--
				continue
			}
			nc.Close()
			nc = nil
			if k := a.kills.Load(); k != kills {
				kills, try = k, -1
				continue
			}
			if err == nil || try > 0 {
				a.err = fmt.Errorf("request %d of %d: %q, %v", i, n, parts, err)
				return
			}
			a.crossed++
		}
		if n%2 == 0 { // half of them are never at rest for long
			time.Sleep(time.Duration(n) * time.Millisecond)
		}
	}
	if nc != nil {
		nc.Close()
	}
}

// A proxy's process is replaced under load, a few times in CI and a hundred times by make torture: by successors that are killed before
// and after they are ready, with an owner that is killed, and in order. No request is lost, a drained server gets none, and one process
// owns the address in the end.
func TestReplacedUnderLoadLosesNothing(t *testing.T) {
	rounds := 6
	if n, err := strconv.Atoi(os.Getenv("TORTURE")); err == nil {
		rounds = n
	}
	bin, listen, dir := buildProgram(t), freeAddr(t), t.TempDir()
	servers := fleet.New(fleet.Options{Clock: clock.System(), TransferTime: 2, FillTime: 1})
	defer servers.Close()
	var addrs []string
	for i, id := range []policy.ServerID{scenario.CacheID, scenario.ParentID, scenario.OriginID} {
		s, err := servers.Start(id, fleet.Role(i), "127.0.0.1:0")
		require.NoError(t, err)
		addrs = append(addrs, s.Addr())
	}
	service := listenDiscovery(t)
	go func() {
		for {
			nc, err := service.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(io.Discard, bufio.NewReader(nc)) }()
		}
	}()
	config := configFile(t, listen, service.Addr().String(), addrs[0])
	text, err := os.ReadFile(config)
	require.NoError(t, err)
	for _, a := range addrs[1:] {
		text = bytes.Replace(text, []byte(`"127.0.0.1:1"`), []byte(strconv.Quote(a)), 1)
	}
	require.NoError(t, os.WriteFile(config, text, 0o600))
	now := startProcess(t, bin, config, dir)
	now.awaitReady(t)
	var followers []*sequentialClient
	var wait sync.WaitGroup
	var kills atomic.Int64
	for n := range 8 {
		a := &sequentialClient{addr: listen, kills: &kills}
		followers = append(followers, a)
		wait.Add(1)
		go func() { defer wait.Done(); a.run(n) }()
	}
	for round := range rounds {
		out := fmt.Sprintf("s-%08x", uint64(scenario.ParentID))
		require.Equal(t, "SUCCESS", now.callConsole("SUSPEND "+out), now.logs)
		next := startProcess(t, bin, config, dir)
		switch round % 3 {
		case 1: // it dies at some moment of its start, before or after its yes
			time.Sleep(time.Duration(round*7%60) * time.Millisecond)
			kills.Add(1)
			require.NoError(t, next.cmd.Process.Kill())
			_ = next.cmd.Wait()
			now.awaitReady(t)
			next = startProcess(t, bin, config, dir)
		}
		next.awaitReady(t)
		require.Equal(t, "SUCCESS", next.callConsole("SUSPEND "+out))
		require.NoError(t, now.cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, now.cmd.Wait(), "%s", now.logs)
		require.Equal(t, "SUCCESS", next.callConsole("RESTORE "+out), "out before the replacement: known to the new one")
		require.Equal(t, "SUCCESS serving", next.callConsole("STATUS"))
		now = next
	}
	for _, a := range followers {
		a.stop.Store(true)
	}
	wait.Wait()
	crossed, refused, asked := 0, 0, 0
	for _, a := range followers {
		require.NoError(t, a.err)
		asked += a.sent
		crossed += a.crossed
		refused += a.rejected
	}
	t.Logf("%d requests over %d replacements, %d crossed a close, %d were refused", asked, rounds, crossed, refused)
	require.NoError(t, now.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, now.cmd.Wait())
}
