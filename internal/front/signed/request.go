package signed

import (
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/policy"
)

const (
	// maxWriteBytes bounds the body of a write.
	maxWriteBytes = 48_000
	// budgetHeader is the header that says how long the client waits for the answer, in ms from when it sent the request.
	budgetHeader = "X-Budget-Ms"
	// requestIDBytes is the length of a request's id, in bytes.
	requestIDBytes = 8
	// idempotencyKeyBytes is the length of an idempotency key, in bytes. Keys must not collide or be guessed: a server drops a request
	// whose key it has seen.
	idempotencyKeyBytes = 16
	// noGroup is the purge group of a request that names no group.
	noGroup = -1
	// tokenParameter is the query parameter or cookie that carries a signed link's JWT (RFC 9246, section 2).
	tokenParameter = "URISigningPackage"
)

var (
	objectPattern    = regexp.MustCompile(`^[0-9a-f]{16}$`)
	cachedTagPattern = regexp.MustCompile(`^[0-9A-Za-z_-]{1,64}$`)
)

// parsedRequest is a request for the core. write is whether its class runs at the origin, so that its token may be used only once.
type parsedRequest struct {
	core.Request
	write bool
}

// parseRequest converts an HTTP request that arrived at now, in ms of the clock, to a request for the core. ok is false if it is
// malformed. HTTP clients send no idempotency key, so a request of a class that needs one gets a new key, which all its attempts
// carry.
func (f *Front) parseRequest(r *http.Request, now float64) (p parsedRequest, ok bool) {
	className, object, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	class := f.handler.ClassIndex(className)
	if class < 0 || !objectPattern.MatchString(object) {
		return p, false
	}
	settings := f.handler.Settings().Classes[class]
	p.write = settings.Uncached
	if r.Method != methodOf(p.write) {
		return p, false
	}
	p.Request = core.Request{
		ID: randomHex(requestIDBytes), Class: class, Object: object, Group: noGroup, Deadline: now + clock.Ms(settings.Deadline),
	}
	if settings.Idempotency == policy.IdempotentByKey {
		p.IdempotencyKey, p.FrontKey = randomHex(idempotencyKeyBytes), true
	}
	if !p.parseOptions(r, now) {
		return p, false
	}
	p.Body, ok = readBody(r, p.write)
	return p, ok
}

// parseOptions parses the part, the budget and the tag of the client's copy, as far as they are given.
func (p *parsedRequest) parseOptions(r *http.Request, now float64) (ok bool) {
	if part := r.URL.Query().Get("part"); part != "" {
		number, err := strconv.ParseUint(part, 10, 31)
		if err != nil {
			return false
		}
		p.Part = int(number)
	}
	if budget := r.Header.Get(budgetHeader); budget != "" {
		ms, err := strconv.ParseUint(budget, 10, 31)
		if err != nil || ms == 0 {
			return false
		}
		p.Deadline = min(p.Deadline, now+float64(ms))
	}
	if tag := strings.Trim(r.Header.Get("If-None-Match"), `"`); cachedTagPattern.MatchString(tag) {
		p.CachedTag = tag
	}
	return true
}

func methodOf(write bool) string {
	if write {
		return http.MethodPost
	}
	return http.MethodGet
}

// readBody reads the body, which only a write may have. ok is false if there is an error, or a body that is too large or not
// allowed.
func readBody(r *http.Request, write bool) (body []byte, ok bool) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWriteBytes+1))
	if err != nil || len(body) > maxWriteBytes || !write && len(body) > 0 {
		return nil, false
	}
	return body, true
}

// randomHex returns n random bytes in hexadecimal.
func randomHex(n int) string {
	random := make([]byte, n)
	_, _ = rand.Read(random)
	return hex.EncodeToString(random)
}

// splitToken returns the JWT of a signed link and the URI that was signed, which is the request's URI without the JWT. The JWT is
// in the query or in a cookie; raw is empty if neither has one.
func splitToken(r *http.Request) (raw, uri string) {
	var query []string
	for _, parameter := range strings.Split(r.URL.RawQuery, "&") {
		if name, value, _ := strings.Cut(parameter, "="); name == tokenParameter {
			raw, _ = url.QueryUnescape(value)
		} else if parameter != "" {
			query = append(query, parameter)
		}
	}
	scheme := "http"
	if r.TLS != nil {
		scheme = "https"
	}
	uri = scheme + "://" + r.Host + r.URL.EscapedPath()
	if len(query) > 0 {
		uri += "?" + strings.Join(query, "&")
	}
	if raw != "" {
		return raw, uri
	}
	if cookie, err := r.Cookie(tokenParameter); err == nil {
		raw = cookie.Value
	}
	return raw, uri
}

// bearerToken returns the token of the Authorization header, or "" if there is none.
func bearerToken(r *http.Request) string {
	scheme, raw, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(raw)
}
