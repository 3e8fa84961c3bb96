package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/load"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

const operatorText = `{
  "proxy": {"name": "t", "listen": "127.0.0.1:1", "zone": "east", "seed": 7},
  "limits": {"sockets": 1024, "tries": 8},
  "site": {
    "zones": ["hub", "east"], "proxies": {"east": 1}, "kinds": ["small", "parent", "origin"],
    "parent_kind": "parent", "origin_kind": "origin", "flow_kb_per_s": 6000
  },
  "classes": [
    {"name": "replay", "target_ms": 400, "deadline_ms": 5000, "worth": 2, "in_parts": true},
    {"name": "asset", "target_ms": 400, "deadline_ms": 2500},
    {"name": "seat-claim", "target_ms": 600, "deadline_ms": 3000, "worth": 3, "effect": "at_most_once", "uncached": true}
  ],
  "servers": {"path": "servers.jsonc", "quiet_ms": 30, "poll_ms": 500, "drain_ms": 3000, "most_dropped": 1, "weight_every_ms": 100}
}`

// inProcessProxy is a proxy within the test's process, with real sockets and files and a clock that the test advances.
type inProcessProxy struct {
	t       *testing.T
	clk     *clock.Clock
	path    string
	fleet   *fleet.Fleet
	client  *load.Client
	sources *serverSources
	core    *core.Core

	mu       sync.Mutex
	listUses []listUse // every list that was in use
}

// listUse is a list that was in use.
type listUse struct {
	at    float64 // from when
	ready map[policy.ServerID]bool
}

func entryText(id policy.ServerID, addr string, more string) string {
	kind, zone := "small", "east"
	switch {
	case id == 20:
		kind, zone = "origin", "hub"
	case id >= 10 && id < 20:
		kind, zone = "parent", "hub"
	}
	return fmt.Sprintf(`{"id": "%s", "addr": "%s", "zone": "%s", "kind": "%s"%s}`, serverlist.FormatID(id), addr, zone, kind, more)
}

func listText(generation int, entries []string) string {
	return fmt.Sprintf("{\"generation\": %d, \"servers\": [\n%s\n],\n\"end\": %[1]d}", generation, strings.Join(entries, ",\n"))
}

func newInProcessProxy(t *testing.T, first string) *inProcessProxy {
	r := &inProcessProxy{t: t, clk: clock.Manual(1_764_576_000_000)}
	dir := t.TempDir()
	r.path = filepath.Join(dir, "servers.jsonc")
	r.fleet = fleet.New(fleet.Options{Clock: r.clk, TransferTime: 5, FillTime: 20, PurgeDelay: 6000})
	t.Cleanup(r.fleet.Close)
	for id := range policy.ServerID(100) {
		role := fleet.Cache
		switch {
		case id == 20:
			role = fleet.Origin
		case id >= 10 && id < 20:
			role = fleet.Parent
		}
		if id >= 1 && id <= 8 || id == 10 || id == 11 || id == 20 || id >= 90 && id <= 93 {
			_, err := r.fleet.Start(id, role, "127.0.0.1:0")
			require.NoError(t, err)
		}
	}
	o, err := config.ParseOperatorFile(filepath.Join(dir, "operator.jsonc"), []byte(operatorText))
	require.NoError(t, err)
	conf, err := config.Read(os.Getenv, o)
	require.NoError(t, err)
	up := upstream.New(r.clk, upstream.Limits{AttemptsPerConn: 32, ConnsPerServer: 4, ConnectTimeout: 5000, IdleTimeout: 60_000})
	r.core, err = core.New(conf.Settings, conf.Classes, conf.MaxOpenRequests, conf.Seed, r.clk, up)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(r.path, []byte(r.fillAddrs(first)), 0o600))
	r.sources, err = startSources(environment{file: o, conf: conf, clock: r.clk}, r.core, sharedState{}, sourceOptions{})
	require.NoError(t, err)
	t.Cleanup(r.sources.close)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	front := resp.New(ln, 500, r.clk, r.core)
	go func() { _ = front.Serve() }()
	t.Cleanup(func() { _ = front.Close() })
	r.client = load.New(load.Options{
		Addr: ln.Addr().String(), Clock: r.clk, Seed: 7, Conns: 4, Objects: 60, Retries: 3, Classes: []load.Class{
			{Name: "replay", Fraction: 5, DeadlineMs: 5000, PartsPerObject: 4}, {Name: "asset", Fraction: 4, DeadlineMs: 2500, PartsPerObject: 1},
			{Name: "seat-claim", Fraction: 1, DeadlineMs: 3000, Write: true, PartsPerObject: 1},
		},
	})
	t.Cleanup(r.client.Close)
	return r
}

