package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/scenario"
)

// unusedAddr returns an address at which no process listens.
func unusedAddr(t *testing.T) string {
	ln := listenDiscovery(t)
	defer ln.Close()
	return ln.Addr().String()
}

// isListening reports whether the kernel has a listener at an IPv4 address. A connection that is opened while a listen call is
// under way may be reset by the kernel before the process can accept it.
func isListening(listen string) (bool, error) {
	addr := netip.MustParseAddrPort(listen)
	ip := addr.Addr().As4()
	const anyPeer, stateListen = "00000000:0000", "0A"
	entry := fmt.Sprintf(" %02X%02X%02X%02X:%04X %s %s ", ip[3], ip[2], ip[1], ip[0], addr.Port(), anyPeer, stateListen)
	table, err := os.ReadFile("/proc/net/tcp")
	return strings.Contains(string(table), entry), err
}

// requestOnceHealthy sends a health check to a process that listens, and then a request, which must be served. It returns whether
// the process accepted the connection, and an error if the health check or the request failed.
func requestOnceHealthy(listen string) (up bool, err error) {
	if up, err := isListening(listen); !up {
		return false, err
	}
	nc, err := net.Dial("tcp", listen)
	if err != nil {
		return false, nil
	}
	defer nc.Close()
	read := func(want string) error {
		b := make([]byte, 256)
		n, err := nc.Read(b)
		if err != nil || !bytes.Contains(b[:n], []byte(want)) {
			return fmt.Errorf("wanted %s: %q, %v", want, b[:n], err)
		}
		return nil
	}
	_, _ = nc.Write([]byte("*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n"))
	if err := read("yes"); err != nil {
		return true, err
	}
	fields := "rid=00000000000000a1,budget=60000,obj=7f3a9c21e0b4d655,nth=0,batch=17"
	_, _ = fmt.Fprintf(nc, "*4\r\n$8\r\nRPC.CALL\r\n$1\r\n2\r\n$5\r\nasset\r\n$%d\r\n%s\r\n", len(fields), fields)
	return true, read("BYTES")
}

// Discovery is down while all processes of a fleet are started at once, killed and restarted: each serves with the servers in its
// configuration, and fails health checks until it can serve.
func TestServesWhileDiscoveryIsDown(t *testing.T) {
	const processes = 12
	bin, cache := buildProgram(t), scenario.Listen(t)
	go func() {
		for t.Context().Err() == nil {
			if words, err := cache.Receive(); err == nil && len(words) > 1 && words[0] == "fetch" {
				_ = cache.Send([]string{words[1], "served", "why=local,version=v1", "BYTES"})
			}
		}
	}()
	discoveryAddr := unusedAddr(t)
	var wait sync.WaitGroup
	for range processes {
		listen := freeAddr(t)
		path := configFile(t, listen, discoveryAddr, cache.Addr())
		wait.Add(1)
		go func() {
			defer wait.Done()
			for run := range 2 {
				cmd := exec.Command(bin)
				cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
				logs := &syncedBuffer{}
				cmd.Stderr = logs
				if err := cmd.Start(); err != nil {
					t.Error(err)
					return
				}
				for until := time.Now().Add(time.Minute); ; time.Sleep(2 * time.Millisecond) {
					up, err := requestOnceHealthy(listen)
					if err != nil || time.Now().After(until) {
						t.Errorf("run %d: up %v, %v; log:\n%s", run, up, err, logs.String())
					}
					if up || t.Failed() {
						break
					}
				}
				_ = cmd.Process.Kill()
				_ = cmd.Wait()
			}
		}()
	}
	wait.Wait()
}

// Discovery is down while idle clients take all slots for client connections, and more connect: a request is served, the console
// answers, and discovery is followed once it listens again.
func TestRequestIsServedWhenIdleClientsFillSlots(t *testing.T) {
	const sockets = 96
	bin, cache := buildProgram(t), scenario.Listen(t)
	listen, discoveryAddr := freeAddr(t), unusedAddr(t)
	path := configFile(t, listen, discoveryAddr, cache.Addr())
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	text = bytes.ReplaceAll(text, []byte(`"sockets":1024`), fmt.Appendf(nil, `"sockets":%d`, sockets))
	require.NoError(t, os.WriteFile(path, text, 0o600))
	r := &proxyProcess{cmd: exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s", sockets, bin)), console: freeAddr(t), logs: &strings.Builder{}}
	r.cmd.Env = append(os.Environ(), "LB_CONFIG="+path, "LB_CONSOLE="+r.console, "TMPDIR="+t.TempDir())
	r.cmd.Stderr = r.logs
	require.NoError(t, r.cmd.Start())
	t.Cleanup(func() { _ = r.cmd.Process.Kill() })
	r.awaitReady(t)
	connectIdle := func(n int) {
		for range n {
			c := scenario.Dial(t, listen)
			_ = c.Send([]string{"RPC.HEALTH", "1"})
			_, _ = c.Receive() // an answer, or the close of the connection, as there are more clients than slots
		}
	}
	connectIdle(2 * sockets)
	for i := range 5 {
		scenario.Run(t, clock.System(), map[string]scenario.Actor{"c": scenario.Dial(t, listen), "s": cache}, fmt.Sprintf(`
			c send RPC.CALL 1 asset rid=00000000000000a%d,budget=60000,obj=7f3a9c21e0b4d655,nth=0,batch=17
			s expect fetch 00000000000000a%d lane=asset,* -
			s send $id served why=local,version=v1 BYTES
			c expect 1 ok - BYTES`, i, i))
		require.Equal(t, "SUCCESS serving", r.callConsole("STATUS"))
		connectIdle(10)
	}
	service, err := net.Listen("tcp", discoveryAddr)
	require.NoError(t, err)
	defer service.Close()
	nc, err := service.Accept()
	require.NoError(t, err)
	defer nc.Close()
	var last uint64
	require.NoError(t, binary.Read(nc, binary.BigEndian, &last))
	require.EqualValues(t, 1, last)
	require.NoError(t, r.cmd.Process.Signal(os.Interrupt))
	require.NoError(t, r.cmd.Wait(), r.logs.String())
}
