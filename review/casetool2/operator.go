package main

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// audience is the audience of all tokens.
const audience = "tabletop-th"

// member is a proxy with an operator's file.
type member struct {
	p        *play
	name     string
	listen   string // for clients of the platform's protocol
	admin    string
	signed   string
	store    string
	operator string // path of the operator's file
	process  *process
}

func (p *play) newMember(name string) *member {
	return &member{p: p, name: name, listen: p.freeAddr(), admin: p.freeAddr(), signed: p.freeAddr(), store: p.freeAddr()}
}

// secretOf returns the secret of a signing key.
func secretOf(kid string) []byte {
	sum := sha256.Sum256([]byte("review " + kid))
	return sum[:]
}

// keyRing returns keys as operators write them.
func keyRing(kids ...string) map[string]any {
	ring := map[string]any{}
	for _, kid := range kids {
		ring[kid] = map[string]any{"alg": "HS256", "key": base64.StdEncoding.EncodeToString(secretOf(kid))}
	}
	return ring
}

// writeOperatorFile writes the operator's file, which is that of deploy/standalone.jsonc with a signed front and a store; store is nil
// for one that is alone and in memory.
func (m *member) writeOperatorFile(s *site, store map[string]any, leewayMs int, kids ...string) {
	p := m.p
	list := p.listPath()
	if _, err := os.Stat(list); err != nil {
		p.writeList(1, s.listed())
	}
	if store == nil {
		store = map[string]any{"timeout_ms": 2000}
	}
	m.operator = filepath.Join(p.dir, m.name+".json")
	p.writeJSON(m.operator, map[string]any{
		"proxy":  map[string]any{"name": m.name, "listen": m.listen, "zone": "bangkok"},
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "requests": 4096, "tries": 8, "backoff_ms": 500},
		"site": map[string]any{
			"zones": []string{"north-hub", "south-hub", "bangkok"}, "home_hub": map[string]any{"bangkok": "north-hub"},
			"proxies": map[string]any{"bangkok": 1}, "kinds": []string{"small", "large", "parent", "origin"}, "parent_kind": "parent",
			"origin_kind": "origin", "flow_kb_per_s": 6000, "siblings": "location", "drain_grace_ms": 2000, "purge_grace_ms": 1000,
			"purge_takes_ms": 6000,
		},
		"classes": []any{
			map[string]any{"name": "asset", "target_ms": 400, "stretch": 2, "deadline_ms": 2500, "worth": 1, "effect": "idempotent"},
			map[string]any{"name": "seat-claim", "target_ms": 600, "deadline_ms": 3000, "worth": 3, "effect": "at_most_once", "uncached": true},
		},
		"servers": map[string]any{"path": list, "quiet_ms": 200, "poll_ms": 5000, "drain_ms": 6000, "most_dropped": 0.34},
		"admin":   map[string]any{"listen": m.admin},
		"signed":  map[string]any{"listen": m.signed, "audience": audience, "leeway_ms": leewayMs, "keys": keyRing(kids...)},
		"store":   store,
		"log":     map[string]any{"level": "info", "format": "text"},
	})
}

// listPath is the path of the watched list.
func (p *play) listPath() string { return filepath.Join(p.dir, "servers.json") }

// listed starts a cache, a parent and the origin, and returns their entries in a list.
func (s *site) listed() (servers []map[string]any) {
	for i, x := range []struct{ name, zone, kind string }{
		{"cache", "bangkok", "small"}, {"parent", "north-hub", "parent"}, {"origin", "north-hub", "origin"},
	} {
		servers = append(servers, map[string]any{"id": fmt.Sprintf("s-%08x", i+1), "addr": s.serve(x.name), "zone": x.zone, "kind": x.kind, "weight": 30})
	}
	return servers
}

// writeList puts a list in the place of the watched one, whole.
func (p *play) writeList(generation int, servers []map[string]any) {
	p.writeJSON(p.listPath()+".new", map[string]any{"generation": generation, "servers": servers, "end": generation})
	p.check(os.Rename(p.listPath()+".new", p.listPath()), "list")
	p.logf("list %d, of %d servers, is in place", generation, len(servers))
}

func (p *play) writeJSON(path string, value any) {
	text, err := json.Marshal(value)
	p.check(err, path)
	p.check(os.WriteFile(path, text, 0o600), path)
}

// start starts the proxy, and waits until it is ready and its signed front listens.
func (m *member) start() {
	m.process = m.p.start(m.name, nil, "serve --operator "+m.operator)
}

func (m *member) awaitReady() {
	m.p.awaitReady(m.listen)
	m.p.until("signed front of "+m.name, 10*time.Second, func() bool {
		conn, err := net.DialTimeout("tcp", m.signed, time.Second)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
}

// run runs a command of the program, as an operator does, and returns what it printed.
func (p *play) run(args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(p.root, "bin", "ravenwheel"), args...)
	out, err := cmd.CombinedOutput()
	text := strings.TrimSpace(string(out))
	p.logf("operator: ravenwheel %s: %q %v", strings.Join(args, " "), text, err)
	return text, err
}

// setConfig puts a revision of the configuration in force, as an operator does.
func (m *member) setConfig(revision map[string]any) error {
	path := filepath.Join(m.p.dir, "revision.json")
	m.p.writeJSON(path, revision)
	_, err := m.p.run("config", "set", path, "--admin", m.admin)
	return err
}

// token returns a JWT that is good for all of a class's URIs at any member.
func token(kid, jti, class string, expires time.Time) string {
	encode := func(value any) string {
		text, _ := json.Marshal(value)
		return base64.RawURLEncoding.EncodeToString(text)
	}
	claims := map[string]any{
		"iss": "tabletop", "aud": audience, "exp": expires.Unix(), "cdniv": 1, "cdniuc": "regex:http://[0-9.:]+/" + class + "/[0-9a-f]{16}",
	}
	if jti != "" {
		claims["jti"] = jti
	}
	signed := encode(map[string]any{"alg": "HS256", "typ": "JWT", "kid": kid}) + "." + encode(claims)
	mac := hmac.New(sha256.New, secretOf(kid))
	mac.Write([]byte(signed))
	return signed + "." + base64.RawURLEncoding.EncodeToString(mac.Sum(nil))
}

// httpClient opens a connection for each request.
var httpClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// get requests an object by a signed link, and returns the status; 0: there was no answer.
func (m *member) get(raw, class, object string) int {
	path := "/" + class + "/" + object + "?URISigningPackage=" + raw
	response, err := httpClient.Get("http://" + m.signed + path)
	if err != nil {
		m.p.logf("GET %s at %s: %v", path[:min(len(path), 40)], m.name, err)
		return 0
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	m.p.logf("GET %s at %s: %d %q", path[:min(len(path), 40)], m.name, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode
}
