// Package journal implements a write-ahead log with snapshots in plain files. A record is acknowledged once it is on disk, and
// records of concurrent writers share one sync. Recovery returns every acknowledged record, truncates a torn tail, reports
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
	maxBatchSize       = 1 << 20   // bytes; a batch of this size takes no more records
	maxSnapshotSize    = 1 << 30   // bytes of a snapshot's state, decompressed
	maxFileSize        = 256 << 20 // bytes of a file; recovery does not load a larger one into memory
	defaultSegmentSize = 8 << 20   // bytes
)

var (
	// ErrDiskFull means that the disk is full. The record was not written, but a later one may be.
	ErrDiskFull = errors.New("journal: disk full")
	// ErrFailed means that a sync failed. It is unknown whether the record is on disk, and the journal accepts no more records,
	// because the page cache may mark unwritten data as clean after a failed sync (https://lwn.net/Articles/752063/). The journal
	// must be opened again.
	ErrFailed = errors.New("journal: failed")
	// ErrClosed means that the journal is closed or read-only. Nothing was written.
	ErrClosed = errors.New("journal: closed")
	// ErrEmptyDirectory means that a directory opened read-only holds no segment and no snapshot.
	ErrEmptyDirectory = errors.New("journal: empty directory")
	// ErrRecordTooLarge means that a payload is larger than MaxRecordSize.
	ErrRecordTooLarge = errors.New("journal: record too large")
)

// Options configure a journal.
type Options struct {
	FS    vfs.FS // nil: the machine's file system
	Clock *clock.Clock
	// BatchDelay is for how many ms a batch waits for more records. 0: it is written at once, and records that arrive during its
	// sync form the next batch. A longer delay saves syncs at the cost of each writer's latency.
	BatchDelay float64
	// SegmentSize is the size in bytes at which a new segment is started. 0: 8 MB.
	SegmentSize int
	// SyncEachRecord syncs each record separately, as a baseline for benchmarks.
	SyncEachRecord bool
	// ReadOnly recovers without locking, truncating or writing anything.
	ReadOnly bool
}

// Journal is an open journal. Its methods are safe for concurrent use.
type Journal struct {
	opt  Options
	dir  string
	lock io.Closer // on the directory; nil: read-only

	// The writer goroutine owns file and fileSize after Open.
	file     vfs.File // the last segment
	fileSize int      // bytes written to file and synced

	mu               sync.Mutex
	segments         []uint64 // numbers of the segments' first records, in order
	snapshot         uint64   // last record that the newest snapshot covers; 0: no snapshot
	previousSnapshot uint64   // last record that the snapshot before it covers; 0: no such snapshot
	next             uint64   // number of the next record
	queue            []*entry
	closed           bool
	failed           error // wraps ErrFailed; nil: the journal has not failed
	tornBytes        int64 // bytes of torn writes that recovery found
	syncs            int64 // number of batches synced since Open

	wake chan struct{} // capacity 1: signals that the queue has changed
	done chan struct{} // closed when the writer goroutine has returned
}

// entry is a request to the writer goroutine.
type entry struct {
	payload []byte
	roll    bool   // start a new segment; there is no payload
	number  uint64 // of the record, once it is written
	done    func(number uint64, err error)
}

// Target receives the contents of a journal when it is opened.
type Target interface {
	// Restore receives the newest snapshot, if there is one, before any record.
	Restore(snapshot []byte) error
	// Replay receives a record. Records come in order; payload is valid only during the call.
	Replay(number uint64, payload []byte) error
}

const (
	segmentExtension  = "log"
	snapshotExtension = "snap"
	partialExtension  = "tmp" // for a file that has not been renamed to its final name yet
)

func segmentName(first uint64) string { return fmt.Sprintf("%016x.%s", first, segmentExtension) }

func snapshotName(lastRecord uint64) string {
	return fmt.Sprintf("%016x.%s", lastRecord, snapshotExtension)
}

func partialName(name string) string { return name + "." + partialExtension }

func (j *Journal) path(name string) string { return filepath.Join(j.dir, name) }

// Open reads a journal's directory into a target, and locks the directory for writing. It returns vfs.ErrLocked at once if another
// process has locked it, and a DamageError if an acknowledged record can't be read.
func Open(dir string, o Options, target Target) (j *Journal, err error) {
	if o.FS == nil {
		o.FS = vfs.Disk{}
	}
	if o.SegmentSize <= 0 {
		o.SegmentSize = defaultSegmentSize
	}
	j = &Journal{opt: o, dir: dir, wake: make(chan struct{}, 1), done: make(chan struct{}), next: 1}
	if o.ReadOnly {
		return j.openReadOnly(target)
	}
	if err := o.FS.MkdirAll(dir); err != nil {
		return nil, err
	}
	if j.lock, err = o.FS.Lock(filepath.Join(dir, "lock")); err != nil {
		return nil, err
	}
	if err := j.openForWriting(target); err != nil {
		j.lock.Close()
		return nil, err
	}
	return j, nil
}

func (j *Journal) openReadOnly(target Target) (*Journal, error) {
	if err := j.recover(target); err != nil {
		return nil, err
	}
	// An empty or wrong directory must not be mistaken for an intact journal.
	if len(j.segments) == 0 && j.snapshot == 0 {
		return nil, fmt.Errorf("%w: %s holds no segment and no snapshot", ErrEmptyDirectory, j.dir)
	}
	return j, nil
}

func (j *Journal) openForWriting(target Target) error {
	if err := j.recover(target); err != nil {
		return err
	}
	if err := j.startSegment(); err != nil {
		return err
	}
	go j.run()
	return nil
}

// fail makes the journal reject all further records, and returns the error for them.
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

// Stats describes a journal.
type Stats struct {
	Next      uint64   `json:"next"`             // number of the next record
	Snapshot  uint64   `json:"snapshot"`         // last record that the newest snapshot covers; 0: no snapshot
	Segments  []uint64 `json:"segments"`         // numbers of the segments' first records
	TornBytes int64    `json:"torn_bytes"`       // bytes of torn writes that recovery found
	Syncs     int64    `json:"syncs"`            // number of batches synced since the journal was opened
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

// Close writes the queued records, and unlocks the directory.
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
