// Package signed serves signed links and tokens over HTTP: URI Signing as in RFC 9246, and bearer
// tokens for writes. What becomes of a request is the core's to say, as for every other front.
package signed

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/store"
)

// packageName is the query parameter or cookie that carries a signed link's JWT.
const packageName = "URISigningPackage"

// Ways in which a token is turned away.
var (
	errUnauthorised = errors.New("unauthorised")
	errExpired      = errors.New("expired")
)

// claims are those that RFC 9246 registers for URI Signing, and those of RFC 7519.
type claims struct {
	jwt.RegisteredClaims
	Version   *int   `json:"cdniv"`
	Critical  string `json:"cdnicrit"`
	Container string `json:"cdniuc"`
	ClientIP  string `json:"cdniip"`
}

// understood are the claims that may be listed as critical.
var understood = []string{"iss", "sub", "aud", "exp", "nbf", "iat", "jti", "cdniv", "cdnicrit", "cdniuc"}

// token is an accepted JWT.
type token struct {
	kid, jti string
	expires  float64 // Unix ms from when on it is not accepted: its exp and the leeway
	void     float64 // the same on this machine's clock, as of when it was read
}

// verifier checks tokens against the keys in the store.
type verifier struct {
	clock    *clock.Clock
	store    *store.Store
	audience string
	leeway   atomic.Uint64 // the bits of a float64, ms
}

// verify checks a JWT for a URI. A write's token is used up, so it needs an id.
func (v *verifier) verify(raw, uri string, write bool) (token, error) {
	var c claims
	parsed, err := jwt.ParseWithClaims(raw, &c, v.key,
		jwt.WithValidMethods([]string{"HS256", "ES256", "EdDSA"}),
		jwt.WithAudience(v.audience), jwt.WithExpirationRequired(), jwt.WithIssuedAt(),
		jwt.WithLeeway(clock.Duration(math.Float64frombits(v.leeway.Load()))), jwt.WithTimeFunc(func() time.Time {
			return time.UnixMicro(int64(v.clock.Wall() * 1e3))
		}),
	)
	if err != nil {
		// What is only too old was good; a forged token is never told apart by its age.
		if errors.Is(err, jwt.ErrTokenExpired) && !errors.Is(err, jwt.ErrTokenNotValidYet) &&
			!errors.Is(err, jwt.ErrTokenInvalidAudience) && !errors.Is(err, jwt.ErrTokenUsedBeforeIssued) {
			return token{}, errExpired
		}
		return token{}, fmt.Errorf("%w: %v", errUnauthorised, err)
	}
	kid, _ := parsed.Header["kid"].(string)
	t := token{kid: kid, jti: c.ID, expires: float64(c.ExpiresAt.UnixMicro())/1e3 + math.Float64frombits(v.leeway.Load())}
	t.void = t.expires - v.clock.Wall() + v.clock.Now()
	switch {
	case c.Version != nil && *c.Version != 1:
		err = errors.New("cdniv is not 1")
	case c.ClientIP != "": // it is encrypted to a key that this front does not have
		err = errors.New("cdniip is not supported")
	case write && c.ID == "":
		err = errors.New("a write needs a jti")
	case c.ID != "" && v.store.IsRevoked(c.ID):
		err = errors.New("revoked")
	case parsed.Header["crit"] != nil:
		err = errors.New("a critical header is not understood")
	default:
		err = critical(c.Critical)
	}
	if err == nil {
		err = contains(c.Container, uri)
	}
	if err != nil {
		return token{}, fmt.Errorf("%w: %v", errUnauthorised, err)
	}
	return t, nil
}

// key finds the key that a token names, and pins the algorithm to the key's own.
func (v *verifier) key(t *jwt.Token) (any, error) {
	kid, _ := t.Header["kid"].(string)
	k, ok := v.store.Key(kid)
	if !ok {
		return nil, errors.New("unknown kid")
	}
	if k.Alg != t.Method.Alg() {
		return nil, errors.New("the algorithm is not the key's")
	}
	if k.Alg == "HS256" {
		return k.Data, nil
	}
	return x509.ParsePKIXPublicKey(k.Data)
}

// still tells whether a token that was accepted on arrival still is.
func (v *verifier) still(t token) error {
	if v.clock.Now() >= t.void {
		return errExpired
	}
	if _, ok := v.store.Key(t.kid); !ok || t.jti != "" && v.store.IsRevoked(t.jti) {
		return errUnauthorised
	}
	return nil
}

// critical turns away a list that names a claim which is not understood.
func critical(list string) error {
	if list == "" {
		return nil
	}
	for _, name := range strings.Split(list, ",") {
		if !slices.Contains(understood, strings.TrimSpace(name)) {
			return fmt.Errorf("critical claim %q is not understood", name)
		}
	}
	return nil
}

// contains tells whether a URI container ("hash:" or "regex:") holds the URI.
func contains(container, uri string) error {
	kind, value, _ := strings.Cut(container, ":")
	switch kind {
	case "hash":
		sum := sha256.Sum256([]byte(uri))
		if value == "sha-256;"+base64.RawURLEncoding.EncodeToString(sum[:]) {
			return nil
		}
	case "regex":
		re, err := regexp.CompilePOSIX("^(" + value + ")$")
		if err == nil && re.MatchString(uri) {
			return nil
		}
	}
	return errors.New("cdniuc does not hold the URI")
}

// split takes the package out of a request: its JWT, and the URI that was signed. A link's package is in
// the query or, as a cookie, beside it; a bearer token may come in its place.
func split(r *http.Request) (raw, uri string) {
	var rest []string
	for _, part := range strings.Split(r.URL.RawQuery, "&") {
		if name, value, _ := strings.Cut(part, "="); name == packageName {
			raw, _ = url.QueryUnescape(value)
		} else if part != "" {
			rest = append(rest, part)
		}
	}
	scheme := "http"
	if r.TLS != nil {
		scheme = "https"
	}
	uri = scheme + "://" + r.Host + r.URL.EscapedPath()
	if len(rest) > 0 {
		uri += "?" + strings.Join(rest, "&")
	}
	if raw == "" {
		if c, err := r.Cookie(packageName); err == nil {
			raw = c.Value
		}
	}
	return raw, uri
}

// bearer is the token of an Authorization header.
func bearer(r *http.Request) string {
	scheme, raw, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(raw)
}
