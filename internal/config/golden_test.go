package config_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/config"
	"ravenwheel/internal/golden"
	"ravenwheel/policy"
)

// encode returns a decoded file as indented JSON, with the keys of the file.
func encode(t *testing.T, v any) []byte {
	t.Helper()
	out, err := json.MarshalIndent(v, "", " ")
	require.NoError(t, err)
	return append(out, '\n')
}

// noEnvironment is a getenv function of an environment without variables.
func noEnvironment(string) string { return "" }

// An operator's file with every key decodes to the values in the golden files, and encoding the decoded file yields the same keys.
func TestGoldenOperatorFile(t *testing.T) {
	file, err := config.ParseOperatorFile("/etc/ravenwheel/operator.jsonc", golden.Read(t, "operator.jsonc"))
	require.NoError(t, err)
	encoded := encode(t, file)
	golden.Equal(t, "operator-decoded.json", encoded)
	golden.Equal(t, "operator-keys.txt", fmt.Appendf(nil, "path %s\nkeys %v\nlog %v\n", file.Path, file.SigningKeys, file.LogOptions))

	var redecoded config.OperatorFile
	require.NoError(t, json.Unmarshal(encoded, &redecoded))
	require.Equal(t, encoded, encode(t, &redecoded))
}

// Absent keys of an operator's file have the default values in the golden files.
func TestGoldenOperatorDefaults(t *testing.T) {
	for name, text := range map[string]string{
		"empty": `{}`,
		"standalone": `{
			"proxy": {"name": "p", "listen": "127.0.0.1:4100", "zone": "z"}, "limits": {},
			"site": {"zones": ["z"], "proxies": {"z": 1}, "kinds": ["small", "origin"], "origin_kind": "origin"},
			"classes": [{"name": "asset", "deadline_ms": 4000}], "servers": {"path": "s"}, "state": {"dir": "d"},
			"signed": {"audience": "a", "listen": "127.0.0.1:4200"}}`,
		"subscriber": `{
			"peers": {"listen": "127.0.0.1:4400", "identity": "keys"},
			"distribution": {"identity": "keys", "upstream": [{"name": "m1", "addr": "127.0.0.1:4500", "rank": 1, "site": "s", "zone": "z", "region": "r"}]}}`,
		"joining member": `{
			"store": {"name": "m1", "listen": "127.0.0.1:4300", "join": "127.0.0.1:4301", "dir": "d", "identity": "keys"},
			"distribution": {"epoch": 1, "listen": "127.0.0.1:4500"}}`,
	} {
		file, err := config.ParseOperatorFile("/etc/ravenwheel/operator.jsonc", []byte(text))
		require.NoError(t, err, name)
		golden.Equal(t, "defaults-"+strings.ReplaceAll(name, " ", "-")+".json", encode(t, file))
	}
}

// A revision of the shared configuration decodes to the values in the golden file.
func TestGoldenLive(t *testing.T) {
	live, err := config.ParseLive("revision 3", string(golden.Read(t, "live.jsonc")))
	require.NoError(t, err)
	golden.Equal(t, "live-decoded.json", encode(t, live))
	golden.Equal(t, "live-keys.txt", fmt.Appendf(nil, "keys %v\n", live.SigningKeys))
}

// The platform's file, the same file with overrides from the environment, and an operator's file with "proxy" give the
// configurations in the golden files.
func TestGoldenConfig(t *testing.T) {
	environment := map[string]string{"LB_NAME": "n7", "LB_LISTEN": "127.0.0.1:4107", "LB_CONSOLE": "127.0.0.1:9097", "TMPDIR": "/run/rw"}
	fromPlatform, err := config.Parse(golden.Read(t, "config.json"), noEnvironment)
	require.NoError(t, err)
	golden.Equal(t, "config-decoded.txt", describe(fromPlatform))
	overridden, err := config.Parse(golden.Read(t, "config.json"), func(name string) string { return environment[name] })
	require.NoError(t, err)
	golden.Equal(t, "config-environment.txt", describe(overridden))

	file, err := config.ParseOperatorFile("/etc/ravenwheel/operator.jsonc", golden.Read(t, "operator.jsonc"))
	require.NoError(t, err)
	standalone, err := config.Read(noEnvironment, file)
	require.NoError(t, err)
	golden.Equal(t, "config-standalone.txt", describe(standalone))
}

// describe formats all values of a configuration, one a line.
func describe(c *config.Config) []byte {
	var out bytes.Buffer
	line := func(name string, value any) { fmt.Fprintf(&out, "%s: %v\n", name, value) }
	line("name", c.Name)
	line("listen", c.Listen)
	line("board", c.DiscoveryAddr)
	line("console", c.ConsoleAddr)
	line("shared", c.HandoverDir)
	line("seed", c.Seed)
	line("cores", c.Cores)
	line("memory_mb", c.MemoryMB)
	line("sockets", c.Sockets)
	line("classes", c.Classes)
	line("zones", c.Names.Zones)
	line("kinds", c.Names.Kinds)
	line("known events", len(c.InitialEvents))
	line("revision", c.InitialRevision)
	line("streams per connection", c.AttemptsPerConn)
	line("requests", c.MaxOpenRequests)
	line("idle ms", c.IdleTimeoutMs)
	line("connect ms", c.ConnectTimeoutMs)
	describeSettings(line, c.Settings)
	return out.Bytes()
}

