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

// Why a token is rejected, as far as clients are told.
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

const microsecondsPerMs = 1e3

// supportedVersion is the version of URI Signing that this front implements.
const supportedVersion = 1

// supportedClaims may be listed as critical.
var supportedClaims = []string{"iss", "sub", "aud", "exp", "nbf", "iat", "jti", "cdniv", "cdnicrit", "cdniuc"}

// token is a JWT that was accepted.
type token struct {
	keyID       string
	id          string
	expiresUnix float64 // Unix ms: its exp and the leeway
	validUntil  float64 // the same in ms of this machine's clock, which wall-clock steps do not move
}

// verifier verifies tokens against the keys and the revocations in the store.
type verifier struct {
	clock    *clock.Clock
	store    *store.Store
	audience string
	leeway   atomic.Uint64 // the bits of a float64, ms
}

func (v *verifier) leewayMs() float64 { return math.Float64frombits(v.leeway.Load()) }

// verify verifies a JWT for a URI. The token of a write is used up later, so it needs an id. The error wraps errExpired or
// errUnauthorised.
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

// isOnlyExpired reports whether a token is valid but for its age. A forged token is never told apart by its age: its signature
// fails first.
func isOnlyExpired(err error) bool {
	return errors.Is(err, jwt.ErrTokenExpired) && !errors.Is(err, jwt.ErrTokenNotValidYet) &&
		!errors.Is(err, jwt.ErrTokenInvalidAudience) && !errors.Is(err, jwt.ErrTokenUsedBeforeIssued)
}

// checkClaims checks what the JWT parser does not.
func (v *verifier) checkClaims(c *claims, header map[string]any, uri string, write bool) error {
	switch {
	case c.Version != nil && *c.Version != supportedVersion:
		return errors.New("cdniv is not 1")
	case c.ClientIP != "": // encrypted to a key that this front does not have
		return errors.New("cdniip is not supported")
	case write && c.ID == "":
		return errors.New("a write needs a jti")
	case c.ID != "" && v.store.IsRevoked(c.ID):
		return errors.New("revoked")
	case header["crit"] != nil:
		return errors.New("a critical header is not supported")
	}
	if err := checkCritical(c.Critical); err != nil {
		return err
	}
	return checkContainer(c.Container, uri)
}

// signingKey returns the key that a token names. The token's algorithm must be the key's own: a public key must never verify
// an HMAC.
func (v *verifier) signingKey(t *jwt.Token) (any, error) {
	keyID, _ := t.Header["kid"].(string)
	key, ok := v.store.Key(keyID)
	if !ok {
		return nil, errors.New("unknown kid")
	}
	if key.Alg != t.Method.Alg() {
		return nil, errors.New("the algorithm is not the key's")
	}
	if key.Alg == "HS256" {
		return key.Data, nil
	}
	return x509.ParsePKIXPublicKey(key.Data)
}

// verifyAgain verifies a token that was accepted on arrival: by its age, its key and the revocations.
func (v *verifier) verifyAgain(t token) error {
	if v.clock.Now() >= t.validUntil {
		return errExpired
	}
	if _, ok := v.store.Key(t.keyID); !ok || t.id != "" && v.store.IsRevoked(t.id) {
		return errUnauthorised
	}
	return nil
}

// checkCritical rejects a list, separated by commas, that names a claim which is not in supportedClaims. An empty list passes.
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

// checkContainer checks that a URI container ("hash:" or "regex:") contains the URI. None is contained without a container, in one of
// another kind, or in a regular expression that is malformed. The error is errOutsideContainer.
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
