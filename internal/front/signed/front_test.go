package signed_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"maps"
	"net"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/front/signed"
	"ravenwheel/internal/scenario"
	"ravenwheel/internal/store"
)

const (
	object = "7f3a9c21e0b4d655"
	leeway = 3000.0
	// briefValidity is how long, in ms, a brief link stays valid: it expires before the deadline of its request.
	briefValidity = 1500.0
)

// signer signs tokens by a clock that differs from the server's.
type signer struct {
	t    *testing.T
	base string
	now  float64 // seconds
	// serverNow is the server's own time, in seconds.
	serverNow float64
	key       *ecdsa.PrivateKey
}

// sign returns a JWT for a path, 10 s good, with some claims changed (nil: removed).
func (s *signer) sign(path string, changes jwt.MapClaims, method jwt.SigningMethod, kid string, key any) string {
	sum := sha256.Sum256([]byte(s.base + path))
	c := jwt.MapClaims{
		"aud": "tabletop", "iat": s.now, "nbf": s.now, "exp": s.now + 10, "jti": "j1",
		"cdniv": 1, "cdniuc": "hash:sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:]),
	}
	maps.Copy(c, changes)
	maps.DeleteFunc(c, func(_ string, v any) bool { return v == nil })
	tok := jwt.NewWithClaims(method, c)
	tok.Header["kid"] = kid
	raw, err := tok.SignedString(key)
	require.NoError(s.t, err)
	return raw
}

// insertTokens replaces {good}, {write} and so on in a script by tokens.
func (s *signer) insertTokens(script string) string {
	read, write := "/asset/"+object, "/seat-claim/"+object
	signES256 := func(path string, changes jwt.MapClaims) string {
		return s.sign(path, changes, jwt.SigningMethodES256, "k1", s.key)
	}
	der, err := x509.MarshalPKIXPublicKey(&s.key.PublicKey)
	require.NoError(s.t, err)
	for name, raw := range map[string]string{
		"good":      signES256(read, nil),
		"brief":     signES256(read, jwt.MapClaims{"exp": s.serverNow + (briefValidity-leeway)/1000}),
		"write":     signES256(write, nil),
		"nojti":     signES256(write, jwt.MapClaims{"jti": nil}),
		"noexp":     signES256(read, jwt.MapClaims{"exp": nil}),
		"aud":       signES256(read, jwt.MapClaims{"aud": "other"}),
		"other":     signES256("/asset/0000000000000001", nil),
		"regex":     signES256(read, jwt.MapClaims{"cdniuc": "regex:http://[^/]+/asset/[0-9a-f]+"}),
		"halfregex": signES256(read, jwt.MapClaims{"cdniuc": "regex:http://[^/]+/asset/"}),
		"nouc":      signES256(read, jwt.MapClaims{"cdniuc": nil}),
		"crit":      signES256(read, jwt.MapClaims{"cdnicrit": "exp,cdniets", "cdniets": 5}),
		"critok":    signES256(read, jwt.MapClaims{"cdnicrit": "exp,cdniuc"}),
		"v2":        signES256(read, jwt.MapClaims{"cdniv": 2}),
		"ip":        signES256(read, jwt.MapClaims{"cdniip": "x"}),
		"old":       signES256(read, jwt.MapClaims{"exp": s.now - 60}),
		"oldaud":    signES256(read, jwt.MapClaims{"exp": s.now - 60, "aud": "other"}),
		"early":     signES256(read, jwt.MapClaims{"nbf": s.now + 60}),
		"second":    s.sign(read, jwt.MapClaims{"jti": "j2"}, jwt.SigningMethodHS256, "k2", []byte("secret of the second key")),
		"badkid":    s.sign(read, nil, jwt.SigningMethodES256, "k9", s.key),
		"confused":  s.sign(read, nil, jwt.SigningMethodHS256, "k1", der), // a public key as an HMAC secret
		"none":      s.sign(read, nil, jwt.SigningMethodNone, "k1", jwt.UnsafeAllowNoneSignatureType),
	} {
		script = strings.ReplaceAll(script, "{"+name+"}", raw)
	}
	return script
}

