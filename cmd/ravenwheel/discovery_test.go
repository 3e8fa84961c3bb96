package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/scenario"
	"ravenwheel/internal/source/discoveryclient"
)

// How long after a fault events of discovery count as notified, and how long after that a purge has to be applied.
const (
	notifiedAfterSIGHUP  = 4 * time.Second
	notifiedAfterSilence = 4 * time.Second
	purgeGrace           = time.Second
)

// purgedGroup is the group of all objects that requestAsset requests.
const purgedGroup = 17

// syncedBuffer collects the output of a process, and can be read meanwhile.
type syncedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *syncedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// discoveryProxy is a process that follows discovery at one of several addresses, with a client and a cache server.
type discoveryProxy struct {
	t         *testing.T
	service   *fleet.DiscoveryService
	listeners []*fleet.DiscoveryListener
	cache     *recordingCache
	config    string
	listen    string
	cmd       *exec.Cmd
	logs      syncedBuffer
	client    *scenario.Client
	requests  int
}

// startDiscoveryProxy starts a process with a seed and further arguments. It follows discovery at the first of the given number of
// addresses.
func startDiscoveryProxy(t *testing.T, bin string, seed, listeners int, args ...string) *discoveryProxy {
	f := &discoveryProxy{t: t, cache: &recordingCache{}, service: fleet.NewDiscoveryService(clock.System(), []string{"z"}, []string{"small", "parent", "origin"}, nil)}
	for range listeners {
		d, err := f.service.Listen("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(d.Close)
		f.listeners = append(f.listeners, d)
	}
	cache, listen := scenario.Listen(t), freeAddr(t)
	go f.cache.serve(t, cache)
	f.listen = listen
	f.config = configFile(t, listen, f.listeners[0].Addr(), cache.Addr())
	f.editConfig(func(c map[string]any) { c["seed"] = fmt.Sprintf("%016x", seed) })
	f.cmd = exec.Command(bin, args...)
	f.cmd.Env = append(os.Environ(), "LB_CONFIG="+f.config)
	f.cmd.Stderr = &f.logs
	require.NoError(t, f.cmd.Start())
	t.Cleanup(func() { _ = f.cmd.Process.Kill(); _ = f.cmd.Wait() })
	require.Eventually(t, func() bool { up, err := requestOnceHealthy(listen); return up && err == nil }, time.Minute, 5*time.Millisecond)
	require.Eventually(t, func() bool { return f.listeners[0].Calls.Load() == 1 }, time.Minute, 5*time.Millisecond)
	f.client = scenario.Dial(t, listen)
	return f
}

// editConfig replaces the configuration's file.
func (f *discoveryProxy) editConfig(change func(map[string]any)) {
	raw, err := os.ReadFile(f.config)
	require.NoError(f.t, err)
	var c map[string]any
	require.NoError(f.t, json.Unmarshal(raw, &c))
	change(c)
	raw, err = json.Marshal(c)
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(f.config+".part", raw, 0o600))
	require.NoError(f.t, os.Rename(f.config+".part", f.config))
}

// moveDiscovery stops all events at one address of discovery, writes another address into the configuration, and sends SIGHUP.
func (f *discoveryProxy) moveDiscovery(from, to int) {
	f.listeners[from].SetStalled(true)
	f.editConfig(func(c map[string]any) { c["board"] = f.listeners[to].Addr() })
	require.NoError(f.t, f.cmd.Process.Signal(syscall.SIGHUP))
}

// requirePurgeWithin sends requests until one accepts no copy from before the purge, and fails if a request that is sent later than
// within after since still accepts one.
func (f *discoveryProxy) requirePurgeWithin(since time.Time, within time.Duration) {
	for {
		sent := time.Now()
		f.requests++
		require.Equal(f.t, "ok", requestAsset(f.t, f.client, f.requests))
		f.cache.mu.Lock()
		fields := f.cache.fields[fmt.Sprintf("%016x", f.requests)]
		f.cache.mu.Unlock()
		if strings.Contains(fields, ",newer=") {
			f.t.Logf("the purge is applied after %v", sent.Sub(since).Round(10*time.Millisecond))
			return
		}
		require.LessOrEqual(f.t, sent.Sub(since), within, "the purge is not applied in time:\n%s", f.logs.String())
		time.Sleep(10 * time.Millisecond)
	}
}

