package golden

import (
	"os"
	"path/filepath"
	"testing"
)

// Directory returns the path of a copy of the golden directory with this name. The test may change the copy. With
// -update-golden, a golden directory that does not exist yet is made and filled by create.
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