// fillAddrs replaces each "@ID" in a text by the address of the server with that id.
func (r *inProcessProxy) fillAddrs(text string) string {
	for _, id := range []policy.ServerID{90, 91, 92, 93, 10, 11, 20, 1, 2, 3, 4, 5, 6, 7, 8} {
		text = strings.ReplaceAll(text, fmt.Sprintf("\"@%d\"", id), `"`+r.fleet.Server(id).Addr()+`"`)
	}
	return text
}

// run advances the clock in small steps, with real time for the sockets in between.
func (r *inProcessProxy) run(ms float64) {
	for end := r.clk.Now() + ms; r.clk.Now() < end; {
		r.clk.Advance(10)
		time.Sleep(2 * time.Millisecond)
	}
}

// awaitGeneration advances the clock until no request is open and the list's generation is the awaited one.
func (r *inProcessProxy) awaitGeneration(generation uint64) {
	r.t.Helper()
	for end := time.Now().Add(time.Minute); r.client.Open() > 0 || r.sources.list.Status().Generation != generation; r.run(10) {
		require.True(r.t, time.Now().Before(end), "open %d, list %+v", r.client.Open(), r.sources.list.Status())
	}
}

// recordUse records which servers are ready in a list that was applied at the given time.
func (r *inProcessProxy) recordUse(at float64, ids []policy.ServerID) {
	u := listUse{at: at, ready: map[policy.ServerID]bool{}}
	for _, id := range ids {
		u.ready[id] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listUses = append(r.listUses, u)
}

// The grace of drains in ms, and the slack that is allowed beyond it: the test's clock jumps while a request is in the kernel, so
// that the request seems to arrive late.
const drainGrace, drainSlack = 2000, 3000

// check compares what the servers and the clients observed with the lists that were in use.
func (r *inProcessProxy) check() {
	r.t.Helper()
	var notifications []fleet.Notification
	for i, u := range r.listUses {
		notification := fleet.Notification{At: u.at}
		for id := policy.ServerID(1); id <= 20; id++ {
			if u.ready[id] {
				notification.Ready = append(notification.Ready, id)
			} else if i > 0 {
				notification.Draining = append(notification.Draining, id)
			}
		}
		notifications = append(notifications, notification)
	}
	require.Empty(r.t, fleet.Rules{Drain: drainGrace, Purge: 1000, Slack: drainSlack}.Violations(r.fleet.Observations(), notifications))
	for _, s := range r.fleet.Observations() {
		require.Less(r.t, s.Server, policy.ServerID(90), "a server that only invalid lists name got request %s", s.RequestID)
		consistent := slices.ContainsFunc(r.listUses, func(u listUse) bool {
			return u.at <= s.At && u.ready[s.Server] && (s.Source == s.Server || u.ready[s.Source])
		})
		require.True(r.t, consistent, "request %s went to server %d with source %d, which are not both in any list that was used", s.RequestID, s.Server, s.Source)
	}
	require.Empty(r.t, r.fleet.DuplicateWrites())
	require.Empty(r.t, r.client.Violations())
	require.Zero(r.t, invariant.Violations())
	for name, s := range r.client.Results() {
		require.Equal(r.t, s.Requested, s.Served, "%s: %+v", name, s)
	}
}

// Invalid, partial and valid lists are written in quick succession under load: in place, in steps, by rename, and after a removal.
// No request may be routed by a partial or invalid list, no write may be lost or run twice, and no draining server may get new
// requests.
func TestRapidListChangesApplyOnlyValidLists(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	caches := []policy.ServerID{1, 2, 3, 4, 5, 6, 7, 8}
	first := []policy.ServerID{1, 2, 3, 10, 11, 20}
	text := func(generation int, ids []policy.ServerID, drained ...policy.ServerID) string {
		var lines []string
		for _, id := range append(slices.Clone(ids), drained...) {
			more := fmt.Sprintf(`, "weight": %d`, 4+rng.IntN(8))
			if slices.Contains(drained, id) {
				more += `, "state": "draining"`
			}
			lines = append(lines, entryText(id, fmt.Sprintf("@%d", id), more))
		}
		return listText(generation, lines)
	}
	r := newInProcessProxy(t, text(1, first))
	r.recordUse(r.clk.Now(), first)
	generation := 1
	for turn := range 240 {
		for range 3 {
			r.client.Send()
		}
		perm := rng.Perm(len(caches))
		n := 1 + rng.IntN(4)
		ids := []policy.ServerID{20, 10}
		if rng.IntN(2) == 0 {
			ids = append(ids, 11)
		}
		for _, i := range perm[:n] {
			ids = append(ids, caches[i])
		}
		drained := caches[perm[n]]
		next := r.fillAddrs(text(generation+1, ids, drained))
		invalidList := r.fillAddrs(text(generation+1, []policy.ServerID{90, 91, 20, 10}))
		old, err := os.ReadFile(r.path)
		require.NoError(t, err)
		put := func(s string) { require.NoError(t, os.WriteFile(r.path, []byte(s), 0o600)) }
		switch turn % 8 {
		case 0: // cut short
			put(invalidList[:len(invalidList)*rng.IntN(100)/100])
		case 1: // two servers with the same address
			put(strings.Replace(invalidList, r.fleet.Server(91).Addr(), r.fleet.Server(90).Addr(), 1))
		case 2: // partly written: the beginning of a new list before the end of another one
			put(strings.Replace(invalidList, fmt.Sprintf(`"end": %d`, generation+1), fmt.Sprintf(`"end": %d`, generation), 1))
		case 3: // no cache, and an older generation
			put(strings.Replace(invalidList, fmt.Sprintf(`"generation": %d`, generation+1), `"generation": 0`, 1))
		case 4: // valid, written in place byte by byte, with a pause
			f, err := os.OpenFile(r.path, os.O_WRONLY|os.O_TRUNC, 0)
			require.NoError(t, err)
			for i := range len(next) {
				_, err := f.WriteString(next[i : i+1])
				require.NoError(t, err)
				if i == len(next)/2 {
					r.run(100)
				}
			}
			require.NoError(t, f.Close())
		case 5, 6: // valid, renamed into place
			require.NoError(t, os.WriteFile(r.path+".new", []byte(next), 0o600))
			require.NoError(t, os.Rename(r.path+".new", r.path))
		case 7: // the file is removed and written again
			require.NoError(t, os.Remove(r.path))
			r.run(50)
			put(string(old))
		}
		if turn%8 < 4 || turn%8 == 7 {
			r.run(float64(20 + rng.IntN(120)))
			continue
		}
		changedAt := r.clk.Now()
		r.awaitGeneration(uint64(generation + 1))
		generation++
		r.recordUse(changedAt, ids) // the list may have been in use since it was written
	}
	r.awaitGeneration(uint64(generation))
	r.check()
	require.Greater(t, len(r.listUses), 80)
	require.Greater(t, r.fleet.WritesRun(), 20)
}
