package journal

import (
	"encoding/json"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/golden"
	"ravenwheel/internal/journal/vfs"
)

// goldenJournal returns a journal of five records with a snapshot of the first three.
func goldenJournal(t *testing.T) *vfs.Sim {
	fs := vfs.NewSim(-1)
	j, err := Open("d", Options{FS: fs, Clock: clock.Manual(0), SyncEachRecord: true}, &memoryTarget{})
	require.NoError(t, err)
	for _, text := range []string{"one", "", "three"} {
		_, err := j.Append([]byte(text))
		require.NoError(t, err)
	}
	require.NoError(t, j.Compact(3, []byte("one\n\nthree")))
	for _, text := range []string{"four", "five"} {
		_, err := j.Append([]byte(text))
		require.NoError(t, err)
	}
	require.NoError(t, j.Close())
	return fs
}

var goldenFiles = []string{"0000000000000001.log", "0000000000000003.snap", "0000000000000004.log"}

func TestGoldenFiles(t *testing.T) {
	fs := goldenJournal(t)
	for _, name := range goldenFiles {
		golden.Equal(t, name, fs.Contents(filepath.Join("d", name)))
	}
}

// The golden files are read with the snapshot, without it, and without the segment that it covers.
func TestGoldenFilesAreRead(t *testing.T) {
	for _, names := range [][]string{goldenFiles, {goldenFiles[0], goldenFiles[2]}, goldenFiles[1:]} {
		fs := vfs.NewSim(-1)
		require.NoError(t, fs.MkdirAll("d"))
		for _, name := range names {
			f, err := fs.Create(filepath.Join("d", name))
			require.NoError(t, err)
			_, err = f.Write(golden.Read(t, name))
			require.NoError(t, err)
		}
		var target memoryTarget
		j, err := Open("d", Options{FS: fs, ReadOnly: true}, &target)
		require.NoError(t, err)
		require.Equal(t, []string{"one", "", "three", "four", "five"}, target.payloads)
		require.EqualValues(t, 6, j.Stats().Next)
	}
}

func TestGoldenRecords(t *testing.T) {
	number, batch, payload, size := readRecord(golden.Read(t, goldenFiles[2])[headerSize:])
	require.Equal(t, [2]uint64{4, 4}, [2]uint64{number, batch})
	require.Equal(t, "four", string(payload))
	require.Equal(t, golden.Read(t, goldenFiles[2])[headerSize:headerSize+size], appendRecord(nil, number, batch, payload))
}

func TestGoldenStats(t *testing.T) {
	for name, s := range map[string]Stats{
		"stats.json":       {Next: 6, Snapshot: 3, Segments: []uint64{1, 4}, TornBytes: 7, Syncs: 8, Failed: "why", Dir: "d"},
		"stats-empty.json": {},
	} {
		raw, err := json.MarshalIndent(s, "", "  ")
		require.NoError(t, err)
		golden.Equal(t, name, raw)
	}
}
