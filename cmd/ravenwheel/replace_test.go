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

// proxyProcess is one process of a proxy with a console, which other processes can replace.
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
	require.Eventually(t, func() bool { return strings.HasPrefix(r.callConsole("STATUS"), "SUCCESS") }, time.Minute, 5*time.Millisecond, "the process is not ready within a minute")
}

// sequentialClient sends one request after the other on a connection of its own. It retries a request that crosses the close of an
// idle connection once, as clients do. Any other request without an answer is lost, and ends the run with an error.
type sequentialClient struct {
	addr          string
	kills         *atomic.Int64 // processes killed so far: requests that a killed process had accepted are lost with it
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
			if nc != nil { // the proxy may have closed the connection meanwhile
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
			if err == nil && string(parts[1]) == "full" { // the request did not run, as when the proxy ends a connection that is never idle
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
				a.err = fmt.Errorf("request %d of client %d: %q, %v", i, n, parts, err)
				return
			}
			a.crossed++
		}
		if n%2 == 0 { // half of the clients pause, and the others are never idle for long
			time.Sleep(time.Duration(n) * time.Millisecond)
		}
	}
	if nc != nil {
		nc.Close()
	}
}

// A proxy's process is replaced under load, a few times in CI and a hundred times by make torture. In one of three rounds a first
// successor is killed before or after it is ready. No request is lost, except those that a killed process had accepted, manual
// drains are passed on, and the last process owns the address.
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
	owner := startProcess(t, bin, config, dir)
	owner.awaitReady(t)
	var clients []*sequentialClient
	var wait sync.WaitGroup
	var kills atomic.Int64
	for n := range 8 {
		a := &sequentialClient{addr: listen, kills: &kills}
		clients = append(clients, a)
		wait.Add(1)
		go func() { defer wait.Done(); a.run(n) }()
	}
	for round := range rounds {
		drained := fmt.Sprintf("s-%08x", uint64(scenario.ParentID))
		require.Equal(t, "SUCCESS", owner.callConsole("SUSPEND "+drained), owner.logs)
		successor := startProcess(t, bin, config, dir)
		switch round % 3 {
		case 1: // the successor is killed during its start, before or after it passes health checks
			time.Sleep(time.Duration(round*7%60) * time.Millisecond)
			kills.Add(1)
			require.NoError(t, successor.cmd.Process.Kill())
			_ = successor.cmd.Wait()
			owner.awaitReady(t)
			successor = startProcess(t, bin, config, dir)
		}
		successor.awaitReady(t)
		require.Equal(t, "SUCCESS", successor.callConsole("SUSPEND "+drained))
		require.NoError(t, owner.cmd.Process.Signal(syscall.SIGTERM))
		require.NoError(t, owner.cmd.Wait(), "%s", owner.logs)
		require.Equal(t, "SUCCESS", successor.callConsole("RESTORE "+drained), "the new process must know a server that was suspended before the replacement")
		require.Equal(t, "SUCCESS serving", successor.callConsole("STATUS"))
		owner = successor
	}
	for _, a := range clients {
		a.stop.Store(true)
	}
	wait.Wait()
	crossed, rejected, sent := 0, 0, 0
	for _, a := range clients {
		require.NoError(t, a.err)
		sent += a.sent
		crossed += a.crossed
		rejected += a.rejected
	}
	t.Logf("%d requests over %d replacements, %d crossed a close, %d were rejected", sent, rounds, crossed, rejected)
	require.NoError(t, owner.cmd.Process.Signal(syscall.SIGTERM))
	require.NoError(t, owner.cmd.Wait())
}
