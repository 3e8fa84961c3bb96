// Package golden compares encoded data with files that an earlier version of the program wrote, so that a renamed identifier
// can't change what the program stores or sends. Only tests import it.
package golden

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"testing"
)

// update lets tests write golden files that do not exist yet. A golden file that exists is never overwritten: a version whose
// data must stay readable wrote it.
var update = flag.Bool("update-golden", false, "write the golden files that do not exist yet")

// directory is where a package has its golden files, relative to its tests.
const directory = "testdata/golden"

// Read returns the content of the golden file with this name. It ends the test if the file can't be read.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(directory, name))
	if err != nil {
		t.Fatalf("read golden file: %v", err)
	}
	return content
}

// Equal fails the test unless got equals the golden file with this name, byte for byte. With -update-golden it writes a file
// that does not exist yet; a file that exists is never overwritten.
func Equal(t testing.TB, name string, got []byte) {
	t.Helper()
	path := filepath.Join(directory, name)
	if _, err := os.Stat(path); *update && os.IsNotExist(err) {
		write(t, path, got)
	}
	if want := Read(t, name); !bytes.Equal(want, got) {
		t.Errorf("encoding differs from %s:\n got %q\nwant %q", path, got, want)
	}
}

func write(t testing.TB, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatalf("create golden directory: %v", err)
	}
	if err := os.WriteFile(path, content, 0o644); err != nil {
		t.Fatalf("write golden file: %v", err)
	}
}
