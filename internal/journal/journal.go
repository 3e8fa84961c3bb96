// Package journal is a write-ahead log with snapshots on plain files, for what is hot and local: drains and purges that
// a proxy was told of. A record is acknowledged once it is on disk; records of many writers share one sync. Recovery
// keeps every record that was acknowledged, cuts off what was torn, refuses what is damaged with its offset, and never
// invents. It knows nothing of what its records mean. Its failures are caused in tests, at every call to the disk.
package journal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/journal/vfs"
)

// Bounds. MostRecord of a payload; a batch that is synced together; a snapshot, unpacked.
const (
	MostRecord   = 16 << 20
	mostBatch    = 1 << 20
	mostSnapshot = 1 << 30
	// mostSegment: a larger file is no segment of ours, and would only cost memory.
	mostSegment = 256 << 20
)

// What an append can meet.
var (
	// ErrFull: the disk is full. The record is not there, and a later one may be.
	ErrFull = errors.New("journal: disk full")
	// ErrFailed: a sync failed. Whether the record is there is not known, and nothing more is taken: what the kernel
	// holds can't be trusted after that (https://lwn.net/Articles/752063/). The journal must be opened anew.
	ErrFailed = errors.New("journal: failed")
	// ErrClosed: nothing was written.
	ErrClosed = errors.New("journal: closed")
	// ErrNone: a directory without a segment or snapshot, which only a writer may begin with.
	ErrNone = errors.New("journal: none here")
	// ErrTooLarge: a record over MostRecord.
	ErrTooLarge = errors.New("journal: record too large")
)

// Options set up a journal.
type Options struct {
	FS    vfs.FS // nil: the machine's
	Clock *clock.Clock
	// Delay is how many ms a batch waits for more writers; 0: it is written at once, and those that come while it is
	// synced make the next one. Longer saves syncs, and each writer waits longer.
	Delay float64
	// Segment is the size in bytes at which a new file is begun; 0: 8 MB.
	Segment int
	// EachSynced syncs every record by itself: a baseline for measuring.
	EachSynced bool
	// ReadOnly recovers without cutting, locking or writing anything.
	ReadOnly bool
}

// Journal is an open one.
type Journal struct {
	opt  Options
	dir  string
	lock io.Closer
	file vfs.File // the last segment
	size int
	segs []uint64 // first numbers, in order
	snap uint64   // number that the newest snapshot covers; 0: none
	old  uint64   // that of the one before it
	next uint64

	mu     sync.Mutex
	queue  []*entry
	wake   chan struct{}
	closed bool
	failed error
	done   chan struct{}
	torn   int64
	syncs  int64
}

type entry struct {
	payload []byte
	roll    bool // begin a new segment
	number  uint64
	end     func(number uint64, err error)
}

// Target is what a journal is read into.
type Target interface {
	// Restore takes the newest snapshot, if there is one, before any record.
	Restore(snapshot []byte) error
	// Replay takes a record, in order. The payload may not be kept.
	Replay(number uint64, payload []byte) error
}

func segmentName(first uint64) string   { return fmt.Sprintf("%016x.log", first) }
func snapshotName(covers uint64) string { return fmt.Sprintf("%016x.snap", covers) }

// Open reads a directory into a target and takes it for writing. It fails at once if another process has it.
func Open(dir string, o Options, into Target) (j *Journal, err error) {
	if o.FS == nil {
		o.FS = vfs.Disk{}
	}
	if o.Segment <= 0 {
		o.Segment = 8 << 20
	}
	j = &Journal{opt: o, dir: dir, wake: make(chan struct{}, 1), done: make(chan struct{}), next: 1}
	if !o.ReadOnly {
		if err := o.FS.MkdirAll(dir); err != nil {
			return nil, err
		}
		if j.lock, err = o.FS.Lock(filepath.Join(dir, "lock")); err != nil {
			return nil, err
		}
		lock := j.lock
		defer func() {
			if err != nil {
				lock.Close()
			}
		}()
	}
	if err := j.recover(into); err != nil {
		return nil, err
	}
	if o.ReadOnly {
		// Guards against a directory that is empty, or the wrong one, being called whole.
		if len(j.segs) == 0 && j.snap == 0 {
			return nil, fmt.Errorf("%w: %s holds no segment and no snapshot", ErrNone, dir)
		}
		return j, nil
	}
	if err := j.begin(); err != nil {
		return nil, err
	}
	go j.run()
	return j, nil
}

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

// broken ends the journal's life: nothing more is acknowledged.
func (j *Journal) broken(err error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failed = fmt.Errorf("%w: %w", ErrFailed, err)
	return j.failed
}

func (j *Journal) err() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed
}

// Stats tell how a journal stands.
type Stats struct {
	Next     uint64   `json:"next"`             // number of the record that comes next
	Snapshot uint64   `json:"snapshot"`         // what the newest snapshot covers
	Segments []uint64 `json:"segments"`         // by their first numbers
	Torn     int64    `json:"torn_bytes"`       // cut off at the start
	Syncs    int64    `json:"syncs"`            // so far
	Failed   string   `json:"failed,omitempty"` // why nothing more is taken
	Dir      string   `json:"dir,omitempty"`    //
}

// Stats are those of now.
func (j *Journal) Stats() Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := Stats{Next: j.next, Snapshot: j.snap, Segments: slices.Clone(j.segs), Torn: j.torn, Syncs: j.syncs, Dir: j.dir}
	if j.failed != nil {
		s.Failed = j.failed.Error()
	}
	return s
}

// Close writes what is queued and ends the journal.
func (j *Journal) Close() error {
	if j.opt.ReadOnly {
		return nil
	}
	j.mu.Lock()
	if j.closed {
		j.mu.Unlock()
		return nil
	}
	j.closed = true
	j.mu.Unlock()
	j.signal()
	<-j.done
	err := j.file.Close()
	return errors.Join(err, j.lock.Close())
}
