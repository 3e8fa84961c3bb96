package vfs

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
)

// Sim is a file system in memory with a page cache that a crash loses. Every call is counted, and a fault can be put at
// any of them. Directories take changes in order, as journaling file systems do; blocks of a file do not.
type Sim struct {
	mu    sync.Mutex
	names map[string]*inode // as a running process sees them
	disk  map[string]*inode // as a crash would find them
	moves []move            // of names, not synced yet
	dirs  map[string]bool
	locks map[string]bool
	calls int
	fail  map[int]Fault
	left  int // bytes that still fit; below 0: no bound
	epoch int // files of an earlier one are of a process that died
}

// Fault is what goes wrong with a call.
type Fault int

// The faults. Crash ends the process at that call: nothing after it happens. SyncLost fails a sync and forgets what it
// should have written, as kernels do. Short writes half.
const (
	None Fault = iota
	Crash
	IOError
	SyncLost
	Short
)

// ErrCrashed is what a process gets that has died.
var ErrCrashed = errors.New("sim: crashed")

// block is the unit that a disk writes whole.
const block = 512

type inode struct {
	data   []byte
	synced []byte
	lost   [][2]int // of data, taken for clean by a sync that failed: it never comes to the disk
}

type move struct {
	from, to string
	node     *inode // nil: removed
	dir      string
}

// NewSim returns an empty file system with room for so many bytes; below 0: without bound.
func NewSim(room int) *Sim {
	return &Sim{
		names: map[string]*inode{}, disk: map[string]*inode{}, dirs: map[string]bool{}, locks: map[string]bool{},
		fail: map[int]Fault{}, left: room,
	}
}

// Calls is how many calls were made so far.
func (s *Sim) Calls() int { s.mu.Lock(); defer s.mu.Unlock(); return s.calls }

// FailAt puts a fault at a call, counted from 1.
func (s *Sim) FailAt(call int, f Fault) { s.mu.Lock(); defer s.mu.Unlock(); s.fail[call] = f }

// Room sets how many bytes still fit.
func (s *Sim) Room(n int) { s.mu.Lock(); defer s.mu.Unlock(); s.left = n }

// call counts a call and says what is wrong with it.
func (s *Sim) call(epoch int) (Fault, error) {
	if epoch != s.epoch {
		return Crash, ErrCrashed
	}
	s.calls++
	f := s.fail[s.calls]
	delete(s.fail, s.calls)
	switch f {
	case Crash:
		s.epoch++
		return f, ErrCrashed
	case IOError:
		return f, syscall.EIO
	}
	return f, nil
}

// Restart is the machine after the process or the power was lost: of what was not synced some blocks, and of the names'
// changes the first few, are there. Open files are dead. With a nil rng the process alone died, and nothing is lost.
func (s *Sim) Restart(rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.locks, s.fail = map[string]bool{}, map[int]Fault{}
	if rng == nil {
		return
	}
	for _, m := range s.moves[:rng.IntN(len(s.moves)+1)] {
		s.settle(m)
	}
	s.moves = nil
	s.names = map[string]*inode{}
	done := map[*inode]bool{}
	for name, n := range s.disk {
		if !done[n] {
			n.tear(rng)
			done[n] = true
		}
		s.names[name] = n
	}
}

// tear leaves of the blocks that were not synced some, in any order.
func (n *inode) tear(rng *rand.Rand) {
	out := slices.Clone(n.synced)
	size := len(n.synced)
	if len(n.data) != size {
		lo, hi := min(size, len(n.data)), max(size, len(n.data))
		if size = lo + rng.IntN(hi-lo+1); rng.IntN(3) == 0 {
			size = len(n.data)
		}
	}
	for len(out) < size {
		out = append(out, 0) // a length that was written before its blocks
	}
	out = out[:size]
	for at := 0; at < size; at += block {
		end := min(at+block, size)
		if rng.IntN(2) == 0 && at < len(n.data) {
			copy(out[at:end], n.data[at:])
		}
	}
	n.data, n.synced, n.lost = out, slices.Clone(out), nil
}

func (s *Sim) settle(m move) {
	if m.from != "" {
		delete(s.disk, m.from)
	}
	if m.node == nil {
		delete(s.disk, m.to)
	} else {
		s.disk[m.to] = m.node
	}
}

// Flip turns one bit of a file over, on disk and in the cache. It tells whether the file has that byte.
func (s *Sim) Flip(name string, at int, bit uint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.names[name]
	if n == nil || at >= len(n.data) {
		return false
	}
	n.data[at] ^= 1 << bit
	if at < len(n.synced) {
		n.synced[at] ^= 1 << bit
	}
	return true
}

