// Package signed serves signed links and tokens over HTTP: URI Signing as in RFC 9246 for reads, and bearer tokens for
// writes. It owns the checks of a token, on arrival and before the answer's first byte, and the mapping of answers to HTTP
// statuses. What becomes of an accepted request is decided by the core, as for every other front.
//
// Its rules are tested here, by scenarios on real sockets and by golden files.
package signed

import (
	"context"
	"errors"
	"log"
	"math"
	"net"
	"net/http"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// RequestHandler answers requests, each exactly once.
type RequestHandler interface {
	Do(context.Context, core.Request) core.Answer
	ClassIndex(name string) int // -1: unknown
	Settings() policy.Settings
}

// Options configure a front.
type Options struct {
	Audience string  // that tokens must name
	Leeway   float64 // ms that the clocks of issuers may be off
	Clock    *clock.Clock
	Store    *store.Store // of signing keys, revocations and spent tokens
	Core     RequestHandler
	Log      *logs.Log // of errors below HTTP; nil: not logged
}

// Front serves GET /CLASS/OBJECT[?part=N] with a signed link, and POST of the classes that write with a bearer token.
type Front struct {
	verifier
	handler RequestHandler
	server  *http.Server
}

// The limits of one connection.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 32 << 10
)

// New returns a front that serves nothing until Serve.
func New(o Options) *Front {
	f := &Front{verifier: verifier{clock: o.Clock, store: o.Store, audience: o.Audience}, handler: o.Core}
	f.SetLeeway(o.Leeway)
	f.server = &http.Server{
		Handler:           f,
		ErrorLog:          log.New(o.Log.Writer("signed"), "", 0),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return f
}

// SetLeeway changes by how many ms the clocks of issuers may be off.
func (f *Front) SetLeeway(ms float64) { f.leeway.Store(math.Float64bits(ms)) }

// Serve accepts connections on ln until Shutdown. It returns the error of accepting; after Shutdown, nil.
func (f *Front) Serve(ln net.Listener) error {
	if err := f.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting and waits for open requests. It returns the error of a ctx that ends first.
func (f *Front) Shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

// ServeHTTP answers one request: it verifies the token on arrival, and that of a read again before the first byte.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	request, ok := f.parseRequest(r, f.clock.Now())
	if !ok {
		writeError(w, http.StatusBadRequest, "bad request")
		return
	}
	raw, uri := splitToken(r)
	if request.write || raw == "" {
		raw = bearerToken(r)
	}
	t, err := f.verify(raw, uri, request.write)
	if err != nil {
		f.writeDenied(w, err)
		return
	}
	if request.write {
		f.serveWrite(w, r, request.Request, t)
	} else {
		f.serveRead(w, r, request.Request, t)
	}
}

// serveRead answers a read. Its deadline is never after the token's expiry.
func (f *Front) serveRead(w http.ResponseWriter, r *http.Request, q core.Request, t token) {
	q.Deadline = min(q.Deadline, t.validUntil)
	answer := f.handler.Do(r.Context(), q)
	if answer.Verdict != core.Abandoned {
		f.answerRead(w, answer, q, t)
	}
}

// serveWrite uses the token up and answers a write. The token authorises it once, before its first attempt: from then on only
// the outcome counts. No attempt starts after the token's expiry; one that may have run is waited for.
func (f *Front) serveWrite(w http.ResponseWriter, r *http.Request, q core.Request, t token) {
	switch err := f.store.SpendToken(t.id, t.expiresUnix); {
	case errors.Is(err, store.ErrTokenSpent):
		writeError(w, http.StatusConflict, "replayed")
		return
	case err != nil:
		f.writeOverloaded(w, spendRetryAfter)
		return
	}
	q.SendBy = t.validUntil
	answer := f.handler.Do(r.Context(), q)
	if answer.Verdict != core.Abandoned {
		f.answerWrite(w, answer, q, t)
	}
}
