// Package vfs defines an interface to the part of a file system that the journal uses, so that tests can inject a fault at
// every call. Disk is the machine's file system. Sim is a file system in memory that can lose unsynced data, tear and reorder
// writes, run out of space and fail on demand; the journal's tests use it.
package vfs

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"golang.org/x/sys/unix"
)

// FS is a file system. Names are paths. Errors are those of package os, or of the fault that a Sim injects.
type FS interface {
	MkdirAll(dir string) error
	// List returns the names in a directory, sorted.
	List(dir string) ([]string, error)
	// Create creates a file, or truncates an existing one to length 0.
	Create(name string) (File, error)
	// Open opens an existing file for reading and appending.
	Open(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes a directory's entries durable.
	SyncDir(dir string) error
	// Lock takes an exclusive lock, and holds it until the returned closer is closed. It returns ErrLocked at once if another
	// process holds the lock.
	Lock(name string) (io.Closer, error)
}

// File is an open file. Write appends. Sizes are in bytes.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	Size() (int64, error)
	Truncate(size int64) error
	Sync() error
}

// ErrLocked is the error of Lock if another process holds the lock.
var ErrLocked = errors.New("in use by another process")

// Disk is the machine's file system.
type Disk struct{}

type diskFile struct{ *os.File }

// Size implements File.
func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// MkdirAll implements FS.
func (Disk) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// List implements FS.
func (Disk) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	for _, e := range entries {
		names = append(names, e.Name())
	}
	slices.Sort(names)
	return names, err
}

// Create implements FS.
func (Disk) Create(name string) (File, error) {
	return open(name, os.O_RDWR|os.O_APPEND|os.O_CREATE|os.O_TRUNC)
}

// Open implements FS.
func (Disk) Open(name string) (File, error) { return open(name, os.O_RDWR|os.O_APPEND) }

func open(name string, flag int) (File, error) {
	f, err := os.OpenFile(name, flag, 0o600)
	if err != nil {
		return nil, err
	}
	return diskFile{f}, nil
}

// Rename implements FS.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (Disk) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (Disk) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS with flock, which the kernel releases when the process ends.
func (Disk) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, fmt.Errorf("%s: %w", filepath.Dir(name), err)
	}
	return f, nil
}