// Bytes are a file's, as a process sees them.
func (s *Sim) Bytes(name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := s.names[name]; n != nil {
		return slices.Clone(n.data)
	}
	return nil
}

// MkdirAll implements FS.
func (s *Sim) MkdirAll(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dirs[dir] = true
	return nil
}

// List implements FS.
func (s *Sim) List(dir string) (names []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dirs[dir] {
		return nil, &fs.PathError{Op: "open", Path: dir, Err: fs.ErrNotExist}
	}
	for name := range s.names {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// Create implements FS.
func (s *Sim) Create(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(s.epoch); err != nil {
		return nil, err
	}
	n := &inode{}
	s.names[name] = n
	s.moves = append(s.moves, move{to: name, node: n, dir: filepath.Dir(name)})
	return &simFile{s, n, s.epoch}, nil
}

// Open implements FS.
func (s *Sim) Open(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(s.epoch); err != nil {
		return nil, err
	}
	n := s.names[name]
	if n == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &simFile{s, n, s.epoch}, nil
}

// Rename implements FS.
func (s *Sim) Rename(from, to string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(s.epoch); err != nil {
		return err
	}
	n := s.names[from]
	if n == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(s.names, from)
	s.names[to] = n
	s.moves = append(s.moves, move{from: from, to: to, node: n, dir: filepath.Dir(to)})
	return nil
}

// Remove implements FS.
func (s *Sim) Remove(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(s.epoch); err != nil {
		return err
	}
	if s.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(s.names, name)
	s.moves = append(s.moves, move{to: name, dir: filepath.Dir(name)})
	return nil
}

// SyncDir implements FS.
func (s *Sim) SyncDir(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(s.epoch); err != nil {
		return err
	}
	for _, m := range s.moves {
		s.settle(m)
	}
	s.moves = nil
	return nil
}

// Lock implements FS.
func (s *Sim) Lock(name string) (io.Closer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.locks[name] {
		return nil, ErrLocked
	}
	s.locks[name] = true
	return unlock(func() { s.mu.Lock(); defer s.mu.Unlock(); delete(s.locks, name) }), nil
}

type unlock func()

func (u unlock) Close() error { u(); return nil }

type simFile struct {
	s     *Sim
	n     *inode
	epoch int
}

// Write implements File.
func (f *simFile) Write(p []byte) (int, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	fault, err := f.s.call(f.epoch)
	n := len(p)
	switch {
	case fault == Crash && f.epoch+1 == f.s.epoch:
		n = len(p) / 2 // it died within the write
	case err != nil:
		return 0, err
	case fault == Short:
		n, err = len(p)/2, io.ErrShortWrite
	}
	if f.s.left >= 0 && n > f.s.left {
		n, err = f.s.left, syscall.ENOSPC
	}
	if f.s.left >= 0 {
		f.s.left -= n
	}
	f.n.data = append(f.n.data, p[:n]...)
	return n, err
}

// ReadAt implements File.
func (f *simFile) ReadAt(p []byte, at int64) (int, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if f.epoch != f.s.epoch {
		return 0, ErrCrashed
	}
	if at >= int64(len(f.n.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.n.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Size implements File.
func (f *simFile) Size() (int64, error) {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	return int64(len(f.n.data)), nil
}

// Truncate implements File.
func (f *simFile) Truncate(size int64) error {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	if _, err := f.s.call(f.epoch); err != nil {
		return err
	}
	if cut := len(f.n.data) - int(size); f.s.left >= 0 && cut > 0 {
		f.s.left += cut
	}
	f.n.data = slices.Clone(f.n.data[:min(int(size), len(f.n.data))])
	return nil
}

// Sync implements File.
func (f *simFile) Sync() error {
	f.s.mu.Lock()
	defer f.s.mu.Unlock()
	fault, err := f.s.call(f.epoch)
	switch {
	case fault == SyncLost:
		// The cache goes on showing what the disk does not have, and takes it for clean.
		f.n.lost = append(f.n.lost, [2]int{min(len(f.n.synced), len(f.n.data)), len(f.n.data)})
		return syscall.EIO
	case err != nil:
		return err
	}
	f.n.synced = slices.Clone(f.n.data)
	for _, l := range f.n.lost {
		clear(f.n.synced[min(l[0], len(f.n.synced)):min(l[1], len(f.n.synced))])
	}
	return nil
}

// Close implements File.
func (f *simFile) Close() error { return nil }
