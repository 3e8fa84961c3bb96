package filewatch

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"

	"github.com/fsnotify/fsnotify"
)

// maxLinks bounds the symbolic links that are followed on the way to the list.
const maxLinks = 16

// isRelevant reports whether an event may concern the list: in a directory that holds much else, most are of other files.
func (w *Watcher) isRelevant(e fsnotify.Event) bool {
	if e.Op == fsnotify.Chmod {
		return false
	}
	// Any entry of a watched directory may be a link on the way to the list.
	return w.dirs[filepath.Dir(e.Name)] || w.dirs[e.Name]
}

// watchDirs watches the directories on the way to the list. A file that is renamed over, a link that is switched and a
// directory that is made anew are events of the directory that holds them, not of the file.
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

// wantedDirs returns the directories through which a path leads, and those of each link on the way. For one that does not exist it
// also returns its ancestors up to the nearest that does: the events there tell when it is made.
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

// linkTarget returns the path to which a symbolic link points; ok is false if it is none.
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

// addAncestors adds the directories above one that does not exist, up to the nearest that does.
func addAncestors(want map[string]bool, dir string) {
	for {
		if _, err := os.Stat(dir); err == nil || dir == filepath.Dir(dir) {
			return
		}
		dir = filepath.Dir(dir)
		want[dir] = true
	}
}
