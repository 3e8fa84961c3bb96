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

// What discovery holds counts as notified so long after a fault, and a purge is to be heeded so long after that.
const (
	notifiedAfterSIGHUP = 4 * time.Second
	notifiedAfterStop   = 4 * time.Second
	purgeGrace          = time.Second
)

// purgedGroup is the group of all objects that ask asks for.
const purgedGroup = 17

// syncedBuffer takes what a process writes while a test reads it.
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

// follower is a whole process that follows discovery at one of several doors, and a client that asks it all the time.
type follower struct {
	t       *testing.T
	board   *fleet.DiscoveryService
	doors   []*fleet.DiscoveryListener
	answers *replies
	config  string
	listen  string
	cmd     *exec.Cmd
	logs    syncedBuffer
	client  *scenario.Client
	asked   int
}

// startFollower starts a process with a seed and further arguments, at the first of so many doors.
func startFollower(t *testing.T, bin string, seed, doors int, args ...string) *follower {
	f := &follower{t: t, answers: &replies{}, board: fleet.NewDiscoveryService(clock.System(), []string{"z"}, []string{"small", "parent", "origin"}, nil)}
	for range doors {
		d, err := f.board.Open("127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(d.Close)
		f.doors = append(f.doors, d)
	}
	cache, listen := scenario.Listen(t), freeAddr(t)
	go f.answers.serve(t, cache)
	f.listen = listen
	f.config = configFile(t, listen, f.doors[0].Addr(), cache.Addr())
	f.edit(func(c map[string]any) { c["seed"] = fmt.Sprintf("%016x", seed) })
	f.cmd = exec.Command(bin, args...)
	f.cmd.Env = append(os.Environ(), "LB_CONFIG="+f.config)
	f.cmd.Stderr = &f.logs
	require.NoError(t, f.cmd.Start())
	t.Cleanup(func() { _ = f.cmd.Process.Kill(); _ = f.cmd.Wait() })
	require.Eventually(t, func() bool { there, err := served(listen); return there && err == nil }, time.Minute, 5*time.Millisecond)
	require.Eventually(t, func() bool { return f.doors[0].Calls.Load() == 1 }, time.Minute, 5*time.Millisecond)
	f.client = scenario.Dial(t, listen)
	return f
}

// edit replaces the configuration's file.
func (f *follower) edit(change func(map[string]any)) {
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

// move names another door in the configuration, and says so to the process. The door before tells nothing more.
func (f *follower) move(from, to int) {
	f.doors[from].Stall(true)
	f.edit(func(c map[string]any) { c["board"] = f.doors[to].Addr() })
	require.NoError(f.t, f.cmd.Process.Signal(syscall.SIGHUP))
}

// heedsWithin has the client ask until a request wants no copy from before the purge, and holds that against the time by which
// every request has to.
func (f *follower) heedsWithin(since time.Time, within time.Duration) {
	for {
		sent := time.Now()
		f.asked++
		require.Equal(f.t, "ok", ask(f.t, f.client, f.asked))
		f.answers.mu.Lock()
		fields := f.answers.asked[fmt.Sprintf("%016x", f.asked)]
		f.answers.mu.Unlock()
		if strings.Contains(fields, ",newer=") {
			f.t.Logf("the purge is heeded after %v", sent.Sub(since).Round(10*time.Millisecond))
			return
		}
		require.LessOrEqual(f.t, sent.Sub(since), within, "the purge is not heeded in time:\n%s", f.logs.String())
		time.Sleep(10 * time.Millisecond)
	}
}

// Discovery was moved three times within half a second, and copies from before a purge were served later than its grace. The
// connection that was left by a move counted as one that had told nothing, so that the first word of the one after it was waited
// for twice as long, up to 6 s, and the pauses between calls began long; and the last address kept its first caller waiting, or
// broke it off. What settled it, of the program's own log: "discovery is called", "call":4, "why":"moved" at the last move, and
// then no line in the 5 s after which every request has to heed the purge.
func TestDiscoveryMovedInARow(t *testing.T) {
	bin := build(t)
	for _, name := range []string{"silent", "broken off"} {
		for seed := range 5 {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				t.Parallel()
				f := startFollower(t, bin, seed, 4)
				f.doors[1].Stall(true)
				f.doors[2].Stall(true)
				f.doors[3].SetCallerFault(func(caller int64) fleet.CallerFault {
					return fleet.CallerFault{Unresponsive: name == "silent" && caller == 1, Disconnect: name == "broken off" && caller <= 5}
				})
				f.doors[0].Stall(true)
				f.board.Purge("", purgedGroup, float64(time.Now().UnixMilli()))
				var last time.Time
				for to := 1; to <= 3; to++ {
					last = time.Now()
					f.move(to-1, to)
					time.Sleep(200 * time.Millisecond)
				}
				f.heedsWithin(last, notifiedAfterSIGHUP+purgeGrace)
			})
		}
	}
}

// A connection to discovery began to trickle, a byte a second, as a purge was told over it: 33 bytes, and none of them counts
// before the last. Each byte put off the moment at which the connection counted as silent, so that no other call was made, and
// the purge was not heard in the 7 s after which all counts as told. What settled it: one "discovery is called" in the log, the
// one of the start, and no end of it.
func TestTrickledPurge(t *testing.T) {
	bin := build(t)
	for seed := range 3 {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := startFollower(t, bin, seed, 1)
			f.doors[0].SetCallerFault(func(caller int64) fleet.CallerFault {
				if caller == 1 {
					return fleet.CallerFault{ByteInterval: 1000}
				}
				return fleet.CallerFault{}
			})
			since := time.Now()
			f.board.Purge("", purgedGroup, float64(time.Now().UnixMilli()))
			f.heedsWithin(since, notifiedAfterStop+purgeGrace)
		})
	}
}

// Discovery says nothing more, at any call, and a purge is made that nobody is told. Once it counts as notified, no request is
// content with a copy from before it.
func TestDiscoverySilentForGood(t *testing.T) {
	bin := build(t)
	for seed := range 2 {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			f := startFollower(t, bin, seed, 1)
			time.Sleep(500 * time.Millisecond) // between two frames
			f.doors[0].Stall(true)
			since := time.Now()
			purged := since.UnixMilli()
			f.heedsWithin(since, notifiedAfterStop+purgeGrace)
			f.answers.mu.Lock()
			defer f.answers.mu.Unlock()
			id := fmt.Sprintf("%016x", f.asked)
			require.Greater(t, f.answers.came[id].UnixMilli()-newerOf(t, f.answers.asked[id]), purged, "a copy from before the purge would do")
		})
	}
}

// What became of the calls is counted, and shown at the operators' address.
func TestDiscoveryIsShown(t *testing.T) {
	dir := t.TempDir()
	sock, operator := "unix:"+filepath.Join(dir, "admin.sock"), filepath.Join(dir, "operator.jsonc")
	require.NoError(t, os.WriteFile(operator, fmt.Appendf(nil, `{"admin": {"listen": %q}}`, sock), 0o600))
	f := startFollower(t, build(t), 1, 2, "--operator", operator)
	f.move(0, 1)
	require.Eventually(t, func() bool {
		var s discoveryclient.Status
		err := admin.Call(sock, "/v1/discovery", nil, &s)
		return err == nil && s.Address == f.doors[1].Addr() && s.AddressChanges == 1 && s.Calls >= 2 && s.Responded >= 2 && s.Closed >= 1 && s.Frames >= 2 && s.LastEvent == 1
	}, time.Minute, 10*time.Millisecond)
}