const (
	getWithLink   = "b send GET /asset/" + object + "?URISigningPackage="
	postWithToken = "b send POST /seat-claim/" + object + " Authorization:Bearer+"
	expectRead    = "\ns expect fetch * lane=asset,* -\n"
	expectWrite   = "\ns expect fetch * lane=seat-claim,* seat9\n"
	respondServed = "s send $id served why=local,version=v1 BYTES\nb expect 200 - BYTES\n"
)

var scenarios = map[string]string{
	"a signed link":       getWithLink + "{good}" + expectRead + respondServed,
	"as a cookie":         "b send GET /asset/" + object + " Cookie:URISigningPackage={good}" + expectRead + respondServed,
	"a regex container":   getWithLink + "{regex}" + expectRead + respondServed,
	"critical, all known": getWithLink + "{critok}" + expectRead + respondServed,
	"not signed":          "b send GET /asset/" + object + "\nb expect 401 - unauthorised",
	"bad requests": `
		b send GET /asset/xyz
		b expect 400 - bad request
		b send POST /asset/` + object + `
		b expect 400 - bad request
		b send GET /asset/` + object + ` X-Budget-Ms:-1
		b expect 400 - bad request`,
	"refused on arrival": expectUnauthorised("noexp", "aud", "other", "halfregex", "nouc", "crit", "v2", "ip", "early", "badkid",
		"confused", "none", "oldaud") + getWithLink + "{old}\nb expect 403 - expired",
	// A link that expires while its request waits: one 403, and the attempt is aborted.
	"expiry in the queue": getWithLink + "{brief} X-Budget-Ms:60000" + expectRead + "wait {expiry}\nb expect 403 - expired\ns expect abort $id",
	// A step of the wall clock while the request waits changes nothing of the time that the link has left.
	"stepped back in the queue":    getWithLink + "{brief} X-Budget-Ms:60000" + expectRead + "step send -3600000\nwait {expiry}\nb expect 403 - expired\ns expect abort $id",
	"stepped forward in the queue": getWithLink + "{good}" + expectRead + "step send 3600000\n" + respondServed,
	"timed out":                    getWithLink + "{good} X-Budget-Ms:900" + expectRead + "wait 900\nb expect 504 - timed out\ns expect abort $id",
	"revoked while it waits": getWithLink + "{good}" + expectRead + `
		revoke send j1
		s send $id served why=local,version=v1 BYTES
		b expect 401 - unauthorised`,
	"upstream fails":  getWithLink + "{good}\n" + strings.Repeat("s expect fetch * * -\ns send $id crashed\n", 2) + "b expect 503 Retry-After:* overloaded",
	"client leaves":   getWithLink + "{good}" + expectRead + "b close\nb expect closed\ns expect abort $id",
	"a seat claim":    postWithToken + "{write} seat9" + expectWrite + respondServed,
	"a write by link": "b send POST /seat-claim/" + object + "?URISigningPackage={write} seat9\nb expect 401 - unauthorised",
	"a replay": postWithToken + "{write} seat9" + expectWrite + respondServed +
		postWithToken + "{write} seat9\nb expect 409 - replayed",
	"a write without jti": postWithToken + "{nojti} seat9\nb expect 401 - unauthorised",
	// The token expires and its key is deleted after the write may have run: its outcome is answered all the same.
	"expiry after a write may have run": postWithToken + "{write} X-Budget-Ms:60000 seat9" + expectWrite + `
		drop send k1
		wait 2900
		` + respondServed,
	"a write that died is not sent again": postWithToken + "{write} seat9" + expectWrite + `
		drop send k1
		s close
		b expect 502 - upstream failed: effect unknown`,
	"a write in silence": postWithToken + "{write} seat9" + expectWrite + "wait 3000\nb expect 504 - timed out: effect unknown\ns expect abort $id",
	"a write that never ran": postWithToken + "{write} seat9" + expectWrite + "s send $id overload" + expectWrite + `
		s send $id overload
		b expect 503 Retry-After:* overloaded`,
	"no quorum": `
		quorum close
		` + postWithToken + `{write} seat9
		b expect 503 Retry-After:1 overloaded`,
	"rotation": getWithLink + "{second}" + expectRead + respondServed + `
		drop send k1
		` + getWithLink + `{good}
		b expect 401 - unauthorised
		` + getWithLink + "{second}" + expectRead + respondServed + `
		drop send k2
		` + getWithLink + `{second}
		b expect 401 - unauthorised`,
}

