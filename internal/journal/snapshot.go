package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/klauspost/compress/zstd"
)

// A snapshot file is a header followed by the state, compressed with zstd:
//
//	header  magic:8 lastRecord:8 size:8 crc:4 headerCRC:4
//
// lastRecord is the number of the last record that the state includes, size the length of the decompressed state in bytes, crc the
// checksum of the compressed state, and headerCRC the checksum of the header from lastRecord on. Numbers and checksums are encoded
// as in segments.
const (
	snapshotMagic      = "RWSNAP01"
	snapshotHeaderSize = 32 // bytes

	// The offsets of the header's fields, in bytes.
	snapshotLastRecordOffset = 8
	snapshotSizeOffset       = 16
	snapshotCRCOffset        = 24
	snapshotHeaderCRCOffset  = 28
)

// headerChecksum returns the checksum of a snapshot's header.
func headerChecksum(b []byte) uint32 {
	return crc32.Checksum(b[snapshotLastRecordOffset:snapshotHeaderCRCOffset], castagnoli)
}

// readSnapshot returns the state in the snapshot that covers the records up to lastRecord. It returns a DamageError for a damaged
// file, or the error of the file system.
func (j *Journal) readSnapshot(lastRecord uint64) ([]byte, error) {
	name := snapshotName(lastRecord)
	b, err := j.readFile(name)
	if err != nil {
		return nil, err
	}
	damaged := func(offset int, reason string) error { return &DamageError{j.path(name), int64(offset), reason} }
	switch {
	case len(b) < snapshotHeaderSize || string(b[:snapshotLastRecordOffset]) != snapshotMagic:
		return nil, damaged(0, "its header can't be read")
	case binary.LittleEndian.Uint64(b[snapshotLastRecordOffset:]) != lastRecord:
		return nil, damaged(snapshotLastRecordOffset, "it covers other records than its name says")
	case headerChecksum(b) != binary.LittleEndian.Uint32(b[snapshotHeaderCRCOffset:]):
		return nil, damaged(snapshotLastRecordOffset, "its header's checksum is wrong")
	case crc32.Checksum(b[snapshotHeaderSize:], castagnoli) != binary.LittleEndian.Uint32(b[snapshotCRCOffset:]):
		return nil, damaged(snapshotHeaderSize, "its checksum is wrong")
	}
	size := binary.LittleEndian.Uint64(b[snapshotSizeOffset:])
	if size > maxSnapshotSize {
		return nil, damaged(snapshotSizeOffset, fmt.Sprintf("its state is larger than %d bytes", maxSnapshotSize))
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxSnapshotSize))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	state, err := decoder.DecodeAll(b[snapshotHeaderSize:], make([]byte, 0, min(size, maxInitialBuffer)))
	if err != nil || uint64(len(state)) != size {
		return nil, damaged(snapshotHeaderSize, "it can't be decompressed")
	}
	return state, nil
}

// maxInitialBuffer bounds the buffer, in bytes, that is allocated before decompression: the size in the header may be wrong.
const maxInitialBuffer = 1 << 20

func encodeSnapshot(lastRecord uint64, state []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, err
	}
	compressed := encoder.EncodeAll(state, nil)
	_ = encoder.Close()
	b := append(make([]byte, 0, snapshotHeaderSize+len(compressed)), snapshotMagic...)
	b = binary.LittleEndian.AppendUint64(b, lastRecord)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(state)))
	b = binary.LittleEndian.AppendUint32(b, crc32.Checksum(compressed, castagnoli))
	b = binary.LittleEndian.AppendUint32(b, headerChecksum(b))
	return append(b, compressed...), nil
}

// Compact stores a snapshot of the state after all records up to lastRecord, which must have been acknowledged, and removes the
// files that are no longer needed. The previous snapshot is kept, with the records after it, in case the new one is damaged.
// It returns ErrClosed, ErrDiskFull, ErrFailed or the error of a file operation.
func (j *Journal) Compact(lastRecord uint64, state []byte) error {
	b, err := encodeSnapshot(lastRecord, state)
	if err != nil {
		return err
	}
	if err := j.writeSnapshot(snapshotName(lastRecord), b); err != nil {
		return err
	}
	if err := j.roll(); err != nil {
		return err
	}
	for _, name := range j.replaceSnapshot(lastRecord) {
		if err := j.opt.FS.Remove(j.path(name)); err != nil {
			return fmt.Errorf("journal: removing a file that the snapshot made obsolete: %w", err)
		}
	}
	return nil
}

func (j *Journal) writeSnapshot(name string, b []byte) error {
	partial := j.path(partialName(name))
	f, err := j.opt.FS.Create(partial)
	if err != nil {
		return err
	}
	if err := j.commitFile(f, partial, name, b); err != nil {
		_ = j.opt.FS.Remove(partial)
		return fmt.Errorf("journal: writing a snapshot: %w", err)
	}
	return nil
}

// roll starts a new segment, so that the segments before it can be removed once the next snapshot makes this snapshot the previous
// one.
func (j *Journal) roll() error {
	rolled := make(chan error, 1)
	j.enqueue(&entry{roll: true, done: func(_ uint64, err error) { rolled <- err }})
	return <-rolled
}

// replaceSnapshot makes the snapshot that ends with lastRecord the newest, and returns the names of the files that no recovery
// needs any more.
func (j *Journal) replaceSnapshot(lastRecord uint64) (obsolete []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	dropped := j.previousSnapshot
	j.previousSnapshot, j.snapshot = j.snapshot, lastRecord
	firstNeeded := j.previousSnapshot + 1 // the first record that the previous snapshot does not cover
	for len(j.segments) > 1 && j.segments[1] <= firstNeeded {
		obsolete = append(obsolete, segmentName(j.segments[0]))
		j.segments = j.segments[1:]
	}
	if dropped > 0 && dropped != j.previousSnapshot {
		obsolete = append(obsolete, snapshotName(dropped))
	}
	return obsolete
}
