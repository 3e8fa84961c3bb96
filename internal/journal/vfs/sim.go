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

// Sim is a file system in memory with a page cache that a power failure loses. It counts its calls, and a fault can be injected
// at any of them. Changes of directories reach the disk in order, as in journaling file systems; blocks of a file do not.
type Sim struct {
	mu          sync.Mutex
	cached      map[string]*inode // files by name, as a running process sees them
	durable     map[string]*inode // files by name, as a power failure would leave them
	nameChanges []nameChange      // not durable yet, in order
	directories map[string]bool
	locks       map[string]bool
	calls       int
	faults      map[int]Fault // by number of the call
	free        int           // bytes; negative: unlimited
	process     int           // number of the running process; files opened by an earlier process fail with ErrCrashed
}

// Fault is a failure of a call.
type Fault int

// The faults that a Sim can inject.
const (
	None       Fault = iota
	Crash            // the process ends at the call, and its later calls fail with ErrCrashed
	IOError          // the call fails with EIO and has no effect
	SyncLost         // a sync fails with EIO, and its data is marked clean without being on disk, as in Linux
	ShortWrite       // a write writes half of its data
)

// ErrCrashed is the error of all calls of a process that has crashed or was restarted.
var ErrCrashed = errors.New("vfs: simulated process has crashed")

// blockSize is the number of bytes that the simulated disk writes atomically.
const blockSize = 512

type inode struct {
	data   []byte   // content as a running process sees it
	synced []byte   // content that has been synced, and so is on disk
	lost   [][2]int // ranges of data that a failed sync marked as clean: they never reach the disk
}

// nameChange is a creation, rename or removal of a name that SyncDir has not made durable yet.
type nameChange struct {
	from, to string
	node     *inode // nil: the name to is removed
}

// NewSim returns an empty file system with this many free bytes; negative: unlimited.
func NewSim(free int) *Sim {
	return &Sim{
		cached: map[string]*inode{}, durable: map[string]*inode{}, directories: map[string]bool{}, locks: map[string]bool{},
		faults: map[int]Fault{}, free: free,
	}
}

// Calls returns the number of calls so far.
func (s *Sim) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// FailAt injects a fault at a call, which is given by its number, counted from 1.
func (s *Sim) FailAt(call int, f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[call] = f
}

// SetFreeSpace sets how many bytes are free; negative: unlimited.
func (s *Sim) SetFreeSpace(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free = bytes
}

// call counts a call of a process, and returns the fault injected at that call and the error that the call must return.
func (s *Sim) call(process int) (Fault, error) {
	if process != s.process {
		return Crash, ErrCrashed
	}
	s.calls++
	f := s.faults[s.calls]
	delete(s.faults, s.calls)
	switch f {
	case Crash:
		s.process++
		return f, ErrCrashed
	case IOError:
		return f, syscall.EIO
	}
	return f, nil
}

// Restart ends the process, closes its files and releases its locks. With a nil rng nothing is lost. Otherwise the power fails
// too: some of the unsynced blocks remain, and the first few of the unsynced name changes.
func (s *Sim) Restart(rng *rand.Rand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process++
	s.locks, s.faults = map[string]bool{}, map[int]Fault{}
	if rng == nil {
		return
	}
	for _, change := range s.nameChanges[:rng.IntN(len(s.nameChanges)+1)] {
		s.makeDurable(change)
	}
	s.nameChanges = nil
	s.cached = map[string]*inode{}
	torn := map[*inode]bool{}
	for name, node := range s.durable {
		if !torn[node] {
			node.tear(rng)
			torn[node] = true
		}
		s.cached[name] = node
	}
}

// tear leaves the file as a power failure would: with a random part of the unsynced blocks.
func (n *inode) tear(rng *rand.Rand) {
	content := slices.Clone(n.synced)
	size := len(n.synced)
	if len(n.data) != size {
		minSize, maxSize := min(size, len(n.data)), max(size, len(n.data))
		if size = minSize + rng.IntN(maxSize-minSize+1); rng.IntN(3) == 0 {
			size = len(n.data)
		}
	}
	for len(content) < size {
		content = append(content, 0) // the file's length reached the disk before its blocks
	}
	content = content[:size]
	for offset := 0; offset < size; offset += blockSize {
		end := min(offset+blockSize, size)
		if rng.IntN(2) == 0 && offset < len(n.data) {
			copy(content[offset:end], n.data[offset:])
		}
	}
	n.data, n.synced, n.lost = content, slices.Clone(content), nil
}

func (s *Sim) makeDurable(change nameChange) {
	if change.from != "" {
		delete(s.durable, change.from)
	}
	if change.node == nil {
		delete(s.durable, change.to)
	} else {
		s.durable[change.to] = change.node
	}
}

