package journal

import (
	"errors"
	"fmt"
	"syscall"
)

// Append writes a record and returns its number once it is on disk. It returns ErrDiskFull, ErrFailed, ErrClosed,
// ErrRecordTooLarge or the error of the write.
func (j *Journal) Append(payload []byte) (number uint64, err error) {
	done := make(chan struct{})
	j.AppendAsync(payload, func(n uint64, e error) {
		number, err = n, e
		close(done)
	})
	<-done
	return number, err
}

// AppendAsync queues a record and calls done once the record is on disk or has failed with one of Append's errors. The calls of
// done have the order of the calls of AppendAsync. done must not block. The payload must not change until done is called.
func (j *Journal) AppendAsync(payload []byte, done func(number uint64, err error)) {
	if len(payload) > MaxRecordSize {
		done(0, ErrRecordTooLarge)
		return
	}
	j.enqueue(&entry{payload: payload, done: done})
}

func (j *Journal) enqueue(e *entry) {
	j.mu.Lock()
	if j.closed || j.opt.ReadOnly {
		j.mu.Unlock()
		e.done(0, ErrClosed)
		return
	}
	j.queue = append(j.queue, e)
	j.mu.Unlock()
	j.signal()
}

func (j *Journal) signal() {
	select {
	case j.wake <- struct{}{}:
	default:
	}
}

// run is the writer goroutine. It writes the queued records, one batch at a time, until the journal is closed.
func (j *Journal) run() {
	defer close(j.done)
	for range j.wake {
		j.waitForBatch()
		if closed := j.writeQueue(); closed {
			return
		}
	}
}

// waitForBatch waits BatchDelay ms, so that more records join the batch.
func (j *Journal) waitForBatch() {
	if j.opt.BatchDelay <= 0 {
		return
	}
	gathered := make(chan struct{})
	j.opt.Clock.After(j.opt.BatchDelay, func() { close(gathered) })
	<-gathered
}

// writeQueue writes batches until the queue is empty, and reports whether the journal is closed.
func (j *Journal) writeQueue() (closed bool) {
	for {
		batch, closed := j.nextBatch()
		if len(batch) == 0 {
			return closed
		}
		j.commit(batch)
	}
}

// nextBatch removes the next batch from the queue, and reports whether the journal is closed. A batch has about maxBatchSize bytes
// at most. An entry that starts a new segment (see entry.roll) is the last of its batch.
func (j *Journal) nextBatch() (batch []*entry, closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	size := 0
	for len(j.queue) > 0 && size < maxBatchSize && !(j.opt.SyncEachRecord && len(batch) > 0) {
		e := j.queue[0]
		j.queue[0] = nil
		j.queue = j.queue[1:]
		batch = append(batch, e)
		if size += recordHeaderSize + len(e.payload); e.roll {
			break
		}
	}
	if len(j.queue) == 0 {
		j.queue = nil
	}
	return batch, j.closed
}

// commit writes a batch and reports the result to each of its entries.
func (j *Journal) commit(batch []*entry) {
	err := j.failure()
	if err == nil {
		err = j.writeBatch(batch)
	}
	for _, e := range batch {
		if err != nil {
			e.number = 0
		}
		e.done(e.number, err)
	}
}

// writeBatch writes and syncs a batch, in a new segment if the current one is full. If the batch ends with a roll entry, it starts
// a new segment after the batch. It returns ErrDiskFull, ErrFailed, or the error of a write that was undone.
func (j *Journal) writeBatch(batch []*entry) error {
	if j.fileSize >= j.opt.SegmentSize {
		if err := j.startSegment(); errors.Is(err, syscall.ENOSPC) {
			return ErrDiskFull // the new file holds no record, and the next batch creates it again
		} else if err != nil {
			return j.fail(err)
		}
	}
	if err := j.writeRecords(batch); err != nil {
		return err
	}
	if batch[len(batch)-1].roll && j.fileSize > headerSize {
		if err := j.startSegment(); err != nil {
			return j.fail(err)
		}
	}
	return nil
}

// writeRecords numbers a batch's records, appends them to the segment and syncs it.
func (j *Journal) writeRecords(batch []*entry) error {
	var b []byte
	first, next := j.next, j.next
	for _, e := range batch {
		if !e.roll {
			e.number = next
			b = appendRecord(b, next, first, e.payload)
			next++
		}
	}
	if len(b) == 0 {
		return nil
	}
	if _, err := j.file.Write(b); err != nil {
		return j.undoWrite(err)
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(err)
	}
	j.mu.Lock()
	j.syncs++
	j.next = next
	j.mu.Unlock()
	j.fileSize += len(b)
	return nil
}

// undoWrite truncates the bytes that a failed write left, and syncs the truncation: a record that was reported as not written must
// not appear after a restart. It returns the error for the batch.
func (j *Journal) undoWrite(cause error) error {
	if err := j.file.Truncate(int64(j.fileSize)); err != nil {
		return j.fail(err)
	}
	if err := j.file.Sync(); err != nil {
		return j.fail(err)
	}
	if errors.Is(cause, syscall.ENOSPC) {
		return ErrDiskFull
	}
	return fmt.Errorf("journal: record not written: %w", cause)
}

// startSegment creates a segment for the records from j.next on, and closes the segment before it.
func (j *Journal) startSegment() error {
	f, err := j.opt.FS.Create(j.path(segmentName(j.next)))
	if err != nil {
		return err
	}
	if _, err = f.Write(appendHeader(nil, j.next)); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = j.opt.FS.SyncDir(j.dir)
	}
	if err != nil {
		f.Close()
		return err
	}
	if j.file != nil {
		j.file.Close()
	}
	j.file, j.fileSize = f, headerSize
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := len(j.segments); n == 0 || j.segments[n-1] != j.next {
		j.segments = append(j.segments, j.next)
	}
	return nil
}
