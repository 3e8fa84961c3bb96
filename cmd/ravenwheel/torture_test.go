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

// killedProxy is the program, killed and restarted under clients that never stop.
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
	startDurations []time.Duration // from the start to a request that can be taken
	// listedIDs are the ids under which the boxes are listed: a box that drains is listed again under another one.
	listedIDs map[policy.ServerID]policy.ServerID
}

// cacheCount is the number of stand-ins. Each has an id of its own, and the list may give it others.
const cacheCount = 6

func (x *killedProxy) entry(cache policy.ServerID) string {
	e := entryText(cache, x.fleet.Server(cache).Addr(), `, "weight": 6`)
	if id := x.listedIDs[cache]; id != 0 {
		// The kind goes by the box, the id does not.
		e = strings.Replace(e, fmt.Sprintf("s-%08x", uint64(cache)), fmt.Sprintf("s-%08x", uint64(id)), 1)
	}
	return e
}

func (x *killedProxy) currentList(caches []policy.ServerID) string {
	var lines []string
	for _, b := range append(slices.Clone(caches), 10, 20) {
		lines = append(lines, x.entry(b))
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
		require.True(x.t, time.Now().Before(end), "the program does not come up: %s", x.logs.String())
	}
}

func (x *killedProxy) kill() {
	require.NoError(x.t, x.cmd.Process.Signal(syscall.SIGKILL))
	_ = x.cmd.Wait()
}

// replaceList renames a list into place, and returns whether the proxy was seen to use it.
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

// isReady reports whether a box is in use, under the id that it is listed by.
func (x *killedProxy) isReady(cache policy.ServerID) bool {
	id := cache
	if named := x.listedIDs[cache]; named != 0 {
		id = named
	}
	var s admin.ServersResponse
	return admin.Call(x.adminAddr, "/v1/servers", nil, &s) == nil && slices.ContainsFunc(s.Servers, func(v admin.ServerStatus) bool {
		return v.ID == serverlist.FormatID(id) && v.Phase == "ready"
	})
}

// The program is killed at random moments under traffic, with drains and purges going on. A draining box gets no new requests, whatever id
// it is listed by, nothing older than a purge is served, and no write runs twice.
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
		box := all[x.rng.IntN(len(all))]
		rest := slices.DeleteFunc(slices.Clone(all), func(b policy.ServerID) bool { return b == box })
		patience := time.Second
		switch n % 3 {
		case 0: // notified of a drain and killed, and the box is listed again while it drains
			// One that waits for a drain to end, under the id that it was given for that, is not in use and can't drain.
			if inUse := x.isReady(box); x.replaceList(rest, patience) && inUse {
				// Until the drain is over. Its end is counted from the latest that it can have begun.
				now := x.clk.Now()
				x.notifications = append(x.notifications, fleet.Notification{At: now, Drains: []policy.ServerID{box}}, fleet.Notification{At: now + drain - 800, Returns: []policy.ServerID{box}})
			}
			time.Sleep(time.Duration(x.rng.IntN(60)) * time.Millisecond)
			x.kill()
			x.listedIDs[box] = policy.ServerID(100 + n)
			x.generation++
			require.NoError(t, os.WriteFile(x.listPath, []byte(x.currentList(all)), 0o600))
		case 1: // notified of a purge, and killed at once
			group := x.rng.IntN(fleet.Groups)
			object := load.Object(uint64(x.rng.IntN(5)))
			x.fleet.Purge(object, group)
			at := x.clk.Now()
			if admin.Call(x.adminAddr, "/v1/purge", admin.PurgeRequest{Object: object}, &map[string]float64{}) == nil {
				x.notifications = append(x.notifications, fleet.Notification{At: at, Purge: true, Object: object})
			}
			time.Sleep(time.Duration(x.rng.IntN(20)) * time.Millisecond)
			x.kill()
		case 2: // killed in the middle of whatever goes on, with the list torn or an older one in its place
			go func() {
				_ = admin.Call(x.adminAddr, "/v1/purge", admin.PurgeRequest{Object: load.Object(40)}, &map[string]float64{})
			}()
			time.Sleep(time.Duration(x.rng.IntN(100)) * time.Millisecond)
			x.kill()
			good := x.currentList(all)
			if x.rng.IntN(2) == 0 {
				require.NoError(t, os.WriteFile(x.listPath, []byte(good[:len(good)/2]), 0o600))
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

	// Stricter than the protocol: an attempt is written within half a second of its decision or not at all.
	broken := fleet.Rules{Drain: 500, Purge: 1000, Slack: 100}.Violations(x.fleet.Observations(), x.notifications)
	require.Empty(t, append(broken, x.fleet.DuplicateWrites()...))
	for _, w := range client.Violations() { // a process that is killed loses what it holds, and nothing else
		require.Contains(t, w, "lost: ", w)
	}
	sum := client.Results()["asset"]
	require.Greater(t, sum.Served, sum.Requested/2, "%+v\n%s\n%v", client.Results(), x.logs.String(), client.Violations())
	out, err := exec.Command(x.bin, "state", "verify", filepath.Join(dir, "state")).CombinedOutput()
	require.NoError(t, err, string(out))
	slices.Sort(x.startDurations)
	t.Logf("up after %v (median) to %v (most); killed %d times: notified of %d changes; %d attempts seen, %d writes ran; %s",
		x.startDurations[len(x.startDurations)/2].Round(time.Millisecond), x.startDurations[len(x.startDurations)-1].Round(time.Millisecond), killCount(), len(x.notifications), len(x.fleet.Observations()), x.fleet.WritesRun(), out)
}
