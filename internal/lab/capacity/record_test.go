package capacity

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

const recordingsDir = "../../../docs/measurements/capacity"

// Recorded sizes differ by at most a quarter from those that the present encodings give. The page's figures are no more precise.
func TestRecordedSizesAreUpToDate(t *testing.T) {
	recordings, err := ReadRecordings(recordingsDir)
	require.NoError(t, err)
	journalBytes := func(n int) float64 {
		bytes, err := journalSize(n)
		require.NoError(t, err)
		return bytes
	}
	stateExchangeBytes := func(n int) float64 {
		bytes, err := measureStateExchange(n)
		require.NoError(t, err)
		return float64(bytes)
	}
	digestBytes := func(n int) float64 {
		raw, err := cbor.Marshal(newDigest(1, n, 1000))
		require.NoError(t, err)
		return float64(len(raw))
	}
	for name, measure := range map[string]func(n int) float64{
		"replica/purge-snapshot":    func(n int) float64 { return encodedSize(stateWithPurges(n)) },
		"replica/results-snapshot":  func(n int) float64 { return encodedSize(stateWithResults(n)) },
		"replica/list-entry":        func(n int) float64 { return encodedSize(listChange(1, n)) },
		"replica/revision-snapshot": func(n int) float64 { return encodedSize(stateWithRevisions(n)) },
		"lists/board":               func(n int) float64 { return float64(len(initialEvents(n))) },
		"tools/servers":             func(n int) float64 { return jsonSize(tableWithServers(n).Servers()) },
		"view/digest":               digestBytes,
		"journal/purges":            journalBytes,
		"membership/whole-state":    stateExchangeBytes,
	} {
		r, known := recordings[name]
		require.True(t, known, name)
		p := r.Points[1]
		if got := measure(int(p.Driver)); math.Abs(got-p.Measured) > 0.25*p.Measured {
			t.Errorf("%s at %v: measured %v, recorded %v: run '%s'", name, p.Driver, got, p.Measured, r.Command)
		}
	}
}

// Recorders have unique names, and each recording names the command that records it again.
func TestRecordingsNameTheirCommand(t *testing.T) {
	seen := map[string]bool{}
	for _, r := range Recorders {
		require.False(t, seen[r.Name], r.Name)
		seen[r.Name] = true
		f, err := ReadFile(recordingsDir + "/" + r.Name + ".json")
		require.NoError(t, err)
		for _, recording := range f.Recordings {
			require.Equal(t, recordCommand(r.Name), recording.Command, recording.Name)
		}
	}
}

// cpuCost makes several rounds of calls, and numbers the calls from 0 without gaps.
func TestCPUCostNumbersCallsFromZero(t *testing.T) {
	calls := 0
	cpuCost(func(i int) {
		require.Equal(t, calls, i)
		calls++
		for range 1000 {
			cpuMicros()
		}
	})
	require.Greater(t, calls, cpuRounds)
}
