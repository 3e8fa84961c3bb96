package golden

import (
	"os"
	"path/filepath"
	"testing"
)

// Directory returns a copy, which the test may change, of the golden directory with this name. With -update-golden it has
// create fill one that does not exist yet.
func Directory(t testing.TB, name string, create func(dir string)) string {
	t.Helper()
	path := filepath.Join(directory, name)
	if _, err := os.Stat(path); *update && os.IsNotExist(err) {
		if err := os.MkdirAll(path, 0o755); err != nil {
			t.Fatalf("create golden directory: %v", err)
		}
		create(path)
	}
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(path)); err != nil {
		t.Fatalf("copy golden directory: %v", err)
	}
	return dir
}