func expectUnauthorised(names ...string) (script string) {
	for _, n := range names {
		script += getWithLink + "{" + n + "}\nb expect 401 - unauthorised\n"
	}
	return script
}

// storeOperation is an actor that changes the store.
type storeOperation func(string) error

func (o storeOperation) Send(words []string) error { return o(words[0]) }
func (storeOperation) Receive() ([]string, error)  { return nil, nil }
func (o storeOperation) Close() error              { return o("") }

func TestSignedScenarios(t *testing.T) {
	for skewName, issuerAhead := range map[string]float64{"even": 0, "ahead": 2000, "behind": -2000} {
		for name, script := range scenarios {
			t.Run(skewName+"/"+name, func(t *testing.T) {
				runScenario(t, issuerAhead, script)
			})
		}
	}
}

func runScenario(t *testing.T, issuerAhead float64, script string) {
	p := scenario.NewProxy(t)
	st, err := store.Open(store.Options{Clock: p.Clock, Timeout: time.Second})
	require.NoError(t, err)
	closed := false
	closeStore := func(string) error { closed = true; return st.Close() }
	defer func() {
		if !closed {
			_ = st.Close()
		}
	}()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	der, err := x509.MarshalPKIXPublicKey(&key.PublicKey)
	require.NoError(t, err)
	require.Eventually(t, st.IsLeader, time.Minute, time.Millisecond)
	require.NoError(t, st.PutKey("k1", store.Key{Alg: "ES256", Data: der}))
	require.NoError(t, st.PutKey("k2", store.Key{Alg: "HS256", Data: []byte("secret of the second key")}))

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := signed.New(signed.Options{Audience: "tabletop", Leeway: leeway, Clock: p.Clock, Store: st, Core: p.Core})
	go func() { _ = f.Serve(ln) }()
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // a scenario that failed leaves requests open
		_ = f.Shutdown(ctx)
	}()
	base := (&url.URL{Scheme: "http", Host: ln.Addr().String()}).String()
	s := signer{t: t, base: base, now: (p.Clock.Now() + issuerAhead) / 1000, serverNow: p.Clock.Now() / 1000, key: key}
	script = s.insertTokens(strings.ReplaceAll(script, "{expiry}", fmt.Sprint(briefValidity+1)))
	scenario.Run(t, p.Clock, map[string]scenario.Actor{
		"b": scenario.NewHTTPClient(base), "s": p.Cache, "drop": storeOperation(st.DeleteKey), "quorum": storeOperation(closeStore),
		"step": storeOperation(func(ms string) error {
			by, err := strconv.ParseFloat(ms, 64)
			p.Clock.StepWall(by)
			return err
		}),
		"revoke": storeOperation(func(jti string) error { return st.RevokeToken(jti, p.Clock.Now()+1e6) }),
	}, script)
	n := &p.Core.Counters
	require.Eventually(t, func() bool {
		return n.Served.Load()+n.Rejected.Load()+n.Failed.Load()+n.Abandoned.Load() == n.Requests.Load()
	}, time.Minute, time.Millisecond, "each request ends exactly once")
}
