// Package admin serves the admin interface for operators: JSON over HTTP, on a unix socket or a loopback address. It is off
// unless it is configured. (Package console serves the platform's interface, lines over TCP.) The package owns the requests
// and answers of the interface, which show the state of a running proxy and carry operators' commands; Call is its client.
// It makes no decisions: Operations and Controller carry out the commands. Its requests and answers are tested here byte by
// byte, and the effects of commands in cmd/ravenwheel.
package admin

import (
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/distribution"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/memory"
	"ravenwheel/internal/peers"
	"ravenwheel/internal/source/discoveryclient"
	"ravenwheel/internal/source/filewatch"
	"ravenwheel/internal/state"
	"ravenwheel/internal/store"
	"ravenwheel/internal/transient"
	"ravenwheel/policy"
)

// Options configure an Endpoint. A call that needs a field that is nil is answered with status 404.
type Options struct {
	Listen     string // unix:PATH or a loopback address, host:port
	Clock      *clock.Clock
	Log        *logs.Log
	Names      discoveryclient.Names
	Core       *core.Core
	Servers    func() (servers []membership.ServerStatus, version uint64)
	ListStatus func() filewatch.Status // nil: no server list is watched
	State      *state.Recorder         // nil: the process stores no state
	Store      *store.Store            // nil: the process is not a member of a store
	Peers      *peers.Peers            // nil: the process has no peers
	// Distribution returns the state of this process in the distribution tree; nil: the process is not in a tree.
	Distribution func() []distribution.Status
	// Discovery returns the state of the discovery client; nil: discovery is off.
	Discovery  func() discoveryclient.Status
	Memory     *memory.Account // on which connections and requests draw; nil: not limited
	Operations Operations
	Controller Controller // nil: operators can't drain this proxy
}

// Controller carries out commands that apply to this proxy only.
type Controller interface {
	// Status returns the phase of the proxy as text, and whether it is ready for clients.
	Status() (text string, ready bool)
	// SetDraining starts or ends a drain of the whole proxy.
	SetDraining(on bool) error
	// SetServerDrained starts or ends a drain of one cache server.
	SetServerDrained(id policy.ServerID, on bool) error
}

// Operations carries out commands that apply to all members of a store, or to this proxy if it has no store. Each method
// returns once the change is stored, and fails with ErrNotMember in a process that only subscribes to a store.
type Operations interface {
	// Purge invalidates the copies of an object or of a group.
	Purge(core.Purge) error
	// Drain starts or ends a drain of one cache server.
	Drain(id policy.ServerID, on bool) error
	// PushList validates a server list and puts it in use. Errors name the list file.
	PushList(file string, text []byte) (*serverlist.List, error)
}

// ErrNotMember is the error of a command that only a member of the store can carry out, in a process that only subscribes to
// the store. The command had no effect.
var ErrNotMember = errors.New("this process only subscribes to the store: tell a member of the store")

// The limits of a request.
const (
	requestTimeout  = 5 * time.Second
	dialTimeout     = time.Second // for the check whether another process uses the socket
	maxRequestBytes = 1 << 20
	maxHeaderBytes  = 8 << 10
	// connBytes is the cost of a connection in bytes: its buffers, its head and its goroutine.
	connBytes = 48 << 10
)

// Endpoint is the server of the admin interface. Listen creates it, and Serve runs it.
type Endpoint struct {
	options  Options
	server   *http.Server
	listener net.Listener
}

// Listen creates an Endpoint that listens at o.Listen. It fails if another process listens there.
func Listen(o Options) (*Endpoint, error) {
	ln, err := listen(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	e := &Endpoint{options: o, listener: memory.Listener(ln, o.Memory, connBytes)}
	e.server = &http.Server{
		Handler: e.withinMemory(e.handler()), ErrorLog: log.New(o.Log.Writer("admin"), "", 0), ReadTimeout: requestTimeout,
		WriteTimeout: requestTimeout, IdleTimeout: requestTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return e, nil
}

// withinMemory answers requests with a body only where there is memory for the body.
func (e *Endpoint) withinMemory(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := r.ContentLength
		if size < 0 || size > maxRequestBytes {
			size = maxRequestBytes
		}
		held, ok := e.options.Memory.Reserve(memory.Services, size)
		if !ok {
			http.Error(w, "no memory for the request", http.StatusServiceUnavailable)
			return
		}
		defer held.Release()
		handler.ServeHTTP(w, r)
	})
}

func listen(address string) (net.Listener, error) {
	network, addr := splitNetwork(address)
	if network != "unix" {
		return net.Listen(network, addr)
	}
	// A process that was killed leaves its socket file behind, and the file is removed. A socket that accepts connections is in
	// use by another process, and is left alone.
	if conn, err := net.DialTimeout(network, addr, dialTimeout); err == nil {
		conn.Close()
		return nil, fmt.Errorf("%s is already in use", addr)
	}
	_ = os.Remove(addr)
	ln, err := net.Listen(network, addr)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(addr, 0o600); err != nil {
		ln.Close()
		return nil, err
	}
	return ln, nil
}

// splitNetwork splits an address of Options.Listen into the network and the address of package net.
func splitNetwork(address string) (network, addr string) {
	if path, unix := strings.CutPrefix(address, "unix:"); unix {
		return "unix", path
	}
	return "tcp", address
}

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", e.getServers)
	mux.HandleFunc("GET /v1/counters", e.getCounters)
	mux.HandleFunc("GET /v1/state", e.getState)
	mux.HandleFunc("POST /v1/purge", e.postPurge)
	mux.HandleFunc("POST /v1/drain", e.postDrain)
	mux.HandleFunc("POST /v1/list", e.postList)
	if e.options.Controller != nil {
		mux.HandleFunc("GET /v1/status", e.getStatus)
		mux.HandleFunc("POST /v1/pause", e.postPause)
	}
	if e.options.Peers != nil {
		mux.HandleFunc("GET /v1/peers", e.getPeers)
		mux.HandleFunc("POST /v1/peers", e.postPeers)
		mux.HandleFunc("GET /v1/view", e.getView)
	}
	if e.options.Discovery != nil {
		mux.HandleFunc("GET /v1/discovery", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.options.Discovery()) })
	}
	if e.options.Distribution != nil {
		mux.HandleFunc("GET /v1/distribution", func(w http.ResponseWriter, _ *http.Request) { reply(w, e.options.Distribution()) })
	}
	if e.options.Store != nil {
		mux.HandleFunc("GET /v1/config", e.getConfig)
		mux.HandleFunc("POST /v1/config", e.postConfig)
	}
	return mux
}

// Addr returns the address of the listener, in the form of Options.Listen.
func (e *Endpoint) Addr() string {
	if network, _ := splitNetwork(e.options.Listen); network == "unix" {
		return e.options.Listen
	}
	return e.listener.Addr().String()
}

// Serve answers requests until Close.
func (e *Endpoint) Serve() {
	if err := e.server.Serve(transient.KeepAccepting(e.listener)); !errors.Is(err, http.ErrServerClosed) {
		e.options.Log.Error("admin").Err(err).Msg("admin listener failed; operators get no further answers")
	}
}

// Close ends Serve and aborts requests in flight.
func (e *Endpoint) Close() { _ = e.server.Close() }
