// Package admin is the operators' own address: a unix socket or one on loopback, off unless it is set up. It shows
// what a running proxy uses and takes purges. It speaks JSON over HTTP and decides nothing.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/source/board"
	"ravenwheel/internal/source/watch"
	"ravenwheel/internal/state"
)

// Server is one server as the proxy sees it. Times are Unix ms.
type Server struct {
	ID     string  `json:"id"`
	Addr   string  `json:"addr"`
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Phase  string  `json:"phase"`
	Weight float64 `json:"weight"`
	Wanted float64 `json:"wanted_weight"`
	Since  float64 `json:"since_ms"`
	Why    string  `json:"why"`
	Source string  `json:"source,omitempty"`
}

// Servers is what "servers show" shows.
type Servers struct {
	Version uint64        `json:"version"`
	NowMs   float64       `json:"now_ms"`
	Servers []Server      `json:"servers"`
	List    *watch.Status `json:"list,omitempty"`
}

// Options set up the address.
type Options struct {
	Listen string // unix:PATH or an address on loopback
	Clock  *clock.Clock
	Log    *logs.Log
	Names  board.Names
	Core   *core.Core
	Views  func() ([]membership.View, uint64)
	List   func() watch.Status // nil: no list is watched
	State  *state.Keeper       // nil: nothing is kept
}

// Admin serves operators.
type Admin struct {
	opt Options
	srv *http.Server
	ln  net.Listener
}

// Bounds of a call.
const (
	callWait = 5 * time.Second
	mostSent = 1 << 20
)

// Listen opens the address.
func Listen(o Options) (*Admin, error) {
	a := &Admin{opt: o}
	network, addr := split(o.Listen)
	if network == "unix" {
		// What a process that was killed left behind; one that listens keeps it.
		if nc, err := net.DialTimeout(network, addr, time.Second); err == nil {
			nc.Close()
			return nil, fmt.Errorf("admin: %s is in use", addr)
		}
		_ = os.Remove(addr)
	}
	var err error
	if a.ln, err = net.Listen(network, addr); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	if network == "unix" {
		if err := os.Chmod(addr, 0o600); err != nil {
			a.ln.Close()
			return nil, fmt.Errorf("admin: %w", err)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", a.servers)
	mux.HandleFunc("GET /v1/counters", a.counters)
	mux.HandleFunc("POST /v1/purge", a.purge)
	mux.HandleFunc("GET /v1/state", a.state)
	a.srv = &http.Server{
		Handler: mux, ReadTimeout: callWait, WriteTimeout: callWait, IdleTimeout: callWait, MaxHeaderBytes: 8 << 10,
	}
	return a, nil
}

func split(listen string) (network, addr string) {
	if path, unix := strings.CutPrefix(listen, "unix:"); unix {
		return "unix", path
	}
	return "tcp", listen
}

// Addr is where it listens, as Options.Listen has it.
func (a *Admin) Addr() string {
	if network, _ := split(a.opt.Listen); network == "unix" {
		return a.opt.Listen
	}
	return a.ln.Addr().String()
}

// Serve answers until Close.
func (a *Admin) Serve() {
	if err := a.srv.Serve(a.ln); !errors.Is(err, http.ErrServerClosed) {
		a.opt.Log.Error("admin").Err(err).Msg("the operators' address is lost")
	}
}

// Close ends it.
func (a *Admin) Close() { _ = a.srv.Close() }

func (a *Admin) servers(w http.ResponseWriter, _ *http.Request) {
	views, version := a.opt.Views()
	out := Servers{Version: version, NowMs: a.opt.Clock.Now(), Servers: make([]Server, len(views))}
	name := func(list []string, i int) string {
		if i < 0 || i >= len(list) {
			return strconv.Itoa(i)
		}
		return list[i]
	}
	for i, v := range views {
		m := v.Member
		out.Servers[i] = Server{
			ID: serverlist.Name(m.ID), Addr: m.Addr, Zone: name(a.opt.Names.Zones, m.Zone), Kind: name(a.opt.Names.Kinds, m.Kind),
			Phase: v.Phase.String(), Weight: m.Weight, Wanted: v.Wanted, Since: v.Since, Why: v.Why, Source: v.Source,
		}
	}
	if a.opt.List != nil {
		st := a.opt.List()
		out.List = &st
	}
	reply(w, out)
}

func (a *Admin) counters(w http.ResponseWriter, _ *http.Request) {
	n := &a.opt.Core.Counters
	reply(w, map[string]int64{
		"requests": n.Requests.Load(), "served": n.Served.Load(), "refused": n.Refused.Load(), "failed": n.Failed.Load(),
		"gone": n.Gone.Load(), "attempts": n.Attempts.Load(), "timeouts": n.Timeouts.Load(), "stale": n.Stale.Load(),
		"notices": n.Notices.Load(), "open": n.Open.Load(),
	})
}

func (a *Admin) state(w http.ResponseWriter, _ *http.Request) {
	if a.opt.State == nil {
		http.Error(w, "no state is kept", http.StatusNotFound)
		return
	}
	reply(w, a.opt.State.Status())
}

// Purge names an object or a group.
type Purge struct {
	Object string `json:"object,omitempty"`
	Group  *int   `json:"group,omitempty"`
}

func (a *Admin) purge(w http.ResponseWriter, r *http.Request) {
	var p Purge
	err := json.NewDecoder(io.LimitReader(r.Body, mostSent)).Decode(&p)
	// A copy made within the millisecond of its purge counts as older, as on the notice board.
	q := core.Purge{Object: p.Object, Group: -1, At: a.opt.Clock.Now() + 1}
	if p.Group != nil {
		q.Group = *p.Group
	}
	if _, bad := strconv.ParseUint(p.Object, 16, 64); err != nil || (p.Group == nil) != (bad == nil && len(p.Object) == 16) || q.Group > 255 || p.Group != nil && (*p.Group < 0 || p.Object != "") {
		http.Error(w, "wants an object of 16 hexadecimal digits, or a group from 0 to 255", http.StatusBadRequest)
		return
	}
	a.opt.Core.Purged(q)
	if a.opt.State != nil {
		// In force before it is kept, kept before it is told: a crash in between leaves a purge that nobody was told of.
		if err := a.opt.State.Purged(recovery.Purge{Object: q.Object, Group: q.Group, Made: q.At, Told: q.At}); err != nil {
			http.Error(w, "in force, but not kept over a restart: "+err.Error(), http.StatusInsufficientStorage)
			return
		}
	}
	a.opt.Log.Info("purge").Str("object", q.Object).Int("group", q.Group).Msg("purged by hand")
	reply(w, map[string]float64{"purged_ms": q.At})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// Call asks the proxy at an address; body nil: a GET. The answer goes into out.
func Call(listen, path string, body, out any) error {
	network, addr := split(listen)
	client := http.Client{Timeout: 2 * callWait, Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{Timeout: callWait}).DialContext(ctx, network, addr)
		},
	}}
	target := (&url.URL{Scheme: "http", Host: "admin", Path: path}).String()
	var resp *http.Response
	var err error
	if body == nil {
		resp, err = client.Get(target)
	} else {
		raw, _ := json.Marshal(body)
		resp, err = client.Post(target, "application/json", bytes.NewReader(raw))
	}
	if err != nil {
		return fmt.Errorf("asking the proxy at %s: %w", listen, errors.Unwrap(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return fmt.Errorf("the proxy at %s says: %s", listen, strings.TrimSpace(string(text)))
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
