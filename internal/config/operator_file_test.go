package config_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

func readExample(t *testing.T) string {
	raw, err := os.ReadFile("../../deploy/standalone.jsonc")
	require.NoError(t, err)
	return string(raw)
}

// The example files in deploy are valid. standalone.jsonc, which the README uses, configures everything that the platform
// would. A server list that is formatted and parsed again is the same list.
func TestExampleFilesAreValid(t *testing.T) {
	file, err := config.LoadOperatorFile("../../deploy/standalone.jsonc")
	require.NoError(t, err)
	c, err := config.Read(func(string) string { return "" }, file)
	require.NoError(t, err)
	require.Equal(t, []string{"replay", "asset", "seat-claim"}, c.Classes)
	require.Equal(t, policy.NotIdempotent, c.Settings.Classes[2].Idempotency)
	require.Equal(t, 2, c.Settings.Zone)
	require.Equal(t, 2, c.Settings.ParentKind)
	require.Equal(t, 2, c.Settings.Routers)
	require.NotZero(t, c.Seed)
	require.False(t, c.Settings.MayBypassCaches || c.Settings.CoalescesFills)
	file, err = config.ParseOperatorFile("o", []byte(strings.Replace(readExample(t), `"siblings"`, `"direct": true, "joins": true, "siblings"`, 1)))
	require.NoError(t, err)
	c, err = config.Read(func(string) string { return "" }, file)
	require.NoError(t, err)
	require.True(t, c.Settings.MayBypassCaches && c.Settings.CoalescesFills, "requests may bypass caches and join fills")
	raw, err := os.ReadFile("../../deploy/servers.example.jsonc")
	require.NoError(t, err)
	draft, defects := serverlist.Parse([]serverlist.File{{Name: "l", Data: raw}}, c.ListRequirements(0.34))
	require.NoError(t, defects.Err())
	resolutions := map[string]serverlist.Resolution{}
	for _, host := range draft.Hosts() {
		resolutions[host] = serverlist.Resolution{Addrs: []string{host}}
	}
	list, defects := draft.Resolve(resolutions, nil)
	require.NoError(t, defects.Err())
	reparsed, defects := serverlist.Parse([]serverlist.File{{Name: "l", Data: serverlist.Format(list)}}, c.ListRequirements(0.34))
	require.NoError(t, defects.Err())
	reread, defects := reparsed.Resolve(resolutions, list)
	require.NoError(t, defects.Err())
	require.Same(t, list, reread, "a formatted list is parsed as the same list")
	entries := c.Entries(list)
	require.Equal(t, policy.Draining, entries[4].State)
	require.Equal(t, 3, entries[4].Zone)

	raw, err = os.ReadFile("../../deploy/operator.example.jsonc")
	require.NoError(t, err)
	_, err = config.ParseOperatorFile("o", raw)
	require.EqualError(t, err, `o:10:42: key "2026-12" is empty or not valid base64`, "the key must be filled in, and everything else is valid")
	_, err = config.ParseOperatorFile("o", []byte(strings.Replace(string(raw), `"key": ""`, `"key": "eA=="`, 1)))
	require.NoError(t, err)
	file, err = config.LoadOperatorFile("")
	require.NoError(t, err)
	_, err = config.Read(func(string) string { return "" }, file)
	require.EqualError(t, err, "LB_CONFIG is not set")
	_, err = config.LoadOperatorFile(filepath.Join(t.TempDir(), "none"))
	require.Error(t, err)
}

// Each invalid change of the example is rejected with the error want.
func TestInvalidOperatorFileIsRejected(t *testing.T) {
	text := readExample(t)
	for _, c := range []struct{ from, to, want string }{
		{`"listen": "127.0.20.100:4100"`, `"listen": "localhost:4100"`, `o:9:15: listen "localhost:4100" is not an IP address with a port, such as 127.0.0.1:4100`},
		{`"zone": "bangkok"`, `"zone": "bangkock"`, `o:10:13: unknown zone "bangkock"`},
		{`"sockets": 1024`, `"sockets": 3`, "o:16:16: sockets 3 is not from 32 to 1048576"},
		{`"tries": 8`, `"trys": 8`, `o:18:5: unknown field "trys"`},
		{`"chiang-mai": "north-hub"`, `"chiang-mai": "west-hub"`, `o:25:56: unknown zone "west-hub"`},
		{`"proxies": {"bangkok": 1,`, `"proxies": {`, `o:26:16: this proxy is in zone "bangkok", but proxies has no count of 1 or more for that zone`},
		{`"origin_kind": "origin"`, `"origin_kind": "parent"`, "o:29:20: origin_kind is also parent_kind: parents and the origin must be of different kinds"},
		{`"siblings": "location"`, `"siblings": "all"`, `o:31:17: siblings "all" is not one of none, location, any`},
		{`"stretch": 2, `, `"stretch": -2, `, "o:39:52: stretch -2 is not from 0 to 1000"},
		{`"name": "asset"`, `"name": "replay"`, `o:39:14: class name "replay" is empty, named twice or contains a space, a comma, an equals sign or a line break`},
		{`"effect": "at_most_once"`, `"effect": "once"`, `o:41:89: effect "once" is not one of idempotent, deduplicated, at_most_once`},
		{`"effect": "at_most_once"`, `"effect": "deduplicated"`, "o:41:5: a deduplicated class needs window_ms: for how long repeats are discarded"},
		{`"uncached": true}`, `"uncached": true, "fresh_ms": 5}`, "o:41:135: fresh_ms is not allowed with uncached: answers of an uncached class are never cached"},
		{`"most_dropped": 0.34`, `"most_dropped": 34`, "o:50:21: most_dropped 34 is not from 0 to 1"},
		{`"listen": "127.0.20.100:4101"`, `"listen": "10.0.0.1:4101"`, `o:54:23: listen "10.0.0.1:4101" is not a loopback address`},
		{`"level": "info"`, `"level": "loud"`, `o:56:20: level "loud" is not one of debug, info, warn, error`},
		{`"proxy": {`, `"proxie": {`, `o:7:3: unknown field "proxie"`},
		{`"servers": {`, `"admin": {`, `o:54:3: "admin" is given twice`},
	} {
		require.Contains(t, text, c.from)
		_, err := config.ParseOperatorFile("o", []byte(strings.Replace(text, c.from, c.to, 1)))
		if assert.Error(t, err, c.to) {
			assert.Contains(t, err.Error(), c.want, c.to)
		}
	}
	_, err := config.ParseOperatorFile("o", []byte(`{"limits": {}, "proxy": {"name": "x"}}`))
	require.Equal(t, "o:1:25: proxy needs classes: with proxy, the program runs without the platform\n"+
		"o:1:25: proxy needs servers: with proxy, there is no discovery that lists them\n"+
		"o:1:25: proxy needs site: with proxy, the program runs without the platform", sortedLines(err))
	_, err = config.ParseOperatorFile("o", []byte(`{"limits": {}}`))
	require.EqualError(t, err, "o:1:12: limits is only allowed with proxy: without it, the platform configures this")
}

func sortedLines(err error) string {
	lines := strings.Split(err.Error(), "\n")
	for i := range lines {
		for j := range i {
			if lines[i] < lines[j] {
				lines[i], lines[j] = lines[j], lines[i]
			}
		}
	}
	return strings.Join(lines, "\n")
}
