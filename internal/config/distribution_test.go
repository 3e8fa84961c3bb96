package config_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/config"
)

const rootText = `{
  "store": {"name": "m1", "listen": "127.0.0.1:4300", "dir": "store", "identity": "keys", "peers": [{"name": "m1", "addr": "127.0.0.1:4300"}]},
  "distribution": {
    "epoch": 1, "listen": "127.0.0.1:4500"
  }
}`

const distributorText = `{
  "distribution": {
    "name": "d1", "identity": "keys", "listen": "127.0.0.1:4501", "rank": 1, "zone": "east", "region": "th",
    "upstream": [
      {"name": "m1", "addr": "127.0.0.1:4500"},
      {"name": "m2", "addr": "127.0.0.1:4502"}
    ]
  }
}`

// Absent keys have their default values, and a member of the store uses the store's name and identity.
func TestDistributionDefaults(t *testing.T) {
	file, err := config.ParseOperatorFile("/etc/o", []byte(rootText))
	require.NoError(t, err)
	d := file.Distribution
	require.Equal(t, config.Distribution{
		Name: "m1", Identity: "/etc/keys", Epoch: 1, Listen: "127.0.0.1:4500", MaxLinks: 1024,
		HeartbeatMs: 500, SilenceTimeoutMs: 1800, MaxLagMs: 6800, MaxClockSkewMs: 250,
	}, *d)
	file, err = config.ParseOperatorFile("/etc/o", []byte(distributorText))
	require.NoError(t, err)
	require.Equal(t, "/etc/keys", file.Distribution.Identity)
	require.Len(t, file.Distribution.Distributors, 2)
	leaf := strings.Replace(distributorText, `"listen": "127.0.0.1:4501", "rank": 1, `, `"heartbeat_ms": 5000, `, 1)
	file, err = config.ParseOperatorFile("/etc/o", []byte(leaf))
	require.NoError(t, err)
	require.Equal(t, 100, file.Distribution.Rank, "the highest rank is the default")
	require.Equal(t, []float64{15_000, 15_000}, []float64{file.Distribution.SilenceTimeoutMs, file.Distribution.MaxLagMs})
	file, err = config.ParseOperatorFile("/etc/o", []byte(`{}`))
	require.NoError(t, err)
	require.Nil(t, file.Distribution, "distribution is off by default")
}

// Each invalid change of a valid file is rejected with the line want.
func TestInvalidDistributionIsRejected(t *testing.T) {
	for _, c := range []struct{ text, from, to, want string }{
		{rootText, `"epoch": 1, `, ``, "o:3:19: a member of the store needs epoch: from 1, and higher each time the store begins anew"},
		{rootText, `"epoch": 1, "listen": "127.0.0.1:4500"`, `"epoch": 1`, "o:3:19: a member of the store needs listen: the address at which others subscribe"},
		{rootText, `"epoch": 1`, `"epoch": 1, "rank": 1`, "o:4:25: rank 1 is not from 0 to 0"},
		{rootText, `"epoch": 1`, `"epoch": 1, "name": "x"`, "o:4:25: name is not allowed in a member of the store: it has the store's name and identity, and no upstream"},
		{rootText, `"epoch": 1`, `"epoch": 1, "identity": "x"`, "o:4:29: identity is not allowed in a member of the store: it has the store's name and identity, and no upstream"},
		{rootText, `"epoch": 1`, `"epoch": 1, "upstream": []`, "o:4:29: upstream is not allowed in a member of the store: it has the store's name and identity, and no upstream"},
		{rootText, `"epoch": 1`, `"epoch": 1, "strict": ["asset"]`, "o:4:27: strict is not supported yet: requests would not take it into account"},
		{rootText, `"epoch": 1`, `"epoch": 1, "strict": []`, "o:4:27: strict is not supported yet: requests would not take it into account"},
		{rootText, `:4500"`, `"`, `o:4:27: listen "127.0.0.1" is not an IP address with a port, such as 127.0.0.1:4100`},
		{rootText, `"epoch": 1`, `"epoch": 1, "most_links": 1`, "o:4:31: most_links 1 is not from 2 to 65536"},
		{rootText, `"epoch": 1`, `"epoch": 1, "silent_ms": 100`, "o:4:30: silent_ms 100 is not from 1500 to 86400000"},
		{rootText, `"epoch": 1`, `"epoch": 1, "bound_ms": 100`, "o:4:29: bound_ms 100 is not from 1800 to 86400000"},
		{rootText, `"epoch": 1`, `"epoch": 1, "heartbeat_ms": 1`, "o:4:33: heartbeat_ms 1 is not from 10 to 60000"},
		{rootText, `"epoch": 1`, `"epoch": 1, "clock_bound_ms": -1`, "o:4:35: clock_bound_ms -1 is not from 0 to 60000"},
		{rootText, `"epoch": 1`, `"epoh": 1`, `o:4:5: unknown field "epoh"; did you mean "epoch"?`},
		{distributorText, `"identity": "keys", `, ``, "o:2:19: distribution needs identity"},
		{distributorText, `"rank": 1, `, ``, "o:2:19: a distributor needs rank: its subscribers must have a higher one"},
		{distributorText, `"rank": 1`, `"rank": 101`, "o:3:75: rank 101 is not from 1 to 100"},
		{distributorText, `"rank": 1`, `"rank": 1, "epoch": 3`, "o:3:87: epoch is only allowed in a member of the store: others receive it from there"},
		{distributorText, `:4502"`, `"`, `o:6:30: addr "127.0.0.1" is not an IP address with a port, such as 127.0.0.1:4100`},
		{distributorText, `"m2"`, `"m1"`, `o:6:16: distributor name "m1" is empty, named twice or the name of this process`},
		{distributorText, `"m2"`, `"d1"`, `o:6:16: distributor name "d1" is empty, named twice or the name of this process`},
		{distributorText, `"name": "m2"`, `"rank": 1, "name": "m2"`, `o:6:16: rank 1 of "m2" is not from 0 to 0: it must be lower than the rank of this process, 1`},
		{distributorText, `"upstream"`, `"strict": ["asset"], "upstream"`, "o:4:15: strict is not supported yet: requests would not take it into account"},
		{distributorText, `{
  "dist`, `{"signed": {"audience": "x", "listen": "127.0.0.1:4200"},
  "dist`, "o:1:12: signed is only allowed in a member of the store: redeemed tokens are not distributed"},
	} {
		require.Contains(t, c.text, c.from)
		_, err := config.ParseOperatorFile("o", []byte(strings.Replace(c.text, c.from, c.to, 1)))
		if assert.Error(t, err, c.to) {
			assert.Contains(t, strings.Split(err.Error(), "\n"), c.want, c.to)
		}
	}
	_, err := config.ParseOperatorFile("o", []byte(`{"distribution": {"identity": "keys"}}`))
	require.EqualError(t, err, "o:1:18: a process that is not a member of the store needs upstream: the distributors at which it may subscribe")
}
