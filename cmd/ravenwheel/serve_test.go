package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/scenario"
)

func buildProgram(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "ravenwheel")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	return bin
}

// usedAddrs are the addresses that freeAddr has returned.
var usedAddrs sync.Map

// freeAddr returns an address at which nothing listens, and never the same one twice. The IP address is derived from the test's
// process id, so that another run does not take the port between its close and its use.
func freeAddr(t *testing.T) string {
	for {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.72.%d.%d:0", os.Getpid()>>8&255, os.Getpid()&255))
		require.NoError(t, err)
		addr := ln.Addr().String()
		require.NoError(t, ln.Close())
		if _, known := usedAddrs.LoadOrStore(addr, true); !known {
			return addr
		}
	}
}

func configFile(t *testing.T, listen, service, cache string) string {
	member := func(id, kind, addr string) map[string]any {
		return map[string]any{"instanceId": id, "hostPort": addr, "zone": "z", "machineType": kind, "lifecycle": "up", "weight": 9}
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "board": service,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"rev": 1, "notices": []any{map[string]any{"rev": 1, "pool": map[string]any{
			"reset": true, "instances": []any{
				member("s-00000001", "small", cache), member("s-0000000b", "parent", "127.0.0.1:1"), member("s-00000014", "origin", "127.0.0.1:1"),
			}}}}},
		"settings": map[string]any{
			"NInstances": 1, "Zones": []string{"z"}, "Kinds": []string{"small", "parent", "origin"},
			"Bounds":     map[string]any{"ConnectTimeoutUs": 5e6, "ConnIdleUs": 3e7, "StreamsPerConn": 100, "MostTries": 4},
			"FamilyInfo": map[string]any{"SecondTierKind": 1, "RootKind": 2, "NoteLevel": "all"},
			"Grades":     []any{map[string]any{"Name": "asset", "Effect": "idempotent", "DeadlineUs": 6e7, "TargetUs": 6e7}},
		},
	})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, raw, 0o600))
	return path
}

// TestProgram starts the program, sends requests, moves discovery and ends the program. A second run forbids the system calls that
// one platform forbids.
func TestProgram(t *testing.T) {
	bin := buildProgram(t)
	t.Run("unconfined", func(t *testing.T) { runProgram(t, exec.Command(bin)) })
	t.Run("confined", func(t *testing.T) { runProgram(t, confined(t, bin)) })
}

func runProgram(t *testing.T, cmd *exec.Cmd) {
	listen, cache := freeAddr(t), scenario.Listen(t)
	service := listenDiscovery(t)
	path := configFile(t, listen, service.Addr().String(), cache.Addr())
	cmd.Env = append(cmd.Environ(), "LB_CONFIG="+path)
	logs, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	nc := acceptDiscoveryCall(t, service, 1) // the proxy asks for the events after the initial ones
	// Event 2: the cache has left, and in the same frame server 2 is added with the same address.
	_, err = nc.Write(changesEvent(2, memberRecord(1, 2, cache.Addr()), memberRecord(2, 0, cache.Addr())))
	require.NoError(t, err)
	require.NoError(t, nc.Close()) // the proxy dials again once it has applied event 2
	acceptDiscoveryCall(t, service, 2)
	var c *scenario.Client
	require.Eventually(t, func() bool {
		probe, err := net.Dial("tcp", listen)
		if err != nil {
			return false
		}
		probe.Close()
		return true
	}, time.Minute, 5*time.Millisecond)
	c = scenario.Dial(t, listen)
	scenario.Run(t, clock.System(), map[string]scenario.Actor{"c": c, "s": cache}, `
		c send RPC.HEALTH 1
		c expect 1 yes
		c send RPC.CALL 2 asset rid=00000000000000a1,budget=60000,obj=7f3a9c21e0b4d655,nth=0,batch=17
		s expect fetch 00000000000000a1 lane=asset,* -
		s send 00000000000000a1 served why=local,version=v1 BYTES
		c expect 2 ok - BYTES`)

	// SIGHUP with an invalid file changes nothing; with a new address, discovery is followed there.
	good, err := os.ReadFile(path)
	require.NoError(t, err)
	lines := bufio.NewScanner(logs)
	reload := func(text []byte) (line string) {
		require.NoError(t, os.WriteFile(path, text, 0o600))
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
		for lines.Scan() { // log lines of calls to discovery may come between
			if strings.Contains(lines.Text(), `"kind":"reload"`) {
				return lines.Text()
			}
			require.Contains(t, lines.Text(), `"kind":"discovery"`)
		}
		require.Fail(t, "the reload logs nothing")
		return ""
	}
	reload(good[:len(good)/2])
	// Nor does a file of another deployment change anything, as its indexes stand for other zones and kinds.
	stray := listenDiscovery(t)
	foreign := bytes.ReplaceAll(good, []byte(`["small","parent","origin"]`), []byte(`["parent","small","origin"]`))
	require.NotEqual(t, good, foreign)
	require.Contains(t, reload(bytes.ReplaceAll(foreign, []byte(service.Addr().String()), []byte(stray.Addr().String()))), "takes a restart")
	other, moved := scenario.Listen(t), listenDiscovery(t)
	reload(bytes.ReplaceAll(good, []byte(service.Addr().String()), []byte(moved.Addr().String())))
	nc = acceptDiscoveryCall(t, moved, 2) // the event numbers continue at the new address
	_, err = nc.Write(changesEvent(3, memberRecord(2, 2, cache.Addr()), memberRecord(3, 0, other.Addr())))
	require.NoError(t, err)
	require.NoError(t, nc.Close()) // the proxy dials again once it has applied event 3
	acceptDiscoveryCall(t, moved, 3)
	scenario.Run(t, clock.System(), map[string]scenario.Actor{"c": c, "s": other}, `
		c send RPC.CALL 3 asset rid=00000000000000a2,budget=60000,obj=7f3a9c21e0b4d655,nth=0,batch=17
		s expect fetch 00000000000000a2 lane=asset,* -`)
	idleConn, err := net.Dial("tcp", listen)
	require.NoError(t, err)
	defer idleConn.Close()
	_, err = idleConn.Write([]byte("*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n"))
	require.NoError(t, err)
	answer := make([]byte, 64)
	_, err = idleConn.Read(answer)
	require.NoError(t, err)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM)) // open requests are answered first
	// An idle connection is closed without a reset, and a request that its client sends at that moment neither resets it nor is
	// forwarded.
	_, err = idleConn.Read(answer)
	require.ErrorIs(t, err, io.EOF)
	_, err = idleConn.Write([]byte("*4\r\n$8\r\nRPC.CALL\r\n$1\r\n2\r\n$5\r\nasset\r\n$58\r\nrid=00000000000000a9,budget=60000,obj=7f3a9c21e0b4d655,nth=\r\n"))
	require.NoError(t, err)
	require.NoError(t, idleConn.(*net.TCPConn).CloseWrite())
	_, err = idleConn.Read(answer)
	require.ErrorIs(t, err, io.EOF)
	scenario.Run(t, clock.System(), map[string]scenario.Actor{"c": c, "s": other}, `
		s send 00000000000000a2 served why=local,version=v1 BYTES
		c expect 3 ok - BYTES`)
	text, _ := io.ReadAll(logs)
	require.NoError(t, cmd.Wait(), string(text))
}

