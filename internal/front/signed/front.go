package signed

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/logs"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// Doer lives a request from its arrival to its one final answer.
type Doer interface {
	Do(context.Context, core.Request) core.Answer
	ClassIndex(name string) int
	Settings() policy.Settings
}

// Options set up the front.
type Options struct {
	Audience string
	Leeway   float64 // ms that clocks may be apart
	Clock    *clock.Clock
	Store    *store.Store
	Core     Doer
	Log      *logs.Log // of what goes wrong below a request; nil: nowhere
}

// Front serves GET /CLASS/OBJECT[?part=N] with a signed link, and POST of the classes that write with a
// bearer token.
type Front struct {
	verifier
	core Doer
	srv  *http.Server
}

const (
	largestWrite = 48_000
	// budgetHeader carries how long the client waits, in ms from when it sent the request.
	budgetHeader = "X-Budget-Ms"
)

// New returns a front.
func New(o Options) *Front {
	f := &Front{verifier: verifier{clock: o.Clock, store: o.Store, audience: o.Audience}, core: o.Core}
	f.SetLeeway(o.Leeway)
	f.srv = &http.Server{
		Handler: f, ErrorLog: log.New(o.Log.Lines("signed"), "", 0), ReadHeaderTimeout: 5 * time.Second, ReadTimeout: 15 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 32 << 10,
	}
	return f
}

// SetLeeway changes by how many ms clocks may be apart.
func (f *Front) SetLeeway(ms float64) { f.leeway.Store(math.Float64bits(ms)) }

// Serve accepts connections on ln until Shutdown.
func (f *Front) Serve(ln net.Listener) error {
	if err := f.srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Shutdown stops accepting and waits for what is open.
func (f *Front) Shutdown(ctx context.Context) error { return f.srv.Shutdown(ctx) }

// ServeHTTP lives one request, from its check on arrival to the check right before its first byte.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := f.clock.Now()
	q, write, ok := f.read(r, now)
	if !ok {
		reply(w, http.StatusBadRequest, "bad request")
		return
	}
	raw, uri := split(r)
	if write || raw == "" {
		raw = bearer(r)
	}
	t, err := f.verify(raw, uri, write)
	if err != nil {
		f.deny(w, err)
		return
	}
	if write {
		// Authorised once and for all before its first attempt: from here on only what becomes of it counts.
		switch err := f.store.SpendToken(t.jti, t.expires); {
		case errors.Is(err, store.ErrTokenSpent):
			reply(w, http.StatusConflict, "replayed")
			return
		case err != nil:
			f.overloaded(w, 1000)
			return
		}
		// No attempt starts once the token is void; one that may have run is waited for.
		q.SendBy = t.void
	} else {
		q.Deadline = min(q.Deadline, t.void)
	}
	a := f.core.Do(r.Context(), q)
	if a.Verdict == core.Abandoned {
		return
	}
	if write {
		f.answerWrite(w, a, q, t)
	} else {
		f.answerRead(w, a, q, t)
	}
}

// answerRead checks the token again: a copy is not handed out once its link is void.
func (f *Front) answerRead(w http.ResponseWriter, a core.Answer, q core.Request, t token) {
	err := f.still(t)
	if a.Verdict != core.Served && f.clock.Now() >= t.void-timerSlack {
		err = errExpired // its deadline was the token's: it was given up for that
	}
	switch {
	case err != nil:
		f.deny(w, err)
	case a.Verdict == core.Served && a.NotModified:
		w.WriteHeader(http.StatusNotModified)
	case a.Verdict == core.Served:
		serve(w, a)
	case f.clock.Now() >= q.Deadline-timerSlack:
		reply(w, http.StatusGatewayTimeout, "timed out")
	case a.Verdict == core.Rejected:
		f.overloaded(w, a.RetryAfter)
	default:
		reply(w, http.StatusBadGateway, "upstream failed")
	}
}

// answerWrite tells the true outcome: whatever has become of the token since, it can't undo what ran.
func (f *Front) answerWrite(w http.ResponseWriter, a core.Answer, q core.Request, t token) {
	now := f.clock.Now()
	switch {
	case a.Verdict == core.Served:
		serve(w, a)
	case a.Verdict == core.Rejected && now >= t.void: // it never ran
		f.deny(w, errExpired)
	case a.Verdict == core.Rejected:
		f.overloaded(w, a.RetryAfter)
	case now >= q.Deadline-timerSlack:
		reply(w, http.StatusGatewayTimeout, "timed out: effect unknown")
	default:
		reply(w, http.StatusBadGateway, "upstream failed: effect unknown")
	}
}

// timerSlack: a timer may fire so many ms before the float64 that it was set for.
const timerSlack = 1

func serve(w http.ResponseWriter, a core.Answer) {
	if a.Tag != "" {
		w.Header().Set("ETag", strconv.Quote(a.Tag))
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	_, _ = w.Write(a.Body)
}

func reply(w http.ResponseWriter, code int, text string) { http.Error(w, text, code) }

func (f *Front) deny(w http.ResponseWriter, err error) {
	if errors.Is(err, errExpired) {
		reply(w, http.StatusForbidden, "expired")
		return
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	reply(w, http.StatusUnauthorized, "unauthorised")
}

func (f *Front) overloaded(w http.ResponseWriter, backoff float64) {
	w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(backoff/1000)))))
	reply(w, http.StatusServiceUnavailable, "overloaded")
}

var (
	objectID = regexp.MustCompile(`^[0-9a-f]{16}$`)
	tagForm  = regexp.MustCompile(`^[0-9A-Za-z_-]{1,64}$`)
)

// read makes a request of the core's from one over HTTP. ok is false if it can't be used.
func (f *Front) read(r *http.Request, now float64) (q core.Request, write, ok bool) {
	class, object, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	c := f.core.ClassIndex(class)
	if c < 0 || !objectID.MatchString(object) {
		return q, false, false
	}
	settings := f.core.Settings().Classes[c]
	write = settings.Uncached
	if want := map[bool]string{false: http.MethodGet, true: http.MethodPost}[write]; r.Method != want {
		return q, write, false
	}
	q = core.Request{ID: newID(), Class: c, Object: object, Group: -1, Deadline: now + clock.Ms(settings.Deadline)}
	if s := r.URL.Query().Get("part"); s != "" {
		n, err := strconv.ParseUint(s, 10, 31)
		if err != nil {
			return q, write, false
		}
		q.Part = int(n)
	}
	if s := r.Header.Get(budgetHeader); s != "" {
		ms, err := strconv.ParseUint(s, 10, 31)
		if err != nil || ms == 0 {
			return q, write, false
		}
		q.Deadline = min(q.Deadline, now+float64(ms))
	}
	if tag := strings.Trim(r.Header.Get("If-None-Match"), `"`); tagForm.MatchString(tag) {
		q.CachedTag = tag
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, largestWrite+1))
	if err != nil || len(body) > largestWrite || !write && len(body) > 0 {
		return q, write, false
	}
	q.Body = body
	return q, write, true
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
