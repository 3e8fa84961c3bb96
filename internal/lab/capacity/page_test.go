package capacity

import (
	"maps"
	"math"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const capacityPage = "../../../docs/CAPACITY.md"

// loadFleet returns the fleet with the recordings in docs/measurements/capacity.
func loadFleet(t *testing.T) Fleet {
	t.Helper()
	f, err := LoadFleet(recordingsDir)
	require.NoError(t, err)
	return f
}

// docs/CAPACITY.md is the page that the formulas and the recordings give.
func TestPageIsUpToDate(t *testing.T) {
	stored, err := os.ReadFile(capacityPage)
	require.NoError(t, err)
	want, err := Page(recordingsDir)
	require.NoError(t, err)
	if line, differs := FirstDifference(stored, want); differs {
		t.Errorf("docs/CAPACITY.md differs at line %d: run 'ravenlab capacity --write docs/CAPACITY.md'", line)
	}
}

// A different recording or assumption changes the page.
func TestPageChangesWithRecordingsAndAssumptions(t *testing.T) {
	f := loadFleet(t)
	before := f.Page()
	f.RecordingSet = maps.Clone(f.RecordingSet)
	r := f.RecordingSet["raft/leader-bytes"]
	r.Slope *= 2
	f.RecordingSet["raft/leader-bytes"] = r
	_, differs := FirstDifference(before, f.Page())
	require.True(t, differs)
	f = loadFleet(t)
	f.FrameIntervalMs = assumed(50)
	_, differs = FirstDifference(before, f.Page())
	require.True(t, differs)
}

func TestFirstDifferenceReturnsLine(t *testing.T) {
	_, differs := FirstDifference([]byte("a\nb\n"), []byte("a\nb\n"))
	require.False(t, differs)
	for have, want := range map[string]int{"a\nx\nc\n": 2, "a\nb\nc": 4, "a\nb\nc\nd\n": 4, "": 1} {
		line, differs := FirstDifference([]byte(have), []byte("a\nb\nc\n"))
		require.True(t, differs, "%q", have)
		require.Equal(t, want, line, "%q", have)
	}
}

func TestMissingRecordingIsNamed(t *testing.T) {
	_, err := Page(t.TempDir())
	require.ErrorContains(t, err, `no recording "raft/leader-bytes"`)
}

// Every figure that exceeds a budget or a time limit in any table of the page is listed in its first section.
func TestAllExceededLimitsAreFindings(t *testing.T) {
	f := loadFleet(t)
	first := strings.Split(string(f.Page()), "\n## ")[1]
	require.True(t, strings.HasPrefix(first, "Over budget"))
	for _, d := range Designs {
		for _, b := range f.budgets() {
			for _, s := range f.Situations() {
				spent := b.spent(s, d)
				if spent.Value <= b.limit {
					continue
				}
				found := false
				for line := range strings.Lines(first) {
					found = found || strings.HasPrefix(line, "| "+s.Name+" |") && strings.Contains(line, formatShare(spent, b.limit))
				}
				require.True(t, found, "%s, %s, %s: %s", d, b.name, s.Name, b.format(spent))
			}
		}
	}
	for _, path := range f.Paths() {
		for _, fault := range path.Faults {
			if path.Total().Plus(fault.Total()).Value > path.WithinMs {
				require.Contains(t, first, path.Name+": "+fault.Name)
			}
		}
	}
}

// All rows of a table have as many cells as its head, and no cell holds NaN, Inf or a formatting error.
func TestTablesAreComplete(t *testing.T) {
	cells := 0
	for n, line := range strings.Split(string(loadFleet(t).Page()), "\n") {
		if !strings.HasPrefix(line, "|") {
			cells = 0
			continue
		}
		if cells == 0 {
			cells = strings.Count(line, "|")
		}
		require.Equal(t, cells, strings.Count(line, "|"), "line %d: %s", n+1, line)
		require.NotContains(t, line, "NaN")
		require.NotContains(t, line, "Inf")
		require.NotContains(t, line, "%!")
	}
}

// The figures that the issue states agree to within 1.1 % with those computed from the target.
func TestStatedFiguresMatchTarget(t *testing.T) {
	for _, d := range OperatorTarget.Derivations() {
		if math.Abs(d.Value-d.Stated) > 0.011*d.Stated {
			t.Errorf("%s: computed %v, the issue states %v", d.Name, d.Value, d.Stated)
		}
	}
}