// FlipBit inverts a bit of the byte at an offset of a file, on disk and in the page cache. It reports whether the file has that
// byte.
func (s *Sim) FlipBit(name string, offset int, bit uint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	node := s.cached[name]
	if node == nil || offset >= len(node.data) {
		return false
	}
	node.data[offset] ^= 1 << bit
	if offset < len(node.synced) {
		node.synced[offset] ^= 1 << bit
	}
	return true
}

// Contents returns a file's content as a process sees it; nil if there is no such file.
func (s *Sim) Contents(name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if node := s.cached[name]; node != nil {
		return slices.Clone(node.data)
	}
	return nil
}

// MkdirAll implements FS.
func (s *Sim) MkdirAll(dir string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directories[dir] = true
	return nil
}

// List implements FS.
func (s *Sim) List(dir string) (names []string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.directories[dir] {
		return nil, &fs.PathError{Op: "open", Path: dir, Err: fs.ErrNotExist}
	}
	for name := range s.cached {
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
	if _, err := s.call(s.process); err != nil {
		return nil, err
	}
	node := &inode{}
	s.cached[name] = node
	s.nameChanges = append(s.nameChanges, nameChange{to: name, node: node})
	return &simFile{s, node, s.process}, nil
}

// Open implements FS.
func (s *Sim) Open(name string) (File, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(s.process); err != nil {
		return nil, err
	}
	node := s.cached[name]
	if node == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: fs.ErrNotExist}
	}
	return &simFile{s, node, s.process}, nil
}

// Rename implements FS.
func (s *Sim) Rename(from, to string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(s.process); err != nil {
		return err
	}
	node := s.cached[from]
	if node == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	delete(s.cached, from)
	s.cached[to] = node
	s.nameChanges = append(s.nameChanges, nameChange{from: from, to: to, node: node})
	return nil
}

// Remove implements FS.
func (s *Sim) Remove(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(s.process); err != nil {
		return err
	}
	if s.cached[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: fs.ErrNotExist}
	}
	delete(s.cached, name)
	s.nameChanges = append(s.nameChanges, nameChange{to: name})
	return nil
}

// SyncDir implements FS.
func (s *Sim) SyncDir(string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, err := s.call(s.process); err != nil {
		return err
	}
	for _, change := range s.nameChanges {
		s.makeDurable(change)
	}
	s.nameChanges = nil
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
	return &simLock{s, name}, nil
}

type simLock struct {
	sim  *Sim
	name string
}

// Close implements io.Closer.
func (l *simLock) Close() error {
	l.sim.mu.Lock()
	defer l.sim.mu.Unlock()
	delete(l.sim.locks, l.name)
	return nil
}

// simFile is a file that was opened by one process.
type simFile struct {
	sim     *Sim
	node    *inode
	process int
}

// Write implements File.
func (f *simFile) Write(p []byte) (int, error) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	fault, err := f.sim.call(f.process)
	n := len(p)
	switch {
	case fault == Crash && f.process+1 == f.sim.process:
		n = len(p) / 2 // the process ended during the write
	case err != nil:
		return 0, err
	case fault == ShortWrite:
		n, err = len(p)/2, io.ErrShortWrite
	}
	if f.sim.free >= 0 && n > f.sim.free {
		n, err = f.sim.free, syscall.ENOSPC
	}
	if f.sim.free >= 0 {
		f.sim.free -= n
	}
	f.node.data = append(f.node.data, p[:n]...)
	return n, err
}

// ReadAt implements File.
func (f *simFile) ReadAt(p []byte, offset int64) (int, error) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	if f.process != f.sim.process {
		return 0, ErrCrashed
	}
	if offset >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.node.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

// Size implements File.
func (f *simFile) Size() (int64, error) {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	return int64(len(f.node.data)), nil
}

// Truncate implements File.
func (f *simFile) Truncate(size int64) error {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	if _, err := f.sim.call(f.process); err != nil {
		return err
	}
	if cut := len(f.node.data) - int(size); f.sim.free >= 0 && cut > 0 {
		f.sim.free += cut
	}
	f.node.data = slices.Clone(f.node.data[:min(int(size), len(f.node.data))])
	return nil
}

// Sync implements File.
func (f *simFile) Sync() error {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	fault, err := f.sim.call(f.process)
	switch {
	case fault == SyncLost:
		// The page cache still shows data that is not on disk, and marks it as clean.
		f.node.lost = append(f.node.lost, [2]int{min(len(f.node.synced), len(f.node.data)), len(f.node.data)})
		return syscall.EIO
	case err != nil:
		return err
	}
	f.node.synced = slices.Clone(f.node.data)
	for _, lost := range f.node.lost {
		clear(f.node.synced[min(lost[0], len(f.node.synced)):min(lost[1], len(f.node.synced))])
	}
	return nil
}

// Close implements File.
func (f *simFile) Close() error { return nil }
