package capacity

import (
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

const recordingsDir = "../../../docs/measurements/capacity"

// A form on the wire or on disk that has changed leaves the page with the sizes of the one before. A quarter is let pass:
// the page's figures are no finer.
func TestRecordedSizesAreThoseOfTheCode(t *testing.T) {
	book, err := ReadRecordings(recordingsDir)
	require.NoError(t, err)
	journal := func(n int) float64 {
		bytes, err := journalSize(n)
		require.NoError(t, err)
		return bytes
	}
	state := func(n int) float64 {
		bytes, err := measureStateExchange(n)
		require.NoError(t, err)
		return float64(bytes)
	}
	digest := func(n int) float64 {
		raw, err := cbor.Marshal(newDigest(1, n, 1000))
		require.NoError(t, err)
		return float64(len(raw))
	}
	for name, now := range map[string]func(n int) float64{
		"replica/purge-snapshot":    func(n int) float64 { return encodedSize(stateWithPurges(n)) },
		"replica/results-snapshot":  func(n int) float64 { return encodedSize(stateWithResults(n)) },
		"replica/list-entry":        func(n int) float64 { return encodedSize(listChange(1, n)) },
		"replica/revision-snapshot": func(n int) float64 { return encodedSize(stateWithRevisions(n)) },
		"lists/board":               func(n int) float64 { return float64(len(initialEvents(n))) },
		"tools/servers":             func(n int) float64 { return jsonSize(tableWithServers(n).Servers()) },
		"view/digest":               digest,
		"journal/purges":            journal,
		"membership/whole-state":    state,
	} {
		r, known := book[name]
		require.True(t, known, name)
		p := r.Points[1]
		if got := now(int(p.Driver)); math.Abs(got-p.Measured) > 0.25*p.Measured {
			t.Errorf("%s at %v: %v now, recorded %v: run '%s'", name, p.Driver, got, p.Measured, r.Command)
		}
	}
}

// A recording that no recorder makes any more can't be made again by the command that it names.
func TestRecordersHaveNamesOfTheirOwn(t *testing.T) {
	seen := map[string]bool{}
	for _, r := range Recorders {
		require.False(t, seen[r.Name], r.Name)
		seen[r.Name] = true
		f, err := ReadFile(recordingsDir + "/" + r.Name + ".json")
		require.NoError(t, err)
		for _, x := range f.Recordings {
			require.Equal(t, recordCommand(r.Name), x.Command, x.Name)
		}
	}
}

// With a median of one round a collection of garbage would count as the cost of a call.
func TestCostCountsCalls(t *testing.T) {
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
