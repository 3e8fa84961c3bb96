package crosscheck

import (
	"context"
	"net"
	"os"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/front/resp"
	"ravenwheel/internal/lab/fleet"
	"ravenwheel/internal/lab/load"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// The site: one zone with caches, one parent and the origin. Its load is far below its capacity, so that the figures depend on the
// contents of caches, on fills and on the servers' health, and not on the bandwidth of links. Times are in ms.
const (
	cacheCount       = 3
	objectCount      = 300
	partsPerObject   = 4
	rate             = 300.0 // requests per second
	transferTime     = 2.0
	fillTime         = 12.0
	purgeDelay       = 6000
	latencyObjective = 100.0
	deadline         = 2000.0
	className        = "replay"
)

// The servers' ids, and their zones and kinds as indices in operatorFile.
const (
	firstCache policy.ServerID = 1
	parentID   policy.ServerID = 10
	originID   policy.ServerID = 20

	zoneHub, zoneEast                 = 0, 1
	kindCache, kindParent, kindOrigin = 0, 1, 2

	serverWeight = 100
)

// operatorFile is the operator's file of the site's proxy.
const operatorFile = `{
  "proxy": {"name": "v", "listen": "127.0.0.1:1", "zone": "east", "seed": 7}, "limits": {"sockets": 1024},
  "site": {"zones": ["hub", "east"], "proxies": {"east": 1}, "kinds": ["small", "parent", "origin"], "parent_kind": "parent",
           "origin_kind": "origin", "flow_kb_per_s": 100000, "siblings": "none"},
  "classes": [{"name": "replay", "target_ms": 100, "deadline_ms": 2000, "in_parts": true}], "servers": {"path": "none"}
}`

// Settings of the proxy and of its client.
const (
	proxySeed     = 7
	clientSeed    = 7
	clientConns   = 8
	clientRetries = 3
	maxConns      = 500
)

// connectionLimits are the limits of the proxy's connections to servers.
var connectionLimits = upstream.Limits{AttemptsPerConn: 32, ConnsPerServer: 8, ConnectTimeout: 400, IdleTimeout: 30_000}

// socketRun is a run of the site on sockets.
type socketRun struct {
	seconds float64 // length of the run
	copies  int     // highest number of copies in each cache and parent
	// everySecond is called at the start of every second, and may change the servers. nil: no call.
	everySecond func(second int, servers *fleet.Fleet, c *core.Core)
}

// socketResult is the result of a socketRun.
type socketResult struct {
	seconds []secondCounts
	slow    float64 // fraction of the requests that were not served within the latency objective
}

// secondCounts counts the attempts that servers served in one second: all, those served from a copy, and those filled by the
// origin.
type secondCounts struct{ served, hits, originFills int }

// runOnSockets runs the site on sockets with the real proxy.
func runOnSockets(ctx context.Context, run socketRun) (socketResult, error) {
	clk := clock.System()
	servers := fleet.New(fleet.Options{
		Clock: clk, TransferTime: transferTime, FillTime: fillTime, PurgeDelay: purgeDelay, MaxCopies: run.copies,
	})
	defer servers.Close()
	members, err := startServers(servers)
	if err != nil {
		return socketResult{}, err
	}
	c, err := newCore(clk, members)
	if err != nil {
		return socketResult{}, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return socketResult{}, err
	}
	front := resp.New(ln, maxConns, clk, c)
	go func() { _ = front.Serve() }()
	defer front.Close()
	client := load.New(load.Options{
		Addr: ln.Addr().String(), Clock: clk, Seed: clientSeed, Conns: clientConns, Objects: objectCount, Retries: clientRetries,
		Classes: []load.Class{{Name: className, Fraction: 1, DeadlineMs: deadline, PartsPerObject: partsPerObject}},
	})
	defer client.Close()
	began := clk.Now()
	if run.everySecond != nil {
		go run.callEverySecond(clk, began, servers, c)
	}
	client.FollowSchedule(ctx, []load.Phase{{Seconds: run.seconds, FromRate: rate, ToRate: rate}})
	client.WaitIdle()
	result := socketResult{
		seconds: countBySecond(servers.Observations(), began, int(run.seconds)+1), slow: slowFraction(client.Results()[className]),
	}
	return result, ctx.Err()
}

// callEverySecond calls everySecond at the start of every second since began.
func (r socketRun) callEverySecond(clk *clock.Clock, began float64, servers *fleet.Fleet, c *core.Core) {
	for second := range int(r.seconds) {
		if wait := began + float64(second)*1000 - clk.Now(); wait > 0 {
			time.Sleep(time.Duration(wait * float64(time.Millisecond)))
		}
		r.everySecond(second, servers, c)
	}
}

// startServers starts the site's servers and returns them as members.
func startServers(servers *fleet.Fleet) (members []membership.Member, err error) {
	start := func(id policy.ServerID, role fleet.Role, zone, kind int) {
		if err != nil {
			return
		}
		var server *fleet.Server
		if server, err = servers.Start(id, role, "127.0.0.1:0"); err != nil {
			return
		}
		m := membership.Member{Addr: server.Addr()}
		m.ID, m.Zone, m.Kind, m.Weight = id, zone, kind, serverWeight
		members = append(members, m)
	}
	for i := range policy.ServerID(cacheCount) {
		start(firstCache+i, fleet.Cache, zoneEast, kindCache)
	}
	start(parentID, fleet.Parent, zoneHub, kindParent)
	start(originID, fleet.Origin, zoneHub, kindOrigin)
	return members, err
}

// newCore returns the proxy's core with the site's settings and the members.
func newCore(clk *clock.Clock, members []membership.Member) (*core.Core, error) {
	operator, err := config.ParseOperatorFile("validate", []byte(operatorFile))
	if err != nil {
		return nil, err
	}
	settings, err := config.Read(os.Getenv, operator)
	if err != nil {
		return nil, err
	}
	c, err := core.New(settings.Settings, settings.Classes, 0, proxySeed, clk, upstream.New(clk, connectionLimits))
	if err != nil {
		return nil, err
	}
	c.UpdateMembers(membership.Publish{Version: 1, Complete: true, Members: members})
	return c, nil
}

// countBySecond counts the served attempts in each second since began.
func countBySecond(observations []fleet.Observation, began float64, seconds int) []secondCounts {
	counts := make([]secondCounts, seconds)
	for _, o := range observations {
		second := int((o.At - began) / 1000)
		if o.Probe || o.Status != "served" || second < 0 || second >= len(counts) {
			continue
		}
		counts[second].served++
		switch o.Reason {
		case "local":
			counts[second].hits++
		case "pulled_far":
			counts[second].originFills++
		}
	}
	return counts
}

// slowFraction returns the fraction of the requests that were not served within the latency objective.
func slowFraction(result load.ClassResult) float64 {
	withinObjective := int64(0)
	for _, bucket := range result.Latency.Distribution() {
		if bucket.To <= latencyObjective*1000 {
			withinObjective += bucket.Count
		}
	}
	return 1 - float64(withinObjective)/float64(max(1, result.Requested))
}
