// Package signed serves signed links and tokens over HTTP: URI Signing as in RFC 9246 for reads, and bearer tokens for writes. It
// owns the checks of a token, on arrival and before the first byte of the answer, and the mapping of answers to HTTP statuses. It
// never decides what becomes of an accepted request: package core does, as for every other front.
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
	"ravenwheel/internal/memory"
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
	Audience string  // the audience that tokens must name
	Leeway   float64 // how many ms the clocks of issuers may differ from this one
	Clock    *clock.Clock
	Store    *store.Store // holds signing keys, revocations and redeemed tokens
	Core     RequestHandler
	MaxConns int             // limit of connections; 0: there is none
	Memory   *memory.Account // on which connections and requests draw; nil: not limited
	Log      *logs.Log       // for errors of the HTTP server; nil: they are not logged
}

// Front serves GET /CLASS/OBJECT[?part=N] with a signed link, and POST of the classes that write with a bearer token.
type Front struct {
	verifier
	handler  RequestHandler
	memory   *memory.Account
	server   *http.Server
	limiter  *connLimiter
	writes   objectWrites
	counters *counters
}

// The limits of one connection.
const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 32 << 10
	// connBytes is the cost of a connection in bytes: its buffers, its head, the body that is read before its request is checked, and
	// its goroutines.
	connBytes = 96 << 10
)

// New returns a front that serves nothing until Serve is called.
func New(o Options) *Front {
	counters := &counters{}
	limiter := newConnLimiter(o.MaxConns, o.Memory, &counters.closes)
	f := &Front{
		verifier: verifier{clock: o.Clock, store: o.Store, audience: o.Audience}, handler: o.Core, memory: o.Memory, counters: counters, limiter: limiter,
		writes: objectWrites{clock: o.Clock, closes: &counters.closes, writes: map[*objectWrite]struct{}{}},
	}
	f.SetLeeway(o.Leeway)
	f.server = &http.Server{
		Handler:           f,
		ErrorLog:          log.New(o.Log.Writer("signed"), "", 0),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         limiter.track,
		ConnContext:       withClientConn,
	}
	return f
}

// SetLeeway changes how many ms the clocks of issuers may differ from this one.
func (f *Front) SetLeeway(ms float64) { f.leeway.Store(math.Float64bits(ms)) }

// Serve accepts connections on ln until Shutdown is called. It returns the error of accepting, or nil after Shutdown.
func (f *Front) Serve(ln net.Listener) error {
	if err := f.server.Serve(f.limiter.listen(ln)); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting and waits for open requests. If ctx ends first, it returns the error of ctx.
func (f *Front) Shutdown(ctx context.Context) error { return f.server.Shutdown(ctx) }

// ServeHTTP answers one request. It verifies the token on arrival, and that of a read again before the first byte of the answer.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer extendWriteDeadline(w) // the HTTP server writes the rest after this
	conn := clientConnOf(r.Context())
	request, ok := f.parseRequest(r, f.clock.Now()-conn.takeQueuedMs())
	if !ok {
		f.counters.refusals.Add(RefusedMalformed)
		writeError(w, http.StatusBadRequest, "bad request")
		return
	}
	if request.Deadline <= f.clock.Now() {
		f.counters.refusals.Add(RefusedNoTimeLeft)
		f.writeNoTimeLeft(w, request.write)
		return
	}
	request.ClientGone = conn.isClosedByClient
	held, ok := f.memory.Reserve(memory.Requests, core.RequestBytes+int64(len(request.Body)))
	if !ok {
		f.counters.refusals.Add(RefusedRequestMemory)
		f.writeOverloaded(w, redeemRetryAfter)
		return
	}
	defer held.Release()
	raw, uri := splitToken(r)
	if request.write || raw == "" {
		raw = bearerToken(r)
	}
	t, err := f.verify(raw, uri, request.write)
	if err != nil {
		f.counters.refusals.Add(RefusedToken)
		f.writeDenied(w, err)
		return
	}
	if request.write {
		f.serveWrite(w, r, conn, request.Request, t)
	} else {
		f.serveRead(w, r, conn, request.Request, t)
	}
}

// serveRead answers a read. The deadline of the request is at the latest the expiry of the token.
func (f *Front) serveRead(w http.ResponseWriter, r *http.Request, conn *clientConn, q core.Request, t token) {
	q.Deadline = min(q.Deadline, t.validUntil)
	answer := f.handler.Do(r.Context(), q)
	defer answer.Memory.Release()
	if answer.Verdict == core.Abandoned {
		f.closeUnanswered()
	}
	f.answerRead(w, conn, answer, q, t)
}

// serveWrite redeems the token and answers a write. A token authorises one write, once, before the first attempt; after that the
// outcome alone decides the answer. No attempt starts after the token's expiry, but the answer to an attempt that may have been
// executed is waited for.
func (f *Front) serveWrite(w http.ResponseWriter, r *http.Request, conn *clientConn, q core.Request, t token) {
	switch err := f.redeem(r.Context(), q.Deadline, t); {
	case errors.Is(err, context.Canceled):
		f.closeUnanswered()
	case errors.Is(err, store.ErrTokenRedeemed):
		f.counters.refusals.Add(RefusedReplay)
		writeError(w, http.StatusConflict, "replayed")
		return
	case err != nil:
		f.counters.refusals.Add(RefusedStore)
		f.writeOverloaded(w, redeemRetryAfter)
		return
	}
	q.SendBy = t.validUntil
	answer := f.handler.Do(r.Context(), q)
	defer answer.Memory.Release()
	if answer.Verdict == core.Abandoned {
		f.closeUnanswered()
	}
	f.answerWrite(w, conn, answer, q, t)
}

// errRedeemTimeout means that the store has not answered by the request's deadline. The token may be redeemed, now or later.
var errRedeemTimeout = errors.New("the store did not answer in time")

// redeem redeems a token by a deadline, in ms of the clock. The error is that of Store.RedeemToken, errRedeemTimeout, or
// context.Canceled if the client has left.
func (f *Front) redeem(ctx context.Context, deadline float64, t token) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer f.clock.After(deadline-f.clock.Now(), func() { cancel(errRedeemTimeout) })()
	redeemed := make(chan error, 1)
	go func() { redeemed <- f.store.RedeemToken(t.id, t.expiresUnix) }()
	select {
	case err := <-redeemed:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// closeUnanswered ends a handler whose client has left, and closes the connection. If the handler returned, the HTTP server would
// answer 200, which a client that has only closed its sending side still reads.
func (f *Front) closeUnanswered() {
	f.counters.closes.Add(ClosedByClient)
	panic(http.ErrAbortHandler)
}
