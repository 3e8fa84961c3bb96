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
	"log"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/config"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/distribution"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/state"
	"ravenwheel/internal/store"
	"ravenwheel/internal/strictjson"
	"ravenwheel/internal/transient"
	"ravenwheel/policy"
)

// ServerStatus is one server as the proxy sees it. Times are Unix ms.
type ServerStatus struct {
	ID           string  `json:"id"`
	Addr         string  `json:"addr"`
	Zone         string  `json:"zone"`
	Kind         string  `json:"kind"`
	Phase        string  `json:"phase"`
	Weight       float64 `json:"weight"`
	TargetWeight float64 `json:"wanted_weight"`
	SinceMs      float64 `json:"since_ms"`
	Reason       string  `json:"why"`
	Source       string  `json:"source,omitempty"`
}

// ServersResponse is what "servers show" shows.
type ServersResponse struct {
	Version uint64            `json:"version"`
	NowMs   float64           `json:"now_ms"`
	Servers []ServerStatus    `json:"servers"`
	List    *filewatch.Status `json:"list,omitempty"`
}

// Options set up the address.
type Options struct {
	Listen     string // unix:PATH or an address on loopback
	Clock      *clock.Clock
	Log        *logs.Log
	Names      discoveryclient.Names
	Core       *core.Core
	Servers    func() ([]membership.ServerStatus, uint64)
	ListStatus func() filewatch.Status // nil: no list is watched
	State      *state.Recorder         // nil: nothing is kept
	Store      *store.Store            // nil: none is set up
	Peers      *peers.Peers            // nil: this process is alone
	// Distribution tells how this process stands in the tree of distributors. nil: it is in none.
	Distribution func() []distribution.Status
	// Discovery tells how discovery is followed. nil: there is none.
	Discovery  func() discoveryclient.Status
	Operations Operations
	Controller Controller // nil: this proxy is not one to be emptied by hand
}

// Controller is the proxy as a whole in operators' hands.
type Controller interface {
	Status() (text string, ready bool)
	SetDraining(on bool) error
	SetServerDrained(id policy.CacheID, out bool) error
}

// Operations is what is done for all members of a store, or for this proxy where there is none. Each returns once it is kept.
type Operations interface {
	Purge(core.Purge) error
	Drain(id policy.CacheID, on bool) error
	PushList(file string, text []byte) (*serverlist.List, error)
}

// ErrNotMember is the answer to what only a member of the store can do, in a process that subscribes: nothing was done.
var ErrNotMember = errors.New("this process only hears what the store holds: tell a member of the store")

