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

func loadFleet(t *testing.T) Fleet {
	t.Helper()
	f, err := LoadFleet(recordingsDir)
	require.NoError(t, err)
	return f
}

// A page that was not written again after a formula or a recording changed says what nobody worked out.
func TestPageIsWhatFormulasAndRecordingsGive(t *testing.T) {
	have, err := os.ReadFile(capacityPage)
	require.NoError(t, err)
	want, err := Page(recordingsDir)
	require.NoError(t, err)
	if line, differs := FirstDifference(have, want); differs {
		t.Errorf("docs/CAPACITY.md differs at line %d: run 'ravenlab capacity --write docs/CAPACITY.md'", line)
	}
}

func TestPageChangesWithARecording(t *testing.T) {
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

func TestDiffersNamesTheLine(t *testing.T) {
	_, differs := FirstDifference([]byte("a\nb\n"), []byte("a\nb\n"))
	require.False(t, differs)
	for have, want := range map[string]int{"a\nx\nc\n": 2, "a\nb\nc": 4, "a\nb\nc\nd\n": 4, "": 1} {
		line, differs := FirstDifference([]byte(have), []byte("a\nb\nc\n"))
		require.True(t, differs, "%q", have)
		require.Equal(t, want, line, "%q", have)
	}
}

func TestAMissingRecordingIsNamed(t *testing.T) {
	_, err := Page(t.TempDir())
	require.ErrorContains(t, err, `no recording "raft/leader-bytes"`)
}

// The page must say first what is over: a budget that is passed in a table below and not in the first one is hidden.
func TestNothingThatIsOverIsLeftOut(t *testing.T) {
	f := loadFleet(t)
	first := strings.Split(string(f.Page()), "\n## ")[1]
	require.True(t, strings.HasPrefix(first, "Over budget"))
	for _, d := range Designs {
		for _, b := range f.budgets() {
			for _, s := range f.Situations() {
				is := b.spent(s, d)
				if is.Value <= b.limit {
					continue
				}
				found := false
				for line := range strings.Lines(first) {
					found = found || strings.HasPrefix(line, "| "+s.Name+" |") && strings.Contains(line, formatShare(is, b.limit))
				}
				require.True(t, found, "%s, %s, %s: %s", d, b.name, s.Name, b.format(is))
			}
		}
	}
	for _, way := range f.Paths() {
		for _, fault := range way.Faults {
			if way.Total().Plus(fault.Total()).Value > way.WithinMs {
				require.Contains(t, first, way.Name+": "+fault.Name)
			}
		}
	}
}

// The cells of every table are as many as its head's.
func TestTablesAreWhole(t *testing.T) {
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

func TestIssuesFiguresHold(t *testing.T) {
	for _, d := range OperatorTarget.Derivations() {
		if math.Abs(d.Value-d.Stated) > 0.011*d.Stated {
			t.Errorf("%s: %v, the issue has %v", d.Name, d.Value, d.Stated)
		}
	}
}
