package filewatch

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/fsnotify/fsnotify"
)

// maxLinks is the most symbolic links that are followed on the path to the list.
const maxLinks = 16

// isRelevant reports whether an event may be a change of the list. Changes of attributes only are not, nor are events of
// directories that are not watched any more.
func (w *Watcher) isRelevant(e fsnotify.Event) bool {
	if e.Op == fsnotify.Chmod {
		return false
	}
	// Any entry of a watched directory may be a link on the path to the list.
	return w.dirs[filepath.Dir(e.Name)] || w.dirs[e.Name]
}

// watchDirs watches the directories on the path to the list. If a file or link is replaced by a rename, or a directory is
// created again, the event is one of the directory that contains it, not of the file.
func (w *Watcher) watchDirs() {
	if w.notifier == nil {
		return
	}
	want := wantedDirs(w.opt.Path)
	watched := w.notifier.WatchList()
	for dir := range want {
		if slices.Contains(watched, dir) {
			continue
		}
		if err := w.notifier.Add(dir); err != nil && !errors.Is(err, fs.ErrNotExist) {
			w.opt.Log.Warn("watch").Err(err).Str("dir", dir).Msg("directory can't be watched; polling the server list")
		}
	}
	for _, dir := range watched {
		if !want[dir] {
			_ = w.notifier.Remove(dir)
		}
	}
	w.dirs = want
}

// wantedDirs returns the directory of a path, that of each link on the path, and the path itself if it is a directory. For a
// directory that does not exist it also returns the ancestors up to the nearest existing one, whose events report that the
// directory is created.
func wantedDirs(path string) map[string]bool {
	want := map[string]bool{}
	next, linked := path, true
	for i := 0; i < maxLinks && linked; i++ {
		next, _ = filepath.Abs(next)
		want[filepath.Dir(next)] = true
		info, err := os.Lstat(next)
		if err != nil {
			break
		}
		if info.IsDir() {
			want[next] = true
		}
		next, linked = linkTarget(next)
	}
	if real, err := filepath.EvalSymlinks(path); err == nil {
		want[filepath.Dir(real)] = true
	}
	for dir := range want {
		addAncestors(want, dir)
	}
	return want
}

// linkTarget returns the path to which a symbolic link points. ok is false if path is not a link.
func linkTarget(path string) (target string, ok bool) {
	target, err := os.Readlink(path)
	if err != nil {
		return "", false
	}
	if !filepath.IsAbs(target) {
		target = filepath.Join(filepath.Dir(path), target)
	}
	return target, true
}

// addAncestors adds the ancestors of a directory that does not exist, up to the nearest existing one.
func addAncestors(want map[string]bool, dir string) {
	for {
		if _, err := os.Stat(dir); err == nil || dir == filepath.Dir(dir) {
			return
		}
		dir = filepath.Dir(dir)
		want[dir] = true
	}
}
