package signed_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/golang-jwt/jwt/v5"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/front/signed"
	"ravenwheel/internal/golden"
	"ravenwheel/internal/scenario"
	"ravenwheel/internal/store"
	"ravenwheel/policy"
)

// fakeHandler gives one prepared answer after a delay, and records the request.
type fakeHandler struct {
	clock   *clock.Clock
	answer  core.Answer
	delay   float64 // ms
	request string
}

func (h *fakeHandler) Do(_ context.Context, q core.Request) core.Answer {
	now := h.clock.Now()
	h.request = fmt.Sprintf("id of %d digits, class %d, object %s, part %d, group %d, holds %q, body %q, deadline in %v ms, last send in %v ms\n",
		len(q.ID), q.Class, q.Object, q.Part, q.Group, q.CachedTag, q.Body, q.Deadline-now, max(0, q.SendBy-now))
	h.clock.Advance(h.delay)
	return h.answer
}

func (h *fakeHandler) ClassIndex(name string) int {
	return map[string]int{"replay": 0, "asset": 1, "seat-claim": 2, "": -1}[name]
}

func (h *fakeHandler) Settings() policy.Settings { return scenario.Settings() }

// The status, the headers and the body of each kind of answer, and the request that the core is given, stay as recorded.
func TestGoldenAnswers(t *testing.T) {
	const (
		read  = "/asset/" + object
		write = "/seat-claim/" + object
	)
	secret := []byte("secret of the second key")
	clk := clock.Manual(1_764_576_000_000)
	st, err := store.Open(store.Options{Clock: clk, Timeout: time.Second})
	require.NoError(t, err)
	defer st.Close()
	require.Eventually(t, st.IsLeader, time.Minute, time.Millisecond)
	require.NoError(t, st.PutKey("k2", store.Key{Alg: "HS256", Data: secret}))
	require.NoError(t, st.RevokeToken("revoked", clk.Now()+1e9))
	handler := &fakeHandler{clock: clk}
	front := signed.New(signed.Options{Audience: "tabletop", Leeway: leeway, Clock: clk, Store: st, Core: handler})
	signToken := func(path, id string, seconds float64) string {
		sum := sha256.Sum256([]byte("http://proxy" + path))
		claims := jwt.MapClaims{
			"aud": "tabletop", "exp": clk.Wall()/1000 + seconds, "jti": id, "cdniv": 1,
			"cdniuc": "hash:sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:]),
		}
		unsigned := jwt.NewWithClaims(jwt.SigningMethodHS256, claims)
		unsigned.Header["kid"] = "k2"
		raw, err := unsigned.SignedString(secret)
		require.NoError(t, err)
		return raw
	}
	var out bytes.Buffer
	for i, c := range []struct {
		name, method, path, id, header string
		validFor                       float64 // how long the token is valid, in s
		body                           string
		answer                         core.Answer
		delay                          float64 // ms
	}{
		{"a read that is served", "GET", read, "r", "If-None-Match: \"v6\"", 10, "", core.Answer{Body: []byte("BYTES"), Tag: "v7"}, 5},
		{"a read of a part", "GET", read + "?part=3", "r", "X-Budget-Ms: 700", 10, "", core.Answer{Body: []byte("PART")}, 5},
		{"the client's copy holds", "GET", read, "r", "If-None-Match: \"v7\"", 10, "", core.Answer{NotModified: true, Tag: "v7"}, 5},
		{"a read that is refused", "GET", read, "r", "", 10, "", core.Answer{Verdict: core.Rejected, RetryAfter: 2500}, 5},
		{"a read that is refused without advice", "GET", read, "r", "", 10, "", core.Answer{Verdict: core.Rejected}, 5},
		{"a read that failed", "GET", read, "r", "", 10, "", core.Answer{Verdict: core.Failed}, 5},
		{"a read that timed out", "GET", read, "r", "X-Budget-Ms: 700", 10, "", core.Answer{Verdict: core.Failed}, 700},
		{"a read whose link expired", "GET", read, "r", "", 1, "", core.Answer{Body: []byte("BYTES")}, 4000},
		{"a link that is too old", "GET", read, "r", "", -60, "", core.Answer{}, 0},
		{"a link of another object", "GET", read, "r", "wrong", 10, "", core.Answer{}, 0},
		{"a link that is revoked", "GET", read, "revoked", "", 10, "", core.Answer{}, 0},
		{"a bad request", "POST", read, "r", "", 10, "", core.Answer{}, 0},
		{"a write that is served", "POST", write, "w1", "", 10, "seat9", core.Answer{Body: []byte("DONE")}, 5},
		{"the write once more", "POST", write, "w1", "", 10, "seat9", core.Answer{}, 5},
		{"a write that is refused", "POST", write, "w2", "", 10, "seat9", core.Answer{Verdict: core.Rejected, RetryAfter: 100}, 5},
		{"a write that failed", "POST", write, "w3", "", 10, "seat9", core.Answer{Verdict: core.Failed}, 5},
		{"a write that timed out", "POST", write, "w4", "X-Budget-Ms: 900", 10, "seat9", core.Answer{Verdict: core.Failed}, 900},
		{"a write whose token expired unsent", "POST", write, "w5", "", 1, "seat9", core.Answer{Verdict: core.Rejected}, 4000},
	} {
		handler.answer, handler.delay, handler.request = c.answer, c.delay, "not asked\n"
		r := httptest.NewRequest(c.method, "http://proxy"+c.path, strings.NewReader(c.body))
		if name, value, ok := strings.Cut(c.header, ": "); ok {
			r.Header.Set(name, value)
		}
		if signedPath := c.path; c.method == http.MethodPost {
			r.Header.Set("Authorization", "Bearer "+signToken(signedPath, c.id, c.validFor))
		} else {
			if c.header == "wrong" {
				signedPath = "/asset/0000000000000001"
			}
			r.AddCookie(&http.Cookie{Name: "URISigningPackage", Value: signToken(signedPath, c.id, c.validFor)})
		}
		w := httptest.NewRecorder()
		front.ServeHTTP(w, r)
		fmt.Fprintf(&out, "%d %s\n%s%d\n", i, c.name, handler.request, w.Code)
		require.NoError(t, w.Header().Write(&out)) // sorted by name
		fmt.Fprintf(&out, "%q\n\n", w.Body.String())
	}
	golden.Equal(t, "answers.txt", bytes.ReplaceAll(out.Bytes(), []byte("\r\n"), []byte("\n")))
}
