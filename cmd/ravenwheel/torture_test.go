package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/admin"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/load"
	"ravenwheel/policy"
)

// killCount is how often the process is killed: a few times in CI, a hundred times by "make torture".
func killCount() int {
	if n, err := strconv.Atoi(os.Getenv("TORTURE")); err == nil {
		return n
	}
	return 6
}

// killedProxy is the program, which is killed and restarted while clients send requests all the time.
type killedProxy struct {
	t              *testing.T
	rng            *rand.Rand
	clk            *clock.Clock
	fleet          *fleet.Fleet
	bin            string
	operatorPath   string
	listPath       string
	adminAddr      string
	listen         string
	cmd            *exec.Cmd
	logs           syncedBuffer
	generation     int
	notifications  []fleet.Notification
	startDurations []time.Duration // from the start of the process until it accepts a connection
	// listedIDs are the ids under which the caches are listed if not under their own: a draining cache is listed again under
	// another id.
	listedIDs map[policy.ServerID]policy.ServerID
}

// cacheCount is the number of cache servers. Each has an id of its own, and the list may give it others.
const cacheCount = 6

func (x *killedProxy) entry(cache policy.ServerID) string {
	e := entryText(cache, x.fleet.Server(cache).Addr(), `, "weight": 6`)
	if id := x.listedIDs[cache]; id != 0 {
		// The kind and zone in the entry stay those of the cache's own id.
		e = strings.Replace(e, fmt.Sprintf("s-%08x", uint64(cache)), fmt.Sprintf("s-%08x", uint64(id)), 1)
	}
	return e
}

func (x *killedProxy) currentList(caches []policy.ServerID) string {
	var lines []string
	for _, cache := range append(slices.Clone(caches), 10, 20) {
		lines = append(lines, x.entry(cache))
	}
	return listText(x.generation, lines)
}

func (x *killedProxy) start() {
	x.cmd = exec.Command(x.bin, "serve", "--operator", x.operatorPath)
	x.cmd.Stderr = &x.logs
	began := time.Now()
	defer func() { x.startDurations = append(x.startDurations, time.Since(began)) }()
	require.NoError(x.t, x.cmd.Start())
	for end := time.Now().Add(time.Minute); ; time.Sleep(2 * time.Millisecond) {
		var s admin.ServersResponse
		if admin.Call(x.adminAddr, "/v1/servers", nil, &s) == nil {
			nc, err := net.Dial("tcp", x.listen)
			if err == nil {
				nc.Close()
				return
			}
		}
		require.True(x.t, time.Now().Before(end), "the program is not ready within a minute: %s", x.logs.String())
	}
}

func (x *killedProxy) kill() {
	require.NoError(x.t, x.cmd.Process.Signal(syscall.SIGKILL))
	_ = x.cmd.Wait()
}

// replaceList renames a list into place, and reports whether the proxy uses it before the timeout.
func (x *killedProxy) replaceList(caches []policy.ServerID, timeout time.Duration) bool {
	x.generation++
	require.NoError(x.t, os.WriteFile(x.listPath+".new", []byte(x.currentList(caches)), 0o600))
	require.NoError(x.t, os.Rename(x.listPath+".new", x.listPath))
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		var s admin.ServersResponse
		if admin.Call(x.adminAddr, "/v1/servers", nil, &s) == nil && s.List.Generation == uint64(x.generation) {
			return true
		}
	}
	return false
}

// isReady reports whether a cache is ready under the id that it is listed by.
func (x *killedProxy) isReady(cache policy.ServerID) bool {
	id := cache
	if listedID := x.listedIDs[cache]; listedID != 0 {
		id = listedID
	}
	var s admin.ServersResponse
	return admin.Call(x.adminAddr, "/v1/servers", nil, &s) == nil && slices.ContainsFunc(s.Servers, func(v admin.ServerStatus) bool {
		return v.ID == serverlist.FormatID(id) && v.Phase == "ready"
	})
}

