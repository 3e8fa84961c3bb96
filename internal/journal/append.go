package journal

import (
	"errors"
	"fmt"
	"syscall"
)

// begin starts a new segment for what is written from now on. The one before it is closed for good.
func (j *Journal) begin() error {
	name := segmentName(j.next)
	f, err := j.opt.FS.Create(j.path(name))
	if err != nil {
		return err
	}
	head := appendHeader(nil, j.next)
	if _, err = f.Write(head); err == nil {
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
	j.file, j.size = f, headLen
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := len(j.segs); n == 0 || j.segs[n-1] != j.next {
		j.segs = append(j.segs, j.next)
	}
	return nil
}

// Append writes a record and returns its number once it is on disk.
func (j *Journal) Append(payload []byte) (number uint64, err error) {
	done := make(chan struct{})
	j.Start(payload, func(n uint64, e error) {
		number, err = n, e
		close(done)
	})
	<-done
	return number, err
}

// Start writes a record and calls end once it is on disk, or won't be, in the order of the calls.
func (j *Journal) Start(payload []byte, end func(number uint64, err error)) {
	if len(payload) > MostRecord {
		end(0, ErrTooLarge)
		return
	}
	j.enqueue(&entry{payload: payload, end: end})
}

func (j *Journal) enqueue(e *entry) {
	j.mu.Lock()
	if j.closed || j.opt.ReadOnly {
		j.mu.Unlock()
		e.end(0, ErrClosed)
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

// run writes what is queued, a batch at a time.
func (j *Journal) run() {
	defer close(j.done)
	for range j.wake {
		if j.opt.Delay > 0 {
			gathered := make(chan struct{})
			j.opt.Clock.After(j.opt.Delay, func() { close(gathered) })
			<-gathered
		}
		for {
			batch, closed := j.take()
			if len(batch) > 0 {
				j.write(batch)
				continue
			}
			if closed {
				return
			}
			break
		}
	}
}

// take cuts the next batch off the queue.
func (j *Journal) take() (batch []*entry, closed bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	size := 0
	for len(j.queue) > 0 && size < mostBatch && !(j.opt.EachSynced && len(batch) > 0) {
		e := j.queue[0]
		j.queue[0] = nil
		j.queue = j.queue[1:]
		batch = append(batch, e)
		if size += recordHead + len(e.payload); e.roll {
			break
		}
	}
	if len(j.queue) == 0 {
		j.queue = nil
	}
	return batch, j.closed
}

func (j *Journal) write(batch []*entry) {
	err := j.err()
	if err == nil {
		err = j.put(batch)
	}
	for _, e := range batch {
		if err != nil {
			e.number = 0
		}
		e.end(e.number, err)
	}
}

// put writes one batch and syncs it.
func (j *Journal) put(batch []*entry) error {
	if j.size >= j.opt.Segment {
		if err := j.begin(); errors.Is(err, syscall.ENOSPC) {
			return ErrFull // the new file is empty, and is begun again with the next batch
		} else if err != nil {
			return j.broken(err)
		}
	}
	var b []byte
	first, next := j.next, j.next
	for _, e := range batch {
		if !e.roll {
			e.number = next
			b = appendRecord(b, next, first, e.payload)
			next++
		}
	}
	if len(b) > 0 {
		if _, err := j.file.Write(b); err != nil {
			// The bytes are taken back, and that is synced: a record that was said not to be there must not come back.
			if terr := j.file.Truncate(int64(j.size)); terr != nil {
				return j.broken(terr)
			}
			if serr := j.file.Sync(); serr != nil {
				return j.broken(serr)
			}
			if errors.Is(err, syscall.ENOSPC) {
				return ErrFull
			}
			return fmt.Errorf("journal: not written: %w", err)
		}
		if err := j.file.Sync(); err != nil {
			return j.broken(err)
		}
		j.mu.Lock()
		j.syncs++
		j.next = next
		j.mu.Unlock()
		j.size += len(b)
	}
	if batch[len(batch)-1].roll && j.size > headLen {
		if err := j.begin(); err != nil {
			return j.broken(err)
		}
	}
	return nil
}
