package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"
)

// Snapshots are a magic, what they cover, the length unpacked, a sum of the packed bytes and these.
const (
	snapMagic = "RWSNAP01"
	snapHead  = 32
)

func (j *Journal) readSnapshot(covers uint64) ([]byte, error) {
	name := snapshotName(covers)
	b, err := j.readAll(name, mostSegment)
	if err != nil {
		return nil, err
	}
	bad := func(at int, reason string) error { return &Damage{j.path(name), int64(at), reason} }
	switch {
	case len(b) < snapHead || string(b[:8]) != snapMagic:
		return nil, bad(0, "its header can't be read")
	case binary.LittleEndian.Uint64(b[8:]) != covers:
		return nil, bad(8, "it covers other records than its name says")
	case crc32.Checksum(b[8:28], castagnoli) != binary.LittleEndian.Uint32(b[28:]):
		return nil, bad(8, "its header's sum is wrong")
	case crc32.Checksum(b[snapHead:], castagnoli) != binary.LittleEndian.Uint32(b[24:]):
		return nil, bad(snapHead, "its sum is wrong")
	}
	size := binary.LittleEndian.Uint64(b[16:])
	if size > mostSnapshot {
		return nil, bad(16, "it claims too much")
	}
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(mostSnapshot))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	state, err := z.DecodeAll(b[snapHead:], make([]byte, 0, min(size, 1<<20)))
	if err != nil || uint64(len(state)) != size {
		return nil, bad(snapHead, "it can't be unpacked")
	}
	return state, nil
}

// Compact puts a snapshot in place of the records up to a number, which must have been acknowledged, and removes files
// that nothing needs any more. The snapshot before it is kept, with the records behind it.
func (j *Journal) Compact(covers uint64, state []byte) error {
	z, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return err
	}
	packed := z.EncodeAll(state, nil)
	_ = z.Close()
	b := append(make([]byte, 0, snapHead+len(packed)), snapMagic...)
	b = binary.LittleEndian.AppendUint64(b, covers)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(state)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(packed, castagnoli))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[8:28], castagnoli))
	b = append(b, packed...)
	tmp := j.path(snapshotName(covers) + ".tmp")
	f, err := j.opt.FS.Create(tmp)
	if err != nil {
		return err
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	f.Close()
	if err == nil {
		err = j.opt.FS.Rename(tmp, j.path(snapshotName(covers)))
	}
	if err == nil {
		err = j.opt.FS.SyncDir(j.dir)
	}
	if err != nil {
		_ = j.opt.FS.Remove(tmp)
		return fmt.Errorf("journal: snapshot: %w", err)
	}
	// A new segment: the records before it can go once the next snapshot has made this one the older.
	rolled := make(chan error, 1)
	j.enqueue(&entry{roll: true, end: func(_ uint64, err error) { rolled <- err }})
	if err := <-rolled; err != nil {
		return err
	}
	j.mu.Lock()
	drop := j.old
	j.old, j.snap = j.snap, covers
	keep := j.old + 1 // the first record that the older snapshot does not cover
	var gone []string
	for len(j.segs) > 1 && j.segs[1] <= keep {
		gone = append(gone, segmentName(j.segs[0]))
		j.segs = j.segs[1:]
	}
	if drop > 0 && drop != j.old {
		gone = append(gone, snapshotName(drop))
	}
	j.mu.Unlock()
	for _, name := range gone {
		if err := j.opt.FS.Remove(j.path(name)); err != nil {
			return fmt.Errorf("journal: %w", err)
		}
	}
	return nil
}
