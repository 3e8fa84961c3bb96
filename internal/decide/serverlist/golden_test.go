package serverlist_test

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/golden"
)

// goldenServers returns two servers: one with every field set, and one with as few fields as a list may have.
func goldenServers() []serverlist.Server {
	return []serverlist.Server{
		{
			ID: 1, Host: "cache1.example.org", Port: 4100, Addr: "127.0.1.1:4100", Zone: "east", Kind: "small", Cell: 3,
			Draining: true, Weight: 4.5, StartedMs: 1_764_576_000_000,
		},
		{ID: 0x00c41f7a, Host: "::1", Port: 4101, Addr: "[::1]:4101", Zone: "west", Kind: "parent", Weight: 1, Warm: true},
	}
}

// The encodings in which servers are stored, in the shared store and in a proxy's own state.
func TestGoldenServerEncodings(t *testing.T) {
	asJSON, err := json.MarshalIndent(goldenServers(), "", "  ")
	require.NoError(t, err)
	golden.Equal(t, "servers.json", asJSON)
	var fromJSON []serverlist.Server
	require.NoError(t, json.Unmarshal(golden.Read(t, "servers.json"), &fromJSON))
	require.Equal(t, goldenServers(), fromJSON)

	mode, err := cbor.CoreDetEncOptions().EncMode()
	require.NoError(t, err)
	asCBOR, err := mode.Marshal(goldenServers())
	require.NoError(t, err)
	golden.Equal(t, "servers.cbor", asCBOR)
	var fromCBOR []serverlist.Server
	require.NoError(t, cbor.Unmarshal(golden.Read(t, "servers.cbor"), &fromCBOR))
	require.Equal(t, goldenServers(), fromCBOR)
}

// goldenResolutions has the addresses of the hosts in the golden lists.
var goldenResolutions = map[string]serverlist.Resolution{
	"cache1.example.org": {Addrs: []string{"127.0.1.1"}}, "::1": {Addrs: []string{"::1"}},
	"127.0.0.20": {Addrs: []string{"127.0.0.20"}},
}

// Parse reads the same servers from a list file that Format has written, and Format writes the same bytes again.
func TestGoldenListFile(t *testing.T) {
	golden.Equal(t, "list.json", serverlist.Format(&serverlist.List{Generation: 7, Servers: goldenServers()}))
	draft, defects := serverlist.Parse([]serverlist.File{{Name: "list.json", Data: golden.Read(t, "list.json")}}, serverlist.Requirements{})
	require.NoError(t, defects.Err())
	resolved, defects := draft.Resolve(goldenResolutions, nil)
	require.NoError(t, defects.Err())
	require.EqualValues(t, 7, resolved.Generation)
	require.Equal(t, goldenServers(), resolved.Servers)
	golden.Equal(t, "list.json", serverlist.Format(resolved))
}

// A directory of parts with a manifest may have comments, trailing commas and every optional field.
func TestGoldenListParts(t *testing.T) {
	var files []serverlist.File
	for _, name := range []string{"manifest.jsonc", "hub.jsonc", "east.jsonc"} {
		files = append(files, serverlist.File{Name: name, Data: golden.Read(t, name)})
	}
	draft, defects := serverlist.Parse(files, requirements)
	require.NoError(t, defects.Err())
	require.True(t, draft.Force)
	resolved, defects := draft.Resolve(goldenResolutions, nil)
	require.NoError(t, defects.Err())
	golden.Equal(t, "parts-as-one.json", serverlist.Format(resolved))
}
