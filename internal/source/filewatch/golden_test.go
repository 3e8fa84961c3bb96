package filewatch

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/golden"
	"ravenwheel/internal/strictjson"
)

// The status of a watched list, as shown to operators.
func TestGoldenStatus(t *testing.T) {
	for name, status := range map[string]Status{
		"status.json": {
			Path: "/etc/ravenwheel/servers.jsonc", Generation: 7, AcceptedMs: 1000.5, Reasons: []string{"servers.jsonc:1:1: end is missing"},
			RejectedMs: 2000.25, Reads: 11, Accepted: 3, Rejected: 2,
		},
		"status-empty.json": {Path: "servers.jsonc"},
	} {
		encoded, err := json.Marshal(status)
		require.NoError(t, err)
		golden.Equal(t, name, encoded)
		var decoded Status
		require.NoError(t, json.Unmarshal(golden.Read(t, name), &decoded))
		require.Equal(t, status, decoded)
	}
	rejected := Status{Defects: strictjson.Defects{{File: "servers.jsonc", Reason: "x"}}}
	encoded, err := json.Marshal(rejected)
	require.NoError(t, err)
	require.NotContains(t, string(encoded), "servers.jsonc", "defects are only shown as the texts in Reasons")
}