// Discovery moves three times within about 0.5 s. Its last address does not answer the first caller, or resets the first five. A
// connection to a previous address must not lengthen the timeout or the backoff of the next one: no copy from before a purge is
// served after the purge's grace.
func TestPurgeIsAppliedAfterThreeDiscoveryMoves(t *testing.T) {
	bin := buildProgram(t)
	for _, name := range []string{"silent", "broken off"} {
		for seed := range 5 {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				f := startDiscoveryProxy(t, bin, seed, 4)
				f.listeners[1].SetStalled(true)
				f.listeners[2].SetStalled(true)
				f.listeners[3].SetCallerFault(func(caller int64) fleet.CallerFault {
					return fleet.CallerFault{Unresponsive: name == "silent" && caller == 1, Disconnect: name == "broken off" && caller <= 5}
				})
				f.listeners[0].SetStalled(true)
				f.service.Purge("", purgedGroup, float64(time.Now().UnixMilli()))
				var last time.Time
				for to := 1; to <= 3; to++ {
					last = time.Now()
					f.moveDiscovery(to-1, to)
					time.Sleep(200 * time.Millisecond)
				}
				f.requirePurgeWithin(last, notifiedAfterSIGHUP+purgeGrace)
			})
		}
	}
}

// A purge arrives over a connection to discovery at one byte a second. The bytes of an incomplete event must not delay the moment
// at which the connection counts as silent and the proxy makes another call: the purge is applied in time.
func TestPurgeIsAppliedWhenDiscoverySendsSlowly(t *testing.T) {
	bin := buildProgram(t)
	for seed := range 3 {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := startDiscoveryProxy(t, bin, seed, 1)
			f.listeners[0].SetCallerFault(func(caller int64) fleet.CallerFault {
				if caller == 1 {
					return fleet.CallerFault{ByteInterval: 1000}
				}
				return fleet.CallerFault{}
			})
			since := time.Now()
			f.service.Purge("", purgedGroup, float64(time.Now().UnixMilli()))
			f.requirePurgeWithin(since, notifiedAfterSilence+purgeGrace)
		})
	}
}

// Discovery stops answering, and a purge is issued of which no proxy is notified. Once the purge counts as notified, no request
// accepts a copy from before it.
func TestSilentDiscoveryCountsAsNotified(t *testing.T) {
	bin := buildProgram(t)
	for seed := range 2 {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := startDiscoveryProxy(t, bin, seed, 1)
			time.Sleep(500 * time.Millisecond) // between two frames
			f.listeners[0].SetStalled(true)
			since := time.Now()
			purged := since.UnixMilli()
			f.requirePurgeWithin(since, notifiedAfterSilence+purgeGrace)
			f.cache.mu.Lock()
			defer f.cache.mu.Unlock()
			id := fmt.Sprintf("%016x", f.requests)
			require.Greater(t, f.cache.receivedAt[id].UnixMilli()-maxCopyAge(t, f.cache.fields[id]), purged, "the request accepts a copy from before the purge")
		})
	}
}

// The admin address shows how many calls to discovery had which outcome.
func TestAdminShowsDiscoveryCalls(t *testing.T) {
	dir := t.TempDir()
	sock, operator := "unix:"+filepath.Join(dir, "admin.sock"), filepath.Join(dir, "operator.jsonc")
	require.NoError(t, os.WriteFile(operator, fmt.Appendf(nil, `{"admin": {"listen": %q}}`, sock), 0o600))
	f := startDiscoveryProxy(t, buildProgram(t), 1, 2, "--operator", operator)
	f.moveDiscovery(0, 1)
	require.Eventually(t, func() bool {
		var s discoveryclient.Status
		err := admin.Call(sock, "/v1/discovery", nil, &s)
		return err == nil && s.Address == f.listeners[1].Addr() && s.AddressChanges == 1 && s.Calls >= 2 && s.Responded >= 2 && s.Closed >= 1 && s.Frames >= 2 && s.LastEvent == 1
	}, time.Minute, 10*time.Millisecond)
}