// The program is killed at random moments under traffic, while servers drain and objects are purged. A draining cache gets no new
// requests, whatever id it is listed by, nothing older than a purge is served, and no write runs twice.
func TestTortureKillsLoseNothing(t *testing.T) {
	seed := uint64(7)
	if s, err := strconv.ParseUint(os.Getenv("TORTURE_SEED"), 10, 64); err == nil {
		seed = s
	}
	const drain = 2500.0
	x := &killedProxy{t: t, rng: rand.New(rand.NewPCG(seed, 1)), clk: clock.System(), bin: buildProgram(t), listen: freeAddr(t), listedIDs: map[policy.ServerID]policy.ServerID{}}
	dir := t.TempDir()
	x.operatorPath, x.listPath, x.adminAddr = filepath.Join(dir, "o.jsonc"), filepath.Join(dir, "servers.jsonc"), "unix:"+filepath.Join(dir, "a.sock")
	text := strings.Replace(operatorText, "127.0.0.1:1", x.listen, 1)
	text = strings.Replace(text, `"servers": {`, fmt.Sprintf(`"admin": {"listen": %q}, "state": {"dir": "state"}, "servers": {`, x.adminAddr), 1)
	text = strings.Replace(text, `"drain_ms": 3000`, `"drain_ms": 2500`, 1)
	require.NoError(t, os.WriteFile(x.operatorPath, []byte(text), 0o600))
	x.fleet = fleet.New(fleet.Options{Clock: x.clk, TransferTime: 3, FillTime: 10, PurgeDelay: 6000})
	defer x.fleet.Close()
	var all []policy.ServerID
	for id := policy.ServerID(1); id <= cacheCount; id++ {
		all = append(all, id)
		_, err := x.fleet.Start(id, fleet.Cache, "127.0.0.1:0")
		require.NoError(t, err)
	}
	_, err := x.fleet.Start(10, fleet.Parent, "127.0.0.1:0")
	require.NoError(t, err)
	_, err = x.fleet.Start(20, fleet.Origin, "127.0.0.1:0")
	require.NoError(t, err)
	x.generation = 1
	require.NoError(t, os.WriteFile(x.listPath, []byte(x.currentList(all)), 0o600))
	x.start()
	defer func() { _ = x.cmd.Process.Kill() }()

	client := load.New(load.Options{
		Addr: x.listen, Clock: x.clk, Seed: seed, Conns: 4, Objects: 50, Retries: 2, Classes: []load.Class{
			{Name: "replay", Fraction: 5, DeadlineMs: 2000, PartsPerObject: 3}, {Name: "asset", Fraction: 4, DeadlineMs: 2000, PartsPerObject: 1},
			{Name: "seat-claim", Fraction: 2, DeadlineMs: 2000, Write: true, PartsPerObject: 1},
		},
	})
	defer client.Close()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		tick := time.NewTicker(4 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				client.Send()
			case <-stop:
				return
			}
		}
	}()

	for n := range killCount() {
		cache := all[x.rng.IntN(len(all))]
		others := slices.DeleteFunc(slices.Clone(all), func(b policy.ServerID) bool { return b == cache })
		timeout := time.Second
		switch n % 3 {
		case 0: // notified of a drain and killed; the cache is listed again while it drains
			// A cache that is listed under another id and waits for the drain of the previous id to end is not ready and can't
			// drain.
			if inUse := x.isReady(cache); x.replaceList(others, timeout) && inUse {
				// The cache must get no requests until the drain is over. The drain began at the latest now; the 800 ms allow for
				// an earlier begin.
				now := x.clk.Now()
				x.notifications = append(x.notifications, fleet.Notification{At: now, Draining: []policy.ServerID{cache}}, fleet.Notification{At: now + drain - 800, Ready: []policy.ServerID{cache}})
			}
			time.Sleep(time.Duration(x.rng.IntN(60)) * time.Millisecond)
			x.kill()
			x.listedIDs[cache] = policy.ServerID(100 + n)
			x.generation++
			require.NoError(t, os.WriteFile(x.listPath, []byte(x.currentList(all)), 0o600))
		case 1: // notified of a purge and killed at once
			group := x.rng.IntN(fleet.GroupCount)
			object := load.Object(uint64(x.rng.IntN(5)))
			x.fleet.Purge(object, group)
			at := x.clk.Now()
			if admin.Call(x.adminAddr, "/v1/purge", admin.PurgeRequest{Object: object}, &map[string]float64{}) == nil {
				x.notifications = append(x.notifications, fleet.Notification{At: at, Purge: true, Object: object})
			}
			time.Sleep(time.Duration(x.rng.IntN(20)) * time.Millisecond)
			x.kill()
		case 2: // killed at a random moment around a purge; the list is cut short or replaced by an older one
			go func() {
				_ = admin.Call(x.adminAddr, "/v1/purge", admin.PurgeRequest{Object: load.Object(40)}, &map[string]float64{})
			}()
			time.Sleep(time.Duration(x.rng.IntN(100)) * time.Millisecond)
			x.kill()
			complete := x.currentList(all)
			if x.rng.IntN(2) == 0 {
				require.NoError(t, os.WriteFile(x.listPath, []byte(complete[:len(complete)/2]), 0o600))
			} else {
				gen := x.generation
				x.generation = 1
				require.NoError(t, os.WriteFile(x.listPath, []byte(x.currentList(all[:1])), 0o600))
				x.generation = gen
			}
		}
		x.start()
		time.Sleep(time.Duration(100+x.rng.IntN(700)) * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	<-stopped
	client.WaitIdle()

	// Stricter than the protocol: an attempt must be written within 0.5 s of its decision or not at all.
	violations := fleet.Rules{Drain: 500, Purge: 1000, Slack: 100}.Violations(x.fleet.Observations(), x.notifications)
	require.Empty(t, append(violations, x.fleet.DuplicateWrites()...))
	for _, w := range client.Violations() { // a killed process loses the requests that it holds, and nothing else
		require.Contains(t, w, "lost: ", w)
	}
	results := client.Results()["asset"]
	require.Greater(t, results.Served, results.Requested/2, "%+v\n%s\n%v", client.Results(), x.logs.String(), client.Violations())
	out, err := exec.Command(x.bin, "state", "verify", filepath.Join(dir, "state")).CombinedOutput()
	require.NoError(t, err, string(out))
	slices.Sort(x.startDurations)
	t.Logf("ready after %v (median), %v (maximum); killed %d times, notified of %d changes; %d attempts observed, %d writes ran; %s",
		x.startDurations[len(x.startDurations)/2].Round(time.Millisecond), x.startDurations[len(x.startDurations)-1].Round(time.Millisecond), killCount(), len(x.notifications), len(x.fleet.Observations()), x.fleet.WritesRun(), out)
}
