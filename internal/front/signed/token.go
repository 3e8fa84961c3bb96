package signed

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/golang-jwt/jwt/v5"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/store"
)

// The reasons for which a token is rejected, as far as clients learn them.
var (
	errUnauthorised = errors.New("unauthorised")
	errExpired      = errors.New("expired")
)

// claims are the claims that RFC 9246 registers for URI Signing, and those of RFC 7519.
type claims struct {
	jwt.RegisteredClaims
	Version   *int   `json:"cdniv"`
	Critical  string `json:"cdnicrit"`
	Container string `json:"cdniuc"`
	ClientIP  string `json:"cdniip"`
}

const microsecondsPerMs = 1e3

// supportedVersion is the version of URI Signing that this front implements.
const supportedVersion = 1

// supportedClaims are the claims that a token may list as critical.
var supportedClaims = []string{"iss", "sub", "aud", "exp", "nbf", "iat", "jti", "cdniv", "cdnicrit", "cdniuc"}

// token is what is kept of a JWT that was accepted.
type token struct {
	keyID       string
	id          string
	expiresUnix float64 // its exp plus the leeway, in Unix ms
	validUntil  float64 // the same point in time in ms of Clock.Now, which steps of the wall clock do not change
}

// verifier verifies tokens against the keys and the revocations in the store.
type verifier struct {
	clock    *clock.Clock
	store    *store.Store
	audience string
	leeway   atomic.Uint64 // the bits of a float64, in ms
}

func (v *verifier) leewayMs() float64 { return math.Float64frombits(v.leeway.Load()) }

// verify verifies a JWT for a URI. The token of a write must have an id, by which the store records later that it was redeemed. The
// error wraps errExpired or errUnauthorised.
func (v *verifier) verify(raw, uri string, write bool) (token, error) {
	var c claims
	parsed, err := jwt.ParseWithClaims(raw, &c, v.signingKey, v.parserOptions()...)
	if isOnlyExpired(err) {
		return token{}, errExpired
	}
	if err == nil {
		err = v.checkClaims(&c, parsed.Header, uri, write)
	}
	if err != nil {
		return token{}, fmt.Errorf("%w: %v", errUnauthorised, err)
	}
	keyID, _ := parsed.Header["kid"].(string)
	t := token{keyID: keyID, id: c.ID, expiresUnix: float64(c.ExpiresAt.UnixMicro())/microsecondsPerMs + v.leewayMs()}
	t.validUntil = t.expiresUnix - v.clock.Wall() + v.clock.Now()
	return t, nil
}

func (v *verifier) parserOptions() []jwt.ParserOption {
	now := func() time.Time { return time.UnixMicro(int64(v.clock.Wall() * microsecondsPerMs)) }
	return []jwt.ParserOption{
		jwt.WithValidMethods([]string{"HS256", "ES256", "EdDSA"}),
		jwt.WithAudience(v.audience),
		jwt.WithExpirationRequired(),
		jwt.WithIssuedAt(),
		jwt.WithLeeway(clock.Duration(v.leewayMs())),
		jwt.WithTimeFunc(now),
	}
}

// isOnlyExpired reports whether the only fault of a token is its age. A forged token is never reported as expired, because its
// signature is checked first.
func isOnlyExpired(err error) bool {
	return errors.Is(err, jwt.ErrTokenExpired) && !errors.Is(err, jwt.ErrTokenNotValidYet) &&
		!errors.Is(err, jwt.ErrTokenInvalidAudience) && !errors.Is(err, jwt.ErrTokenUsedBeforeIssued)
}

// checkClaims checks the claims that the JWT parser does not check.
func (v *verifier) checkClaims(c *claims, header map[string]any, uri string, write bool) error {
	switch {
	case c.Version != nil && *c.Version != supportedVersion:
		return errors.New("cdniv is not 1")
	case c.ClientIP != "": // encrypted to a key that this front does not have
		return errors.New("cdniip is not supported")
	case write && c.ID == "":
		return errors.New("jti is missing, which a write needs")
	case c.ID != "" && v.store.IsRevoked(c.ID):
		return errors.New("the token is revoked")
	case header["crit"] != nil:
		return errors.New("crit headers are not supported")
	}
	if err := checkCritical(c.Critical); err != nil {
		return err
	}
	return checkContainer(c.Container, uri)
}

// signingKey returns the key that a token names. The token's algorithm must be that of the key: otherwise a forger could use a
// public key as the secret of an HMAC.
func (v *verifier) signingKey(t *jwt.Token) (any, error) {
	keyID, _ := t.Header["kid"].(string)
	key, ok := v.store.Key(keyID)
	if !ok {
		return nil, errors.New("unknown kid")
	}
	if key.Alg != t.Method.Alg() {
		return nil, errors.New("the token's algorithm is not that of the key")
	}
	if key.Alg == "HS256" {
		return key.Data, nil
	}
	return x509.ParsePKIXPublicKey(key.Data)
}

// verifyAgain verifies a token that was accepted on arrival: that it has not expired, that its key still exists, and that it has
// not been revoked.
func (v *verifier) verifyAgain(t token) error {
	if v.clock.Now() >= t.validUntil {
		return errExpired
	}
	if _, ok := v.store.Key(t.keyID); !ok || t.id != "" && v.store.IsRevoked(t.id) {
		return errUnauthorised
	}
	return nil
}

// checkCritical returns an error if a comma-separated list names a claim that is not in supportedClaims. An empty list is valid.
func checkCritical(list string) error {
	if list == "" {
		return nil
	}
	for _, name := range strings.Split(list, ",") {
		if !slices.Contains(supportedClaims, strings.TrimSpace(name)) {
			return fmt.Errorf("critical claim %q is not supported", name)
		}
	}
	return nil
}

var errOutsideContainer = errors.New("cdniuc does not contain the URI")

// checkContainer checks that a URI container ("hash:" or "regex:") contains the URI. An empty container, one of another kind, and a
// malformed regular expression contain none. The error is errOutsideContainer.
func checkContainer(container, uri string) error {
	kind, value, _ := strings.Cut(container, ":")
	switch kind {
	case "hash":
		sum := sha256.Sum256([]byte(uri))
		if value == "sha-256;"+base64.RawURLEncoding.EncodeToString(sum[:]) {
			return nil
		}
	case "regex":
		pattern, err := regexp.CompilePOSIX("^(" + value + ")$")
		if err == nil && pattern.MatchString(uri) {
			return nil
		}
	}
	return errOutsideContainer
}
