package journal

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"ravenwheel/internal/journal/vfs"
)

// recover reads the newest intact snapshot and the records after it into a target.
func (j *Journal) recover(target Target) error {
	snapshots, err := j.listFiles()
	if err != nil {
		return err
	}
	if err := j.restoreSnapshot(snapshots, target); err != nil {
		return err
	}
	j.next = j.snapshot + 1
	if len(j.segments) == 0 {
		return nil
	}
	if j.segments[0] > j.next {
		return &DamageError{
			j.path(segmentName(j.segments[0])), 0,
			fmt.Sprintf("records %d to %d are missing before this segment", j.next, j.segments[0]-1),
		}
	}
	// Skip segments that the snapshot covers completely. They remain if their removal was interrupted.
	from := 0
	for from+1 < len(j.segments) && j.segments[from+1] <= j.next {
		from++
	}
	for i := from; i < len(j.segments); i++ {
		if err := j.replaySegment(i, target); err != nil {
			return err
		}
	}
	return nil
}

// listFiles finds the segments and snapshots, in order, and removes partial files, which were not renamed to their final name.
func (j *Journal) listFiles() (snapshots []uint64, err error) {
	names, err := j.opt.FS.List(j.dir)
	if err != nil {
		return nil, err
	}
	for _, name := range names {
		if strings.HasSuffix(name, "."+partialExtension) {
			if !j.opt.ReadOnly {
				_ = j.opt.FS.Remove(j.path(name))
			}
			continue
		}
		base, extension, _ := strings.Cut(name, ".")
		number, err := strconv.ParseUint(base, 16, 64)
		switch {
		case err != nil || len(base) != 16:
		case extension == segmentExtension:
			j.segments = append(j.segments, number)
		case extension == snapshotExtension:
			snapshots = append(snapshots, number)
		}
	}
	return snapshots, nil
}

// restoreSnapshot reads the newest intact snapshot. A snapshot gets its final name only once it is synced, so a snapshot that can't
// be read is damaged. The snapshot before it is used instead, if all records after that one are still there. restoreSnapshot
// returns a DamageError if no snapshot can be used.
func (j *Journal) restoreSnapshot(snapshots []uint64, target Target) error {
	var damage error
	for i := len(snapshots) - 1; i >= 0; i-- {
		state, err := j.readSnapshot(snapshots[i])
		if err != nil {
			damage = err
			continue
		}
		if damage != nil && (len(j.segments) == 0 || j.segments[0] > snapshots[i]+1) {
			return damage
		}
		if j.snapshot = snapshots[i]; i > 0 {
			j.previousSnapshot = snapshots[i-1]
		}
		return target.Restore(state)
	}
	if damage != nil && (len(j.segments) == 0 || j.segments[0] > 1) {
		return damage
	}
	return nil
}

func (j *Journal) readFile(name string) ([]byte, error) {
	f, err := j.opt.FS.Open(j.path(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > maxFileSize {
		return nil, &DamageError{j.path(name), maxFileSize, fmt.Sprintf("larger than %d bytes", maxFileSize)}
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); err != nil && !(errors.Is(err, io.EOF) && n == len(b)) {
		return nil, err
	}
	return b, nil
}

// replaySegment reads the records of segment i into a target, and truncates the last segment after its last intact record.
func (j *Journal) replaySegment(i int, target Target) error {
	name, last := segmentName(j.segments[i]), i == len(j.segments)-1
	b, err := j.readFile(name)
	if err != nil {
		return err
	}
	if first, ok := readHeader(b); last && !ok && len(b) <= headerSize {
		return j.dropTornSegment(i, len(b))
	} else if ok && (first != j.segments[i] || first > j.next) {
		return &DamageError{j.path(name), firstOffset, fmt.Sprintf("begins with record %d, expected %d", first, j.next)}
	}
	end, next, err := scan(j.path(name), b, last, func(number uint64, payload []byte) error {
		if number < j.next {
			return nil // covered by the snapshot
		}
		return target.Replay(number, payload)
	})
	if err != nil {
		return err
	}
	if next < j.next {
		// A snapshot may cover more than the last segment holds: that segment's tail was torn and is not needed.
		if !last || next > j.snapshot {
			return &DamageError{j.path(name), int64(end), fmt.Sprintf("ends with record %d, but record %d exists", next-1, j.next-1)}
		}
		next = j.next
	}
	j.next = next
	if j.tornBytes += int64(len(b) - end); !last || j.opt.ReadOnly {
		return nil
	}
	return j.rewriteSegment(name, b[:end])
}

// dropTornSegment removes the last segment, i, whose header was torn while the segment was created: it holds no record yet.
func (j *Journal) dropTornSegment(i, size int) error {
	name := segmentName(j.segments[i])
	j.tornBytes += int64(size)
	j.segments = j.segments[:i]
	if j.opt.ReadOnly {
		return nil
	}
	return j.opt.FS.Remove(j.path(name))
}

// rewriteSegment replaces the last segment with a new file that holds its intact part. After a failed sync and a restart of the
// process alone, the page cache may hold bytes that are not on disk but are marked clean, so that another sync does not write
// them. A power failure would then lose the records read from these bytes, and all records after them.
func (j *Journal) rewriteSegment(name string, intact []byte) error {
	partial := j.path(partialName(name))
	f, err := j.opt.FS.Create(partial)
	if err != nil {
		return err
	}
	return j.commitFile(f, partial, name, intact)
}

// commitFile writes and syncs the content of a partial file, closes it and renames it to name.
func (j *Journal) commitFile(f vfs.File, partial, name string, content []byte) error {
	_, err := f.Write(content)
	if err == nil {
		err = f.Sync()
	}
	f.Close()
	if err == nil {
		err = j.opt.FS.Rename(partial, j.path(name))
	}
	if err == nil {
		err = j.opt.FS.SyncDir(j.dir)
	}
	return err
}
