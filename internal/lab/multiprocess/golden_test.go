package multiprocess_test

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/golden"
	"ravenwheel/internal/lab/loadmetrics"
	"ravenwheel/internal/lab/multiprocess"
)

// goldenScenario returns a scenario in which every field is set.
func goldenScenario() multiprocess.Scenario {
	return multiprocess.Scenario{
		Name: "golden", Seed: 2, Seconds: 3, Zones: 4, ProcessesPerZone: 5, CachesPerZone: 6, Parents: 7, TransferTime: 8, FillTime: 9, Rate: 10, Objects: 11,
		Peers: true, RandomFaults: 12,
		Faults: []multiprocess.Fault{{At: 1, Duration: 2, Kind: "cut", Fraction: 0.5, Zone: -1, From: 1, To: 2, BothWays: true, Magnitude: 0.25}},
	}
}

func TestGoldenScenario(t *testing.T) {
	s := goldenScenario()
	golden.Equal(t, "scenario.json", s.JSON())
	var decoded multiprocess.Scenario
	require.NoError(t, json.Unmarshal(golden.Read(t, "scenario.json"), &decoded))
	require.Equal(t, s, decoded)
	golden.Equal(t, "fault.json", []byte(s.Faults[0].String()))
}

func TestGoldenResult(t *testing.T) {
	s := goldenScenario()
	r := multiprocess.Result{
		Scenario: s, Timeline: s.Faults,
		Seconds:    []multiprocess.Second{{Requested: 1, Served: 2, Rejected: 3, Failed: 4, Lost: 5, Attempts: 6, Filled: 7, Running: 8}},
		Caches:     []multiprocess.CacheLoad{{ID: "c1", Zone: 2, Attempts: []int{3, 4}}},
		Alive:      []multiprocess.AliveCount{{Second: 1, Least: 2, Most: 3}},
		Violations: []string{"a rule"}, NotPlayed: []string{"a fault"}, P50: 1.5, P99: 2.5,
		Spread:             [2]loadmetrics.Spread{{Median: 1, P95: 2, Least: 3}, {Median: 4, P95: 5, Least: 6}},
		SpreadBeforeFaults: [2]loadmetrics.Spread{{Median: 7, P95: 8, Least: 9}, {Median: 10, P95: 11, Least: 12}},
		Reactions:          []multiprocess.Reaction{{Fault: 1, Cache: "c1", TimeToAbandon: 2, TimeToRestore: 3, SurgeMultiplier: 4}},
	}
	encoded, err := json.MarshalIndent(r, "", " ")
	require.NoError(t, err)
	golden.Equal(t, "result.json", encoded)
	var decoded multiprocess.Result
	require.NoError(t, json.Unmarshal(golden.Read(t, "result.json"), &decoded))
	require.Equal(t, r, decoded)
	encoded, err = json.MarshalIndent(multiprocess.Result{}, "", " ")
	require.NoError(t, err)
	golden.Equal(t, "result-empty.json", encoded)
}
