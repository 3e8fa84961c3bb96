// Package crosscheck holds the lab's model against the real proxy on sockets: the same small site is played by the program's
// own front, core and connections against the stand-in fleet, in real time, and by the model, and relations that both
// show are compared. It takes under a minute and is no part of CI.
package crosscheck

import (
	"context"
	"fmt"
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
	"ravenwheel/internal/lab/sim"
	"ravenwheel/internal/upstream"
	"ravenwheel/policy"
)

// Relation is one figure that both show.
type Relation struct {
	Name         string
	Sockets, Lab float64
}

// Off is by how much the lab differs, as a share of the larger; of shares, in points.
func (r Relation) Off() float64 { return r.Lab - r.Sockets }

// The site: one branch of three caches, one parent, objects in four parts, all of it far from busy, so that stores, fills
// and health show and not links.
const (
	caches, objects, parts = 3, 300, 4
	perS, serveMs, fillMs  = 300.0, 2.0, 12.0
	targetMs, deadlineMs   = 100.0, 2000.0
)

const operator = `{
  "proxy": {"name": "v", "listen": "127.0.0.1:1", "zone": "east", "seed": 7}, "limits": {"sockets": 1024},
  "site": {"zones": ["hub", "east"], "proxies": {"east": 1}, "kinds": ["small", "parent", "origin"], "parent_kind": "parent",
           "origin_kind": "origin", "flow_kb_per_s": 100000, "siblings": "none"},
  "classes": [{"name": "replay", "target_ms": 100, "deadline_ms": 2000, "in_parts": true}], "servers": {"path": "none"}
}`

// window is a second on sockets.
type window struct{ answers, hits, origin int }

// play runs the site on sockets for some seconds; at has things happen on the way. It returns the seconds and the share of
// wants that were not served within their target.
func play(ctx context.Context, seconds float64, held int, at func(second int, f *fleet.Fleet, c *core.Core)) (out []window, slow float64, err error) {
	clk := clock.System()
	o, err := config.ParseOperatorFile("validate", []byte(operator))
	if err != nil {
		return nil, 0, err
	}
	conf, err := config.Read(os.Getenv, o)
	if err != nil {
		return nil, 0, err
	}
	f := fleet.New(fleet.Options{Clock: clk, TransferTime: serveMs, FillTime: fillMs, PurgeDelay: 6000, MaxCopies: held})
	defer f.Close()
	p := membership.Publish{Version: 1, Complete: true}
	add := func(id policy.CacheID, role fleet.Role, zone, kind int) error {
		s, err := f.Start(id, role, "127.0.0.1:0")
		if err != nil {
			return err
		}
		m := membership.Member{Addr: s.Addr()}
		m.ID, m.Zone, m.Kind, m.Weight = id, zone, kind, 100
		p.Members = append(p.Members, m)
		return nil
	}
	for id := range policy.CacheID(caches) {
		if err := add(id+1, fleet.Cache, 1, 0); err != nil {
			return nil, 0, err
		}
	}
	if err := add(10, fleet.Parent, 0, 1); err != nil {
		return nil, 0, err
	}
	if err := add(20, fleet.Origin, 0, 2); err != nil {
		return nil, 0, err
	}
	up := upstream.New(clk, upstream.Limits{RequestsPerConn: 32, ConnsPerServer: 8, ConnectTimeout: 400, IdleTimeout: 30_000})
	c, err := core.New(conf.Settings, conf.Classes, 0, 7, clk, up)
	if err != nil {
		return nil, 0, err
	}
	c.UpdateMembers(p)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, 0, err
	}
	front := resp.New(ln, 500, clk, c)
	go func() { _ = front.Serve() }()
	defer front.Close()
	client := load.New(load.Options{
		Addr: ln.Addr().String(), Clock: clk, Seed: 7, Conns: 8, Objects: objects, Retries: 3,
		Classes: []load.Class{{Name: "replay", Fraction: 1, DeadlineMs: deadlineMs, PartsPerObject: parts}},
	})
	defer client.Close()
	began := clk.Now()
	go func() {
		for s := range int(seconds) {
			if wait := began + float64(s)*1000 - clk.Now(); wait > 0 {
				time.Sleep(time.Duration(wait * 1e6))
			}
			at(s, f, c)
		}
	}()
	client.FollowSchedule(ctx, []load.Phase{{Seconds: seconds, From: perS, To: perS}})
	client.WaitIdle()
	out = make([]window, int(seconds)+1)
	for _, s := range f.Observations() {
		i := int((s.At - began) / 1000)
		if s.Probe || s.Answer != "served" || i < 0 || i >= len(out) {
			continue
		}
		out[i].answers++
		switch s.Why {
		case "local":
			out[i].hits++
		case "pulled_far":
			out[i].origin++
		}
	}
	sum := client.Results()["replay"]
	quick := int64(0)
	for _, b := range sum.Latency.Distribution() {
		if b.To <= targetMs*1000 {
			quick += b.Count
		}
	}
	return out, 1 - float64(quick)/float64(max(1, sum.Requested)), ctx.Err()
}

