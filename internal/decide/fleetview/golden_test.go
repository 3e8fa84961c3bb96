package fleetview

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"ravenwheel/internal/golden"
)

// goldenDigest returns a digest with every field set.
func goldenDigest() Digest {
	return Digest{
		From: "proxy-a", Incarnation: 1_780_000_000_123, Version: 42, Zone: "zone-1", Arrivals: LevelOf(765),
		Servers: []ServerLoad{
			{Server: 7, Attempts: 60, Failures: 5, Rejections: 4, Overdue: 3, InFlight: 30, Latency: Latency{200, 40, 10, 5}},
			{Server: 300, Attempts: 1},
		},
		Objects: []ObjectRate{{Object: 1<<60 + 3, Rate: 40}, {Object: 5, Rate: 9}},
		Age:     812.5, Partial: true,
	}
}

// Digests are encoded to the same bytes as by earlier versions, and theirs are decoded.
func TestGoldenDigest(t *testing.T) {
	for name, digest := range map[string]Digest{"digest.cbor": goldenDigest(), "digest_empty.cbor": {}} {
		raw, err := cbor.Marshal(digest)
		require.NoError(t, err)
		golden.Equal(t, name, raw)
		var decoded Digest
		require.NoError(t, cbor.Unmarshal(golden.Read(t, name), &decoded))
		require.Equal(t, digest, decoded)
		reencoded, err := cbor.Marshal(decoded)
		require.NoError(t, err)
		golden.Equal(t, name, reencoded)
	}
}

// equalJSON requires that a value is encoded as a golden file and that the file is decoded to the value.
func equalJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	raw, err := json.MarshalIndent(value, "", "  ")
	require.NoError(t, err)
	golden.Equal(t, name, raw)
	var decoded T
	require.NoError(t, json.Unmarshal(golden.Read(t, name), &decoded))
	require.Equal(t, value, decoded)
}

// The JSON keys shown to operators do not change.
func TestGoldenJSON(t *testing.T) {
	bounded := func(value float64) BoundedValue { return BoundedValue{Value: value, Low: value - 1, High: value + 1} }
	equalJSON(t, "peer.json", Peer{Name: "proxy-a", Zone: "zone-1", Incarnation: 3, Age: 812.5, Arrivals: 765, Servers: 9})
	equalJSON(t, "reporter.json", Report{Name: "proxy-a", Zone: "zone-1", Age: 812.5, Attempts: 20, Failing: 0.25, Latency: Latency{200, 40}})
	equalJSON(t, "heavy_object.json", HeavyHitter{Object: 5, Rate: bounded(40), Reporters: 20})
	equalJSON(t, "estimate.json", Estimate{
		Reporters: 3, Load: bounded(100), Failing: bounded(2), Overdue: bounded(3), P50: 12.5, P90: 90, OwnWeight: 0.5,
	})
	equalJSON(t, "empty.json", struct {
		Peer     Peer
		Reporter Report
		Heavy    HeavyHitter
		Estimate Estimate
	}{})
}
