package filewatch

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/strictjson"
)

// Limits of a read.
const (
	maxFiles = 1024
	maxBytes = 2 * strictjson.MaxBytes // of all files together
)

// ErrChanged is the cause of a read's failure if a file has changed while it was read.
var ErrChanged = errors.New("changed while it was read")

// errNotRegular is the cause of a read's failure if a list file is a directory, a pipe or a device.
var errNotRegular = errors.New("not a regular file")

// ReadFiles reads a list as it is now: one file, or a directory's files that end in .jsonc or .json and do not begin
// with a dot. It fails if there is no such file, if one is not a regular file or changes while it is read (ErrChanged), or
// if there are more than maxFiles files or maxBytes bytes.
func ReadFiles(path string) ([]serverlist.File, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		f, err := readFile(path, maxBytes)
		if err != nil {
			return nil, err
		}
		return []serverlist.File{f}, nil
	}
	return readDir(path)
}

func readDir(path string) (files []serverlist.File, err error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	left := int64(maxBytes)
	for _, e := range entries {
		if !isListFile(e.Name()) {
			continue
		}
		if len(files) >= maxFiles {
			return nil, fmt.Errorf("%s has more than %d files that end in .jsonc or .json", path, maxFiles)
		}
		f, err := readFile(filepath.Join(path, e.Name()), left)
		if err != nil {
			return nil, err
		}
		left -= int64(len(f.Data))
		files = append(files, f)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s has no file that ends in .jsonc or .json", path)
	}
	return files, nil
}

func isListFile(name string) bool {
	return !strings.HasPrefix(name, ".") && (strings.HasSuffix(name, ".jsonc") || strings.HasSuffix(name, ".json"))
}

// readFile reads a regular file of at most limit bytes.
func readFile(path string, limit int64) (f serverlist.File, err error) {
	// Without O_NONBLOCK, opening a pipe would block until there is a writer.
	h, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return f, err
	}
	defer h.Close()
	before, err := h.Stat()
	if err != nil {
		return f, err
	}
	if !before.Mode().IsRegular() {
		return f, &fs.PathError{Op: "read", Path: path, Err: errNotRegular}
	}
	data, err := io.ReadAll(io.LimitReader(h, limit+1))
	if err != nil {
		return f, err
	}
	if int64(len(data)) > limit {
		return f, &fs.PathError{Op: "read", Path: path, Err: fmt.Errorf("larger than %d bytes", limit)}
	}
	after, err := os.Stat(path)
	if err != nil {
		return f, err
	}
	if !os.SameFile(before, after) || after.Size() != int64(len(data)) || !after.ModTime().Equal(before.ModTime()) {
		return f, &fs.PathError{Op: "read", Path: path, Err: ErrChanged}
	}
	return serverlist.File{Name: path, Data: data}, nil
}
