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

// What can't be used is named with its place; equal seeds draw equal timelines, and what is drawn can be used.
func TestScenario(t *testing.T) {
	_, bad := multiprocess.ParseScenario("f", []byte("{\"zones\": 2, // two\n \"seconds\": 0,\n \"faults\": [{\"kind\": \"kil\", \"at_s\": 1},\n {\"kind\": \"cut\", \"from\": 1, \"to\": 1},\n {\"kind\": \"kill\", \"at_s\": 99}]}"))
	require.Equal(t, `f:2:13: seconds 0 is not 1 to 3600
f:3:22: kind "kil" is none of crash, cut, fail, jitter, kill, lose, loss, move, narrow, purge, replace, reset, restart, silent, slow, stop
f:4:2: cut is between two zones, not within zone 1
f:5:2: share 0 is not 0.0001 to 1
f:5:27: at_s 99 is not 0 to 0`, bad.Error())
	files, err := filepath.Glob("../../../lab/field/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		text, err := os.ReadFile(file)
		require.NoError(t, err)
		_, bad := multiprocess.ParseScenario(file, text)
		require.NoError(t, bad.Err())
	}
	s := multiprocess.Usual()
	s.Seed, s.Zones, s.Seconds, s.Draw = 11, 3, 60, 40
	one, two := s.Timeline(), s.Timeline()
	require.Equal(t, one, two)
	require.Len(t, one, 40)
	s.Seed = 12
	require.NotEqual(t, one, s.Timeline())
	s.Faults, s.Draw = one, 0
	raw, err := os.ReadFile(write(t, s))
	require.NoError(t, err)
	again, bad := multiprocess.ParseScenario("again", raw)
	require.Empty(t, bad)
	require.Equal(t, one, again.Timeline())
}

func write(t *testing.T, s multiprocess.Scenario) string {
	path := filepath.Join(t.TempDir(), "scenario.json")
	require.NoError(t, os.WriteFile(path, s.JSON(), 0o600))
	return path
}

// A drawn field of eight processes is played to its end with no rule broken, and leaves what "replay" needs and a page.
func TestPlay(t *testing.T) {
	t.Parallel()
	s := multiprocess.Usual()
	s.Name, s.Seconds, s.Draw, s.Seed = "drawn", 8, 5, 3
	dir := t.TempDir()
	said := 0
	r, err := multiprocess.Play(context.Background(), s, program, dir, func(string) { said++ })
	require.NoError(t, err)
	require.Empty(t, r.Broken)
	require.Equal(t, 5, said)
	require.Len(t, r.Windows, 8)
	require.NotEmpty(t, r.Agreed)
	raw, err := os.ReadFile(filepath.Join(dir, "scenario.json"))
	require.NoError(t, err)
	again, bad := multiprocess.ParseScenario("again", raw)
	require.Empty(t, bad)
	require.Equal(t, r.Timeline, again.Timeline())
	require.FileExists(t, filepath.Join(dir, "result.json"))
	var page bytes.Buffer
	require.NoError(t, multiprocess.WritePage(&page, r))
	require.Contains(t, page.String(), "<svg")
	require.NotContains(t, page.String(), "http-equiv")
}
