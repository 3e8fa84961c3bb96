package multiprocess_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/lab/multiprocess"
)

// Defects of a scenario file are reported with their lines and columns, and the files in lab/field have none. A seed always draws
// the same timeline, which is valid in a scenario file.
func TestParseScenarioAndDrawTimeline(t *testing.T) {
	_, defects := multiprocess.ParseScenario("f", []byte("{\"zones\": 2, // two\n \"seconds\": 0,\n \"faults\": [{\"kind\": \"kil\", \"at_s\": 1},\n {\"kind\": \"cut\", \"from\": 1, \"to\": 1},\n {\"kind\": \"kill\", \"at_s\": 99}]}"))
	require.Equal(t, `f:2:13: seconds 0 is not from 1 to 3600
f:3:22: kind "kil" is not one of crash, cut, fail, jitter, kill, lose, loss, move, narrow, purge, replace, reset, restart, silent, slow, stop
f:4:2: cut needs two different zones, but from and to are both 1
f:5:2: share 0 is not from 0.0001 to 1
f:5:27: at_s 99 is not from 0 to 0`, defects.Error())
	files, err := filepath.Glob("../../../lab/field/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		_, defects := multiprocess.ParseScenario(file, text)
		require.NoError(t, defects.Err())
	}
	s := multiprocess.DefaultScenario()
	s.Seed, s.Zones, s.Seconds, s.RandomFaults = 11, 3, 60, 40
	first, second := s.Timeline(), s.Timeline()
	require.Equal(t, first, second)
	require.Len(t, first, 40)
	s.Seed = 12
	require.NotEqual(t, first, s.Timeline())
	s.Faults, s.RandomFaults = first, 0
	encoded, err := os.ReadFile(writeScenario(t, s))
	require.NoError(t, err)
	reparsed, defects := multiprocess.ParseScenario("again", encoded)
	require.Empty(t, defects)
	require.Equal(t, first, reparsed.Timeline())
}

func writeScenario(t *testing.T, s multiprocess.Scenario) string {
	path := filepath.Join(t.TempDir(), "scenario.json")
	require.NoError(t, os.WriteFile(path, s.JSON(), 0o600))
	return path
}

// Playing a scenario with random faults breaks no rule. It writes a scenario file that can be replayed, and its result can be
// written as a page.
func TestPlayRandomFaults(t *testing.T) {
	t.Parallel()
	s := multiprocess.DefaultScenario()
	s.Name, s.Seconds, s.RandomFaults, s.Seed = "drawn", 8, 5, 3
	dir := t.TempDir()
	faults := 0
	result, err := multiprocess.Play(context.Background(), s, program, dir, func(string) { faults++ })
	require.NoError(t, err)
	require.Empty(t, result.Violations)
	require.Equal(t, 5, faults)
	require.Len(t, result.Seconds, 8)
	require.NotEmpty(t, result.Alive)
	encoded, err := os.ReadFile(filepath.Join(dir, "scenario.json"))
	require.NoError(t, err)
	reparsed, defects := multiprocess.ParseScenario("again", encoded)
	require.Empty(t, defects)
	require.Equal(t, result.Timeline, reparsed.Timeline())
	require.FileExists(t, filepath.Join(dir, "result.json"))
	var page bytes.Buffer
	require.NoError(t, multiprocess.WritePage(&page, result))
	require.Contains(t, page.String(), "<svg")
	require.NotContains(t, page.String(), "http-equiv")
}