func describeSettings(line func(name string, value any), s policy.Settings) {
	line("rank", s.RouterIndex)
	line("routers", s.Routers)
	line("zone", s.Zone)
	line("zone routers", s.ZoneRouters)
	line("home hub", s.HomeHub)
	line("link", s.LinkKBPerS)
	line("parent kind", s.ParentKind)
	line("origin kind", s.OriginKind)
	line("may pass by", s.MayBypassCaches)
	line("siblings", int(s.SiblingFills))
	line("shares fills", s.CoalescesFills)
	line("details", int(s.OutcomeDetail))
	line("flow", s.TransferKBPerS)
	line("purge takes", s.PurgeDuration)
	line("purge notice", s.PurgeGrace)
	line("origin multiple", s.OriginOverloadMultiple)
	line("origin bears", s.OriginOverloadWindow)
	line("ask discovery", s.WatchDiscovery)
	line("ask within", s.PollInterval)
	line("drain grace", s.DrainGrace)
	for name, warmUp := range []policy.WarmUp{s.CacheWarmUp, s.ParentWarmUp} {
		line(fmt.Sprint("fall ", name), fmt.Sprint(warmUp.InitialCapacity, warmUp.Duration, warmUp.OverloadMultiple, warmUp.OverloadWindow))
	}
	line("answer slack", s.FinalAnswerGrace)
	line("weights told", s.WeightsKnown)
	line("max tries", s.MaxAttempts)
	line("cancel", s.CanCancel)
	line("retry after", s.SendsRetryAfter)
	line("max retry after", s.MaxRetryAfter)
	line("connect within", s.ConnectTimeout)
	line("tick", s.MinBatchInterval)
	for i, class := range s.Classes {
		line(fmt.Sprintf("class %d", i), fmt.Sprint(class.LatencyObjective, class.ObjectiveStretch, class.Deadline, class.PriorityWeight, class.LateFraction, int(class.Idempotency),
			int(class.DedupScope), class.DedupWindow, class.Uncached, class.Multipart, class.FreshFor, class.StaleFor, class.StaleFraction))
	}
}

// Invalid files are rejected with the errors in the golden file, at the same lines and columns.
func TestGoldenDefects(t *testing.T) {
	good := string(golden.Read(t, "operator.jsonc"))
	var out bytes.Buffer
	for _, change := range []struct{ from, to string }{
		{`"proxy": {`, `"proxie": {`},
		{`"limits": {`, `"limits": 7, "limit": {`},
		{`"zone": "bangkok", "seed"`, `"zone": "bangkock", "seed"`},
		{`"cores": 1.5`, `"cores": 0`},
		{`"zones": ["north-hub"`, `"zones": ["", "north-hub"`},
		{`"zones": ["north-hub", "south-hub", "bangkok", "chiang-mai"]`, `"zones": []`},
		{`"chiang-mai": 1}`, `"chiang-mai": -1}`},
		{`"chiang-mai": 45000`, `"chiang-mai": -45000`},
		{`"parent_kind": "parent"`, `"parent_kind": "origin"`},
		{`"siblings": "any"`, `"siblings": "all"`},
		{`"falls_at": 2.5`, `"falls_at": 0`},
		{`"name": "reports"`, `"name": "replay"`},
		{`"window_ms": 6003`, `"window_ms": 0`},
		{`"effect": "at_most_once"`, `"effect": "once", "fresh_ms": 1`},
		{`"quiet_ms": 201`, `"quiet_ms": 5`},
		{`"most_wait_ms": 5001`, `"most_wait_ms": 200`},
		{`"path": "servers.jsonc", `, ``},
		{`"admin": {"listen": "127.0.20.100:4101"}`, `"admin": {"listen": "10.0.0.1:4101"}`},
		{`"admin": {"listen": "127.0.20.100:4101"}`, `"admin": {"listen": "unix:"}`},
		{`"dir": "state", `, ``},
		{`"level": "warn", "format": "json"`, `"level": "loud", "format": "xml"`},
		{`"key": "eA=="`, `"key": "?"`},
		{`"alg": "HS256"`, `"alg": "none"`},
		{`"name": "m1", "listen": "127.0.0.1:4300", "peers"`, `"name": "m3", "listen": "127.0.0.1:4300", "join": "x", "peers"`},
		{`"name": "m1", "listen": "127.0.0.1:4300", "peers"`, `"listen": "127.0.0.1:4300", "peers"`},
		{`"community": "public"`, `"community": ""`},
		{`"seeds": ["127.0.0.1:4402"]`, `"seeds": ["there"]`},
		{`"epoch": 2`, `"epoch": 0, "rank": 1, "name": "x"`},
		{`"second_copies": true`, `"second_copies": "yes"`},
		{`"rank": 3}`, `"rank": 3`},
	} {
		require.Contains(t, good, change.from)
		_, err := config.ParseOperatorFile("o", []byte(strings.Replace(good, change.from, change.to, 1)))
		require.Error(t, err, change.to)
		fmt.Fprintf(&out, "%s -> %s\n%v\n\n", change.from, change.to, err)
	}
	for _, text := range []string{`{"limits": {}}`, `{"proxy": {}}`, `{`, ``} {
		_, err := config.ParseOperatorFile("o", []byte(text))
		require.Error(t, err, text)
		fmt.Fprintf(&out, "%s\n%s\n\n", text, sortedLines(err))
	}
	for _, text := range []string{`{"site": {}}`, `{"log": {"level": "loud", "format": "json"}}`, `{"limits": {"requests": 0}}`, `{"keys": {"k": {"alg": "x", "key": ""}}}`} {
		_, err := config.ParseLive("revision 4", text)
		require.Error(t, err, text)
		fmt.Fprintf(&out, "live %s\n%v\n\n", text, err)
	}
	golden.Equal(t, "defects.txt", out.Bytes())
}
