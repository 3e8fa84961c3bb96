package signed

import (
	"errors"
	"math"
	"net/http"
	"strconv"

	"ravenwheel/internal/core"
)

const (
	// timerSlackMs is how many ms a timer may fire before the time that it was set for.
	timerSlackMs = 1
	// redeemRetryAfter is the delay in ms after which a client should retry if the store could not record its token as redeemed in
	// time.
	redeemRetryAfter = 1000
)

// answerRead verifies the token again, because a copy must not be served after its link's expiry, and writes the answer.
func (f *Front) answerRead(w http.ResponseWriter, conn *clientConn, a core.Answer, q core.Request, t token) {
	err := f.verifyAgain(t)
	if a.Verdict != core.Served && f.clock.Now() >= t.validUntil-timerSlackMs {
		err = errExpired // the request's deadline was the token's expiry
	}
	switch {
	case err != nil:
		f.writeDenied(w, err)
	case a.Verdict == core.Served && a.NotModified:
		w.WriteHeader(http.StatusNotModified)
	case a.Verdict == core.Served:
		f.writeObject(w, conn, a)
	case f.clock.Now() >= q.Deadline-timerSlackMs:
		writeError(w, http.StatusGatewayTimeout, "timed out")
	case a.Verdict == core.Rejected:
		f.writeOverloaded(w, a.RetryAfter)
	default:
		writeError(w, http.StatusBadGateway, "upstream failed")
	}
}

// answerWrite writes the outcome, whatever has become of the token since: the token's expiry can't undo a write that was executed.
func (f *Front) answerWrite(w http.ResponseWriter, conn *clientConn, a core.Answer, q core.Request, t token) {
	now := f.clock.Now()
	switch {
	case a.Verdict == core.Served:
		f.writeObject(w, conn, a)
	case a.Verdict == core.Rejected && now >= t.validUntil: // the write was not executed, or may be repeated
		f.writeDenied(w, errExpired)
	case a.Verdict == core.Rejected:
		f.writeOverloaded(w, a.RetryAfter)
	case now >= q.Deadline-timerSlackMs:
		writeError(w, http.StatusGatewayTimeout, "timed out: effect unknown")
	default:
		writeError(w, http.StatusBadGateway, "upstream failed: effect unknown")
	}
}

// setObjectHeader sets the header fields of an answer with an object.
func setObjectHeader(header http.Header, a core.Answer) {
	if a.Tag != "" {
		header.Set("ETag", strconv.Quote(a.Tag))
	}
	header.Set("Content-Type", "application/octet-stream")
	header.Set("Content-Length", strconv.Itoa(len(a.Body)))
}

// writeNoTimeLeft answers a request that arrived after its time. It has not reached a server.
func (f *Front) writeNoTimeLeft(w http.ResponseWriter, write bool) {
	if write {
		f.writeOverloaded(w, redeemRetryAfter)
		return
	}
	writeError(w, http.StatusGatewayTimeout, "timed out")
}

func writeError(w http.ResponseWriter, status int, text string) { http.Error(w, text, status) }

// writeDenied answers a request whose token is not accepted. The client learns only whether the token has expired.
func (f *Front) writeDenied(w http.ResponseWriter, err error) {
	if errors.Is(err, errExpired) {
		writeError(w, http.StatusForbidden, "expired")
		return
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeError(w, http.StatusUnauthorized, "unauthorised")
}

// writeOverloaded answers a request that was rejected. retryAfter is in ms; clients are sent whole seconds, at least 1.
func (f *Front) writeOverloaded(w http.ResponseWriter, retryAfter float64) {
	const msPerSecond = 1000
	seconds := max(1, int(math.Ceil(retryAfter/msPerSecond)))
	w.Header().Set("Retry-After", strconv.Itoa(seconds))
	writeError(w, http.StatusServiceUnavailable, "overloaded")
}