// Endpoint serves operators.
type Endpoint struct {
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
func Listen(o Options) (*Endpoint, error) {
	a := &Endpoint{opt: o}
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
	mux.HandleFunc("POST /v1/drain", a.drain)
	mux.HandleFunc("POST /v1/list", a.push)
	if o.Controller != nil {
		mux.HandleFunc("GET /v1/status", a.status)
		mux.HandleFunc("POST /v1/pause", a.pause)
	}
	if o.Peers != nil {
		mux.HandleFunc("GET /v1/peers", func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Get("members") == "no" { // hundreds that are asked for hundreds are a load of their own
				reply(w, o.Peers.Summary())
				return
			}
			reply(w, o.Peers.Status())
		})
		mux.HandleFunc("POST /v1/peers", a.peer)
		mux.HandleFunc("GET /v1/view", a.view)
	}
	if o.Discovery != nil {
		mux.HandleFunc("GET /v1/discovery", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.Discovery()) })
	}
	if o.Distribution != nil {
		mux.HandleFunc("GET /v1/distribution", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.Distribution()) })
	}
	if o.Store != nil {
		mux.HandleFunc("GET /v1/config", a.config)
		mux.HandleFunc("POST /v1/config", a.configure)
	}
	a.srv = &http.Server{
		Handler: mux, ErrorLog: log.New(o.Log.Writer("admin"), "", 0), ReadTimeout: callWait, WriteTimeout: callWait, IdleTimeout: callWait, MaxHeaderBytes: 8 << 10,
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
func (a *Endpoint) Addr() string {
	if network, _ := split(a.opt.Listen); network == "unix" {
		return a.opt.Listen
	}
	return a.ln.Addr().String()
}

// Serve answers until Close.
func (a *Endpoint) Serve() {
	if err := a.srv.Serve(transient.KeepAccepting(a.ln)); !errors.Is(err, http.ErrServerClosed) {
		a.opt.Log.Error("admin").Err(err).Msg("the operators' address is lost")
	}
}

// Close ends it.
func (a *Endpoint) Close() { _ = a.srv.Close() }

func (a *Endpoint) servers(w http.ResponseWriter, _ *http.Request) {
	views, version := a.opt.Servers()
	out := ServersResponse{Version: version, NowMs: a.opt.Clock.Now(), Servers: make([]ServerStatus, len(views))}
	name := func(list []string, i int) string {
		if i < 0 || i >= len(list) {
			return strconv.Itoa(i)
		}
		return list[i]
	}
	for i, v := range views {
		m := v.Member
		out.Servers[i] = ServerStatus{
			ID: serverlist.FormatID(m.ID), Addr: m.Addr, Zone: name(a.opt.Names.Zones, m.Zone), Kind: name(a.opt.Names.Kinds, m.Kind),
			Phase: v.Phase.String(), Weight: m.Weight, TargetWeight: v.TargetWeight, SinceMs: v.Since, Reason: v.Reason, Source: v.Source,
		}
	}
	if a.opt.ListStatus != nil {
		st := a.opt.ListStatus()
		out.List = &st
	}
	reply(w, out)
}

func (a *Endpoint) counters(w http.ResponseWriter, _ *http.Request) {
	n := &a.opt.Core.Counters
	reply(w, map[string]int64{
		"requests": n.Requests.Load(), "served": n.Served.Load(), "refused": n.Rejected.Load(), "failed": n.Failed.Load(),
		"gone": n.Abandoned.Load(), "attempts": n.Attempts.Load(), "timeouts": n.Timeouts.Load(), "stale": n.Skipped.Load(),
		"notices": n.Notifications.Load(), "open": n.InFlight.Load(), "unsent": n.NeverSent.Load(), "unanswered": n.UnansweredConns.Load(),
		"misnamed": n.WrongTags.Load(),
	})
}

func (a *Endpoint) state(w http.ResponseWriter, _ *http.Request) {
	if a.opt.State == nil {
		http.Error(w, "no state is kept", http.StatusNotFound)
		return
	}
	reply(w, a.opt.State.Status())
}

// PurgeRequest names an object or a group.
type PurgeRequest struct {
	Object string `json:"object,omitempty"`
	Group  *int   `json:"group,omitempty"`
}

func (a *Endpoint) purge(w http.ResponseWriter, r *http.Request) {
	var p PurgeRequest
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
	if err := a.opt.Operations.Purge(q); err != nil {
		notDone(w, "in force here, but not kept: ", err)
		return
	}
	a.opt.Log.Info("purge").Str("object", q.Object).Int("group", q.Group).Msg("purged by hand")
	reply(w, map[string]float64{"purged_ms": q.At})
}

// StatusResponse is whether the proxy takes work, and what it does.
type StatusResponse struct {
	Ready bool   `json:"ready"`
	Phase string `json:"phase"`
}

func (a *Endpoint) status(w http.ResponseWriter, _ *http.Request) {
	text, ready := a.opt.Controller.Status()
	reply(w, StatusResponse{Ready: ready, Phase: text})
}

// PauseRequest empties the proxy, or brings it back to work.
type PauseRequest struct {
	On bool `json:"on"`
}

func (a *Endpoint) pause(w http.ResponseWriter, r *http.Request) {
	var p PauseRequest
	err := json.NewDecoder(io.LimitReader(r.Body, mostSent)).Decode(&p)
	if err == nil {
		err = a.opt.Controller.SetDraining(p.On)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	a.opt.Log.Info("pause").Bool("on", p.On).Msg("emptied by hand, or back to work")
	a.status(w, r)
}

// DrainRequest names a server to be drained by hand, or given back.
type DrainRequest struct {
	ID string `json:"id"`
	On bool   `json:"on"`
}

func (a *Endpoint) drain(w http.ResponseWriter, r *http.Request) {
	var d DrainRequest
	id, ok := policy.CacheID(0), false
	if json.NewDecoder(io.LimitReader(r.Body, mostSent)).Decode(&d) == nil {
		id, ok = serverlist.ParseID(d.ID)
	}
	views, _ := a.opt.Servers()
	if ok = ok && (!d.On || slices.ContainsFunc(views, func(v membership.ServerStatus) bool { return v.Member.ID == id })); !ok {
		http.Error(w, fmt.Sprintf("no server %q", d.ID), http.StatusBadRequest)
		return
	}
	drain := a.opt.Operations.Drain
	if a.opt.Controller != nil {
		drain = a.opt.Controller.SetServerDrained // kept for a process that takes over, too
	}
	if err := drain(id, d.On); err != nil {
		notDone(w, "not kept: ", err)
		return
	}
	a.opt.Log.Info("drain").Str("id", d.ID).Bool("on", d.On).Msg("drained or given back by hand")
	reply(w, d)
}

// notDone tells what became of a call that failed: that it is to be made elsewhere, or what happened and why.
func notDone(w http.ResponseWriter, what string, err error) {
	if errors.Is(err, ErrNotMember) {
		http.Error(w, ErrNotMember.Error(), http.StatusConflict)
		return
	}
	http.Error(w, what+err.Error(), http.StatusInsufficientStorage)
}

// PushListRequest is a server list that is pushed to all members.
type PushListRequest struct {
	File string `json:"file"` // as its defects name it
	Text string `json:"text"`
}

func (a *Endpoint) push(w http.ResponseWriter, r *http.Request) {
	var l PushListRequest
	err := json.NewDecoder(io.LimitReader(r.Body, 2*strictjson.MaxBytes)).Decode(&l)
	var set *serverlist.List
	if err == nil {
		set, err = a.opt.Operations.PushList(l.File, []byte(l.Text))
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, map[string]any{"generation": set.Generation, "servers": len(set.Servers)})
}

// ConfigResponse is what "config get" and "config history" show: the revisions that are kept, oldest first.
type ConfigResponse struct {
	InForce   uint64                `json:"in_force"`
	Revisions []storestate.Revision `json:"revisions"`
	StaleMs   float64               `json:"stale_ms"` // how long this member has heard of no leader
}

func (a *Endpoint) config(w http.ResponseWriter, _ *http.Request) {
	out := ConfigResponse{StaleMs: a.opt.Store.Status().StaleMs}
	a.opt.Store.ReadLocal(func(s *storestate.State) {
		out.InForce, out.Revisions = s.Revision().Number, slices.Clone(s.Revisions)
	})
	reply(w, out)
}

// ConfigRequest puts a text in place of a revision, or goes back to one.
type ConfigRequest struct {
	Base       uint64 `json:"base"`
	Text       string `json:"text"`
	Author     string `json:"by"`
	RollbackTo uint64 `json:"back"` // the revision to go back to; 0: Text
}

func (a *Endpoint) configure(w http.ResponseWriter, r *http.Request) {
	var c ConfigRequest
	err := json.NewDecoder(io.LimitReader(r.Body, mostSent)).Decode(&c)
	var revision uint64
	switch {
	case err != nil:
	case c.RollbackTo > 0:
		revision, err = a.opt.Store.Rollback(c.RollbackTo, c.Author)
	default:
		if _, err = config.ParseLive("revision", c.Text); err == nil {
			revision, err = a.opt.Store.SetConfig(c.Base, c.Text, c.Author)
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	reply(w, map[string]uint64{"revision": revision})
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
	target, err := url.Parse("http://admin" + path) // with what is asked for behind a ?
	if err != nil {
		return err
	}
	var resp *http.Response
	if body == nil {
		resp, err = client.Get(target.String())
	} else {
		raw, _ := json.Marshal(body)
		resp, err = client.Post(target.String(), "application/json", bytes.NewReader(raw))
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
