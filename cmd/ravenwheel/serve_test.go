package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/scenario"
)

func build(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "ravenwheel")
	out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput()
	require.NoError(t, err, string(out))
	return bin
}

func freeAddr(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.72.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func configFile(t *testing.T, listen, board, cache string) string {
	member := func(id, kind, addr string) map[string]any {
		return map[string]any{"instanceId": id, "hostPort": addr, "zone": "z", "machineType": kind, "lifecycle": "up", "weight": 9}
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "board": board,
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

// TestProgram starts the program, speaks to it, tells it of a purge and ends it.
func TestProgram(t *testing.T) {
	bin, listen, cache := build(t), freeAddr(t), scenario.Listen(t)
	board, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer board.Close()
	cmd := exec.Command(bin)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+configFile(t, listen, board.Addr().String(), cache.Addr()))
	logs, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	nc, err := board.Accept()
	require.NoError(t, err)
	var last uint64
	require.NoError(t, binary.Read(nc, binary.BigEndian, &last))
	require.EqualValues(t, 1, last, "it asks for what comes after the events known")
	// Event 2: the cache has left, and in the same frame another, 2, has come at its address.
	addr := net.IP{127, 0, 0, 1}.To4()
	port := binary.BigEndian.AppendUint16(nil, uint16(portOf(t, cache.Addr())))
	record := func(id uint32, state byte) []byte {
		b := binary.BigEndian.AppendUint32(nil, id)
		b = append(append(append(b, addr...), port...), state, 0, 0, 0, 0)
		b = binary.BigEndian.AppendUint32(b, 9000)
		return binary.BigEndian.AppendUint64(b, 0)
	}
	payload := append(record(1, 2), record(2, 0)...)
	f := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	f = append(binary.BigEndian.AppendUint64(f, 2), 2)
	_, err = nc.Write(append(f, payload...))
	require.NoError(t, err)

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
		s expect fetch 00000000000000a1 lane=asset,* -`)
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM)) // what is open is answered first
	scenario.Run(t, clock.System(), map[string]scenario.Actor{"c": c, "s": cache}, `
		s send 00000000000000a1 served why=local,version=v1 BYTES
		c expect 2 ok - BYTES`)
	text, _ := io.ReadAll(bufio.NewReader(logs))
	require.NoError(t, cmd.Wait(), string(text))
}

func portOf(t *testing.T, addr string) (port int) {
	_, s, err := net.SplitHostPort(addr)
	require.NoError(t, err)
	_, err = fmt.Sscan(s, &port)
	require.NoError(t, err)
	return port
}

// TestBadStart: what can't be used ends the start with one plain line and exit 1.
func TestBadStart(t *testing.T) {
	bin, bad := build(t), filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(bad, []byte(`{"seed":"xyz"}`), 0o600))
	for _, path := range []string{"", "nosuchfile", bad} {
		cmd := exec.Command(bin, "serve")
		cmd.Env = append(os.Environ(), "LB_CONFIG="+path)
		out, err := cmd.CombinedOutput()
		require.Error(t, err)
		require.Equal(t, 1, cmd.ProcessState.ExitCode())
		require.Equal(t, 1, bytes.Count(out, []byte("\n")), string(out))
	}
	out, err := exec.Command(bin, "version").Output()
	require.NoError(t, err)
	require.Contains(t, string(out), "ravenwheel")
	require.Error(t, exec.Command(bin, "check", "--operator", bad).Run())
}
