package journal

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// recover reads the newest snapshot that is whole, and the records behind it.
func (j *Journal) recover(into Target) error {
	names, err := j.opt.FS.List(j.dir)
	if err != nil {
		return err
	}
	var snaps []uint64
	for _, n := range names {
		base, ext, _ := strings.Cut(n, ".")
		number, err := strconv.ParseUint(base, 16, 64)
		switch {
		case ext == "tmp" || strings.HasSuffix(n, ".tmp"):
			if !j.opt.ReadOnly {
				_ = j.opt.FS.Remove(j.path(n)) // a snapshot that was never finished
			}
		case err != nil || len(base) != 16:
		case ext == "log":
			j.segs = append(j.segs, number)
		case ext == "snap":
			snaps = append(snaps, number)
		}
	}
	if err := j.restore(snaps, into); err != nil {
		return err
	}
	j.next = j.snap + 1
	if len(j.segs) == 0 {
		return nil
	}
	if j.segs[0] > j.next {
		return &Damage{j.path(segmentName(j.segs[0])), 0, fmt.Sprintf("records %d to %d are missing before it", j.next, j.segs[0]-1)}
	}
	// Segments that the snapshot covers whole are left from a removal that did not come to its end.
	from := 0
	for from+1 < len(j.segs) && j.segs[from+1] <= j.next {
		from++
	}
	for i := from; i < len(j.segs); i++ {
		if err := j.replay(i, into); err != nil {
			return err
		}
	}
	return nil
}

// restore reads the newest snapshot that is whole. Snapshots are renamed into place once they are synced, so that one
// that can't be read is damage; the one before it will do as long as the records behind that are there.
func (j *Journal) restore(snaps []uint64, into Target) error {
	var bad error
	for i := len(snaps) - 1; i >= 0; i-- {
		state, err := j.readSnapshot(snaps[i])
		if err != nil {
			bad = err
			continue
		}
		if bad != nil && (len(j.segs) == 0 || j.segs[0] > snaps[i]+1) {
			return bad
		}
		if j.snap = snaps[i]; i > 0 {
			j.old = snaps[i-1]
		}
		return into.Restore(state)
	}
	if bad != nil && (len(j.segs) == 0 || j.segs[0] > 1) {
		return bad
	}
	return nil
}

func (j *Journal) readAll(name string, most int64) ([]byte, error) {
	f, err := j.opt.FS.Open(j.path(name))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	size, err := f.Size()
	if err != nil {
		return nil, err
	}
	if size > most {
		return nil, &Damage{j.path(name), most, fmt.Sprintf("larger than %d bytes", most)}
	}
	b := make([]byte, size)
	if n, err := f.ReadAt(b, 0); err != nil && !(errors.Is(err, io.EOF) && n == len(b)) {
		return nil, err
	}
	return b, nil
}

func (j *Journal) replay(i int, into Target) error {
	name, last := segmentName(j.segs[i]), i == len(j.segs)-1
	b, err := j.readAll(name, mostSegment)
	if err != nil {
		return err
	}
	// The last segment may have been torn while it was made: then it holds nothing yet.
	if first, ok := readHeader(b); last && !ok && len(b) <= headLen {
		j.torn += int64(len(b))
		j.segs = j.segs[:i]
		if j.opt.ReadOnly {
			return nil
		}
		return j.opt.FS.Remove(j.path(name))
	} else if ok && (first != j.segs[i] || first > j.next) {
		return &Damage{j.path(name), 8, fmt.Sprintf("begins with record %d where %d is due", first, j.next)}
	}
	end, next, err := scan(j.path(name), b, last, func(number uint64, payload []byte) error {
		if number < j.next {
			return nil // the snapshot covers it
		}
		return into.Replay(number, payload)
	})
	if err != nil {
		return err
	}
	if next < j.next {
		if last && next <= j.snap {
			// The snapshot is of more than the segment holds: its tail was torn and never mattered.
			next = j.next
		} else {
			return &Damage{j.path(name), int64(end), fmt.Sprintf("ends with record %d where %d was known", next-1, j.next-1)}
		}
	}
	j.next = next
	if j.torn += int64(len(b) - end); !last || j.opt.ReadOnly {
		return nil
	}
	return j.renew(name, b[:end])
}

// renew writes the good part of the last segment anew. Guards against a sync that failed before a restart of the process
// alone: the kernel goes on showing bytes that the disk does not have, takes them for clean, and a sync would not write
// them. Records that were read from them, and those that are written behind them, would be lost with the power.
func (j *Journal) renew(name string, good []byte) error {
	tmp := j.path(name + ".tmp")
	f, err := j.opt.FS.Create(tmp)
	if err != nil {
		return err
	}
	if _, err = f.Write(good); err == nil {
		err = f.Sync()
	}
	f.Close()
	if err == nil {
		err = j.opt.FS.Rename(tmp, j.path(name))
	}
	if err == nil {
		err = j.opt.FS.SyncDir(j.dir)
	}
	return err
}