// acceptDiscoveryCall returns the call to discovery that asks for the events after the number want. On a slow machine, calls that
// the proxy makes in addition to a silent one may come first; none asks for later events.
func acceptDiscoveryCall(t *testing.T, service net.Listener, want uint64) net.Conn {
	for {
		nc, err := service.Accept()
		require.NoError(t, err)
		var last uint64
		err = binary.Read(nc, binary.BigEndian, &last)
		require.LessOrEqual(t, last, want)
		if err == nil && last == want {
			return nc
		}
	}
}

func listenDiscovery(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// changesEvent returns an encoded event of changed members.
func changesEvent(rev uint64, records ...[]byte) []byte {
	payload := bytes.Join(records, nil)
	f := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(f, rev), 2), payload...)
}

func memberRecord(id uint32, state byte, addr string) []byte {
	a := netip.MustParseAddrPort(addr)
	b := append(binary.BigEndian.AppendUint32(nil, id), a.Addr().AsSlice()...)
	b = append(binary.BigEndian.AppendUint16(b, a.Port()), state, 0, 0, 0, 0)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint32(b, 9000), 0)
}

// An invalid configuration ends the start with one line and exit code 1.
func TestInvalidConfigurationEndsStart(t *testing.T) {
	bin, bad := buildProgram(t), filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"seed":"xyz"}`), 0o600))
	// For a complete file with an invalid setting, the error names the setting.
	whole, err := os.ReadFile(configFile(t, freeAddr(t), freeAddr(t), freeAddr(t)))
	require.NoError(t, err)
	zeroDeadline := filepath.Join(t.TempDir(), "endless.json")
	require.NoError(t, os.WriteFile(zeroDeadline, bytes.Replace(whole, []byte(`"DeadlineUs":60000000`), []byte(`"DeadlineUs":0`), 1), 0o600))
	for _, path := range []string{"", "nosuchfile", bad, zeroDeadline} {
		cmd := exec.Command(bin, "serve")
		cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
		out, err := cmd.CombinedOutput()
		require.Error(t, err)
		require.Equal(t, 1, cmd.ProcessState.ExitCode())
		require.Equal(t, 1, bytes.Count(out, []byte("\n")), string(out))
		if path == zeroDeadline {
			require.Contains(t, string(out), "settings.Grades[0].DeadlineUs: 0 is not above 0")
		}
	}
	// A directory without a journal is not reported as valid: it may be the wrong one.
	empty := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(empty, "notes.txt"), []byte("x"), 0o600))
	out, err := exec.Command(bin, "state", "verify", empty).CombinedOutput()
	require.Error(t, err)
	require.Equal(t, "ravenwheel: journal: empty directory: "+empty+" holds no segment and no snapshot\n", string(out))
	out, err = exec.Command(bin, "version").Output()
	require.NoError(t, err)
	require.Contains(t, string(out), "ravenwheel")
	require.Error(t, exec.Command(bin, "check", "--operator", bad).Run())
}
