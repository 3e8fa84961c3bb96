package hollow

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Every file in lab/scale is a valid scenario that has the file's name.
func TestScenarioFilesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../../lab/scale/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, p := range paths {
		s := readScenario(t, filepath.Base(p))
		require.NoError(t, s.Valid(), p)
		require.Equal(t, strings.TrimSuffix(filepath.Base(p), ".jsonc"), s.Name)
	}
}

// All defects of a file are reported at once, with their positions. An unknown field is one.
func TestParseReportsAllDefects(t *testing.T) {
	_, defects := Parse("x.jsonc", []byte(`{
  "processes": [5, 100],
  "seconds": 0,
  "purges": 3,
  "faults": []
}`))
	require.ErrorContains(t, defects.Err(), "x.jsonc:4:3")
	_, defects = Parse("x.jsonc", []byte(`{
  "processes": [5, 100],
  "seconds": 0,
  "faults": [
    {"kind": "kil"},
    {"kind": "kill", "at_s": 0, "for_s": 1},
    {"kind": "cut", "at_s": 0, "for_s": 1, "region": 6},
    {"kind": "restart", "at_s": 0, "share": 0.1, "for_s": 2},
    {"kind": "burst", "at_s": 900, "for_s": 1, "size": 2}
  ]
}`))
	text := defects.Error()
	for _, want := range []string{"x.jsonc:2:17", "x.jsonc:3:14", "x.jsonc:5:14", `"kil" is not one of burst, clocks,`, "x.jsonc:6", "x.jsonc:7:54", "x.jsonc:8:59", "x.jsonc:9:31"} {
		require.Contains(t, text, want)
	}
}
