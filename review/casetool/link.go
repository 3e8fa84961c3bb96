package main

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

const audience = "branch-players"

// sign returns a JWT with HS256.
func sign(kid string, secret []byte, claims map[string]any) string {
	part := func(v any) string {
		raw, _ := json.Marshal(v)
		return base64.RawURLEncoding.EncodeToString(raw)
	}
	text := part(map[string]any{"alg": "HS256", "typ": "JWT", "kid": kid}) + "." + part(claims)
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(text))
	return text + "." + base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// linkClaims are the claims of a token for one URI that expires at a Unix time in s.
func linkClaims(uri, jti string, expires int64) map[string]any {
	sum := sha256.Sum256([]byte(uri))
	claims := map[string]any{
		"aud": audience, "exp": expires, "cdniv": 1, "cdniuc": "hash:sha-256;" + base64.RawURLEncoding.EncodeToString(sum[:]),
	}
	if jti != "" {
		claims["jti"] = jti
	}
	return claims
}

var httpClient = &http.Client{Timeout: 6 * time.Second}

// getLink fetches a signed link.
func getLink(addr, path, kid string, secret []byte, expires int64) (status int, body string, err error) {
	uri := "http://" + addr + path
	return do("GET", uri+"?URISigningPackage="+sign(kid, secret, linkClaims(uri, "", expires)), "", "")
}

// post sends a write with a bearer token.
func post(addr, path, token, body string) (status int, answer string, err error) {
	return do("POST", "http://"+addr+path, token, body)
}

func do(method, uri, token, body string) (status int, answer string, err error) {
	request, err := http.NewRequest(method, uri, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	request.Header.Set("X-Budget-Ms", "2400")
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(raw)), err
}

// randomID returns 16 random hex digits.
func randomID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