// spec is the same site in the lab.
func spec(seconds float64, held int) sim.Spec {
	s := sim.Default()
	s.Seconds = seconds
	f := &s.Fleet
	f.Branches, f.Caches, f.Proxies, f.Hubs, f.Parents = 1, caches, 1, 1, 1
	// Nothing of a transfer's time shows on these sockets but the stand-ins' own: sizes are next to nothing.
	f.Flow, f.CacheLink, f.ParentLink, f.BranchLink = 100_000, 1e6, 1e6, 1e6
	f.CacheRoom, f.ParentRoom = float64(held)*0.5, float64(held)*0.5
	f.Near, f.ToHub, f.Origin, f.OriginMs = serveMs/2, fillMs/2, 10_000, 0.001
	f.ColdFrom, f.BoardLag, f.PurgeLag = 1, 1e9, 0 // the stand-in list tells of nothing
	s.Traffic = sim.Traffic{PerS: perS, Objects: objects, Zipf: 1.1, Shift: 7, Classes: []sim.Class{
		{Name: "replay", Share: 1, KB: 0.001, Parts: parts, Target: targetMs, Deadline: deadlineMs, Worth: 1},
	}}
	return s
}

func lab(s sim.Spec) (*sim.Result, error) { return sim.Run(context.Background(), s, 1) }

// Run compares what both show, and says on the way what it does.
func Run(ctx context.Context, say func(string)) (out []Relation, err error) {
	nothing := func(int, *fleet.Fleet, *core.Core) {}
	for _, held := range []int{60, 150, 350} {
		say(fmt.Sprintf("stores of %d copies", held))
		real, _, err := play(ctx, 6, held, nothing)
		if err != nil {
			return out, err
		}
		model, err := lab(spec(6, held))
		if err != nil {
			return out, err
		}
		h, a := 0, 0
		for _, w := range real[2:6] {
			h, a = h+w.hits, a+w.answers
		}
		mh, ma := 0, 0
		for _, w := range model.Windows[2:6] {
			mh, ma = mh+w.Hits, ma+w.Served
		}
		out = append(out, Relation{fmt.Sprintf("share of hits, stores of %d of 1200 parts", held), share(h, a), share(mh, ma)})
	}

	say("a purge of everything")
	const at = 5
	real, _, err := play(ctx, 9, 4096, func(s int, f *fleet.Fleet, c *core.Core) {
		if s == at {
			for g := range fleet.Groups {
				when := f.Purge("", g)
				c.Purged(core.Purge{Group: g, At: when + 1})
			}
		}
	})
	if err != nil {
		return out, err
	}
	s := spec(9, 4096)
	s.Troubles = []sim.Trouble{{At: at, Kind: "purge", Size: 1}}
	model, err := lab(s)
	if err != nil {
		return out, err
	}
	out = append(out,
		Relation{"fills by the origin, of answers, in the second before a purge of all", share(real[at-1].origin, real[at-1].answers), share(model.Windows[at-1].Origin, model.Windows[at-1].Served)},
		Relation{"the same in the second after it", share(real[at].origin, real[at].answers), share(model.Windows[at].Origin, model.Windows[at].Served)})

	say("a cache that hangs")
	_, slow, err := play(ctx, 8, 4096, func(s int, f *fleet.Fleet, _ *core.Core) {
		if s == 2 || s == 6 {
			f.Server(1).SetFault(fleet.Fault{Unresponsive: s == 2})
		}
	})
	if err != nil {
		return out, err
	}
	s = spec(8, 4096)
	s.Troubles = []sim.Trouble{{At: 2, For: 4, Kind: "hang", Size: 0.3}}
	if model, err = lab(s); err != nil {
		return out, err
	}
	out = append(out, Relation{"wants not served within 100 ms, one cache of three hanging for 4 s of 8", slow, model.Slow})

	say("a branch that loses its copies")
	real, _, err = play(ctx, 10, 4096, func(s int, f *fleet.Fleet, _ *core.Core) {
		if s == at {
			for id := range policy.CacheID(caches) {
				f.Server(id + 1).DropCopies()
			}
		}
	})
	if err != nil {
		return out, err
	}
	s = spec(10, 4096)
	s.Troubles = []sim.Trouble{{At: at, Kind: "empty"}}
	if model, err = lab(s); err != nil {
		return out, err
	}
	for _, after := range []int{0, 2, 4} {
		out = append(out, Relation{fmt.Sprintf("share of hits in second %d after a branch lost its copies", after+1),
			share(real[at+after].hits, real[at+after].answers), share(model.Windows[at+after].Hits, model.Windows[at+after].Served)})
	}
	return out, nil
}

func share(a, b int) float64 { return float64(a) / float64(max(1, b)) }
