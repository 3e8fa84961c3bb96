// Package journal is a write-ahead log with snapshots on plain files. A record is acknowledged once it is on disk, and
// records of concurrent writers share one sync. Recovery keeps every acknowledged record, truncates a torn tail, reports
// damage with its offset, and never returns a record that was not written. The package does not interpret its records.
// Its tests inject a fault at every call to the file system.
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

// MaxRecordSize is the largest payload of a record, in bytes.
const MaxRecordSize = 16 << 20

const (
	maxBatchSize       = 1 << 20   // bytes of records after which a batch takes no more
	maxSnapshotSize    = 1 << 30   // bytes of a snapshot's state, decompressed
	maxFileSize        = 256 << 20 // bytes of a file; recovery does not load a larger one into memory
	defaultSegmentSize = 8 << 20   // bytes
)

var (
	// ErrDiskFull says that the disk is full. The record was not written; a later one may be.
	ErrDiskFull = errors.New("journal: disk full")
	// ErrFailed says that a sync failed. Whether the record is on disk is unknown, and the journal accepts no more: after a
	// failed sync the page cache can't be trusted (https://lwn.net/Articles/752063/). The journal must be opened again.
	ErrFailed = errors.New("journal: failed")
	// ErrClosed says that the journal is closed or read-only. Nothing was written.
	ErrClosed = errors.New("journal: closed")
	// ErrEmptyDirectory says that a directory opened read-only holds no segment and no snapshot.
	ErrEmptyDirectory = errors.New("journal: empty directory")
	// ErrRecordTooLarge says that a payload is larger than MaxRecordSize.
	ErrRecordTooLarge = errors.New("journal: record too large")
)

// Options configure a journal.
type Options struct {
	FS    vfs.FS // nil: the machine's file system
	Clock *clock.Clock
	// BatchDelay is how many ms a batch waits for more writers. 0: it is written at once, and records that arrive during its
	// sync form the next batch. A longer delay saves syncs at the cost of each writer's latency.
	BatchDelay float64
	// SegmentSize is the size in bytes at which a new segment is started. 0: 8 MB.
	SegmentSize int
	// SyncEachRecord syncs each record by itself, as a baseline for benchmarks.
	SyncEachRecord bool
	// ReadOnly recovers without locking, truncating or writing anything.
	ReadOnly bool
}

// Journal is an open journal. Its methods are safe for concurrent use.
type Journal struct {
	opt  Options
	dir  string
	lock io.Closer // of the directory; nil: read-only

	// The writer goroutine owns these after Open.
	file     vfs.File // the last segment
	fileSize int      // bytes written to it and synced

	mu               sync.Mutex
	segments         []uint64 // numbers of their first records, in order
	snapshot         uint64   // last record that the newest snapshot covers; 0: no snapshot
	previousSnapshot uint64   // the same of the snapshot before it
	next             uint64   // number of the next record
	queue            []*entry
	closed           bool
	failed           error
	tornBytes        int64
	syncs            int64

	wake chan struct{} // capacity 1: the queue has changed
	done chan struct{} // closed when the writer goroutine has returned
}

// entry is a request to the writer goroutine.
type entry struct {
	payload []byte
	roll    bool // start a new segment; there is no payload
	number  uint64
	done    func(number uint64, err error)
}

// Target receives what a journal holds when it is opened.
type Target interface {
	// Restore receives the newest snapshot, if there is one, before any record.
	Restore(snapshot []byte) error
	// Replay receives a record. Records come in order; payload is valid only during the call.
	Replay(number uint64, payload []byte) error
}

const (
	segmentExtension  = "log"
	snapshotExtension = "snap"
	partialExtension  = "tmp" // of a file that has not been renamed into place
)

func segmentName(first uint64) string { return fmt.Sprintf("%016x.%s", first, segmentExtension) }

func snapshotName(covers uint64) string { return fmt.Sprintf("%016x.%s", covers, snapshotExtension) }

func partialName(name string) string { return name + "." + partialExtension }

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

// Open reads a directory into a target and locks it for writing. It returns vfs.ErrLocked at once if another process has
// the directory, and a DamageError if an acknowledged record can't be read.
func Open(dir string, o Options, into Target) (j *Journal, err error) {
	if o.FS == nil {
		o.FS = vfs.Disk{}
	}
	if o.SegmentSize <= 0 {
		o.SegmentSize = defaultSegmentSize
	}
	j = &Journal{opt: o, dir: dir, wake: make(chan struct{}, 1), done: make(chan struct{}), next: 1}
	if o.ReadOnly {
		return j.openReadOnly(into)
	}
	if err := o.FS.MkdirAll(dir); err != nil {
		return nil, err
	}
	if j.lock, err = o.FS.Lock(filepath.Join(dir, "lock")); err != nil {
		return nil, err
	}
	if err := j.openForWriting(into); err != nil {
		j.lock.Close()
		return nil, err
	}
	return j, nil
}

func (j *Journal) openReadOnly(into Target) (*Journal, error) {
	if err := j.recover(into); err != nil {
		return nil, err
	}
	// An empty or wrong directory must not pass for an intact journal.
	if len(j.segments) == 0 && j.snapshot == 0 {
		return nil, fmt.Errorf("%w: %s holds no segment and no snapshot", ErrEmptyDirectory, j.dir)
	}
	return j, nil
}

func (j *Journal) openForWriting(into Target) error {
	if err := j.recover(into); err != nil {
		return err
	}
	if err := j.startSegment(); err != nil {
		return err
	}
	go j.run()
	return nil
}

// fail makes the journal refuse all further records.
func (j *Journal) fail(cause error) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.failed = fmt.Errorf("%w: %w", ErrFailed, cause)
	return j.failed
}

func (j *Journal) failure() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed
}

// Stats describe a journal.
type Stats struct {
	Next      uint64   `json:"next"`             // number of the next record
	Snapshot  uint64   `json:"snapshot"`         // last record that the newest snapshot covers; 0: no snapshot
	Segments  []uint64 `json:"segments"`         // numbers of the segments' first records
	TornBytes int64    `json:"torn_bytes"`       // truncated by recovery
	Syncs     int64    `json:"syncs"`            // of batches since the journal was opened
	Failed    string   `json:"failed,omitempty"` // why no more records are accepted
	Dir       string   `json:"dir,omitempty"`
}

// Stats returns the journal's current state.
func (j *Journal) Stats() Stats {
	j.mu.Lock()
	defer j.mu.Unlock()
	s := Stats{
		Next: j.next, Snapshot: j.snapshot, Segments: slices.Clone(j.segments), TornBytes: j.tornBytes, Syncs: j.syncs, Dir: j.dir,
	}
	if j.failed != nil {
		s.Failed = j.failed.Error()
	}
	return s
}

// Close writes the queued records, and releases the directory.
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
